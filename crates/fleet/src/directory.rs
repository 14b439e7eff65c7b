//! The platform's list of upstreams, replicated to every node.
//!
//! Entries and removals carry the platform's revision of their write. Copies merge in any order: the
//! higher revision of an identity wins, and the later start time of a restarted upstream. A copy is
//! *complete* up to a revision if it holds all earlier writes: a holder of revision N lacks exactly
//! [`Directory::since`] N. Revisions are packed ones of [`model::revision`]: the store may come back from an older
//! copy and begin a new era.
//!
//! Invariant *single entry point*: only [`Directory::apply`] and [`Directory::expire`] change the list.

mod restore;

use model::{revision, time::Time};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    directory::restore::Restore,
    era::Era,
    evacuation::{Order, Orders},
};

/// How long a removal is kept for nodes that were unreachable.
///
/// A node that missed it for longer gets the whole list.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// State of an upstream as registered at the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It finishes its calls in flight and stops.
    Leaving,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its identity; may be reused when it restarts.
    #[serde(rename = "n")]
    pub id: String,
    /// Its service.
    #[serde(rename = "s")]
    pub service: String,
    /// Its address; its node has the same IP address.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Calls that it processes concurrently.
    #[serde(rename = "l")]
    pub slots: usize,
    /// Its state.
    #[serde(rename = "z")]
    pub standing: Standing,
    /// Remaining warm-up time after its start, in ms, as of `revision`.
    #[serde(default, rename = "c")]
    pub cold_ms: u64,
    /// Start time, in ms of Unix time; none where the platform does not provide it.
    #[serde(default, rename = "b", skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// Revision at which the platform wrote it.
    #[serde(rename = "r")]
    pub revision: u64,
}

/// Why an upstream is no longer listed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Reason {
    /// The platform dropped its entry, possibly because of an outage.
    #[default]
    Dropped,
    /// Its value was overwritten by an invalid one. An outage does not cause that, so there is no
    /// grace period.
    Unusable,
}

/// The removal of an entry, or its replacement by an invalid value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Identity of the upstream.
    #[serde(rename = "n")]
    pub id: String,
    /// Revision at or before which it was removed.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Remaining grace period before it takes effect, in ms; see [`Directory::apply`].
    #[serde(default, rename = "h")]
    pub grace_ms: u64,
    /// Why it is no longer listed.
    #[serde(default, rename = "y")]
    pub reason: Reason,
    /// Start time of the removed incarnation, in ms of Unix time, if known.
    #[serde(default, rename = "b", skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

impl Removal {
    /// Returns the removal caused by `entry`, an invalid write under the identity of an upstream.
    fn unusable(entry: &Entry) -> Self {
        Removal {
            id: entry.id.clone(),
            revision: entry.revision,
            reason: Reason::Unusable,
            ..Removal::default()
        }
    }
}

/// A delta between two revisions of the list, or the whole list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Revision up to which the result is complete.
    pub revision: u64,
    /// Revision that the receiver must hold; none if this is the whole list.
    #[serde(default)]
    pub base: Option<u64>,
    /// Entries written since `base`, or all.
    pub entries: Vec<Entry>,
    /// Entries removed since `base`.
    pub removed: Vec<Removal>,
    /// Evacuation orders and their withdrawals written since `base`, or all; none from a product
    /// version without evacuation.
    #[serde(default, rename = "e", skip_serializing_if = "Option::is_none")]
    pub orders: Option<Vec<Order>>,
    /// First revision that the sender of a whole list knows of the store's era; none in the first era.
    #[serde(default, rename = "o", skip_serializing_if = "Option::is_none")]
    pub origin: Option<u64>,
}

impl Update {
    /// Returns whether it contains no change.
    pub fn is_empty(&self) -> bool {
        self.changes() == 0
    }

    /// Returns the number of upstreams and orders that it contains.
    pub fn changes(&self) -> usize {
        self.entries.len() + self.removed.len() + self.orders.as_ref().map_or(0, Vec::len)
    }

