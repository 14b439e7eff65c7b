//! Recognizes the next attempt of a caller who was refused.
//!
//! Pattern: refused callers come back with a new id on a new connection. Their answer is due counted
//! from the first attempt, so they must go before new callers, or they are refused a second time
//! and have waited for nothing. The time that they have left tells who comes back only if all
//! callers of a route start with the same time; where these differ by 15 in 100, nine of ten first
//! attempts look like later ones, and the order among them is one of chance.
//!
//! A caller stays with its node, so the node remembers what it refused: method, host and target of
//! the request, for as long as the caller can come back. Two callers who ask the same at the same
//! time cannot be told apart; one of them is then taken for the other, which harms neither.

use model::{request::Fingerprint, time::Time};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Most refused requests that are remembered; an entry takes about 60 bytes.
///
/// A node that refuses a hundred requests a second, each remembered for some seconds, stays under it.
const ENTRIES_MOST: usize = 4_096;

/// Part of the time until a caller was to come back that has to pass: callers round and their
/// timers are not exact.
const PATIENCE: f64 = 0.8;

/// Which attempt of a caller a request is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Attempt {
    /// The first, as far as is known.
    #[default]
    First,
    /// A later one, made before the caller was asked to come back.
    Early,
    /// A later one, made when the caller was asked to come back, or after that.
    Retry,
}

/// A request that was refused.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// When the first attempt arrived.
    begun: Time,
    /// When the caller may come back.
    due: Time,
    /// When the caller's time is over.
    until: Time,
}

/// Requests that were refused lately.
#[derive(Debug, Default)]
pub struct History {
    entries: HashMap<Fingerprint, Entry>,
    /// In the order in which they were noted, to forget the oldest first.
    order: VecDeque<(Fingerprint, Time)>,
}

impl History {
    /// Notes that a caller who has been asking since `begun` was refused at `now`, was asked to come
    /// back after `after` and has time until `until`.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        begun: Time,
        now: Time,
        after: Duration,
        until: Time,
    ) {
        self.forget(now);
        let due = now + after.mul_f64(PATIENCE);
        self.entries.insert(fingerprint, Entry { begun, due, until });
        self.order.push_back((fingerprint, until));
    }

    /// Returns which attempt a request is that arrives at `now`, and when the first one arrived.
    ///
    /// ```
    /// use model::{request::Fingerprint, time::Time};
    /// use policy::client_retry::{Attempt, History};
    /// use std::time::Duration;
    /// let (begun, until) = (Time::from_millis(0), Time::from_millis(900));
    /// let mut history = History::default();
    /// history.record(Fingerprint(7), begun, begun, Duration::from_millis(100), until);
    /// let found = history.take(Fingerprint(7), Time::from_millis(110));
    /// assert_eq!(found, (Attempt::Retry, begun));
    /// ```
    pub fn take(&mut self, fingerprint: Fingerprint, now: Time) -> (Attempt, Time) {
        match self.entries.remove(&fingerprint) {
            Some(entry) if now >= entry.until => (Attempt::First, now),
            Some(entry) if now < entry.due => (Attempt::Early, entry.begun),
            Some(entry) => (Attempt::Retry, entry.begun),
            None => (Attempt::First, now),
        }
    }

    /// Returns how many refused requests are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no refused request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops what is over, and the oldest beyond the bound.
    fn forget(&mut self, now: Time) {
        while let Some((fingerprint, until)) = self.order.front().copied() {
            if until > now && self.order.len() < ENTRIES_MOST {
                return;
            }
            self.order.pop_front();
            // The entry may have been taken since, or noted anew with a later end.
            if self.entries.get(&fingerprint).is_some_and(|entry| entry.until <= until) {
                self.entries.remove(&fingerprint);
            }
        }
    }
}
