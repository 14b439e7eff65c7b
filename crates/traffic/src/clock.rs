//! The process's clock, as [`Time`] values.

use model::time::Time;
use std::time::Instant;

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { origin: Instant::now() }
    }
}

impl Clock {
    /// Returns the present time.
    pub fn now(&self) -> Time {
        Time::at(self.origin.elapsed())
    }
}
