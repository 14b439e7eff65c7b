//! The platform's list of upstreams, as every node holds a copy of it.
//!
//! Each entry and each removal carries the platform's revision at which it was written, so copies
//! merge by taking the higher revision of each name, in whatever order they are heard. A copy is
//! *complete* up to a revision if it holds everything written until then; a holder of revision N
//! lacks exactly what [`Directory::since`] returns for N.
//!
//! An upstream may start again under the name that it had. What counts as one *life* is a name and a
//! start time: a later start replaces the former life, and a write of a former life that is heard
//! late changes nothing.
//!
//! Invariant *one way in*: [`Directory::apply`] and [`Directory::expire`] are the only ways to
//! change it.

use model::time::Time;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::evacuation::{Order, Orders};

/// How long a removal is remembered, so that it can be told to nodes that were away.
///
/// A node that was away for longer gets the whole list.
const TOMBSTONE_TIME: Duration = Duration::from_secs(120);

/// Standing of an upstream, as it tells the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It finishes what it has and stops.
    Leaving,
}

/// One life of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its identity; a start of an upstream may have another one or the one of before.
    #[serde(rename = "n")]
    pub id: String,
    /// Its service.
    #[serde(rename = "s")]
    pub service: String,
    /// Its address; the node beside it has the same IP address.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Calls that it works on at once.
    #[serde(rename = "l")]
    pub slots: usize,
    /// Its standing.
    #[serde(rename = "z")]
    pub standing: Standing,
    /// How much longer it is slow after its start, in ms, as of `revision`.
    #[serde(default, rename = "c")]
    pub cold_ms: u64,
    /// When this life began, in ms of Unix time; none where the platform does not tell it.
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
    /// The platform dropped its entry, which may be an effect of an outage.
    #[default]
    Dropped,
    /// Somebody wrote a value that names no upstream. That is no effect of an outage, so it is
    /// believed at once.
    Unusable,
}

/// An entry that the platform no longer holds, or that names no upstream any more.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Identity of the upstream.
    #[serde(rename = "n")]
    pub id: String,
    /// Revision at or before which it was removed.
    #[serde(rename = "r")]
    pub revision: u64,
    /// How much longer the removal is in doubt, in ms; see [`Directory::apply`].
    #[serde(default, rename = "h")]
    pub grace_ms: u64,
    /// Why it is not listed.
    #[serde(default, rename = "y")]
    pub reason: Reason,
    /// When the removed life began, in ms of Unix time, where that is known.
    #[serde(default, rename = "b", skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

impl Removal {
    /// Returns the removal of an upstream in whose place `entry`, which cannot be used, was written.
    fn unusable(entry: &Entry) -> Self {
        Removal {
            id: entry.id.clone(),
            revision: entry.revision,
            reason: Reason::Unusable,
            ..Removal::default()
        }
    }
}

/// What turns one copy into a newer one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Revision up to which the result is complete.
    pub revision: u64,
    /// Revision that the receiver must hold; none where the update holds the whole list.
    #[serde(default)]
    pub base: Option<u64>,
    /// Entries written since `base`, or all.
    pub entries: Vec<Entry>,
    /// Entries removed since `base`.
    pub removed: Vec<Removal>,
    /// Orders to evacuate data centres and their withdrawals since `base`, or all; none from a
    /// product version that knows nothing of them.
    #[serde(default, rename = "e", skip_serializing_if = "Option::is_none")]
    pub orders: Option<Vec<Order>>,
}

impl Update {
    /// Tells whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes() == 0
    }

    /// Returns how many upstreams and orders it names.
    pub fn changes(&self) -> usize {
        self.entries.len() + self.removed.len() + self.orders.as_ref().map_or(0, Vec::len)
    }
}

/// What an update changed about one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is new.
    Listed,
    /// It started again under the name that it had.
    Restarted,
    /// It is to leave.
    Leaving,
    /// It is no longer listed, which may be an effect of an outage.
    RemovalPending,
    /// It is gone.
    Gone,
    /// Something else about it changed.
    Revised,
}

