//! The table of all known nodes.
//!
//! Invariant *one way in*: records change only through [`Roster::learn`] and, for the own record,
//! [`Roster::update_own`], so that digest, rumours and the change flag cannot fall out of step.

use model::time::Time;
use rand::{RngExt, rngs::SmallRng, seq::IndexedRandom};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    member::{Record, State},
    message::BUCKETS,
};

/// Most records that one beat carries.
pub const RUMOURS_PER_BEAT: usize = 6;

/// Records after which an exchange takes in no further bucket.
pub const RECORDS_PER_SYNC: usize = 128;

/// How often a rumour is passed on, times the binary logarithm of the fleet's size.
const RUMOUR_FACTOR: u32 = 2;

/// Most stopped nodes that are remembered, so that old statements cannot bring them back.
const GONE_LIMIT: usize = 4_096;

/// A record and when it took its present state here.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    since: Time,
}

/// A record that is still to be passed on.
#[derive(Clone, Copy, Debug)]
struct Rumour {
    address: SocketAddr,
    left: u32,
}

/// How much a statement changed the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was known, or an older one.
    None,
    /// The record changed, but not in a way that others must know at once.
    Minor,
    /// A node joined, left or returned.
    Major,
    /// It was about this node and is contradicted; the own record changed.
    Refuted,
    /// It says that this node itself is to leave.
    LeaveRequested,
}

/// Whether a record that is new here is passed on with the next beats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Propagation {
    /// It is.
    Gossip,
    /// It is not: it came in bulk, so that others have it or will exchange records themselves.
    Local,
}

/// All known nodes, this one included.
#[derive(Debug)]
pub struct Roster {
    own: SocketAddr,
    entries: BTreeMap<SocketAddr, Entry>,
    rumours: Vec<Rumour>,
    buckets: [u64; BUCKETS],
}

impl Roster {
    /// Creates a table that holds only this node.
    pub fn new(own: Record, now: Time) -> Self {
        let mut roster = Roster {
            own: own.address,
            entries: BTreeMap::new(),
            rumours: Vec::new(),
            buckets: [0; BUCKETS],
        };
        roster.put(own, Propagation::Gossip, now);
        roster
    }

    /// Returns the record of this node.
    pub fn own(&self) -> &Record {
        &self.entries[&self.own].record
    }

    /// Returns the record at `address`.
    pub fn get(&self, address: SocketAddr) -> Option<&Record> {
        self.entries.get(&address).map(|e| &e.record)
    }

