//! A hybrid logical clock, which orders the events of all nodes.
//!
//! Wall clocks of different machines disagree by more than a message takes, so an effect could
//! seem to precede its cause. A hybrid stamp stays close to wall time and still grows along every
//! message: the receiver's next stamp is larger than the sender's.

use model::time::Time;
use serde::{Deserialize, Serialize};

/// Bits of a stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// How far a stamp from elsewhere may lie ahead of the own wall clock, in ms.
///
/// One machine whose clock is years ahead would otherwise drag every clock along for good.
const AHEAD_LIMIT_MS: u64 = 3_600_000;

/// A moment as one node knows it.
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
    /// Returns the stamp's wall clock part, in ms since the Unix epoch.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

/// The clock of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: u64,
}

impl Clock {
    /// Returns a stamp larger than all earlier ones and than all that were heard.
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

    /// Takes note of a stamp that came with a message.
    pub fn observe(&mut self, stamp: Stamp, now: Now) {
        if stamp.wall_ms() <= now.wall_ms.saturating_add(AHEAD_LIMIT_MS) {
            self.last = self.last.max(stamp.0);
        }
    }
}
