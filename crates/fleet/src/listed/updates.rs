//! Takes in what is new, from the platform and from other nodes.

use std::{net::SocketAddr, time::Duration};

use crate::{
    clock::Now,
    control::Effect,
    directory::Update,
    fence::Verdict,
    listed::{Control, DOUBT, FAR_AUDIENCE, NEWS_BYTES, NEWS_CHANGES, PASSED_ON},
    message::{Patch, Piggyback},
    source::{Answer, Changeset, Failure, Query},
    timeline::Kind,
};

/// How far list and configuration were held.
#[derive(Clone, Copy, Debug)]
struct Holdings {
    list: u64,
    config: Option<u64>,
}

impl Control {
    pub(super) fn hear_source(&mut self, answer: Answer, now: Now) {
        match answer {
            Answer::Changes(changeset) => self.hear_changeset(changeset, now),
            Answer::Failed(_, Failure::Compacted) => {
                // An answer, if a useless one: the whole must be read again.
                self.succeed(false, now);
                self.read_to = None;
                let wait = self.watch.begin(false);
                let query = Query::Changes { after: None, wait };
                self.effects.push(Effect::Read(query));
            }
            Answer::Failed(_, failure) => {
                if self.watch.fail(now.time, &mut self.random) {
                    self.note(Kind::SourceLost { reason: failure.to_string() }, now);
                }
            }
            Answer::Config(_) | Answer::List(_) | Answer::Unchanged(..) => {}
        }
    }

    fn hear_changeset(&mut self, changeset: Changeset, now: Now) {
        let has_news = changeset.config.is_some() || !changeset.list.is_empty();
        self.succeed(has_news, now);
        for fault in changeset.faults {
            self.note(Kind::SourceFault { fault }, now);
        }
        let doubt = self.watch.doubt(DOUBT, now.time);
        let before = self.holdings();
        let mut is_new = self.merge(changeset.list, None, doubt, now);
        if let Some(delta) = changeset.config {
            self.note(Kind::Read { revision: delta.revision }, now);
            let set = self.fence.with(delta);
            is_new |= self.offer(set, None, now);
        }
        self.read_to = self.read_to.max(Some(changeset.revision));
        if is_new {
            let targets = self.peers.audience(FAR_AUDIENCE, &mut self.random);
            self.tell_since(before, targets, now);
        }
    }

    /// Takes in the changes that came with a summary of `from`, if they follow on what is held here. Where
    /// they do not, the summary tells how far that node is, and what is lacking is pulled.
    pub(super) fn hear_piggyback(&mut self, piggyback: Piggyback, from: SocketAddr, now: Now) {
        let held = self.directory.revision();
        let follows = |update: &Update| {
            update.revision > held && update.base.is_some_and(|base| (1..=held).contains(&base))
        };
        if let Some(update) = piggyback.list.filter(|update| follows(update)) {
            self.merge(*update, Some(from), Duration::ZERO, now);
        }
        let in_force = self.fence.held();
        if let Some(patch) = piggyback.config.filter(|patch| Some(patch.base) == in_force) {
            let set = self.fence.with(patch.delta);
            // What the digest does not prove is no more than a hint; it is pulled.
            if set.version() == patch.version {
                self.offer(set, Some(from), now);
            }
        }
    }

    fn holdings(&self) -> Holdings {
        Holdings { list: self.directory.revision(), config: self.fence.held() }
    }

    /// Tells `targets` what has come in since `before`, if it is little, and that it has come.
    fn tell_since(&mut self, before: Holdings, targets: Vec<SocketAddr>, now: Now) {
        let list = self.list_since(before, now).map(Box::new);
        let piggyback = Piggyback { list, config: self.config_since(before) };
        self.tell_news(targets, piggyback, now);
    }

    fn list_since(&self, before: Holdings, now: Now) -> Option<Update> {
        if before.list == 0 || before.list == self.directory.revision() {
            return None;
        }
        let update = self.directory.since(Some(before.list), now.time);
        (update.base.is_some() && update.changes() <= NEWS_CHANGES).then_some(update)
    }

    fn config_since(&self, before: Holdings) -> Option<Patch> {
        let base = before.config.filter(|_| before.config != self.fence.held())?;
        let piece = self.fence.set().since_within(Some(base), NEWS_BYTES);
        let patch = Patch { base, version: self.fence.version(), delta: piece.delta };
        (!piece.more).then_some(patch)
    }

    fn succeed(&mut self, has_news: bool, now: Now) {
        if self.watch.succeed(has_news, now.time) {
            self.note(Kind::SourceBack, now);
        }
    }

    /// Merges an update of the list; returns whether it brought anything new.
    pub(super) fn merge(
        &mut self,
        update: Update,
        from: Option<SocketAddr>,
        doubt: Duration,
        now: Now,
    ) -> bool {
        let before = self.holdings();
        match self.directory.apply(update, doubt, now.time) {
            Ok(changes) => {
                let orders = self.directory.take_changed_orders();
                let is_new = !changes.is_empty() || !orders.is_empty();
                self.note_changes(changes, from, now);
                self.note_orders(orders, from, now);
                if from.is_some() && self.directory.revision() > before.list {
                    let targets = self.peers.some(PASSED_ON, &mut self.random);
                    self.tell_since(before, targets, now);
                }
                is_new
            }
            Err(_gap) => {
                self.pulls.whole_list = true;
                false
            }
        }
    }

    /// Offers a set of documents to the fence; returns whether it came into force.
    pub(super) fn offer(
        &mut self,
        set: model::document::Set,
        from: Option<SocketAddr>,
        now: Now,
    ) -> bool {
        let before = self.holdings();
        match self.fence.offer(set) {
            Verdict::InForce(snapshot) => {
                self.note(Kind::InForce { version: snapshot.version, from }, now);
                self.transfer.clear();
                self.effects.push(Effect::InForce(snapshot));
                if from.is_some() {
                    let targets = self.peers.some(PASSED_ON, &mut self.random);
                    self.tell_since(before, targets, now);
                }
                true
            }
            Verdict::Rejected(rejection) => {
                let kind = Kind::Rejected { version: rejection.version, faults: rejection.faults };
                self.note(kind, now);
                false
            }
            Verdict::Conflict(offered) => {
                self.note(Kind::Conflict { held: self.fence.version(), offered }, now);
                false
            }
            Verdict::NotNewer | Verdict::AlreadyRejected => false,
        }
    }
}
