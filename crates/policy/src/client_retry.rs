//! Recognizes retries by refused callers, by request fingerprint.
//!
//! Retries go before first attempts, since their objective counts from the first one. A retry has a new
//! request id and connection, and callers start with different timeouts, so none of these identifies
//! it. A caller stays with its node, so that each node remembers only what it refused itself. Identical
//! concurrent requests may be confused, which is harmless.

pub mod returns;

use model::{request::Fingerprint, time::Time};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Upper bound of remembered refusals, at about 60 bytes each.
const MAX_ENTRIES: usize = 4_096;

/// Share of the `Retry-After` delay that must have passed; timers of callers are imprecise.
const RETRY_TOLERANCE: f64 = 0.8;

/// Which attempt of its caller a request is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Attempt {
    /// First attempt, as far as the node knows.
    #[default]
    First,
    /// A retry before the `Retry-After` delay has passed.
    Early,
    /// A retry after the `Retry-After` delay.
    Retry,
}

/// A refused request.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Arrival of the first attempt.
    first_arrival: Time,
    /// Earliest time of a retry that honours `Retry-After`.
    retry_at: Time,
    /// End of the caller's timeout.
    until: Time,
}

/// Recently refused requests of a node.
#[derive(Debug, Default)]
pub struct History {
    entries: HashMap<Fingerprint, Entry>,
    /// Insertion order with expiry times, for eviction.
    order: VecDeque<(Fingerprint, Time)>,
}

impl History {
    /// Records a refusal at `now` of a caller whose first attempt arrived at `first_arrival`, with a
    /// `Retry-After` of `after` and a timeout that ends at `until`.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        first_arrival: Time,
        now: Time,
        after: Duration,
        until: Time,
    ) {
        self.evict(now);
        let retry_at = now + after.mul_f64(RETRY_TOLERANCE);
        self.entries.insert(fingerprint, Entry { first_arrival, retry_at, until });
        self.order.push_back((fingerprint, until));
    }

    /// Removes the refusal that matches a request at `now`; returns which attempt the request is
    /// and when the first one arrived.
    ///
    /// ```
    /// use model::{request::Fingerprint, time::Time};
    /// use policy::client_retry::{Attempt, History};
    /// use std::time::Duration;
    /// let (first_arrival, until) = (Time::from_millis(0), Time::from_millis(900));
    /// let mut history = History::default();
    /// history.record(Fingerprint(7), first_arrival, first_arrival, Duration::from_millis(100), until);
    /// let found = history.take(Fingerprint(7), Time::from_millis(110));
    /// assert_eq!(found, (Attempt::Retry, first_arrival));
    /// ```
    pub fn take(&mut self, fingerprint: Fingerprint, now: Time) -> (Attempt, Time) {
        match self.entries.remove(&fingerprint) {
            Some(entry) if now >= entry.until => (Attempt::First, now),
            Some(entry) if now < entry.retry_at => (Attempt::Early, entry.first_arrival),
            Some(entry) => (Attempt::Retry, entry.first_arrival),
            None => (Attempt::First, now),
        }
    }

    /// Returns the number of remembered refusals.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no refusal is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops expired refusals and, beyond the bound, the oldest ones.
    fn evict(&mut self, now: Time) {
        while let Some((fingerprint, until)) = self.order.front().copied() {
            if until > now && self.order.len() < MAX_ENTRIES {
                return;
            }
            self.order.pop_front();
            // The entry may have been taken or recorded again with a later expiry.
            if self.entries.get(&fingerprint).is_some_and(|entry| entry.until <= until) {
                self.entries.remove(&fingerprint);
            }
        }
    }
}
