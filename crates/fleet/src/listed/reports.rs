//! What a node in listed mode makes of the ends of upstreams, its own and those that others tell of.

use model::request::Fingerprint;
use std::net::SocketAddr;

use crate::{
    clock::Now,
    control::Effect,
    listed::{Control, FAR_AUDIENCE},
    message::Digest,
    quarantine::{Crash, Report},
    timeline::Kind,
};

impl Control {
    pub(super) fn note_end(&mut self, loss: Crash, now: Now) {
        self.quarantine.note_end(&loss, now.time);
        self.note(Kind::UpstreamEnded { requests: loss.labels() }, now);
        self.tell_ends(now);
    }

    pub(super) fn note_answer(&mut self, request: Fingerprint, now: Now) {
        self.quarantine.note_answer(request, now.time);
        self.tell_ends(now);
    }

    /// Tells the others at once what the own upstream's end or answer shows: the next upstream may end within the
    /// time that a call takes, and so may this node.
    fn tell_ends(&mut self, now: Now) {
        let targets = self.peers.first_audience(FAR_AUDIENCE, &mut self.random);
        let found = self.quarantine.urgent_reports(now.time);
        self.tell_reports(targets, found, now);
    }

    fn tell_reports(&mut self, targets: Vec<SocketAddr>, groups: Vec<Vec<Report>>, now: Now) {
        for reports in groups {
            let digest = Digest { reports, ..self.digest(now) };
            self.effects.push(Effect::Gossip(targets.clone(), digest));
        }
    }

    pub(super) fn refresh_quarantine(&mut self, now: Now) {
        let Some(changes) = self.quarantine.refresh(now.time) else { return };
        for change in changes {
            self.note(change.event(now.time), now);
        }
        self.effects.push(Effect::Quarantine(self.quarantine.current().clone()));
    }

    /// Tells a node that has just started what must not run: the first request that it is asked for may be such
    /// a one.
    pub(super) fn tell_newcomer(&mut self, node: SocketAddr, now: Now) {
        let held = self.quarantine.joiner_reports(now.time);
        self.tell_reports(vec![node], held, now);
    }
}
