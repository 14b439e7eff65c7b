//! Fair shares of an upstream among the entry nodes whose callers compete for it.
//!
//! Load: the demand of the callers of some entry nodes exceeds the capacity, or they retry at once and often.
//! The serving node then queues calls of entry nodes that recently got less of the service first, so that
//! the callers of the others keep what they had. Usage only reorders calls; it admits none.

use model::time::Time;
use std::{f64::consts::LN_2, time::Duration};

/// Half-life of the usage.
///
/// Demand changes within seconds. A longer memory would hold past demand against callers, and in a much
/// shorter one chance would outweigh the demand of a node with few calls.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Calls from callers of one entry node that one service recently answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    count: f64,
    updated: Time,
}

impl Usage {
    /// Counts an answered call.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::fairness::Usage;
    /// let mut usage = Usage::default();
    /// (0..8).for_each(|_| usage.record(Time::from_millis(5_000)));
    /// assert_eq!(usage.count(Time::from_millis(5_000)), 8);
    /// assert_eq!(usage.count(Time::from_millis(7_000)), 2);
    /// ```
    pub fn record(&mut self, now: Time) {
        self.count = self.decayed(now) + 1.0;
        // Another thread may have recorded a call in the meantime.
        self.updated = self.updated.max(now);
    }

    /// Returns the decayed number of calls, rounded.
    pub fn count(&self, now: Time) -> u64 {
        self.decayed(now).round() as u64
    }

    /// Returns the answered calls per second at a steady rate of calls.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::fairness::Usage;
    /// let mut usage = Usage::default();
    /// (0..1_000).for_each(|n| usage.record(Time::from_millis(n * 20)));
    /// let per_s = usage.per_s(Time::from_millis(20_000));
    /// assert!((49.0..51.0).contains(&per_s), "{per_s}");
    /// ```
    pub fn per_s(&self, now: Time) -> f64 {
        self.decayed(now) * LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn decayed(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * 0.5_f64.powf(half_lives)
    }
}

/// Level of a call in the queue order of a serving node; lower levels go first.
///
/// The level is the largest power of two that is at most the usage plus one. Steps of a factor of two keep
/// chance from reordering the calls of nodes with about the same usage.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Level {
    exponent: u8,
}

impl Level {
    /// Returns the level of calls of an entry node with `usage`.
    ///
    /// ```
    /// use policy::fairness::Level;
    /// assert_eq!(Level::of(0), Level::default());
    /// assert_eq!(Level::of(3), Level::of(6));
    /// assert!(Level::of(6) < Level::of(7));
    /// ```
    pub fn of(usage: u64) -> Self {
        Level { exponent: usage.saturating_add(1).ilog2() as u8 }
    }
}