    /// Returns the update with its revisions, which are numbers of `era`, packed; `None` if one of them is too
    /// large.
    ///
    /// ```
    /// use fleet::directory::Update;
    /// use model::revision::pack;
    /// let update = Update { revision: 83, base: Some(80), ..Update::default() };
    /// let packed = update.in_era(1).unwrap();
    /// assert_eq!((Some(packed.revision), packed.base), (pack(1, 83), pack(1, 80)));
    /// ```
    pub fn in_era(mut self, era: u64) -> Option<Update> {
        let pack = |number: &mut u64| revision::pack(era, *number).map(|packed| *number = packed);
        pack(&mut self.revision)?;
        self.base.iter_mut().try_for_each(pack)?;
        self.entries.iter_mut().try_for_each(|entry| pack(&mut entry.revision))?;
        self.removed.iter_mut().try_for_each(|removal| pack(&mut removal.revision))?;
        let mut orders = self.orders.iter_mut().flatten();
        orders.try_for_each(|order| pack(&mut order.revision))?;
        Some(self)
    }
}

/// How an update changed an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was added.
    Listed,
    /// It restarted under the same identity.
    Restarted,
    /// It is draining.
    Leaving,
    /// It is no longer listed; its removal waits for the grace period.
    RemovalPending,
    /// It was removed.
    Gone,
    /// Another of its fields changed.
    Revised,
}

impl Change {
    /// Returns the name used in timeline events.
    pub fn name(self) -> &'static str {
        match self {
            Change::Listed => "listed",
            Change::Restarted => "restarted",
            Change::Leaving => "leaving",
            Change::RemovalPending => "doubted",
            Change::Gone => "gone",
            Change::Revised => "revised",
        }
    }
}

/// Error: the base of an update is later than the held revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gap;

/// A removal in its grace period.
#[derive(Clone, Copy, Debug)]
struct Pending {
    revision: u64,
    until: Time,
}

/// A completed removal.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    revision: u64,
    since: Time,
    reason: Reason,
    /// Start time of the latest known incarnation.
    started_ms: Option<u64>,
}

/// Where an update comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Platform,
    Replica,
}

/// One replica of the list.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Entry>,
    pending: BTreeMap<String, Pending>,
    tombstones: BTreeMap<String, Tombstone>,
    /// Start time of the latest write by id whose start is earlier than that of the known incarnation.
    earlier: BTreeMap<String, u64>,
    orders: Orders,
    revision: u64,
    /// Lowest revision since which all removals are still held.
    floor: u64,
    era: Era,
    restore: Restore,
}

impl Directory {
    /// Returns the revision up to which the replica is complete; 0 while it is empty.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over the listed upstreams, including those with a pending removal.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the current era of the store.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns the evacuation orders.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Takes the orders that changed since the last call.
    pub fn take_changed_orders(&mut self) -> Vec<Order> {
        self.orders.take_changed()
    }

    /// Merges `update` and returns the changed entries, or rejects it as a whole on a gap.
    ///
    /// A removal takes effect after the grace period `grace`. During an outage of the platform,
    /// registrations lapse although the upstreams are running; they register again once it is back,
    /// and must not be taken out of service until then.
    ///
    /// ```
    /// use fleet::directory::{Directory, Update};
    /// use model::time::Time;
    /// use std::time::Duration;
    /// let mut copy = Directory::default();
    /// let update = Update { revision: 7, ..Update::default() };
    /// assert_eq!(copy.apply(update, Duration::ZERO, Time::default()), Ok(vec![]));
    /// assert_eq!(copy.revision(), 7);
    /// ```
    pub fn apply(
        &mut self,
        update: Update,
        grace: Duration,
        now: Time,
    ) -> Result<Vec<(Entry, Change)>, Gap> {
        self.merge(update, Source::Platform, grace, now)
    }

    /// Like [`apply`](Directory::apply), for an update of another replica.
    ///
    /// The other replica has checked whether an earlier start is that of a new incarnation; this one may see only
    /// one of the writes that tell.
    pub fn apply_copy(
        &mut self,
        update: Update,
        grace: Duration,
        now: Time,
    ) -> Result<Vec<(Entry, Change)>, Gap> {
        self.merge(update, Source::Replica, grace, now)
    }

