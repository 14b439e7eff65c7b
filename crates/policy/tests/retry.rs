//! Which calls are offered again, and how much load retries may add.

use model::time::Time;
use policy::{
    outcome::{Cause, Doubt, Outcome},
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

/// A payment posts twice: its first attempt broke off after the upstream had it, and a retry ran
/// it again.
#[test]
fn a_call_that_may_have_run_is_repeated_only_if_idempotent() {
    cov_mark::check!(retry_unsafe);
    check(Outcome::Unknown(Doubt::Broken), Step::GiveUp, Step::Retry);
    check(Outcome::Unknown(Doubt::Timeout), Step::GiveUp, Step::Retry);
    check(Outcome::Unknown(Doubt::BadAnswer), Step::GiveUp, Step::Retry);
    check(not_run(Cause::Unreachable), Step::Retry, Step::Retry);
    check(not_run(Cause::Leaving), Step::Retry, Step::Retry);
    check(not_run(Cause::Overloaded), Step::Retry, Step::Retry);
    check(not_run(Cause::Paused), Step::Retry, Step::Retry);
}

#[test]
fn what_no_other_upstream_can_cure_is_not_repeated() {
    check(not_run(Cause::Late), Step::GiveUp, Step::GiveUp);
    check(not_run(Cause::Cancelled), Step::GiveUp, Step::GiveUp);
    check(not_run(Cause::NoUpstream), Step::GiveUp, Step::GiveUp);
    check(not_run(Cause::BadRequest), Step::GiveUp, Step::GiveUp);
}

#[test]
fn the_limit_of_attempts_holds() {
    let last = Attempt { made: 3, ..attempt(not_run(Cause::Unreachable), Kind::Once) };
    assert_eq!(decide(last, &mut Budget::default()), Step::GiveUp);
}

/// A service in trouble gets three times its calls and stays in trouble: every caller retried.
#[test]
fn the_budget_bounds_the_load_that_retries_add() {
    cov_mark::check!(retry_budget_spent);
    let mut budget = Budget::default();
    let calls = 10_000;
    let mut extra = 0;
    for _ in 0..calls {
        budget.earn(10);
        let failed = attempt(Outcome::Unknown(Doubt::Timeout), Kind::Idempotent);
        extra += u32::from(decide(failed, &mut budget) == Step::Retry);
    }
    assert!(extra <= calls / 10 + 10, "{extra} retries of {calls} calls");
}

/// An upstream that nobody reached has lost nothing, so those retries are not bounded by load.
#[test]
fn retries_that_add_no_load_are_free() {
    let mut budget = Budget::default();
    while budget.spend() {}
    let free = attempt(not_run(Cause::Unreachable), Kind::Once);
    let paid = attempt(not_run(Cause::Overloaded), Kind::Once);
    assert_eq!(decide(free, &mut budget), Step::Retry);
    assert_eq!(decide(paid, &mut budget), Step::GiveUp);
}

/// A healthy service is refused because another one's upstreams hang and hold the whole node.
#[test]
fn a_hanging_service_leaves_room_for_others() {
    let room = Capacity { calls: 100, ..Capacity::default() };
    let mut hanging = 0;
    while room.admits(hanging, hanging) {
        hanging += 1;
    }
    assert_eq!(hanging, 50);
    let mut other = 0;
    while room.admits(other, hanging + other) {
        other += 1;
    }
    assert_eq!(other, 25);
    assert!(room.admits(0, hanging + other));
}

#[track_caller]
fn check_moment(moment: CallState, expect: Option<Cause>) {
    assert_eq!(stop_cause(moment), expect, "{moment:?}");
}

/// A caller gives up while its call is tried at one upstream after the other, and the last one runs
/// a payment that nobody waits for.
#[test]
fn nothing_is_tried_for_who_has_gone_or_has_no_time_left() {
    let at = Time::from_millis;
    let good = CallState { now: at(99), deadline: at(100), paused: false, connected: true };
    let late = CallState { now: at(100), ..good };
    let paused = CallState { paused: true, ..good };
    check_moment(good, None);
    check_moment(late, Some(Cause::Late));
    check_moment(paused, Some(Cause::Paused));
    check_moment(CallState { connected: false, ..good }, Some(Cause::Cancelled));
    check_moment(CallState { paused: true, connected: false, ..late }, Some(Cause::Late));
    check_moment(CallState { connected: false, ..paused }, Some(Cause::Paused));
}
