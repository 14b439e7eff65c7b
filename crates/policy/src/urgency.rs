//! Ranks of calls in the admission queue, their longest waits, and `Retry-After` of refusals.
//!
//! Slots go to calls that can still meet their objective; others are refused early enough for a
//! retry in time.

use model::time::Time;
use rand::{Rng, RngExt};
use std::time::Duration;

use crate::{
    admission::{Class, NESTED_WAIT_DIVISOR, Rank},
    client_retry::Attempt,
    fairness::Level,
    latency::Estimate,
};

/// Divides the objective to give the longest wait of a first attempt.
///
/// A short queue is enough to keep all slots in use: of ten slots, one is freed every tenth of a service time.
const FIRST_WAIT_DIVISOR: u32 = 8;

/// Divides the objective to give the longest wait of a retry that can meet it; longer than for a
/// first attempt, since it may be the last one.
const RETRY_WAIT_DIVISOR: u32 = 4;

/// Divides the objective to give the longest wait of an attempt that cannot meet it; a longer wait
/// would let late calls displace others.
const LATE_WAIT_DIVISOR: u32 = 8;

/// Ranks within one priority: nested calls of a parent with an answered nested call, other nested
/// calls, retries, first attempts, early retries, late calls.
pub(crate) const RANKS_PER_PRIORITY: u8 = 6;

/// Divides the objective to give the longest wait of the first nested call of a parent.
///
/// The parent holds a slot of another service meanwhile; long waits would spread the overload to
/// it.
const FIRST_NESTED_DIVISOR: u32 = 4;

/// Shortest `Retry-After` of a refusal.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(15);

/// Largest share of the slack used as `Retry-After`; the rest is for the wait of the retry.
const SLACK_RETRY_SHARE: f64 = 0.6;

/// Share of the remaining time used as `Retry-After` if the objective cannot be met; callers honour
/// at most a third.
const LATE_RETRY_SHARE: f64 = 0.3;

/// Origin of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Made by a client of the fleet.
    Caller,
    /// Nested in a call that an upstream is processing.
    Upstream(Parent),
}

/// The call that a nested call is made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parent {
    /// Rank under which it was admitted.
    pub rank: Rank,
    /// Number of its nested calls that were answered.
    pub answered: usize,
}

/// Times that determine the urgency of a call.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Arrival of this attempt.
    pub received: Time,
    /// Deadline of the call.
    pub deadline: Time,
    /// Which attempt of its caller it is.
    pub attempt: Attempt,
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
    /// Latency objective, counted from the first attempt.
    pub objective: Duration,
    /// Expected processing time.
    pub expected: Duration,
}

impl Timing {
    /// Returns the time at which the objective is missed.
    ///
    /// ```
    /// # use model::time::Time;
    /// # use policy::{client_retry::Attempt, urgency::Timing};
    /// # use std::time::Duration;
    /// # let ms = Duration::from_millis;
    /// let retry = Timing {
    ///     received: Time::from_millis(1_000),
    ///     deadline: Time::from_millis(2_000),
    ///     attempt: Attempt::Retry,
    ///     elapsed: ms(300),
    ///     objective: ms(400),
    ///     expected: ms(80),
    /// };
    /// assert_eq!(retry.due(), Time::from_millis(1_100));
    /// ```
    pub fn due(&self) -> Time {
        self.received + self.objective.saturating_sub(self.elapsed)
    }

    /// Returns the timing at `now` of a call that has waited since its arrival.
    pub fn at(self, now: Time) -> Timing {
        let waited = now.since(self.received);
        Timing { received: self.received + waited, elapsed: self.elapsed + waited, ..self }
    }

    /// Returns how long the start can be delayed without missing the objective.
    pub(crate) fn slack(&self) -> Duration {
        self.objective.saturating_sub(self.elapsed).saturating_sub(self.expected)
    }
}

/// Divides the objective to give the expected time of a route without samples.
const DEFAULT_TIME_DIVISOR: u32 = 2;

/// Returns the expected time of calls of a route, given its `latency` estimate if there is one.
///
/// ```
/// use policy::{latency::Estimate, urgency::expected_time};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert_eq!(expected_time(Some(Estimate::new(ms(80))), ms(200)), ms(80));
/// assert_eq!(expected_time(None, ms(200)), ms(100));
/// ```
pub fn expected_time(latency: Option<Estimate>, objective: Duration) -> Duration {
    latency.map_or(objective / DEFAULT_TIME_DIVISOR, |latency| latency.mean())
}