    fn merge(
        &mut self,
        update: Update,
        source: Source,
        grace: Duration,
        now: Time,
    ) -> Result<Vec<(Entry, Change)>, Gap> {
        if update.base.is_some_and(|base| base > self.revision) {
            return Err(Gap);
        }
        if revision::era(update.revision) < revision::era(self.revision) {
            // It may tell of writes that the store has lost.
            return Ok(Vec::new());
        }
        let mut changes = Vec::new();
        let is_current =
            |removal: &Removal| revision::era(removal.revision) == revision::era(update.revision);
        let (mut removed, before): (Vec<Removal>, Vec<Removal>) =
            update.removed.into_iter().partition(is_current);
        // What was removed in an earlier era must be known before the entries of the copy.
        for removal in before {
            changes.extend(self.remove(&removal, grace, now));
        }
        self.enter_era(update.revision, update.origin, now);
        if update.base.is_none() {
            removed.extend(self.missing(&update.entries, update.revision));
            if update.revision > self.revision {
                self.floor = self.floor.max(update.revision);
            }
        }
        for entry in update.entries {
            changes.extend(self.put(entry, source, now));
        }
        for removal in removed {
            changes.extend(self.remove(&removal, grace, now));
        }
        // Orders do not lapse in an outage, so their withdrawal needs no grace period.
        match update.orders {
            Some(orders) if update.base.is_none() => {
                self.orders.replace(orders, update.revision, self.era);
            }
            orders => self.orders.merge(orders.unwrap_or_default(), self.era),
        }
        self.revision = self.revision.max(update.revision);
        self.prune_tombstones(now);
        Ok(changes)
    }

    /// Completes the removals whose grace period is over, and what is pending since the store came back from
    /// a copy.
    pub fn expire(&mut self, now: Time) -> Vec<(Entry, Change)> {
        let removal = |(id, pending): (&String, &Pending)| Removal {
            id: id.clone(),
            revision: pending.revision,
            ..Removal::default()
        };
        let due = self.pending.iter().filter(|(_, pending)| pending.until <= now);
        let due: Vec<Removal> = due.map(removal).collect();
        let mut changes = Vec::new();
        for removal in &due {
            let entry = self.entries.get(&removal.id);
            let copy = entry.filter(|entry| entry.revision > removal.revision).cloned();
            changes.extend(self.delete(removal, now));
            copy.into_iter().for_each(|entry| self.restore.keep(entry));
        }
        changes.extend(self.settle(now));
        changes
    }

    /// Returns the changes after revision `held`, or the whole list if that is none or too old.
    pub fn since(&self, held: Option<u64>, now: Time) -> Update {
        let base = held.filter(|&held| held >= self.floor && held > 0);
        let newer = |revision: u64| base.is_none_or(|base| revision > base);
        let pending = self.pending.iter().map(|(id, pending)| Removal {
            id: id.clone(),
            revision: pending.revision,
            grace_ms: pending.until.since(now).as_millis() as u64,
            ..Removal::default()
        });
        let removed = self.tombstones.iter().map(|(id, tombstone)| Removal {
            id: id.clone(),
            revision: tombstone.revision,
            grace_ms: 0,
            reason: tombstone.reason,
            started_ms: tombstone.started_ms,
        });
        let entries = self.entries.values().chain(self.restore.removed_before());
        Update {
            revision: self.revision,
            base,
            entries: entries.filter(|e| newer(e.revision)).cloned().collect(),
            removed: pending.chain(removed).filter(|r| newer(r.revision)).collect(),
            orders: Some(self.orders.since(base)),
            origin: Some(self.era.origin()).filter(|&origin| base.is_none() && origin > 0),
        }
    }

    /// Returns the removals that a whole list implies by omission.
    ///
    /// That it lacks entries of an earlier era says nothing until their upstreams had time to register again.
    fn missing(&self, present: &[Entry], revision: u64) -> Vec<Removal> {
        self.entries
            .values()
            .filter(|e| revision::era(e.revision) == revision::era(revision))
            .filter(|e| e.revision <= revision && !present.iter().any(|p| p.id == e.id))
            .filter(|e| !self.pending.contains_key(&e.id))
            .map(|e| Removal { id: e.id.clone(), revision, ..Removal::default() })
            .collect()
    }

