//! Whether a call that failed at one upstream is offered to another.
//!
//! Only the entry node retries, so each call is retried at one place per hop. A budget bounds the
//! retries that add load, so that a failing service does not get a multiple of its usual calls.

use model::time::Time;
use std::time::Duration;

use crate::{
    latency::Estimate,
    outcome::{Cause, Doubt, Outcome},
};

/// Retries that a quiet service may make before its first calls have earned any.
const BALANCE_START: f64 = 10.0;

/// Most retries that can be saved up.
const BALANCE_MOST: f64 = 100.0;

/// Retries earned by first attempts, per service and entry node.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { balance: BALANCE_START }
    }
}

impl Budget {
    /// Notes a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.balance = (self.balance + f64::from(percent) / 100.0).min(BALANCE_MOST);
    }

    /// Takes one retry out of the budget; returns whether there was one.
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

/// What the entry node knows of a call before an attempt.
#[derive(Clone, Copy, Debug)]
pub struct CallState {
    /// The moment of the decision.
    pub now: Time,
    /// When the time for the call is over.
    pub deadline: Time,
    /// Whether the node was stopped since the call arrived, as far as it can tell.
    pub paused: bool,
    /// Whether the caller's connection is still open.
    pub connected: bool,
}

/// Returns why no attempt makes sense any more, or nothing where one does.
///
/// Unlike the claim, which asks the same at the upstream, it names a call late that is both late and
/// in doubt: it was not run, and all of its time has passed here.
///
/// ```
/// use model::time::Time;
/// use policy::{outcome::Cause, retry::{CallState, stop_cause}};
/// let at = Time::from_millis;
/// let moment = CallState { now: at(9), deadline: at(10), paused: false, connected: true };
/// assert_eq!(stop_cause(moment), None);
/// assert_eq!(stop_cause(CallState { now: at(10), ..moment }), Some(Cause::Late));
/// ```
pub fn stop_cause(moment: CallState) -> Option<Cause> {
    if moment.now >= moment.deadline {
        return Some(Cause::Late);
    }
    if moment.paused {
        return Some(Cause::Paused);
    }
    (!moment.connected).then_some(Cause::Cancelled)
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Offer the call to another upstream.
    Retry,
    /// Tell the caller the outcome now.
    GiveUp,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the call may be run more than once.
    pub kind: Kind,
    /// Attempts made so far, this one included.
    pub made: u32,
    /// Most attempts that the profile allows.
    pub limit: u32,
}

/// Decides on a failed attempt; the caller has checked that time is left.
///
/// A call whose outcome is unknown is repeated only if it is idempotent: for any other, a second
/// run could post a payment twice.
pub fn decide(attempt: Attempt, budget: &mut Budget) -> Step {
    if attempt.made >= attempt.limit {
        return Step::GiveUp;
    }
    let safe = match attempt.outcome {
        Outcome::NotRun(cause, _) => is_curable(cause),
        Outcome::Unknown(_) => attempt.kind == Kind::Idempotent,
    };
    if !safe {
        cov_mark::hit!(retry_unsafe);
        return Step::GiveUp;
    }
    if !loads_upstream(attempt.outcome) || budget.spend() {
        return Step::Retry;
    }
    cov_mark::hit!(retry_budget_spent);
    Step::GiveUp
}

