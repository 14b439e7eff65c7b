//! How urgent a call is, how long it may wait, and when a refused caller should come back.
//!
//! Pattern: a service gets more calls than its upstreams can take for seconds on end. Whatever is
//! done, only so many are served; what can be decided is which. A slot is best used by a call that
//! can still be answered within its objective. So calls wait for a slot only for a moment, those
//! that cannot be in time any more go last, and the others are refused while there is time for a
//! second attempt that is in time.

use model::time::Time;
use rand::{Rng, RngExt};
use std::time::Duration;

use crate::{
    admission::{Class, NESTED_WAIT_SHARE, Rank},
    client_retry::Attempt,
    latency::Estimate,
};

/// Part of its objective that a caller's first attempt may wait for a slot.
///
/// With ten slots, one is freed every tenth of a service time; a queue of that many moments keeps
/// every slot in use. Callers count a refusal within this part as free.
const FIRST_WAIT_SHARE: u32 = 8;

/// Part of its objective that a later attempt may wait, if it can still be in time. It may be the
/// caller's last one, and to be refused again is worth less than to wait a little longer.
const AGAIN_WAIT_SHARE: u32 = 4;

/// Part of its objective that an attempt may wait which can only be late. It gets what the others
/// leave; with half of the objective in the place of an eighth, late calls filled every moment in
/// which nobody else waited, and a third of the others came too late (model of `tests/urgency.rs`).
const LATE_WAIT_SHARE: u32 = 8;

/// Ranks between two priorities: calls of work that has had an answer to another one, calls of work
/// that has not, later attempts of callers, first ones, hasty ones, late ones.
const STEPS: u8 = 6;

/// Part of its objective that the first call of an upstream's work may wait for a slot.
///
/// While it waits, its work holds a slot of another service: where one service is short, long waits
/// would make the one that calls it short as well.
const BEGUN_WAIT_SHARE: u32 = 4;

/// Shortest time after which a refused caller is asked to come back.
const COMEBACK_LEAST: Duration = Duration::from_millis(15);

/// Part of the time left after which a caller who can no longer be answered in time should come
/// back: callers heed up to a third.
const COMEBACK_SHARE: f64 = 0.3;

/// On whose behalf a call is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller's.
    Caller,
    /// That of a call on which an upstream works: without an answer that work is lost.
    Upstream(Parent),
}

/// A call on which an upstream works, as its own calls see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parent {
    /// Rank under which it was let in.
    pub rank: Rank,
    /// Calls of it that were answered so far.
    pub answered: usize,
}

/// What is known of a call's time.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// When this attempt arrived.
    pub received: Time,
    /// When its time is over.
    pub deadline: Time,
    /// Which attempt of its caller it is.
    pub attempt: Attempt,
    /// Time since the caller's first attempt.
    pub elapsed: Duration,
    /// Time from the first attempt within which an answer is worth most.
    pub objective: Duration,
    /// Time that such calls usually take.
    pub expected: Duration,
}

impl Timing {
    /// Returns when an answer becomes late.
    ///
    /// ```
    /// # use model::time::Time;
    /// # use policy::{client_retry::Attempt, urgency::Timing};
    /// # use std::time::Duration;
    /// # let ms = Duration::from_millis;
    /// let again = Timing {
    ///     received: Time::from_millis(1_000),
    ///     deadline: Time::from_millis(2_000),
    ///     attempt: Attempt::Retry,
    ///     elapsed: ms(300),
    ///     objective: ms(400),
    ///     expected: ms(80),
    /// };
    /// assert_eq!(again.due(), Time::from_millis(1_100));
    /// ```
    pub fn due(&self) -> Time {
        self.received + self.objective.saturating_sub(self.elapsed)
    }

    /// Returns what is known at `now` of a call that was held since it arrived.
    pub fn at(self, now: Time) -> Timing {
        let held = now.since(self.received);
        Timing { received: self.received + held, elapsed: self.elapsed + held, ..self }
    }

    /// Returns the time that may pass until the call begins if it is to meet its objective.
    pub(crate) fn slack(&self) -> Duration {
        self.objective.saturating_sub(self.elapsed).saturating_sub(self.expected)
    }
}

/// Part of its objective that a call is thought to take before any of its route was answered.
const GUESS_SHARE: u32 = 2;

/// Returns the time that calls of a route usually take, as far as their `latency` is known.
///
/// ```
/// use policy::{latency::Estimate, urgency::expected_time};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert_eq!(expected_time(Some(Estimate::new(ms(80))), ms(200)), ms(80));
/// assert_eq!(expected_time(None, ms(200)), ms(100));
/// ```
pub fn expected_time(latency: Option<Estimate>, objective: Duration) -> Duration {
    latency.map_or(objective / GUESS_SHARE, |latency| latency.mean())
}

/// Returns a call's rank among those that wait for the same upstream.
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
/// let of = |clock| rank(Origin::Caller, 1, clock).priority;
/// assert!(of(first) < of(late));
/// ```
pub fn rank(origin: Origin, priority: u8, clock: Timing) -> Rank {
    if let Origin::Upstream(work) = origin {
        return nested(work, clock);
    }
    let is_late = clock.slack().is_zero();
    let (step, share) = match clock.attempt {
        _ if is_late => (5, LATE_WAIT_SHARE),
        Attempt::Retry => (2, AGAIN_WAIT_SHARE),
        Attempt::First => (3, FIRST_WAIT_SHARE),
        // Whoever repeats at once asks several times as often as the others; going after their
        // first attempts, it gets no larger share of the slots for that.
        Attempt::Early => (4, FIRST_WAIT_SHARE),
    };
    let usual = clock.objective / share;
    let wait = if is_late { usual } else { usual.min(clock.slack() / 2) };
    Rank {
        priority: place(priority, step),
        start_by: Some(clock.received + wait),
        class: Class::External,
    }
}

/// Returns the rank of a call that an upstream makes while it works on another one.
///
/// It goes by the urgency of what it is made for: the checks of lookups would otherwise keep uploads
/// of a higher priority from the service that both need. Within one priority, work that is begun goes
/// before new work, and work that is further before that: where there is room for half of the calls,
/// half of the work is done then, and not a part of everything that is then lost.
fn nested(work: Parent, clock: Timing) -> Rank {
    let left = clock.deadline.since(clock.received);
    let (step, wait) = match work.answered {
        0 => (1, (clock.objective / BEGUN_WAIT_SHARE).min(left / NESTED_WAIT_SHARE)),
        _ => (0, left / NESTED_WAIT_SHARE),
    };
    let urgency = work.rank.priority / STEPS;
    Rank {
        priority: place(urgency, step),
        start_by: Some(clock.received + wait),
        class: Class::Nested,
    }
}

/// Returns the place in the order of all ranks.
fn place(priority: u8, step: u8) -> u8 {
    priority.min(u8::MAX / STEPS - 1) * STEPS + step
}

/// Returns when a refused caller should come back.
///
/// Within the first half of what is left until a call could no longer be in time, spread over all
/// refused callers; one who cannot be in time any more comes as late as callers heed, to a calmer
/// moment.
pub fn retry_after(clock: Timing, random: &mut impl Rng) -> Duration {
    let slack = clock.slack();
    let share = random.random_range(0.25..0.6);
    if slack > COMEBACK_LEAST * 2 {
        return slack.mul_f64(share).max(COMEBACK_LEAST);
    }
    let left = clock.deadline.since(clock.received);
    left.mul_f64(COMEBACK_SHARE * random.random_range(0.5..1.0)).max(COMEBACK_LEAST)
}