    fn put(&mut self, entry: Entry, source: Source, now: Time) -> Option<(Entry, Change)> {
        let removed = self.tombstones.get(&entry.id).map(|t| t.revision);
        let pending = self.pending.get(&entry.id).map(|pending| pending.revision);
        let known = self.entries.get(&entry.id);
        let latest = removed.max(pending).max(known.map(|e| e.revision));
        if latest >= Some(entry.revision) {
            return None;
        }
        let started = self.started(&entry.id);
        let is_copy = latest.is_some_and(|latest| self.era.is_copy(entry.revision, latest));
        // A leave is final, so it counts even if it is an old one.
        if is_copy && entry.started_ms <= started && entry.standing == Standing::Ready {
            return self.put_copy(entry);
        }
        match entry.started_ms {
            // A writer that provides start times always does so. This is another writer's value, so
            // the upstream's incarnation cannot be identified.
            None if started.is_some() => return self.delete(&Removal::unusable(&entry), now),
            // A delayed write of an earlier incarnation, which may even say that it is leaving; or, if it is
            // not the only one, a new incarnation whose clock was set back.
            Some(start)
                if source == Source::Platform
                    && self.is_first_of_earlier(&entry.id, start, started) =>
            {
                return None;
            }
            _ => {}
        }
        self.earlier.remove(&entry.id);
        let known = self.entries.get(&entry.id);
        let change = match known {
            _ if entry.standing == Standing::Leaving => Change::Leaving,
            None => Change::Listed,
            Some(known) if known.started_ms != entry.started_ms => Change::Restarted,
            Some(_) => Change::Revised,
        };
        self.pending.remove(&entry.id);
        self.tombstones.remove(&entry.id);
        self.restore.forget(&entry.id, entry.revision);
        self.entries.insert(entry.id.clone(), entry.clone());
        Some((entry, change))
    }

    fn remove(&mut self, removal: &Removal, grace: Duration, now: Time) -> Option<(Entry, Change)> {
        let grace = match removal.reason {
            Reason::Dropped => grace.max(Duration::from_millis(removal.grace_ms)),
            Reason::Unusable => Duration::ZERO,
        };
        match self.entries.get(&removal.id) {
            Some(entry) if entry.revision >= removal.revision => None,
            Some(entry) if !grace.is_zero() => {
                let until = now + grace;
                let pending = self.pending.entry(removal.id.clone());
                let pending = pending.or_insert(Pending { revision: removal.revision, until });
                pending.until = pending.until.min(until);
                Some((entry.clone(), Change::RemovalPending))
            }
            _ => self.delete(removal, now),
        }
    }

    fn delete(&mut self, removal: &Removal, now: Time) -> Option<(Entry, Change)> {
        let Removal { id, revision, reason, .. } = removal;
        let started_ms = self.started(id).max(removal.started_ms);
        self.pending.remove(id);
        self.earlier.remove(id);
        self.restore.forget(id, *revision);
        let fresh = Tombstone { revision: *revision, since: now, reason: *reason, started_ms };
        let tombstone = self.tombstones.entry(id.clone()).or_insert(fresh);
        tombstone.revision = tombstone.revision.max(*revision);
        tombstone.started_ms = started_ms;
        self.entries.remove(id).map(|entry| (entry, Change::Gone))
    }

    /// Returns whether `start` is earlier than the start of the known incarnation, and that of no write before.
    fn is_first_of_earlier(&mut self, id: &str, start: u64, known: Option<u64>) -> bool {
        Some(start) < known && self.earlier.insert(id.to_owned(), start) != Some(start)
    }

    /// Returns the start time of the latest known incarnation of `id`.
    fn started(&self, id: &str) -> Option<u64> {
        let listed = self.entries.get(id).and_then(|entry| entry.started_ms);
        let tombstone = self.tombstones.get(id).and_then(|t| t.started_ms);
        listed.max(tombstone)
    }

    /// Prunes expired tombstones; holders of lower revisions get the whole list from then on.
    fn prune_tombstones(&mut self, now: Time) {
        let old = |t: &Tombstone| now.since(t.since) > TOMBSTONE_TTL;
        let pruned = self.tombstones.values().filter(|t| old(t)).map(|t| t.revision).max();
        if let Some(revision) = pruned {
            self.floor = self.floor.max(revision);
            self.tombstones.retain(|_, t| !old(t));
        }
    }
}
