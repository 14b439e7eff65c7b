//! Monotonic clock of the process, as [`Time`] values.

use model::time::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A monotonic clock that starts at its creation and includes time in which the machine is suspended.
///
/// `CLOCK_MONOTONIC` stops during a suspension, so expired requests would seem to have time left.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { origin: since_boot() }
    }
}

impl Clock {
    /// Returns the time since the creation of the clock.
    pub fn now(&self) -> Time {
        Time::at(since_boot().saturating_sub(self.origin))
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
