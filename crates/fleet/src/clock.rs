//! A hybrid logical clock (HLC), which orders the events of all nodes causally.
//!
//! Timestamps stay close to wall time, and a node's next timestamp is larger than all those received
//! within the drift limit.

use model::time::Time;
use serde::{Deserialize, Serialize};

/// Low bits of a stamp, which count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// How far a received stamp may be ahead of the local wall clock, in ms.
///
/// Later stamps are ignored, so that one wrong clock cannot move all others ahead.
const MAX_DRIFT_MS: u64 = 3_600_000;

/// The current time on one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic time since the process started.
    pub time: Time,
    /// Wall clock, in ms since the Unix epoch.
    pub wall_ms: u64,
}

/// A point in the causal order of all nodes' events.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Stamp(u64);

impl Stamp {
    /// Returns the wall clock part, in ms since the Unix epoch.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

/// The hybrid logical clock of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: u64,
}

impl Clock {
    /// Returns a stamp larger than all previous ones and all observed ones.
    ///
    /// ```
    /// use fleet::clock::{Clock, Now};
    /// let (mut a, mut b) = (Clock::default(), Clock::default());
    /// let sent = a.stamp(Now { wall_ms: 2_000, ..Now::default() });
    /// b.observe(sent, Now { wall_ms: 1_000, ..Now::default() });
    /// assert!(b.stamp(Now { wall_ms: 1_000, ..Now::default() }) > sent);
    /// ```
    pub fn stamp(&mut self, now: Now) -> Stamp {
        self.last = (self.last + 1).max(now.wall_ms << COUNTER_BITS);
        Stamp(self.last)
    }

    /// Advances the clock past a received stamp.
    pub fn observe(&mut self, stamp: Stamp, now: Now) {
        if stamp.wall_ms() <= now.wall_ms.saturating_add(MAX_DRIFT_MS) {
            self.last = self.last.max(stamp.0);
        }
    }
}