    /// Iterates over all records in order of address.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|e| &e.record)
    }

    /// Iterates over the records of other nodes.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.iter().filter(|r| r.address != self.own)
    }

    /// Iterates over the addresses of the other nodes of the own data centre that take work.
    pub fn working_neighbours(&self) -> impl Iterator<Item = SocketAddr> {
        let own = &self.own().data_centre;
        let near = move |r: &&Record| r.state.takes_work() && &r.data_centre == own;
        self.others().filter(near).map(|r| r.address)
    }

    /// Returns the digest of all records; equal digests mean equal tables.
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |all, bucket| all ^ bucket)
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Returns the records of buckets whose digest differs from the one in `theirs`: whole buckets
    /// in order, until there are [`RECORDS_PER_SYNC`].
    ///
    /// After a herd restart hundreds of nodes ask a few contacts for everything at once; whole
    /// tables in all those answers would be the largest use of memory in a node's life.
    pub fn differing(&self, theirs: &[u64]) -> Vec<Record> {
        let mut groups = vec![Vec::new(); BUCKETS];
        for record in self.iter() {
            groups[bucket_of(record.address)].push(record);
        }
        let mut records = Vec::new();
        for (bucket, group) in groups.into_iter().enumerate() {
            if records.len() >= RECORDS_PER_SYNC {
                break;
            }
            if theirs.get(bucket) != Some(&self.buckets[bucket]) {
                records.extend(group.into_iter().cloned());
            }
        }
        records
    }

    /// Takes a statement from elsewhere into account.
    pub fn learn(&mut self, record: &Record, propagation: Propagation, now: Time) -> Change {
        if record.address == self.own {
            return self.learn_of_self(record, now);
        }
        let old = self.get(record.address);
        if old.is_some_and(|old| !record.supersedes(old)) {
            return Change::None;
        }
        if old.is_none() && record.state == State::Gone {
            // Kept so that a "live" of the same life that is still on its way cannot bring a
            // stopped node in, but not passed on: tombstones would circulate for ever.
            self.put(record.clone(), Propagation::Local, now);
            return Change::None;
        }
        let same_life = old.filter(|old| old.incarnation == record.incarnation);
        let change = match same_life {
            Some(old) if old.state.takes_work() == record.state.takes_work() => Change::Minor,
            _ => Change::Major,
        };
        self.put(record.clone(), propagation, now);
        change
    }

    /// Raises the own sequence and sets the own state.
    pub fn update_own(&mut self, state: State, now: Time) {
        let own = self.own();
        let record = Record { sequence: own.sequence + 1, state, ..own.clone() };
        self.put(record, Propagation::Gossip, now);
    }

    /// Iterates over the nodes that have been in `state` for at least `span`.
    pub fn in_state_for(&self, state: State, span: Duration, now: Time) -> Vec<SocketAddr> {
        let due = |e: &&Entry| e.record.state == state && now.since(e.since) >= span;
        self.entries.values().filter(due).map(|e| e.record.address).collect()
    }

    /// Returns the records that the next beat carries and counts them as passed on.
    pub fn take_rumours(&mut self) -> Vec<Record> {
        self.rumours.sort_by_key(|r| std::cmp::Reverse(r.left));
        let mut records = Vec::new();
        for rumour in self.rumours.iter_mut().take(RUMOURS_PER_BEAT) {
            rumour.left -= 1;
            records.extend(self.entries.get(&rumour.address).map(|e| e.record.clone()));
        }
        self.rumours.retain(|r| r.left > 0);
        records
    }

    /// Notes that another node holds the same records: every rumour counts as passed on to it.
    ///
    /// After a herd restart hundreds of rumours are under way that everybody has heard.
    pub fn note_agreement(&mut self) {
        self.rumours.iter_mut().for_each(|rumour| rumour.left -= 1);
        self.rumours.retain(|rumour| rumour.left > 0);
    }

    /// Draws up to `count` different nodes that `keep` accepts.
    pub fn sample(
        &self,
        count: usize,
        random: &mut SmallRng,
        keep: impl Fn(&Record) -> bool,
    ) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.others().filter(|r| keep(r)).map(|r| r.address).collect();
        all.sample(random, count).copied().collect()
    }

    /// Returns the reachable nodes that `keep` accepts, each once, in random order.
    pub fn probe_order(
        &self,
        random: &mut SmallRng,
        keep: impl Fn(&Record) -> bool,
    ) -> Vec<SocketAddr> {
        let reachable = |r: &Record| keep(r) && (r.state.takes_work() || r.state == State::Leaving);
        let count = self.entries.len();
        let mut order = self.sample(count, random, reachable);
        for i in (1..order.len()).rev() {
            order.swap(i, random.random_range(0..=i));
        }
        order
    }

    /// Removes the oldest tombstones beyond the bound.
    pub fn prune(&mut self) {
        let mut gone: Vec<(Time, SocketAddr)> = self
            .entries
            .values()
            .filter(|e| e.record.state == State::Gone && e.record.address != self.own)
            .map(|e| (e.since, e.record.address))
            .collect();
        if gone.len() <= GONE_LIMIT {
            return;
        }
        gone.sort();
        for (_, address) in gone.iter().take(gone.len() - GONE_LIMIT) {
            self.entries.remove(address);
        }
    }

    fn learn_of_self(&mut self, record: &Record, now: Time) -> Change {
        let own = self.own().clone();
        if record.incarnation > own.incarnation {
            // An earlier life at this address had a clock that was ahead of this one's. Unless
            // this life names itself later than that one, nobody would believe its records.
            cov_mark::hit!(incarnation_raised);
            let own = Record { incarnation: record.incarnation + 1, ..own };
            self.put(own, Propagation::Gossip, now);
            return Change::Refuted;
        }
        if record.incarnation < own.incarnation || !record.supersedes(&own) {
            return Change::None;
        }
        if record.state.is_final() {
            return Change::LeaveRequested;
        }
        // Others believe this node to be in trouble: it speaks, so they are wrong.
        cov_mark::hit!(suspicion_refuted);
        self.put(Record { sequence: record.sequence + 1, ..own }, Propagation::Gossip, now);
        Change::Refuted
    }

    /// Stores a record, and keeps digests and rumours in step.
    fn put(&mut self, record: Record, propagation: Propagation, now: Time) {
        let address = record.address;
        let bucket = bucket_of(address);
        if let Some(old) = self.entries.get(&address) {
            self.buckets[bucket] ^= counted(&old.record);
        }
        self.buckets[bucket] ^= counted(&record);
        let since = match self.entries.get(&address) {
            Some(old) if old.record.state == record.state => old.since,
            _ => now,
        };
        self.entries.insert(address, Entry { record, since });
        self.rumours.retain(|r| r.address != address);
        if propagation == Propagation::Gossip {
            self.rumours.push(Rumour { address, left: self.rumour_count() });
        }
    }

    fn rumour_count(&self) -> u32 {
        RUMOUR_FACTOR * (usize::BITS - self.entries.len().leading_zeros()) + 1
    }
}

/// Returns what a record adds to its bucket's digest; tombstones are held for different times on
/// different nodes and do not count.
fn counted(record: &Record) -> u64 {
    if record.state == State::Gone { 0 } else { record.digest() }
}

fn bucket_of(address: SocketAddr) -> usize {
    (xxh3_64(address.to_string().as_bytes()) % BUCKETS as u64) as usize
}
