//! Which calls are retried, and how much load retries may add.

use model::time::Time;
use policy::{
    outcome::{Cause, Outcome, Uncertainty},
    retry::{Attempt, Budget, CallState, Kind, Step, decide, stop_cause},
    share::Capacity,
};
use std::time::Duration;

fn attempt(outcome: Outcome, kind: Kind) -> Attempt {
    Attempt { outcome, kind, made: 1, limit: 3 }
}

fn not_run(cause: Cause) -> Outcome {
    Outcome::NotRun(cause, Duration::ZERO)
}

#[track_caller]
fn check(outcome: Outcome, once: Step, idempotent: Step) {
    let step = |kind| decide(attempt(outcome, kind), &mut Budget::default());
    assert_eq!((step(Kind::Once), step(Kind::Idempotent)), (once, idempotent), "{outcome:?}");
}

/// Guards against a payment that runs twice: its connection broke after the upstream had received
/// it, and a retry ran it again.
#[test]
fn call_that_may_have_run_is_retried_only_if_idempotent() {
    cov_mark::check!(retry_unsafe);
    check(Outcome::Unknown(Uncertainty::Broken), Step::GiveUp, Step::Retry);
    check(Outcome::Unknown(Uncertainty::Timeout), Step::GiveUp, Step::Retry);
    check(Outcome::Unknown(Uncertainty::BadAnswer), Step::GiveUp, Step::Retry);
    check(not_run(Cause::Unreachable), Step::Retry, Step::Retry);
    check(not_run(Cause::Leaving), Step::Retry, Step::Retry);
    check(not_run(Cause::Overloaded), Step::Retry, Step::Retry);
    check(not_run(Cause::NestedOverloaded), Step::Retry, Step::Retry);
    check(not_run(Cause::Paused), Step::Retry, Step::Retry);
}

#[test]
fn causes_that_no_other_upstream_resolves_are_not_retried() {
    check(not_run(Cause::Late), Step::GiveUp, Step::GiveUp);
    check(not_run(Cause::Cancelled), Step::GiveUp, Step::GiveUp);
    check(not_run(Cause::NoUpstream), Step::GiveUp, Step::GiveUp);
    check(not_run(Cause::BadRequest), Step::GiveUp, Step::GiveUp);
}

#[test]
fn attempts_are_limited() {
    let last = Attempt { made: 3, ..attempt(not_run(Cause::Unreachable), Kind::Once) };
    assert_eq!(decide(last, &mut Budget::default()), Step::GiveUp);
}

/// Guards against a retry storm that keeps a failing service overloaded.
#[test]
fn budget_bounds_the_load_of_retries() {
    cov_mark::check!(retry_budget_spent);
    let mut budget = Budget::default();
    let calls = 10_000;
    let mut retries = 0;
    for _ in 0..calls {
        budget.earn(10);
        let failed = attempt(Outcome::Unknown(Uncertainty::Timeout), Kind::Idempotent);
        retries += u32::from(decide(failed, &mut budget) == Step::Retry);
    }
    assert!(retries <= calls / 10 + 10, "{retries} retries of {calls} calls");
}

/// Attempts that did not reach an upstream are retried without the budget.
#[test]
fn retries_without_load_need_no_budget() {
    let mut budget = Budget::default();
    while budget.spend() {}
    let unreached = attempt(not_run(Cause::Unreachable), Kind::Once);
    let overloaded = attempt(not_run(Cause::Overloaded), Kind::Once);
    assert_eq!(decide(unreached, &mut budget), Step::Retry);
    assert_eq!(decide(overloaded, &mut budget), Step::GiveUp);
}

/// Guards against refusals for a healthy service because calls to unresponsive upstreams fill the
/// node.
#[test]
fn unresponsive_service_leaves_capacity_for_others() {
    let capacity = Capacity { calls: 100, ..Capacity::default() };
    let mut unresponsive = 0;
    while capacity.admits(unresponsive, unresponsive) {
        unresponsive += 1;
    }
    assert_eq!(unresponsive, 50);
    let mut other = 0;
    while capacity.admits(other, unresponsive + other) {
        other += 1;
    }
    assert_eq!(other, 25);
    assert!(capacity.admits(0, unresponsive + other));
}

#[track_caller]
fn check_call(call: CallState, expect: Option<Cause>) {
    assert_eq!(stop_cause(call), expect, "{call:?}");
}

/// Guards against running a payment after its caller has disconnected or its deadline has passed.
#[test]
fn no_attempt_after_disconnect_pause_or_deadline() {
    let at = Time::from_millis;
    let active = CallState { now: at(99), deadline: at(100), paused: false, connected: true };
    let late = CallState { now: at(100), ..active };
    let paused = CallState { paused: true, ..active };
    check_call(active, None);
    check_call(late, Some(Cause::Late));
    check_call(paused, Some(Cause::Paused));
    check_call(CallState { connected: false, ..active }, Some(Cause::Cancelled));
    check_call(CallState { paused: true, connected: false, ..late }, Some(Cause::Late));
    check_call(CallState { connected: false, ..paused }, Some(Cause::Paused));
}
