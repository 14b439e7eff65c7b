//! The process's clock, as [`Time`] values.

use model::time::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A clock that starts with the process and goes on while the machine is suspended.
///
/// The steady clock stands still in that time. A request that waited through it would seem to have
/// all of its time left, and a payment that its caller has given up would be run.
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
    /// Returns the present time.
    pub fn now(&self) -> Time {
        Time::at(since_boot().saturating_sub(self.origin))
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
