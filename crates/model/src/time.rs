//! A point in time of one process.
//!
//! Decisions never read a clock; they are given a [`Time`]. Tests therefore run on a virtual clock
//! and give the same verdict every time.

use std::{ops::Add, time::Duration};

/// Time elapsed since an origin that only this process knows, such as its start.
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

    /// Returns the time passed since `earlier`, or zero where that lies ahead.
    ///
    /// ```
    /// use model::time::Time;
    /// let waited = Time::from_millis(7).since(Time::from_millis(4));
    /// assert_eq!(waited.as_millis(), 3);
    /// ```
    pub fn since(self, earlier: Time) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds since the origin.
    pub fn millis(self) -> u64 {
        self.0.as_millis() as u64
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span))
    }
}
