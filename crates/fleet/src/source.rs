//! Who reads the platform, and when.
//!
//! The platform serves about two thousand reads a second, and that grows more slowly than the
//! fleet. In each data centre the two nodes that come first in a rendezvous order read; the others
//! learn from peers. There is no election: each node computes the order from its own table, and a
//! disagreement costs one more reader. A node further down steps in once no contact with the
//! platform has been heard of for a time that grows with its rank, so that a lost reader is
//! replaced by one node and not by all.

use model::{document::Delta, fault::Fault, time::Time};
use rand::{RngExt, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Update;

/// Nodes per data centre that read the platform.
pub const READERS: usize = 2;

/// How long a watch waits at the platform for news.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(8);

/// Age of the freshest known contact after which the first node that is not a reader steps in.
///
/// It must exceed the wait of a watch plus the time in which news of a contact reaches every node
/// of a data centre by beats (about 8 s at 95 nodes); at 13 s standbys read without need.
const SILENCE: Duration = Duration::from_secs(25);

/// Added to [`SILENCE`] for each further place in the order.
const SILENCE_STEP: Duration = Duration::from_millis(500);

/// Most places that are counted for [`SILENCE_STEP`].
const SILENCE_PLACES: u32 = 40;

/// Pause after an answer without news.
const UNCHANGED_PAUSE: Duration = Duration::from_millis(250);

/// First upper bound of the random pause after a failed call; doubled up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Upper bound of the random pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A contact of a data centre with the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// Time since the platform answered, in ms.
    #[serde(rename = "g")]
    pub age_ms: u64,
    /// Place of the node that it answered, in the order of readers.
    #[serde(rename = "k")]
    pub rank: usize,
}

/// A call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Query {
    /// Documents since revision `base` (none: all), once the revision exceeds `after`.
    Config {
        /// Revision whose documents the asker holds.
        base: Option<u64>,
        /// Revision that the answer must exceed for a waiting call to return.
        after: u64,
        /// How long the platform may hold the call.
        wait: Duration,
    },
    /// The list of instances, once its revision exceeds `after`.
    List {
        /// Revision that the answer must exceed for a waiting call to return.
        after: u64,
        /// How long the platform may hold the call.
        wait: Duration,
    },
    /// Configuration and list of upstreams together, from a platform that keeps both under one
    /// revision.
    Changes {
        /// Revision up to which the asker holds everything; none: everything is wanted at once.
        after: Option<u64>,
        /// How long the platform may hold the call.
        wait: Duration,
    },
}

/// Which of the platform's two values a call is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The list of instances.
    List,
    /// Configuration and list of upstreams together.
    Changes,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The platform's name of the instance.
    pub instance: String,
    /// Address of its node for messages between nodes.
    pub address: SocketAddr,
    /// Whether the platform means to stop it.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Revision of the list.
    pub revision: u64,
    /// Live and leaving instances.
    pub instances: Vec<Instance>,
}

/// Whether an answer brought something new.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It did.
    New,
    /// It did not.
    Unchanged,
}

/// What has changed on a platform that keeps configuration and list under one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changeset {
    /// Revision up to which the asker now holds everything.
    pub revision: u64,
    /// The configuration, if it changed.
    pub config: Option<Delta>,
    /// Changes of the list. Where there are none it still tells how far the list is complete:
    /// the next changes follow on that, and would leave a gap behind an older revision.
    pub list: Update,
    /// Values that make no sense; each is passed over as if it had not been written.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// New documents.
    Config(Delta),
    /// A new list.
    List(Listing),
    /// Changes of either.
    Changes(Changeset),
    /// Nothing newer; the platform's present revision.
    Unchanged(Topic, u64),
    /// No usable answer.
    Failed(Topic, Failure),
}

/// Why a call gave no usable answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// The platform is over its limit of reads.
    RateLimited,
    /// The platform was not reached or did not answer in time.
    Unreachable(String),
    /// The answer could not be understood.
    Malformed(Fault),
    /// The platform has forgotten what changed since the asked revision.
    Compacted,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::RateLimited => f.write_str("over its limit of reads"),
            Failure::Unreachable(reason) => f.write_str(reason),
            Failure::Malformed(fault) => fault.fmt(f),
            Failure::Compacted => f.write_str("the history since the asked revision is gone"),
        }
    }
}

/// When the next call on one topic is due, and whether one is under way.
#[derive(Clone, Copy, Debug)]
struct Line {
    busy: bool,
    due: Time,
    failures: u32,
}

/// Duty of one node towards the platform.
#[derive(Debug)]
pub struct Schedule {
    config: Line,
    list: Line,
    contact: Option<Seen>,
    own_failing: bool,
}