/// Decides on a failed attempt under a budget that counts what reaches upstreams.
///
/// `made` and `limit` count upstreams that the call may have reached: a refusal by a serving node's
/// own state costs its upstream nothing, so another one is tried freely. `spend` takes a repeat out
/// of the budget and tells whether there was one.
///
/// ```
/// use policy::{outcome::Cause, retry::{Attempt, Kind, Step, decide_reached}};
/// let refused = Attempt { outcome: Cause::Overloaded.outcome(), kind: Kind::Once, made: 0, limit: 1 };
/// assert_eq!(decide_reached(refused, || false), Step::Retry);
/// ```
pub fn decide_reached(attempt: Attempt, spend: impl FnOnce() -> bool) -> Step {
    let safe = match attempt.outcome {
        Outcome::NotRun(cause, _) => is_curable(cause),
        Outcome::Unknown(_) => attempt.kind == Kind::Idempotent,
    };
    if !safe {
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

/// Most nodes that one call is offered to under such a budget, whether its upstream sees it or not.
///
/// Each refusal costs a round trip of about 2 ms; four of them stay within an eighth of the
/// shortest objectives, 100 ms.
const OFFERS_MOST: usize = 4;

/// Tells whether a call that was offered to so many nodes may be offered to one more.
///
/// ```
/// use policy::retry::may_offer;
/// assert!(may_offer(3));
/// assert!(!may_offer(4));
/// ```
pub fn may_offer(offers: usize) -> bool {
    offers < OFFERS_MOST
}

/// Tells whether the upstream itself may have seen the call.
pub fn may_have_reached_upstream(outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotRun(cause, _) => matches!(cause, Cause::Refused | Cause::Replaced),
        Outcome::Unknown(_) => true,
    }
}

/// Returns how long the entry node waits for the next attempt, out of the `remaining` time.
///
/// Only its own patience is divided: the deadline that is passed on is not, or a call that passes
/// 27 services would have a millionth of its time left at the last. An attempt that is given up is
/// cancelled by closing its connection. An upstream that is frozen or behind a silent connection answers nothing at all. An idempotent
/// call therefore gives each attempt an equal share, so that time is left for another upstream; a
/// call that cannot be repeated gives its one attempt everything.
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

/// What holds of an attempt that has been silent so far.
pub const TIMED_OUT: Outcome = Outcome::Unknown(Doubt::Timeout);

/// Share of failures from which on a silent upstream is thought to have lost the answer.
///
/// One lost answer makes a tenth, two in a row a fifth; a single slow call does not.
const LOSING: f64 = 0.15;

/// Times the usual time that an upstream which loses answers is given in any case.
const LOSING_LEAST: f64 = 1.5;

/// What is known when a first attempt is made.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    /// Time that calls of the route take.
    pub latency: Estimate,
    /// How many times as long as usual calls to the upstream take.
    pub slowness: f64,
    /// Share of failures among the last calls to the upstream.
    pub failure_share: f64,
    /// Time left until an answer is late.
    pub due: Duration,
    /// Time left until the call is over.
    pub remaining: Duration,
}

/// Returns how long a first attempt may be silent before a second one is made beside it.
///
/// Every second attempt takes a slot from somebody, so an upstream is given the time that hardly any
/// call takes. From one that has lost answers lately, a second one is made while it can still be in
/// time.
///
/// ```
/// use policy::{latency::Estimate, retry::{Hedge, hedge_delay}};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let sound = Hedge {
///     latency: Estimate::new(ms(80)),
///     slowness: 1.0,
///     failure_share: 0.0,
///     due: ms(220),
///     remaining: ms(1_200),
/// };
/// assert_eq!(hedge_delay(sound), ms(240));
/// assert_eq!(hedge_delay(Hedge { failure_share: 0.4, ..sound }), ms(140));
/// ```
pub fn hedge_delay(prospect: Hedge) -> Duration {
    let Hedge { latency, slowness, failure_share, due, remaining } = prospect;
    let outlier_threshold = latency.outlier_threshold().mul_f64(slowness.max(1.0));
    let in_time = due.saturating_sub(latency.mean());
    let losing = in_time.max(latency.mean().mul_f64(LOSING_LEAST));
    let delay =
        if failure_share < LOSING { outlier_threshold } else { outlier_threshold.min(losing) };
    delay.min(remaining / 2)
}

/// Whether a call may be run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It may.
    Idempotent,
    /// It may not.
    Once,
}

/// Tells whether another upstream could do better.
fn is_curable(cause: Cause) -> bool {
    match cause {
        Cause::Overloaded
        | Cause::Refused
        | Cause::Leaving
        | Cause::Unreachable
        | Cause::Paused
        | Cause::Evacuated
        | Cause::Replaced => true,
        Cause::UnknownService
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

/// Tells whether the failed attempt may have cost the service work.
///
/// An upstream that nobody reached, or whose node refused by its own state, has lost nothing by
/// the attempt, so trying another multiplies no load.
fn loads_upstream(outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotRun(cause, _) => matches!(cause, Cause::Overloaded | Cause::Refused),
        Outcome::Unknown(_) => true,
    }
}
