//! Reconciles the list with a store that came back from an older copy, see [`crate::era`].

use model::{revision, time::Time};
use std::{collections::BTreeMap, time::Duration};

use crate::{
    directory::{Change, Directory, Entry, Removal, Standing},
    era::{Era, GRACE},
};

/// Time after which an entry of the copy counts as that of a live upstream, although it was removed before the
/// return: the store removes the entries of silent upstreams within three heartbeats.
const RELIST_AFTER: Duration = Duration::from_secs(10);

/// What is pending since the store came back from a copy.
#[derive(Clone, Debug, Default)]
pub(super) struct Restore {
    /// When entries and orders of earlier eras are dropped.
    settles: Option<Time>,
    /// When the entries in `removed_before` are listed.
    relists: Option<Time>,
    /// Entries of the copy that were removed before the return.
    removed_before: BTreeMap<String, Entry>,
}

impl Restore {
    /// Iterates over the entries of the copy that were removed before the return.
    pub(super) fn removed_before(&self) -> impl Iterator<Item = &Entry> {
        self.removed_before.values()
    }

    /// Forgets the entry of `id` if it is older than `revision`.
    pub(super) fn forget(&mut self, id: &str, revision: u64) {
        if self.removed_before.get(id).is_some_and(|entry| entry.revision < revision) {
            self.removed_before.remove(id);
        }
    }

    /// Keeps an entry of the copy that was removed before the return.
    pub(super) fn keep(&mut self, entry: Entry) {
        self.removed_before.insert(entry.id.clone(), entry);
    }
}

impl Directory {
    /// Begins the era of `revision` if it is a new one.
    pub(super) fn enter_era(&mut self, revision: u64, origin: Option<u64>, now: Time) {
        let origin = origin.unwrap_or(revision);
        if revision::era(revision) > revision::era(self.revision) {
            self.era = Era::new(origin);
            // What only the copy of an earlier return had is not kept.
            self.restore = Restore {
                settles: Some(now + GRACE),
                relists: Some(now + RELIST_AFTER),
                removed_before: BTreeMap::new(),
            };
        } else if origin < self.era.origin() {
            // Another node has read the store earlier in this era.
            self.era = Era::new(origin);
        }
    }

    /// Applies an entry that may be older than what is known; returns the listed entry if it has changed.
    ///
    /// Its content may be outdated, so only its revision is adopted.
    pub(super) fn put_copy(&mut self, entry: Entry) -> Option<(Entry, Change)> {
        let Some(known) = self.entries.get_mut(&entry.id) else {
            self.restore.keep(entry);
            return None;
        };
        known.revision = entry.revision;
        let change = match known.standing {
            Standing::Ready => Change::Revised,
            Standing::Leaving => Change::Leaving,
        };
        Some((known.clone(), change))
    }

    /// Drops what no one has written again, and lists what the store still shows long after its return.
    pub(super) fn settle(&mut self, now: Time) -> Vec<(Entry, Change)> {
        let mut changes = Vec::new();
        let is_due = |at: &mut Time| *at <= now;
        if self.restore.settles.take_if(is_due).is_some() {
            changes.extend(self.drop_earlier_eras(now));
            self.orders.settle(self.era);
        }
        if self.restore.relists.take_if(is_due).is_some() {
            for (id, entry) in std::mem::take(&mut self.restore.removed_before) {
                self.tombstones.remove(&id);
                self.entries.insert(id, entry.clone());
                changes.push((entry, Change::Listed));
            }
        }
        changes
    }

    fn drop_earlier_eras(&mut self, now: Time) -> Vec<(Entry, Change)> {
        let is_earlier = |e: &&Entry| revision::era(e.revision) < revision::era(self.revision);
        let removal = |entry: &Entry| Removal {
            id: entry.id.clone(),
            revision: self.era.origin(),
            ..Removal::default()
        };
        let dropped: Vec<Removal> = self.entries.values().filter(is_earlier).map(removal).collect();
        dropped.iter().filter_map(|removal| self.delete(removal, now)).collect()
    }
}
