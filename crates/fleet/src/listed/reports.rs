//! Records crashes of this node's upstream and sends quarantine reports to peers.

use model::request::Fingerprint;
use std::net::SocketAddr;

use crate::{
    clock::Now,
    control::Effect,
    listed::{Control, FAR_FANOUT},
    message::Digest,
    quarantine::{Crash, Report},
    timeline::Kind,
};

impl Control {
    pub(super) fn record_crash(&mut self, crash: Crash, now: Now) {
        self.quarantine.record_crash(&crash, now.time);
        self.record(Kind::UpstreamEnded { requests: crash.labels() }, now);
        self.send_urgent_reports(now);
    }

    pub(super) fn record_cleared(&mut self, request: Fingerprint, now: Now) {
        self.quarantine.record_answer(request, now.time);
        self.send_urgent_reports(now);
    }

    /// Sends new reports at once: a retry of the same request could crash another upstream before the next
    /// digest, and this node may crash too.
    fn send_urgent_reports(&mut self, now: Now) {
        let targets = self.peers.broadcast_targets(FAR_FANOUT, &mut self.random);
        let batches = self.quarantine.urgent_reports(now.time);
        self.send_reports(targets, batches, now);
    }

    fn send_reports(&mut self, targets: Vec<SocketAddr>, batches: Vec<Vec<Report>>, now: Now) {
        for reports in batches {
            let digest = Digest { reports, ..self.digest(now) };
            self.effects.push(Effect::Gossip(targets.clone(), digest));
        }
    }

    pub(super) fn publish_quarantine(&mut self, now: Now) {
        let Some(changes) = self.quarantine.refresh(now.time) else { return };
        for change in changes {
            self.record(change.event(now.time), now);
        }
        self.effects.push(Effect::Quarantine(self.quarantine.current().clone()));
    }

    /// Sends the quarantined requests to a node that has just started; its first request may be one of
    /// them.
    pub(super) fn send_reports_to_joiner(&mut self, node: SocketAddr, now: Now) {
        let batches = self.quarantine.joiner_reports(now.time);
        self.send_reports(vec![node], batches, now);
    }
}
