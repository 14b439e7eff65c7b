//! Retries and hedged requests at the entry node.
//!
//! Only the entry node retries, so there is one retry point per hop. A retry budget bounds the
//! retries that add load to a failing service.

use model::time::Time;
use std::time::Duration;

use crate::{
    latency::Estimate,
    outcome::{Cause, Outcome, Uncertainty},
};

/// Initial retries of a service without calls.
const INITIAL_BALANCE: f64 = 10.0;

/// Upper bound of saved retries.
const MAX_BALANCE: f64 = 100.0;

/// Retry budget per service and entry node, filled by first attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { balance: INITIAL_BALANCE }
    }
}

impl Budget {
    /// Counts a first attempt, which adds `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.balance = (self.balance + f64::from(percent) / 100.0).min(MAX_BALANCE);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    ///
    /// ```
    /// let mut budget = policy::retry::Budget::default();
    /// let granted = (0..100).filter(|_| budget.spend()).count();
    /// assert_eq!(granted, 10);
    /// ```
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// State of a call before an attempt.
#[derive(Clone, Copy, Debug)]
pub struct CallState {
    /// Current time.
    pub now: Time,
    /// Deadline of the call.
    pub deadline: Time,
    /// Whether the process may have been paused since the call arrived.
    pub paused: bool,
    /// Whether the caller's connection is still open.
    pub connected: bool,
}

/// Returns the cause for which no further attempt is made, or `None`.
///
/// Unlike [`claim::refusal`](crate::claim::refusal), it checks the deadline before the pause: the
/// call was not run, and its time has passed at this node.
///
/// ```
/// use model::time::Time;
/// use policy::{outcome::Cause, retry::{CallState, stop_cause}};
/// let at = Time::from_millis;
/// let call = CallState { now: at(9), deadline: at(10), paused: false, connected: true };
/// assert_eq!(stop_cause(call), None);
/// assert_eq!(stop_cause(CallState { now: at(10), ..call }), Some(Cause::Late));
/// ```
pub fn stop_cause(call: CallState) -> Option<Cause> {
    if call.now >= call.deadline {
        return Some(Cause::Late);
    }
    if call.paused {
        return Some(Cause::Paused);
    }
    (!call.connected).then_some(Cause::Cancelled)
}

/// Action after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Offer the call to another upstream.
    Retry,
    /// Return the outcome to the caller.
    GiveUp,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the call may run more than once.
    pub kind: Kind,
    /// Attempts so far, including this one.
    pub made: u32,
    /// Upper bound of attempts, from the profile.
    pub limit: u32,
}

/// Decides whether to retry a failed attempt; the caller checks the deadline.
///
/// A call with an unknown outcome is retried only if it is idempotent: a second run could, for
/// example, post a payment twice.
pub fn decide(attempt: Attempt, budget: &mut Budget) -> Step {
    if attempt.made >= attempt.limit {
        return Step::GiveUp;
    }
    let is_safe = match attempt.outcome {
        Outcome::NotRun(cause, _) => is_retryable(cause),
        Outcome::Unknown(_) => attempt.kind == Kind::Idempotent,
    };
    if !is_safe {
        cov_mark::hit!(retry_unsafe);
        return Step::GiveUp;
    }
    if !adds_load(attempt.outcome) || budget.spend() {
        return Step::Retry;
    }
    cov_mark::hit!(retry_budget_spent);
    Step::GiveUp
}

/// Decides whether to retry, counting only attempts that may have reached an upstream.
///
/// `made` and `limit` count such attempts. A refusal by a serving node puts no load on its
/// upstream, so trying another one is free. `spend` takes one retry from the budget and returns
/// false if it is exhausted.
///
/// ```
/// use policy::{outcome::Cause, retry::{Attempt, Kind, Step, decide_reached}};
/// let refused = Attempt { outcome: Cause::Overloaded.outcome(), kind: Kind::Once, made: 0, limit: 1 };
/// assert_eq!(decide_reached(refused, || false), Step::Retry);
/// ```
pub fn decide_reached(attempt: Attempt, spend: impl FnOnce() -> bool) -> Step {
    let is_safe = match attempt.outcome {
        Outcome::NotRun(cause, _) => is_retryable(cause),
        Outcome::Unknown(_) => attempt.kind == Kind::Idempotent,
    };
    if !is_safe {
        return Step::GiveUp;
    }
    if attempt.made == 0 {
        return Step::Retry;
    }
    if attempt.made >= attempt.limit || !spend() {
        return Step::GiveUp;
    }
    Step::Retry
}

/// Returns whether [`decide_reached`] would take a retry from the budget.
///
/// ```
/// use policy::{outcome::Cause, retry::{Attempt, Kind, needs_budget}};
/// let first = Attempt { outcome: Cause::Refused.outcome(), kind: Kind::Once, made: 1, limit: 2 };
/// assert!(needs_budget(first));
/// assert!(!needs_budget(Attempt { made: 2, ..first }));
/// ```
pub fn needs_budget(attempt: Attempt) -> bool {
    let mut is_needed = false;
    decide_reached(attempt, || {
        is_needed = true;
        false
    });
    is_needed
}

/// Upper bound of serving nodes that one call is offered to; each refusal costs a round trip.
const MAX_OFFERS: usize = 4;

