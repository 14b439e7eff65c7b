//! What a call without an answer shows of its upstream.

use policy::{
    health::Sample,
    outcome::{Cause, Doubt, Outcome},
};
use std::time::Duration;

const TIME: Duration = Duration::from_millis(70);

#[track_caller]
fn check(outcome: Outcome, expect: Sample) {
    assert_eq!(Sample::of_failure(outcome, TIME), expect, "{outcome:?}");
}

/// A restart loses calls: the node beside the upstream says that it leaves, counts as alive, and is
/// asked again by every call until the list says that it has gone.
#[test]
fn a_node_that_leaves_is_as_good_as_absent() {
    check(Cause::Leaving.outcome(), Sample::Unreachable);
    check(Cause::Replaced.outcome(), Sample::Unreachable);
    check(Cause::Unreachable.outcome(), Sample::Unreachable);
}

/// Under load every upstream is ejected, since each of them refuses calls, and the others drown.
#[test]
fn a_refusal_is_a_sign_of_life() {
    check(Cause::Overloaded.outcome(), Sample::Refused);
    check(Cause::Refused.outcome(), Sample::Refused);
    check(Cause::Late.outcome(), Sample::Refused);
    check(Cause::Paused.outcome(), Sample::Refused);
}

#[test]
fn only_silence_tells_a_time() {
    check(Outcome::Unknown(Doubt::Timeout), Sample::TimedOut(TIME));
    check(Outcome::Unknown(Doubt::Broken), Sample::Failed);
    check(Outcome::Unknown(Doubt::BadAnswer), Sample::Failed);
}