/// A contact and when it was.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Time,
    rank: usize,
}

/// Why a node calls the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It is a reader and watches.
    Reader,
    /// It steps in for readers that are not heard of.
    Standby,
    /// It does not call.
    Idle,
}

impl Schedule {
    /// Creates the duty of a node that calls no earlier than `begin`.
    pub fn new(begin: Time) -> Self {
        let line = Line { busy: false, due: begin, failures: 0 };
        Schedule { config: line, list: line, contact: None, own_failing: false }
    }

    /// Returns the role of a node at place `rank` of its data centre's order.
    pub fn role(&self, rank: usize, now: Time) -> Role {
        if rank < READERS {
            return Role::Reader;
        }
        let place = (rank - READERS).min(SILENCE_PLACES as usize) as u32;
        let limit = SILENCE + SILENCE_STEP * place;
        let fresh_from_before =
            self.contact.is_some_and(|seen| seen.rank < rank && now.since(seen.at) < limit);
        if fresh_from_before || now < Time::default() + limit {
            Role::Idle
        } else {
            cov_mark::hit!(standby_steps_in);
            Role::Standby
        }
    }

    /// Tells whether a call on `topic` should be made now, and marks it as under way.
    pub fn begin(&mut self, topic: Topic, now: Time) -> bool {
        let line = self.line(topic);
        if line.busy || now < line.due {
            return false;
        }
        line.busy = true;
        true
    }

    /// Notes a usable answer on `topic` to this node at place `rank`.
    ///
    /// Returns whether the platform was lost before.
    pub fn note_success(
        &mut self,
        topic: Topic,
        freshness: Freshness,
        rank: usize,
        now: Time,
    ) -> bool {
        // A platform that does not hold the call although asked to would otherwise be called again
        // at every tick.
        let pause = if freshness == Freshness::New { Duration::ZERO } else { UNCHANGED_PAUSE };
        *self.line(topic) = Line { busy: false, due: now + pause, failures: 0 };
        self.contact = Some(Seen { at: now, rank });
        std::mem::replace(&mut self.own_failing, false)
    }

    /// Notes a failed call; the next one waits for a random time up to a doubling bound.
    ///
    /// Without the randomness, nodes that failed together would come back together.
    /// Returns whether this is the first failure in a row.
    pub fn note_failure(&mut self, topic: Topic, now: Time, random: &mut SmallRng) -> bool {
        let line = self.line(topic);
        let bound = (MIN_BACKOFF * 2u32.pow(line.failures.min(10))).min(MAX_BACKOFF);
        line.failures += 1;
        line.busy = false;
        line.due = now + bound.mul_f64(random.random_range(0.1..1.0));
        !std::mem::replace(&mut self.own_failing, true)
    }

    /// Takes note of a contact that another node of the data centre knows of.
    ///
    /// Of two fresh contacts the one by the earlier place counts, so that a standby notices that
    /// the readers are back; otherwise the later one.
    pub fn observe(&mut self, contact: Contact, now: Time) {
        let age = Duration::from_millis(contact.age_ms);
        let heard = Seen {
            at: Time::at(now.since(Time::default()).saturating_sub(age)),
            rank: contact.rank,
        };
        let replaces = match self.contact {
            None => true,
            Some(own) => {
                let fresh = |seen: Seen| now.since(seen.at) < SILENCE;
                match (fresh(own), fresh(heard)) {
                    (true, true) if own.rank != heard.rank => heard.rank < own.rank,
                    _ => heard.at > own.at,
                }
            }
        };
        if replaces && age < now.since(Time::default()) {
            self.contact = Some(heard);
        }
    }

    /// Returns the contact that this node tells others.
    pub fn contact(&self, now: Time) -> Option<Contact> {
        let seen = self.contact?;
        Some(Contact { age_ms: now.since(seen.at).as_millis() as u64, rank: seen.rank })
    }

    fn line(&mut self, topic: Topic) -> &mut Line {
        match topic {
            Topic::Config | Topic::Changes => &mut self.config,
            Topic::List => &mut self.list,
        }
    }
}

/// Returns the place of `own` in the rendezvous order of `peers` and itself; 0 comes first.
///
/// ```
/// let own = "127.0.0.1:1".parse().unwrap();
/// assert_eq!(fleet::source::rank(own, std::iter::empty()), 0);
/// ```
pub fn rank(own: SocketAddr, peers: impl Iterator<Item = SocketAddr>) -> usize {
    let place = |address: SocketAddr| (weight(address), address);
    let mine = place(own);
    peers.filter(|&peer| place(peer) > mine).count()
}

/// Returns the weight of `address` in the rendezvous order; the largest comes first.
pub(crate) fn weight(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