/// Returns the rank of a call in the queue of its upstream.
///
/// ```
/// use model::time::Time;
/// use policy::{client_retry::Attempt, urgency::{Timing, Origin, rank}};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let first = Timing {
///     received: Time::default(),
///     deadline: Time::from_millis(1_200),
///     attempt: Attempt::First,
///     elapsed: ms(0),
///     objective: ms(200),
///     expected: ms(80),
/// };
/// let late = Timing { elapsed: ms(300), ..first };
/// let of = |timing| rank(Origin::Caller, 1, timing).priority;
/// assert!(of(first) < of(late));
/// ```
pub fn rank(origin: Origin, priority: u8, timing: Timing) -> Rank {
    if let Origin::Upstream(parent) = origin {
        return nested_rank(parent, timing);
    }
    let is_late = timing.slack().is_zero();
    let (step, divisor) = match timing.attempt {
        _ if is_late => (5, LATE_WAIT_DIVISOR),
        Attempt::Retry => (2, RETRY_WAIT_DIVISOR),
        Attempt::First => (3, FIRST_WAIT_DIVISOR),
        // Callers that retry early send more attempts; the lower rank keeps their share of the
        // slots equal.
        Attempt::Early => (4, FIRST_WAIT_DIVISOR),
    };
    let max_wait = timing.objective / divisor;
    let wait = if is_late { max_wait } else { max_wait.min(timing.slack() / 2) };
    Rank {
        priority: combine(priority, step),
        start_by: Some(timing.received + wait),
        class: Class::External,
        level: Level::default(),
    }
}

/// Returns the rank of a nested call, which inherits the priority of its parent.
///
/// Within one priority, nested calls go before new calls, and those of parents that are further
/// along go first: under overload, some parents then complete instead of all being lost.
fn nested_rank(parent: Parent, timing: Timing) -> Rank {
    let remaining = timing.deadline.since(timing.received);
    let (step, wait) = match parent.answered {
        0 => (1, (timing.objective / FIRST_NESTED_DIVISOR).min(remaining / NESTED_WAIT_DIVISOR)),
        _ => (0, remaining / NESTED_WAIT_DIVISOR),
    };
    Rank {
        priority: combine(route_priority(parent.rank), step),
        start_by: Some(timing.received + wait),
        class: Class::Nested,
        level: Level::default(),
    }
}

/// Returns the route priority that `rank` was derived from: of a nested call, that of its parent.
///
/// As in the queue, it is 0 if the route has no objective.
pub fn route_priority(rank: Rank) -> u8 {
    rank.priority / RANKS_PER_PRIORITY
}

/// Combines a priority and a step within it into one queue priority.
fn combine(priority: u8, step: u8) -> u8 {
    priority.min(u8::MAX / RANKS_PER_PRIORITY - 1) * RANKS_PER_PRIORITY + step
}

/// Returns the `Retry-After` of a refused caller.
///
/// If the objective can still be met, it is a random part of the slack, which spreads the retries.
/// Otherwise it is about as long as callers honour.
pub fn retry_after(timing: Timing, random: &mut impl Rng) -> Duration {
    let slack = timing.slack();
    let share = random.random_range(0.25..SLACK_RETRY_SHARE);
    if slack > MIN_RETRY_AFTER * 2 {
        return slack.mul_f64(share).max(MIN_RETRY_AFTER);
    }
    let remaining = timing.deadline.since(timing.received);
    remaining.mul_f64(LATE_RETRY_SHARE * random.random_range(0.5..1.0)).max(MIN_RETRY_AFTER)
}

/// Returns the longest `Retry-After` that a refused caller can use.
pub(crate) fn latest_return(timing: Timing) -> Duration {
    let slack = timing.slack();
    let latest = match slack > MIN_RETRY_AFTER * 2 {
        true => slack.mul_f64(SLACK_RETRY_SHARE),
        false => timing.deadline.since(timing.received).mul_f64(LATE_RETRY_SHARE),
    };
    latest.max(MIN_RETRY_AFTER)
}
