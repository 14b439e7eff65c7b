//! What a node in listed mode makes of the ends of upstreams, its own and those that others tell of.

use model::request::Fingerprint;
use std::net::SocketAddr;

use crate::{
    clock::Now,
    control::Effect,
    listed::{Control, FAR_FANOUT},
    message::Digest,
    quarantine::{Loss, Report},
    timeline::Kind,
};

impl Control {
    pub(super) fn record_crash(&mut self, loss: Loss, now: Now) {
        self.quarantine.note_end(&loss, now.time);
        self.record(Kind::UpstreamEnded { requests: loss.labels() }, now);
        self.send_urgent_reports(now);
    }

    pub(super) fn record_cleared(&mut self, request: Fingerprint, now: Now) {
        self.quarantine.note_answer(request, now.time);
        self.send_urgent_reports(now);
    }

    /// Tells the others at once what the own upstream's end or answer shows: the next upstream may end within the
    /// time that a call takes, and so may this node.
    fn send_urgent_reports(&mut self, now: Now) {
        let targets = self.peers.broadcast_targets(FAR_FANOUT, &mut self.random);
        let found = self.quarantine.tell_at_once(now.time);
        self.send_reports(targets, found, now);
    }

    fn send_reports(&mut self, targets: Vec<SocketAddr>, groups: Vec<Vec<Report>>, now: Now) {
        for reports in groups {
            let digest = Digest { reports, ..self.digest(now) };
            self.effects.push(Effect::Tell(targets.clone(), digest));
        }
    }

    pub(super) fn publish_quarantine(&mut self, now: Now) {
        let Some(changes) = self.quarantine.refresh(now.time) else { return };
        for change in changes {
            self.record(change.event(now.time), now);
        }
        self.effects.push(Effect::Quarantine(self.quarantine.shown().clone()));
    }

    /// Tells a node that has just started what must not run: the first request that it is asked for may be such
    /// a one.
    pub(super) fn send_reports_to_joiner(&mut self, node: SocketAddr, now: Now) {
        let held = self.quarantine.tell_newcomer(now.time);
        self.send_reports(vec![node], held, now);
    }
}