/// Returns whether a call with so many offers may be offered once more.
///
/// ```
/// use policy::retry::may_offer;
/// assert!(may_offer(3));
/// assert!(!may_offer(4));
/// ```
pub fn may_offer(offers: usize) -> bool {
    offers < MAX_OFFERS
}

/// Upper bound of serving nodes that refuse one call for its nested calls.
///
/// Another node may know more of the nested service's capacity; that a third one differs is unlikely.
const MAX_NESTED_REFUSALS: u32 = 2;

/// Returns whether a call may be offered once more that so many serving nodes have refused as
/// [`Cause::NestedOverloaded`].
///
/// ```
/// use policy::retry::may_offer_after_nested;
/// assert!(may_offer_after_nested(1));
/// assert!(!may_offer_after_nested(2));
/// ```
pub fn may_offer_after_nested(refusals: u32) -> bool {
    refusals < MAX_NESTED_REFUSALS
}

/// Returns whether the call may have reached the upstream.
pub fn may_have_reached_upstream(outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotRun(cause, _) => matches!(cause, Cause::Refused | Cause::Replaced),
        Outcome::Unknown(_) => true,
    }
}

/// Returns the timeout of the next attempt, out of the `remaining` time of the call.
///
/// Idempotent calls divide the remaining time equally, which leaves time for another upstream if
/// one is unresponsive; others spend all of it on their single attempt. The deadline sent to the
/// next hop is not divided, since that would compound over many hops.
///
/// ```
/// use policy::retry::{Kind, attempt_timeout};
/// use std::time::Duration;
/// let second = Duration::from_secs(1);
/// assert_eq!(attempt_timeout(second * 3, Kind::Idempotent, 0, 3), second);
/// assert_eq!(attempt_timeout(second * 3, Kind::Once, 0, 3), second * 3);
/// ```
pub fn attempt_timeout(remaining: Duration, kind: Kind, made: u32, limit: u32) -> Duration {
    match kind {
        Kind::Idempotent => remaining / limit.saturating_sub(made).max(1),
        Kind::Once => remaining,
    }
}

/// Outcome of an attempt without an answer so far.
pub const TIMED_OUT: Outcome = Outcome::Unknown(Uncertainty::Timeout);

/// Failure share above which a missing answer is assumed lost; two lost answers in a row exceed it.
const LOSS_THRESHOLD: f64 = 0.15;

/// Minimum time given to an upstream that loses answers, as a multiple of the mean latency.
const MIN_LOSS_FACTOR: f64 = 1.5;

/// State of a first attempt that may be hedged.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    /// Latency estimate of the route.
    pub latency: Estimate,
    /// Latency of the upstream relative to the route.
    pub slowness: f64,
    /// Moving share of failed calls of the upstream.
    pub failure_share: f64,
    /// Time left to meet the objective.
    pub due: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// Returns the delay after which an unanswered first attempt is hedged.
///
/// A hedged request takes an additional slot, so the delay is the outlier threshold of the route.
/// For an upstream that has lost answers, it is shorter, so that the hedged request can still meet
/// the objective.
///
/// ```
/// use policy::{latency::Estimate, retry::{Hedge, hedge_delay}};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let healthy = Hedge {
///     latency: Estimate::new(ms(80)),
///     slowness: 1.0,
///     failure_share: 0.0,
///     due: ms(220),
///     remaining: ms(1_200),
/// };
/// assert_eq!(hedge_delay(healthy), ms(240));
/// assert_eq!(hedge_delay(Hedge { failure_share: 0.4, ..healthy }), ms(140));
/// ```
pub fn hedge_delay(hedge: Hedge) -> Duration {
    let Hedge { latency, slowness, failure_share, due, remaining } = hedge;
    let outlier_threshold = latency.outlier_threshold().mul_f64(slowness.max(1.0));
    let in_time = due.saturating_sub(latency.mean());
    let early = in_time.max(latency.mean().mul_f64(MIN_LOSS_FACTOR));
    let delay = if failure_share < LOSS_THRESHOLD {
        outlier_threshold
    } else {
        outlier_threshold.min(early)
    };
    delay.min(remaining / 2)
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It may run any number of times.
    Idempotent,
    /// It must run at most once.
    Once,
}

/// Returns whether another upstream may accept the call.
fn is_retryable(cause: Cause) -> bool {
    match cause {
        Cause::Overloaded
        | Cause::Limited
        | Cause::NestedOverloaded
        | Cause::Refused
        | Cause::Leaving
        | Cause::Unreachable
        | Cause::Paused
        | Cause::Evacuated
        | Cause::Replaced => true,
        Cause::UnknownService
        | Cause::UnusableRoute
        | Cause::Unready
        | Cause::Outdated
        | Cause::NoUpstream
        | Cause::Late
        | Cause::Cancelled
        | Cause::Saturated
        | Cause::Quarantined
        | Cause::BadRequest => false,
    }
}

/// Returns whether the failed attempt may have put load on the service.
///
/// Attempts that did not reach an upstream, or that its node refused, are retried without the
/// budget.
fn adds_load(outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotRun(cause, _) => {
            matches!(
                cause,
                Cause::Overloaded | Cause::Limited | Cause::NestedOverloaded | Cause::Refused
            )
        }
        Outcome::Unknown(_) => true,
    }
}
