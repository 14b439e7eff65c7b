//! Monotonic time of one process.
//!
//! Decision logic takes a [`Time`] instead of reading a clock, so that tests use a virtual clock and
//! are deterministic.

use std::{ops::Add, time::Duration};

/// Time elapsed since a process-local origin, such as the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(Duration);

impl Time {
    /// Returns the time `ms` milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Time(Duration::from_millis(ms))
    }

    /// Returns the time `elapsed` after the origin.
    pub const fn at(elapsed: Duration) -> Self {
        Time(elapsed)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    ///
    /// ```
    /// use model::time::Time;
    /// let waited = Time::from_millis(7).since(Time::from_millis(4));
    /// assert_eq!(waited.as_millis(), 3);
    /// ```
    pub fn since(self, earlier: Time) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds since the origin, rounded down.
    pub fn millis(self) -> u64 {
        self.0.as_millis() as u64
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration))
    }
}