impl Change {
    /// Returns the name used in the time line.
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

/// An update that does not follow on what is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gap;

/// A removal that is not believed yet.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    revision: u64,
    until: Time,
}

/// A removal.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    revision: u64,
    since: Time,
    reason: Reason,
    /// When the latest life that is known of the name began.
    started_ms: Option<u64>,
}

/// One copy of the list.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Entry>,
    doubts: BTreeMap<String, Doubt>,
    tombstones: BTreeMap<String, Tombstone>,
    orders: Orders,
    revision: u64,
    /// Lowest revision since which all removals are remembered.
    floor: u64,
}

impl Directory {
    /// Returns the revision up to which the copy is complete; 0 before anything is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over the upstreams that are listed, or were until a removal that is in doubt.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the orders to evacuate data centres.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Takes the orders that have changed since the last time.
    pub fn take_changed_orders(&mut self) -> Vec<Order> {
        self.orders.take_changed()
    }

    /// Merges `update` and returns what it changed, or refuses it whole if it leaves a gap.
    ///
    /// A removal takes effect after `doubt`. The platform drops the entries of upstreams that
    /// could not reach it in an outage; those that live write them anew within moments of its
    /// return. Believing such a removal at once would take every upstream out of service just when
    /// the platform is back.
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
        doubt: Duration,
        now: Time,
    ) -> Result<Vec<(Entry, Change)>, Gap> {
        if update.base.is_some_and(|base| base > self.revision) {
            return Err(Gap);
        }
        let mut changes = Vec::new();
        let mut removed = update.removed;
        if update.base.is_none() {
            removed.extend(self.missing(&update.entries, update.revision));
            if update.revision > self.revision {
                self.floor = self.floor.max(update.revision);
            }
        }
        for entry in update.entries {
            changes.extend(self.put(entry, now));
        }
        for removal in removed {
            changes.extend(self.remove(&removal, doubt, now));
        }
        // Operators write orders themselves, so an outage withdraws none and there is no doubt.
        match update.orders {
            Some(orders) if update.base.is_none() => self.orders.replace(orders, update.revision),
            orders => self.orders.merge(orders.unwrap_or_default()),
        }
        self.revision = self.revision.max(update.revision);
        self.forget(now);
        Ok(changes)
    }

    /// Carries out the removals whose doubt is over.
    pub fn expire(&mut self, now: Time) -> Vec<(Entry, Change)> {
        let removal = |(id, doubt): (&String, &Doubt)| Removal {
            id: id.clone(),
            revision: doubt.revision,
            ..Removal::default()
        };
        let due = self.doubts.iter().filter(|(_, doubt)| doubt.until <= now);
        let due: Vec<Removal> = due.map(removal).collect();
        due.iter().filter_map(|removal| self.bury(removal, now)).collect()
    }

    /// Returns what a holder of revision `held` lacks; none asks for the whole list.
    pub fn since(&self, held: Option<u64>, now: Time) -> Update {
        let base = held.filter(|&held| held >= self.floor && held > 0);
        let newer = |revision: u64| base.is_none_or(|base| revision > base);
        let doubted = self.doubts.iter().map(|(id, doubt)| Removal {
            id: id.clone(),
            revision: doubt.revision,
            grace_ms: doubt.until.since(now).as_millis() as u64,
            ..Removal::default()
        });
        let buried = self.tombstones.iter().map(|(id, tombstone)| Removal {
            id: id.clone(),
            revision: tombstone.revision,
            grace_ms: 0,
            reason: tombstone.reason,
            started_ms: tombstone.started_ms,
        });
        Update {
            revision: self.revision,
            base,
            entries: self.entries.values().filter(|e| newer(e.revision)).cloned().collect(),
            removed: doubted.chain(buried).filter(|r| newer(r.revision)).collect(),
            orders: Some(self.orders.since(base)),
        }
    }

    /// Returns the removals that a whole list implies by leaving entries out.
    fn missing(&self, present: &[Entry], revision: u64) -> Vec<Removal> {
        self.entries
            .values()
            .filter(|e| e.revision <= revision && !present.iter().any(|p| p.id == e.id))
            .filter(|e| !self.doubts.contains_key(&e.id))
            .map(|e| Removal { id: e.id.clone(), revision, ..Removal::default() })
            .collect()
    }

    fn put(&mut self, entry: Entry, now: Time) -> Option<(Entry, Change)> {
        let buried = self.tombstones.get(&entry.id).map(|t| t.revision);
        let doubted = self.doubts.get(&entry.id).map(|d| d.revision);
        let known = self.entries.get(&entry.id);
        let latest = buried.max(doubted).max(known.map(|e| e.revision));
        if latest >= Some(entry.revision) {
            return None;
        }
        let started = self.started(&entry.id);
        match entry.started_ms {
            // Whoever tells when its lives begin always does so: this is of another writer, and
            // calls would go to an upstream that nobody can tell from its former life.
            None if started.is_some() => return self.bury(&Removal::unusable(&entry), now),
            // A process that ended wrote this before, and it was heard late. Taking it would bring
            // back what is known of an upstream that is no more, such as that it is to leave.
            told if told < started => return None,
            _ => {}
        }
        let known = self.entries.get(&entry.id);
        let change = match known {
            _ if entry.standing == Standing::Leaving => Change::Leaving,
            None => Change::Listed,
            Some(known) if known.started_ms < entry.started_ms => Change::Restarted,
            Some(_) => Change::Revised,
        };
        self.doubts.remove(&entry.id);
        self.tombstones.remove(&entry.id);
        self.entries.insert(entry.id.clone(), entry.clone());
        Some((entry, change))
    }

    fn remove(&mut self, removal: &Removal, doubt: Duration, now: Time) -> Option<(Entry, Change)> {
        let doubt = match removal.reason {
            Reason::Dropped => doubt.max(Duration::from_millis(removal.grace_ms)),
            Reason::Unusable => Duration::ZERO,
        };
        match self.entries.get(&removal.id) {
            Some(entry) if entry.revision >= removal.revision => None,
            Some(entry) if !doubt.is_zero() => {
                let until = now + doubt;
                let doubt = self.doubts.entry(removal.id.clone());
                let doubt = doubt.or_insert(Doubt { revision: removal.revision, until });
                doubt.until = doubt.until.min(until);
                Some((entry.clone(), Change::RemovalPending))
            }
            _ => self.bury(removal, now),
        }
    }

    fn bury(&mut self, removal: &Removal, now: Time) -> Option<(Entry, Change)> {
        let Removal { id, revision, reason, .. } = removal;
        let started_ms = self.started(id).max(removal.started_ms);
        self.doubts.remove(id);
        let fresh = Tombstone { revision: *revision, since: now, reason: *reason, started_ms };
        let tombstone = self.tombstones.entry(id.clone()).or_insert(fresh);
        tombstone.revision = tombstone.revision.max(*revision);
        tombstone.started_ms = started_ms;
        self.entries.remove(id).map(|entry| (entry, Change::Gone))
    }

    /// Returns when the latest life that is known of `id` began.
    fn started(&self, id: &str) -> Option<u64> {
        let listed = self.entries.get(id).and_then(|entry| entry.started_ms);
        let buried = self.tombstones.get(id).and_then(|tombstone| tombstone.started_ms);
        listed.max(buried)
    }

    /// Forgets old removals; holders of lower revisions get the whole list from now on.
    fn forget(&mut self, now: Time) {
        let old = |t: &Tombstone| now.since(t.since) > TOMBSTONE_TIME;
        let forgotten = self.tombstones.values().filter(|t| old(t)).map(|t| t.revision).max();
        if let Some(revision) = forgotten {
            self.floor = self.floor.max(revision);
            self.tombstones.retain(|_, t| !old(t));
        }
    }
}
