//! When refused callers may return to a service.
//!
//! Load: many callers are refused at the same time, are told to return after about the same time, and find the
//! same queue again. Each refused caller gets the next place in a virtual queue instead, which drains at half of
//! the rate at which the service recently answered calls of this entry node. The other half is for first
//! attempts.

use model::time::Time;
use rand::{Rng, RngExt};
use std::{collections::VecDeque, ops::Range, time::Duration};

use crate::{
    fairness::Usage,
    outcome::Cause,
    urgency::{self, MIN_RETRY_AFTER, Timing},
};

/// Upper bound of remembered promises of one service.
const MAX_PROMISES: usize = 1_024;

/// Share of the answered rate that promised returns may use.
const RETURN_SHARE: f64 = 0.5;

/// Largest random part that is added to the delay of a caller, as a share of the delay.
const JITTER: f64 = 0.1;

/// Shares of the latest usable time that callers are told who cannot use a later one; they must not all return
/// together.
const LATE_SHARES: Range<f64> = 0.75..1.0;

/// Returns whether callers refused for `cause` return by promised times.
///
/// These causes end when capacity becomes free; the times of the others do not depend on other callers.
///
/// ```
/// use policy::{client_retry::returns, outcome::Cause};
/// assert!(returns::is_paced(Cause::Overloaded));
/// assert!(!returns::is_paced(Cause::Quarantined));
/// ```
pub fn is_paced(cause: Cause) -> bool {
    matches!(cause, Cause::Overloaded | Cause::Limited | Cause::NestedOverloaded)
}

/// Times at which refused callers of one service were told to return.
#[derive(Debug, Default)]
pub struct Promises {
    /// In order of time.
    times: VecDeque<Time>,
    /// Until when the latest return that is due takes capacity.
    busy_until: Time,
}

impl Promises {
    /// Returns the retry-after of a caller that is refused at `timing.received`, and remembers it.
    ///
    /// It is at least `earliest` if the caller can use that time. `None` if nothing is known to pace by: no
    /// calls were answered recently, or too many promises are remembered.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::{client_retry::{Attempt, returns::Promises}, fairness::Usage, urgency::Timing};
    /// use std::time::Duration;
    /// let [ms, now] = [Duration::from_millis(1), Duration::from_secs(9)];
    /// let timing = Timing {
    ///     received: Time::at(now),
    ///     deadline: Time::at(now + 2_000 * ms),
    ///     attempt: Attempt::First,
    ///     elapsed: 0 * ms,
    ///     objective: 1_000 * ms,
    ///     expected: 100 * ms,
    /// };
    /// let mut promises = Promises::default();
    /// let mut next = |usage| promises.promise(timing, 0 * ms, usage, &mut rand::rng());
    /// assert_eq!(next(Usage::default()), None);
    /// let mut usage = Usage::default();
    /// (0..30).for_each(|_| usage.record(Time::at(now)));
    /// let [first, second] = [next(usage), next(usage)];
    /// assert!(first < Some(20 * ms) && second > Some(90 * ms), "{first:?} {second:?}");
    /// ```
    pub fn promise(
        &mut self,
        timing: Timing,
        earliest: Duration,
        usage: Usage,
        random: &mut impl Rng,
    ) -> Option<Duration> {
        let now = timing.received;
        if usage.count(now) == 0 {
            return None;
        }
        let gap = Duration::from_secs_f64(1.0 / (usage.per_s(now) * RETURN_SHARE));
        self.remove_expired(now, gap);
        if self.times.len() >= MAX_PROMISES {
            return None;
        }
        let limit = urgency::latest_return(timing);
        let place = self.first_free(now, now + earliest.max(MIN_RETRY_AFTER), gap);
        if place <= now + limit {
            // The place is remembered without its random part, which would leave unusable gaps.
            self.remember(place);
            let delay = place.since(now);
            let jitter = delay.mul_f64(random.random_range(0.0..JITTER));
            return Some((delay + jitter).min(limit));
        }
        // Callers whose place is too late for them must not all be told the limit and return together.
        let spread = earliest + urgency::retry_after(timing, random);
        let delay = match spread > limit {
            true => limit.mul_f64(random.random_range(LATE_SHARES)).max(MIN_RETRY_AFTER.min(limit)),
            false => spread,
        };
        self.remember(now + delay);
        Some(delay)
    }

    /// Returns the number of promises in force.
    pub fn in_force(&self, now: Time) -> usize {
        self.times.len() - self.times.partition_point(|time| *time <= now)
    }

    fn remember(&mut self, time: Time) {
        let index = self.times.partition_point(|known| *known <= time);
        self.times.insert(index, time);
    }

    /// Removes the promises that are due. Each still takes capacity for `gap` from its time.
    fn remove_expired(&mut self, now: Time, gap: Duration) {
        let expired = self.times.partition_point(|time| *time <= now);
        for due in self.times.drain(..expired) {
            self.busy_until = self.busy_until.max(due) + gap;
        }
        // Returns that were due long ago have ended.
        self.busy_until = self.busy_until.min(now + gap);
    }

    /// Returns the first time from `earliest` at which the virtual queue is empty for `gap`, the time that it
    /// takes for one return.
    fn first_free(&self, now: Time, earliest: Time, gap: Duration) -> Time {
        let mut empty_at = now.max(self.busy_until);
        for promised in &self.times {
            let free = empty_at.max(earliest);
            if free + gap <= *promised {
                return free;
            }
            empty_at = empty_at.max(*promised) + gap;
        }
        empty_at.max(earliest)
    }
}
