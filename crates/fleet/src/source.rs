//! Which nodes read the platform, and when.
//!
//! The first two nodes of each data centre in rendezvous order read, so that the platform's load does not
//! grow with the fleet; the others learn from peers. Each node computes the order from its membership
//! table; a disagreement only adds a reader. A standby takes over after a time without a known platform
//! contact that grows with its rank.

use model::{document::Delta, fault::Fault, time::Time};
use rand::{RngExt, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Update;

/// Readers per data centre.
pub const READERS: usize = 2;

/// How long the platform may hold a long poll.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(8);

/// Age of the latest known contact at which the first standby takes over.
///
/// Exceeds a long poll plus the time that gossip needs to spread a contact in a data centre.
const STANDBY_DELAY: Duration = Duration::from_secs(25);

/// Added to [`STANDBY_DELAY`] for each further rank.
const STANDBY_DELAY_STEP: Duration = Duration::from_millis(500);

/// Maximum number of ranks counted for [`STANDBY_DELAY_STEP`].
const MAX_STANDBY_STEPS: u32 = 40;

/// Pause after a response without changes.
const UNCHANGED_PAUSE: Duration = Duration::from_millis(250);

/// First bound of the random backoff; doubled per failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Largest bound of the random backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The latest successful platform call of a data centre.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// Time since the platform responded, in ms.
    #[serde(rename = "g")]
    pub age_ms: u64,
    /// Rank of the node that made the call.
    #[serde(rename = "k")]
    pub rank: usize,
}

/// A call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Query {
    /// Documents changed since revision `base` (none: all), once the revision exceeds `after`.
    Config {
        /// Revision that the caller holds.
        base: Option<u64>,
        /// Revision that has to be exceeded for the platform to respond before `wait` is over.
        after: u64,
        /// How long the platform may hold the call.
        wait: Duration,
    },
    /// The list of instances, once its revision exceeds `after`.
    List {
        /// Revision that has to be exceeded for the platform to respond before `wait` is over.
        after: u64,
        /// How long the platform may hold the call.
        wait: Duration,
    },
    /// Configuration and list of upstreams together, from a platform that versions both with one
    /// revision.
    Changes {
        /// Revision up to which the caller holds everything; none requests everything at once.
        after: Option<u64>,
        /// How long the platform may hold the call.
        wait: Duration,
    },
}

/// Subject of a platform call.
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
    /// Whether the platform is about to stop it.
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

/// Whether a response contained changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It did.
    New,
    /// It did not.
    Unchanged,
}

/// Changes on a platform that versions configuration and list with one revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changeset {
    /// Revision up to which the caller now holds everything.
    pub revision: u64,
    /// The configuration, if it changed.
    pub config: Option<Delta>,
    /// Changes of the list; even if empty, its revision is needed for the next changes not to leave
    /// a gap.
    pub list: Update,
    /// Invalid values, which are skipped.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Result of a platform call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Changed documents.
    Config(Delta),
    /// The list of instances.
    List(Listing),
    /// Changes of configuration and list.
    Changes(Changeset),
    /// No changes; the platform's current revision.
    Unchanged(Topic, u64),
    /// No usable response.
    Failed(Topic, Failure),
}

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// The platform rejected the call by its rate limit.
    RateLimited,
    /// The platform did not respond in time, or there was no connection.
    Unreachable(String),
    /// The response could not be parsed.
    Malformed(Fault),
    /// The platform no longer has the changes since the requested revision.
    Compacted,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::RateLimited => f.write_str("the platform's rate limit is exceeded"),
            Failure::Unreachable(reason) => f.write_str(reason),
            Failure::Malformed(fault) => fault.fmt(f),
            Failure::Compacted => f.write_str("the platform has compacted the requested revision"),
        }
    }
}

/// When the next call on a topic is due, and whether one is in flight.
#[derive(Clone, Copy, Debug)]
struct Call {
    in_flight: bool,
    due: Time,
    failures: u32,
}

/// Schedule of one node's platform calls.
#[derive(Debug)]
pub struct Schedule {
    config: Call,
    list: Call,
    contact: Option<Observation>,
    is_failing: bool,
}

/// A contact with its time.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Time,
    rank: usize,
}

/// Whether a node calls the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It is one of the readers of its data centre.
    Reader,
    /// It takes over for readers without a recent contact.
    Standby,
    /// It does not call.
    Idle,
}

