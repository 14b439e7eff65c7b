//! The platform's list of upstreams, as every node holds a copy of it.
//!
//! Each entry and each removal carries the platform's revision at which it was written, so copies
//! merge by taking the higher revision of each name, in whatever order they are heard. A copy is
//! *complete* up to a revision if it holds everything written until then; a holder of revision N
//! lacks exactly what [`Directory::since`] returns for N.
//!
//! Invariant *one way in*: [`Directory::apply`] and [`Directory::expire`] are the only ways to
//! change it.

use model::time::Time;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

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
    /// Its identity; every start of an upstream has another one.
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
    /// Revision at which the platform wrote it.
    #[serde(rename = "r")]
    pub revision: u64,
}

/// An entry that the platform no longer holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Identity of the upstream.
    #[serde(rename = "n")]
    pub id: String,
    /// Revision at or before which it was removed.
    #[serde(rename = "r")]
    pub revision: u64,
    /// How much longer the removal is in doubt, in ms; see [`Directory::apply`].
    #[serde(default, rename = "h")]
    pub doubt_ms: u64,
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
}

impl Update {
    /// Tells whether it names no upstream.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.removed.is_empty()
    }
}

/// What an update changed about one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is new.
    Listed,
    /// It is to leave.
    Leaving,
    /// It is no longer listed, which may be an effect of an outage.
    Doubted,
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
            Change::Leaving => "leaving",
            Change::Doubted => "doubted",
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
}

/// One copy of the list.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Entry>,
    doubts: BTreeMap<String, Doubt>,
    tombstones: BTreeMap<String, Tombstone>,
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
            changes.extend(self.put(entry));
        }
        for removal in removed {
            changes.extend(self.remove(&removal, doubt, now));
        }
        self.revision = self.revision.max(update.revision);
        self.forget(now);
        Ok(changes)
    }

    /// Carries out the removals whose doubt is over.
    pub fn expire(&mut self, now: Time) -> Vec<(Entry, Change)> {
        let due: Vec<(String, u64)> = self
            .doubts
            .iter()
            .filter(|(_, doubt)| doubt.until <= now)
            .map(|(id, doubt)| (id.clone(), doubt.revision))
            .collect();
        due.into_iter().filter_map(|(id, revision)| self.bury(&id, revision, now)).collect()
    }

    /// Returns what a holder of revision `held` lacks; none asks for the whole list.
    pub fn since(&self, held: Option<u64>, now: Time) -> Update {
        let base = held.filter(|&held| held >= self.floor && held > 0);
        let newer = |revision: u64| base.is_none_or(|base| revision > base);
        let doubted = self.doubts.iter().map(|(id, doubt)| Removal {
            id: id.clone(),
            revision: doubt.revision,
            doubt_ms: doubt.until.since(now).as_millis() as u64,
        });
        let buried = self.tombstones.iter().map(|(id, tombstone)| Removal {
            id: id.clone(),
            revision: tombstone.revision,
            doubt_ms: 0,
        });
        Update {
            revision: self.revision,
            base,
            entries: self.entries.values().filter(|e| newer(e.revision)).cloned().collect(),
            removed: doubted.chain(buried).filter(|r| newer(r.revision)).collect(),
        }
    }

    /// Returns the removals that a whole list implies by leaving entries out.
    fn missing(&self, present: &[Entry], revision: u64) -> Vec<Removal> {
        self.entries
            .values()
            .filter(|e| e.revision <= revision && !present.iter().any(|p| p.id == e.id))
            .filter(|e| !self.doubts.contains_key(&e.id))
            .map(|e| Removal { id: e.id.clone(), revision, doubt_ms: 0 })
            .collect()
    }

    fn put(&mut self, entry: Entry) -> Option<(Entry, Change)> {
        let buried = self.tombstones.get(&entry.id).map(|t| t.revision);
        let doubted = self.doubts.get(&entry.id).map(|d| d.revision);
        let known = self.entries.get(&entry.id);
        let latest = buried.max(doubted).max(known.map(|e| e.revision));
        if latest >= Some(entry.revision) {
            return None;
        }
        let change = match known.map(|e| e.standing) {
            _ if entry.standing == Standing::Leaving => Change::Leaving,
            None => Change::Listed,
            Some(_) => Change::Revised,
        };
        self.doubts.remove(&entry.id);
        self.tombstones.remove(&entry.id);
        self.entries.insert(entry.id.clone(), entry.clone());
        Some((entry, change))
    }

    fn remove(&mut self, removal: &Removal, doubt: Duration, now: Time) -> Option<(Entry, Change)> {
        let doubt = doubt.max(Duration::from_millis(removal.doubt_ms));
        match self.entries.get(&removal.id) {
            Some(entry) if entry.revision >= removal.revision => None,
            Some(entry) if !doubt.is_zero() => {
                let until = now + doubt;
                let doubt = self.doubts.entry(removal.id.clone());
                let doubt = doubt.or_insert(Doubt { revision: removal.revision, until });
                doubt.until = doubt.until.min(until);
                Some((entry.clone(), Change::Doubted))
            }
            _ => self.bury(&removal.id, removal.revision, now),
        }
    }

    fn bury(&mut self, id: &str, revision: u64, now: Time) -> Option<(Entry, Change)> {
        self.doubts.remove(id);
        let tombstone = self.tombstones.entry(id.to_owned());
        let tombstone = tombstone.or_insert(Tombstone { revision, since: now });
        tombstone.revision = tombstone.revision.max(revision);
        self.entries.remove(id).map(|entry| (entry, Change::Gone))
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
