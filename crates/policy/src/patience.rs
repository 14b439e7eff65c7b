//! How long ago a caller made its first attempt.
//!
//! Callers that are refused come back with the time that they have left, counted down from their
//! first attempt, and an answer is worth most within an objective that counts from there too. All
//! callers of one route begin with the same time, so the longest seen lately is that of a first
//! attempt, and what is missing from it has passed.

use model::time::Time;
use std::time::Duration;

/// Time after which a longest span that was not seen again is forgotten.
const REMEMBERED: Duration = Duration::from_secs(20);

/// Longest time that callers of one route have lately been willing to wait.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    longest: Duration,
    seen: Time,
}

impl Patience {
    /// Begins with a caller who has `remaining`.
    pub fn new(remaining: Duration, now: Time) -> Self {
        Patience { longest: remaining, seen: now }
    }

    /// Returns the time passed since the first attempt of a caller who has `remaining` left.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::patience::Patience;
    /// use std::time::Duration;
    /// let (whole, left) = (Duration::from_millis(1_200), Duration::from_millis(900));
    /// let mut patience = Patience::new(whole, Time::default());
    /// assert_eq!(patience.elapsed(left, Time::default()).as_millis(), 300);
    /// ```
    pub fn elapsed(&mut self, remaining: Duration, now: Time) -> Duration {
        let forgotten = now.since(self.seen) > REMEMBERED;
        if remaining >= self.longest || forgotten {
            *self = Patience::new(remaining, now);
        }
        self.longest.saturating_sub(remaining)
    }
}
