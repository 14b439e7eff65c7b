//! Configuration versions: pulls from peers, platform answers, and announcements.

use model::{config::Version, document::Set};
use std::net::SocketAddr;

use super::{Control, Effect, Method, PULL_TIMEOUT};
use crate::{
    catchup::Progress,
    clock::Now,
    dissemination::Context,
    fence::Verdict,
    message::{Bundle, Pull, Request},
    source::{Answer, Freshness, Topic},
    timeline::Kind,
};

/// Maximum number of conflicting versions remembered, so that each is reported once.
const MAX_CONFLICTS: usize = 64;

impl Control {
    pub(super) fn handle_source(&mut self, answer: Answer, now: Now) {
        match answer {
            Answer::Config(delta) => {
                self.record_contact(Topic::Config, Freshness::New, now);
                self.record(Kind::Read { revision: delta.revision }, now);
                self.source_revision = self.source_revision.max(delta.revision);
                self.check_source_revision(delta.revision, now);
                let set = self.fence.with(delta);
                self.offer(set, None, now);
            }
            Answer::List(listing) => {
                self.record_contact(Topic::List, Freshness::New, now);
                self.handle_listing(listing, now);
            }
            // Only nodes in list mode send this query.
            Answer::Changes(_) => {}
            Answer::Unchanged(topic, revision) => {
                self.record_contact(topic, Freshness::Unchanged, now);
                if topic == Topic::Config {
                    self.check_source_revision(revision, now);
                }
            }
            Answer::Failed(topic, failure) => {
                if self.schedule.record_failure(topic, now.time, &mut self.random) {
                    self.record(Kind::SourceLost { reason: failure.to_string() }, now);
                }
            }
        }
    }

    /// Records that `peer` holds `version`, and pulls it if it is newer.
    pub(super) fn observe_version(&mut self, peer: SocketAddr, version: Version, now: Now) {
        self.fence.observe(version.revision);
        let held = self.fence.version();
        if version.revision == held.revision && version.digest != held.digest {
            self.report_conflict(version, now);
        }
        let rejected = self.fence.rejected().any(|r| r.version == version);
        if version.revision <= held.revision || rejected {
            return;
        }
        self.offers.insert(peer, version);
        self.pull(now);
    }

    /// Pulls from the peer that offers the highest version, unless a pull is in progress.
    ///
    /// A starting node waits until its join wait is over, so that it compares the offers of several
    /// peers first.
    pub(super) fn pull(&mut self, _now: Now) {
        let held = self.fence.held();
        let rejected = |version: &Version| self.fence.rejected().any(|r| r.version == *version);
        self.offers.retain(|_, version| Some(version.revision) > held && !rejected(version));
        if !self.has_joined || self.pulling.is_some() {
            return;
        }
        let Some((&peer, _)) = self.offers.iter().max_by_key(|(_, version)| **version) else {
            return;
        };
        self.send_pull(peer);
    }

    pub(super) fn bundle(&self, pull: Pull) -> Bundle {
        self.fence.answer(&pull)
    }

    pub(super) fn handle_bundle(&mut self, peer: SocketAddr, bundle: Bundle, now: Now) {
        if self.pulling == Some(peer) {
            self.pulling = None;
        }
        self.failed_pulls = 0;
        match self.transfer.receive(&self.fence, bundle) {
            Progress::Complete(set) => {
                self.offers.remove(&peer);
                self.offer(*set, Some(peer), now);
            }
            Progress::Partial => {
                self.send_pull(peer);
                return;
            }
            Progress::Stale => {
                self.offers.remove(&peer);
            }
            Progress::Unusable => {
                self.offers.remove(&peer);
                let reason = "the documents do not have the announced digest".to_owned();
                self.record(Kind::BadMessage { peer, reason }, now);
            }
        }
        self.pull(now);
    }

    pub(super) fn abandon_pull(&mut self, peer: SocketAddr, now: Now) {
        if self.pulling == Some(peer) {
            self.pulling = None;
            self.failed_pulls += 1;
            self.transfer.record_timeout();
            self.record_failed_pull(peer, now);
        }
        self.offers.remove(&peer);
        self.pull(now);
    }

    /// Records every failed pull whose number in a row is a power of two.
    fn record_failed_pull(&mut self, peer: SocketAddr, now: Now) {
        let failures = self.failed_pulls;
        if failures.is_power_of_two() {
            let asked = Method::Pull.name().to_owned();
            self.record(Kind::PullLost { peer, asked, failures }, now);
        }
    }

    pub(super) fn dissemination_targets(&mut self, revision: u64, weight: u32) -> Vec<SocketAddr> {
        let context = Context { roster: &self.roster, revision, weight };
        self.settings.dissemination.targets(&context, &mut self.random)
    }

    fn offer(&mut self, set: Set, from: Option<SocketAddr>, now: Now) {
        match self.fence.offer(set) {
            Verdict::InForce(snapshot) => {
                let version = snapshot.version;
                self.record(Kind::InForce { version, from }, now);
                self.transfer.clear();
                let weight = snapshot.convergence_weight();
                self.effects.push(Effect::InForce(snapshot));
                self.announce(version, weight, now);
            }
            Verdict::Rejected(rejection) => {
                let kind = Kind::Rejected { version: rejection.version, faults: rejection.faults };
                self.record(kind, now);
            }
            Verdict::Conflict(version) => self.report_conflict(version, now),
            Verdict::NotNewer | Verdict::AlreadyRejected => {}
        }
    }

    fn announce(&mut self, version: Version, weight: u32, now: Now) {
        let targets = self.dissemination_targets(version.revision, weight);
        if targets.is_empty() {
            return;
        }
        self.record(Kind::Announced { revision: version.revision, peers: targets.len() }, now);
        for target in targets {
            self.send_heartbeat(target, now);
        }
    }

    fn send_pull(&mut self, peer: SocketAddr) {
        self.pulling = Some(peer);
        let pull = self.transfer.pull(&self.fence);
        self.effects.push(Effect::Send(peer, Request::Pull(pull), PULL_TIMEOUT));
    }

    fn report_conflict(&mut self, offered: Version, now: Now) {
        if self.conflicts.len() < MAX_CONFLICTS && self.conflicts.insert(offered) {
            let held = self.fence.version();
            self.record(Kind::Conflict { held, offered }, now);
        }
    }

    /// Records, once, that the platform serves a revision below the one in force.
    fn check_source_revision(&mut self, revision: u64, now: Now) {
        let stale = Some(revision).filter(|&r| r < self.fence.version().revision);
        if stale.is_some() && self.stale_source != stale {
            self.record(Kind::SourceStale { revision }, now);
        }
        self.stale_source = stale;
    }

    fn record_contact(&mut self, topic: Topic, freshness: Freshness, now: Now) {
        if self.schedule.record_success(topic, freshness, self.rank, now.time) {
            self.record(Kind::SourceBack, now);
        }
    }
}
