//! Applies changes of configuration and list from the platform and from peers, and forwards them.

use model::revision;
use std::{net::SocketAddr, time::Duration};

use crate::{
    clock::Now,
    control::Effect,
    directory::Update,
    era,
    fence::Verdict,
    listed::{Control, FAR_FANOUT, FORWARD_FANOUT, MAX_PIGGYBACK_BYTES, MAX_PIGGYBACK_CHANGES},
    message::{Patch, Piggyback},
    source::{Answer, Changeset, Failure, Query},
    timeline::Kind,
};

/// Revisions of list and configuration held at one moment.
#[derive(Clone, Copy, Debug)]
struct Holdings {
    list: u64,
    config: Option<u64>,
}

impl Control {
    pub(super) fn handle_answer(&mut self, answer: Answer, now: Now) {
        match answer {
            Answer::Changes(changeset) => self.apply_changeset(changeset, now),
            Answer::Failed(_, Failure::Compacted) => {
                // The platform is reachable, but its history was compacted: read a full copy.
                self.record_platform_answer(false, now);
                self.read_revision = None;
                let wait = self.watch.start_call(false);
                let query = Query::Changes { after: None, wait };
                self.effects.push(Effect::Read(query));
            }
            Answer::Failed(_, failure) => {
                if self.watch.record_failure(now.time, &mut self.random) {
                    self.record(Kind::SourceLost { reason: failure.to_string() }, now);
                }
            }
            Answer::Config(_) | Answer::List(_) | Answer::Unchanged(..) => {}
        }
    }

    fn apply_changeset(&mut self, changeset: Changeset, now: Now) {
        let has_changes = changeset.config.is_some() || !changeset.list.is_empty();
        self.record_platform_answer(has_changes, now);
        for fault in changeset.faults {
            self.record(Kind::SourceFault { fault }, now);
        }
        let revision = changeset.revision;
        if changeset.list.base.is_none() && revision < self.directory.revision() {
            self.record(Kind::SourceStale { revision: revision::number(revision) }, now);
        }
        let grace = self.watch.removal_grace(era::GRACE, now.time);
        let before = self.holdings();
        let mut is_new = self.merge_list(changeset.list, None, grace, now);
        if let Some(delta) = changeset.config {
            self.record(Kind::Read { revision: delta.revision }, now);
            let set = self.fence.with(delta);
            is_new |= self.offer_config(set, None, now);
        }
        self.read_revision = self.read_revision.max(Some(revision));
        self.config_as_of = self.config_as_of.max(revision);
        if is_new {
            let targets = self.peers.fanout(FAR_FANOUT, &mut self.random);
            self.gossip_since(before, targets, now);
        }
    }

    /// Applies changes piggybacked on a digest of `from` if their base revision is held here. Otherwise the
    /// digest's revisions lead to a pull.
    pub(super) fn apply_piggyback(&mut self, piggyback: Piggyback, from: SocketAddr, now: Now) {
        let held = self.directory.revision();
        let follows = |update: &Update| {
            update.revision > held && update.base.is_some_and(|base| (1..=held).contains(&base))
        };
        if let Some(update) = piggyback.list.filter(|update| follows(update)) {
            self.merge_list(*update, Some(from), Duration::ZERO, now);
        }
        let in_force = self.fence.held();
        if let Some(patch) = piggyback.config.filter(|patch| Some(patch.base) == in_force) {
            let set = self.fence.with(patch.delta);
            // A set whose content hash differs is dropped; the version is pulled instead.
            if set.version() == patch.version {
                self.offer_config(set, Some(from), now);
            }
        }
    }

    fn holdings(&self) -> Holdings {
        Holdings { list: self.directory.revision(), config: self.fence.held() }
    }

    /// Gossips to `targets`, with the changes since `before` piggybacked if they are small.
    fn gossip_since(&mut self, before: Holdings, targets: Vec<SocketAddr>, now: Now) {
        let list = self.list_changes_since(before, now).map(Box::new);
        let piggyback = Piggyback { list, config: self.config_patch_since(before) };
        self.gossip_with(targets, piggyback, now);
    }

    fn list_changes_since(&self, before: Holdings, now: Now) -> Option<Update> {
        if before.list == 0 || before.list == self.directory.revision() {
            return None;
        }
        let update = self.directory.since(Some(before.list), now.time);
        (update.base.is_some() && update.changes() <= MAX_PIGGYBACK_CHANGES).then_some(update)
    }

    fn config_patch_since(&self, before: Holdings) -> Option<Patch> {
        let base = before.config.filter(|_| before.config != self.fence.held())?;
        let chunk = self.fence.set().since_within(Some(base), MAX_PIGGYBACK_BYTES);
        let patch = Patch { base, version: self.fence.version(), delta: chunk.delta };
        (!chunk.more).then_some(patch)
    }

    fn record_platform_answer(&mut self, has_changes: bool, now: Now) {
        if self.watch.record_success(has_changes, now.time) {
            self.record(Kind::SourceBack, now);
        }
    }

    /// Merges an update of the list; returns whether anything changed.
    pub(super) fn merge_list(
        &mut self,
        update: Update,
        from: Option<SocketAddr>,
        grace: Duration,
        now: Now,
    ) -> bool {
        let before = self.holdings();
        let merged = match from {
            Some(_) => self.directory.apply_copy(update, grace, now.time),
            None => self.directory.apply(update, grace, now.time),
        };
        match merged {
            Ok(changes) => {
                self.record_era(before.list, now);
                let orders = self.directory.take_changed_orders();
                let is_new = !changes.is_empty() || !orders.is_empty();
                self.record_changes(changes, from, now);
                self.record_orders(orders, from, now);
                if from.is_some() && self.directory.revision() > before.list {
                    let targets = self.peers.forward_targets(FORWARD_FANOUT, &mut self.random);
                    self.gossip_since(before, targets, now);
                }
                is_new
            }
            Err(_gap) => {
                self.pulls.full_list = true;
                false
            }
        }
    }

    /// Records a return of the platform's store to an older copy since revision `before` was held.
    fn record_era(&mut self, before: u64, now: Now) {
        let era = revision::era(self.directory.revision());
        if before > 0 && era > revision::era(before) {
            self.watch.record_restore(now.time);
            self.record(Kind::SourceRestored { era }, now);
        }
    }

    /// Offers a configuration to the fence; returns whether it is now in force.
    pub(super) fn offer_config(
        &mut self,
        set: model::document::Set,
        from: Option<SocketAddr>,
        now: Now,
    ) -> bool {
        let before = self.holdings();
        match self.fence.offer(set) {
            Verdict::InForce(snapshot) => {
                self.record(Kind::InForce { version: snapshot.version, from }, now);
                self.transfer.clear();
                self.effects.push(Effect::InForce(snapshot));
                if from.is_some() {
                    let targets = self.peers.forward_targets(FORWARD_FANOUT, &mut self.random);
                    self.gossip_since(before, targets, now);
                }
                true
            }
            Verdict::Rejected(rejection) => {
                let kind = Kind::Rejected { version: rejection.version, faults: rejection.faults };
                self.record(kind, now);
                false
            }
            Verdict::Conflict(offered) => {
                self.record(Kind::Conflict { held: self.fence.version(), offered }, now);
                false
            }
            Verdict::NotNewer | Verdict::AlreadyRejected => false,
        }
    }
}