impl Schedule {
    /// Creates a schedule whose first calls are due at `begin`.
    pub fn new(begin: Time) -> Self {
        let call = Call { in_flight: false, due: begin, failures: 0 };
        Schedule { config: call, list: call, contact: None, is_failing: false }
    }

    /// Returns the role of the node with this rank in its data centre.
    pub fn role(&self, rank: usize, now: Time) -> Role {
        if rank < READERS {
            return Role::Reader;
        }
        let position = (rank - READERS).min(MAX_STANDBY_STEPS as usize) as u32;
        let limit = STANDBY_DELAY + STANDBY_DELAY_STEP * position;
        let has_fresh_contact =
            self.contact.is_some_and(|seen| seen.rank < rank && now.since(seen.at) < limit);
        if has_fresh_contact || now < Time::default() + limit {
            Role::Idle
        } else {
            cov_mark::hit!(standby_steps_in);
            Role::Standby
        }
    }

    /// Returns whether a call on `topic` is due, and marks it as in flight.
    pub fn begin(&mut self, topic: Topic, now: Time) -> bool {
        let call = self.call(topic);
        if call.in_flight || now < call.due {
            return false;
        }
        call.in_flight = true;
        true
    }

    /// Records a response on `topic` to this node, which has this rank.
    ///
    /// Returns whether the previous call failed.
    pub fn record_success(
        &mut self,
        topic: Topic,
        freshness: Freshness,
        rank: usize,
        now: Time,
    ) -> bool {
        // Also limits the rate of calls to a platform that does not hold them.
        let pause = if freshness == Freshness::New { Duration::ZERO } else { UNCHANGED_PAUSE };
        *self.call(topic) = Call { in_flight: false, due: now + pause, failures: 0 };
        self.contact = Some(Observation { at: now, rank });
        std::mem::replace(&mut self.is_failing, false)
    }

    /// Records a failed call and schedules the next one with exponential backoff, and with jitter, so that
    /// nodes that failed together do not call together.
    ///
    /// Returns whether this is the first failure in a row.
    pub fn record_failure(&mut self, topic: Topic, now: Time, random: &mut SmallRng) -> bool {
        let call = self.call(topic);
        let bound = (MIN_BACKOFF * 2u32.pow(call.failures.min(10))).min(MAX_BACKOFF);
        call.failures += 1;
        call.in_flight = false;
        call.due = now + bound.mul_f64(random.random_range(0.1..1.0));
        !std::mem::replace(&mut self.is_failing, true)
    }

    /// Records a contact reported by another node of the data centre.
    ///
    /// Of two recent contacts the one with the lower rank is kept, so that a standby notices
    /// recovered readers; otherwise the later one.
    pub fn observe(&mut self, contact: Contact, now: Time) {
        let age = Duration::from_millis(contact.age_ms);
        let observed = Observation {
            at: Time::at(now.since(Time::default()).saturating_sub(age)),
            rank: contact.rank,
        };
        let replaces = match self.contact {
            None => true,
            Some(known) => {
                let fresh = |seen: Observation| now.since(seen.at) < STANDBY_DELAY;
                match (fresh(known), fresh(observed)) {
                    (true, true) if known.rank != observed.rank => observed.rank < known.rank,
                    _ => observed.at > known.at,
                }
            }
        };
        if replaces && age < now.since(Time::default()) {
            self.contact = Some(observed);
        }
    }

    /// Returns the latest contact, as reported to other nodes.
    pub fn contact(&self, now: Time) -> Option<Contact> {
        let seen = self.contact?;
        Some(Contact { age_ms: now.since(seen.at).as_millis() as u64, rank: seen.rank })
    }

    fn call(&mut self, topic: Topic) -> &mut Call {
        match topic {
            Topic::Config | Topic::Changes => &mut self.config,
            Topic::List => &mut self.list,
        }
    }
}

/// Returns the rank of `own` in the rendezvous order of itself and `peers`; 0 is first.
///
/// ```
/// let own = "127.0.0.1:1".parse().unwrap();
/// assert_eq!(fleet::source::rank(own, std::iter::empty()), 0);
/// ```
pub fn rank(own: SocketAddr, peers: impl Iterator<Item = SocketAddr>) -> usize {
    let position = |address: SocketAddr| (weight(address), address);
    let own_position = position(own);
    peers.filter(|&peer| position(peer) > own_position).count()
}

/// Returns the rendezvous weight of `address`; the largest is first.
pub(crate) fn weight(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
