//! The membership table.
//!
//! Invariant *single entry point*: only [`Roster::learn`] and, for the record of the local node,
//! [`Roster::update_own`] add or change records, so that bucket digests and rumour queue stay consistent
//! with them. [`Roster::prune`] removes tombstones, which have no share in the digests.

use model::time::Time;
use rand::{RngExt, rngs::SmallRng, seq::IndexedRandom};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    member::{Record, State},
    message::BUCKETS,
};

/// Maximum number of records in one heartbeat.
pub const RUMOURS_PER_HEARTBEAT: usize = 6;

/// Records after which an anti-entropy response takes in no further bucket.
pub const RECORDS_PER_SYNC: usize = 128;

/// Transmissions of a rumour per binary logarithm of the fleet size.
const RUMOUR_FACTOR: u32 = 2;

/// Maximum number of stopped nodes that are remembered, so that delayed records cannot revive them.
const MAX_TOMBSTONES: usize = 4_096;

/// A record and when its state was entered here.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    since: Time,
}

/// A record that is still gossiped.
#[derive(Clone, Copy, Debug)]
struct Rumour {
    address: SocketAddr,
    left: u32,
}

/// Effect of a record on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The record was known or superseded.
    None,
    /// The record changed, but not whether the node takes work.
    Minor,
    /// A node joined, left, failed or returned.
    Major,
    /// The record was about this node and was refuted.
    Refuted,
    /// The record says that this node is to leave.
    LeaveRequested,
}

/// Whether a new record is gossiped on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Propagation {
    /// It is sent with the next heartbeats.
    Gossip,
    /// It is only stored: it came in bulk, and other nodes get it by anti-entropy.
    Local,
}

/// All known nodes, including this one.
#[derive(Debug)]
pub struct Roster {
    own: SocketAddr,
    entries: BTreeMap<SocketAddr, Entry>,
    rumours: Vec<Rumour>,
    buckets: [u64; BUCKETS],
}

impl Roster {
    /// Creates a table with only the local node.
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

    /// Returns the record of the local node.
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

    /// Iterates over the addresses of other nodes in the local data centre that take work.
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

    /// Returns the records of buckets whose digest differs from `theirs`: whole buckets in order,
    /// until there are [`RECORDS_PER_SYNC`].
    ///
    /// The limit bounds memory when many nodes start at once and request all records.
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

    /// Merges a received record.
    pub fn learn(&mut self, record: &Record, propagation: Propagation, now: Time) -> Change {
        if record.address == self.own {
            return self.learn_of_self(record, now);
        }
        let old = self.get(record.address);
        if old.is_some_and(|old| !record.supersedes(old)) {
            return Change::None;
        }
        if old.is_none() && record.state == State::Gone {
            // Stored so that a delayed "live" record cannot add the stopped node, but not gossiped:
            // tombstones would circulate indefinitely.
            self.put(record.clone(), Propagation::Local, now);
            return Change::None;
        }
        let same_incarnation = old.filter(|old| old.incarnation == record.incarnation);
        let change = match same_incarnation {
            Some(old) if old.state.takes_work() == record.state.takes_work() => Change::Minor,
            _ => Change::Major,
        };
        self.put(record.clone(), propagation, now);
        change
    }

    /// Sets the state of the local node and raises its sequence.
    pub fn update_own(&mut self, state: State, now: Time) {
        let own = self.own();
        let record = Record { sequence: own.sequence + 1, state, ..own.clone() };
        self.put(record, Propagation::Gossip, now);
    }

    /// Returns the nodes that have been in `state` for at least `span`.
    pub fn in_state_for(&self, state: State, span: Duration, now: Time) -> Vec<SocketAddr> {
        let due = |e: &&Entry| e.record.state == state && now.since(e.since) >= span;
        self.entries.values().filter(due).map(|e| e.record.address).collect()
    }

    /// Returns the records for the next heartbeat and counts them as transmitted.
    pub fn take_rumours(&mut self) -> Vec<Record> {
        self.rumours.sort_by_key(|r| std::cmp::Reverse(r.left));
        let mut records = Vec::new();
        for rumour in self.rumours.iter_mut().take(RUMOURS_PER_HEARTBEAT) {
            rumour.left -= 1;
            records.extend(self.entries.get(&rumour.address).map(|e| e.record.clone()));
        }
        self.rumours.retain(|r| r.left > 0);
        records
    }

    /// Records that another node holds the same records: counts every rumour as transmitted to it.
    ///
    /// This drains the queue quickly after a restart of the whole fleet.
    pub fn record_agreement(&mut self) {
        self.rumours.iter_mut().for_each(|rumour| rumour.left -= 1);
        self.rumours.retain(|rumour| rumour.left > 0);
    }

    /// Returns up to `count` random distinct nodes that `keep` accepts.
    pub fn sample(
        &self,
        count: usize,
        random: &mut SmallRng,
        keep: impl Fn(&Record) -> bool,
    ) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.others().filter(|r| keep(r)).map(|r| r.address).collect();
        all.sample(random, count).copied().collect()
    }

    /// Returns the reachable nodes that `keep` accepts in random order.
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

    /// Removes the oldest tombstones beyond the limit.
    pub fn prune(&mut self) {
        let mut gone: Vec<(Time, SocketAddr)> = self
            .entries
            .values()
            .filter(|e| e.record.state == State::Gone && e.record.address != self.own)
            .map(|e| (e.since, e.record.address))
            .collect();
        if gone.len() <= MAX_TOMBSTONES {
            return;
        }
        gone.sort();
        for (_, address) in gone.iter().take(gone.len() - MAX_TOMBSTONES) {
            self.entries.remove(address);
        }
    }

    fn learn_of_self(&mut self, record: &Record, now: Time) -> Change {
        let own = self.own().clone();
        if record.incarnation > own.incarnation {
            // An earlier incarnation at this address used a clock that was ahead. Exceed its
            // number, or other nodes would ignore this node's records.
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
        // Refute the suspicion with a higher sequence.
        cov_mark::hit!(suspicion_refuted);
        self.put(Record { sequence: record.sequence + 1, ..own }, Propagation::Gossip, now);
        Change::Refuted
    }

    /// Stores a record and updates bucket digest and rumours.
    fn put(&mut self, record: Record, propagation: Propagation, now: Time) {
        let address = record.address;
        let bucket = bucket_of(address);
        if let Some(old) = self.entries.get(&address) {
            self.buckets[bucket] ^= digest_share(&old.record);
        }
        self.buckets[bucket] ^= digest_share(&record);
        let since = match self.entries.get(&address) {
            Some(old) if old.record.state == record.state => old.since,
            _ => now,
        };
        self.entries.insert(address, Entry { record, since });
        self.rumours.retain(|r| r.address != address);
        if propagation == Propagation::Gossip {
            self.rumours.push(Rumour { address, left: self.retransmissions() });
        }
    }

    fn retransmissions(&self) -> u32 {
        RUMOUR_FACTOR * (usize::BITS - self.entries.len().leading_zeros()) + 1
    }
}

/// Returns the share of a record in its bucket's digest. Tombstones have none, since nodes prune
/// them at different times.
fn digest_share(record: &Record) -> u64 {
    if record.state == State::Gone { 0 } else { record.digest() }
}

fn bucket_of(address: SocketAddr) -> usize {
    (xxh3_64(address.to_string().as_bytes()) % BUCKETS as u64) as usize
}
