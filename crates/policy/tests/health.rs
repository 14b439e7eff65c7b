//! Evidence about an upstream from calls without an answer.

use policy::{
    health::Sample,
    outcome::{Cause, Outcome, Uncertainty},
};
use std::time::Duration;

const TIME: Duration = Duration::from_millis(70);

#[track_caller]
fn check(outcome: Outcome, expect: Sample) {
    assert_eq!(Sample::of_failure(outcome, TIME), expect, "{outcome:?}");
}

/// Guards against calls that keep going to a leaving or replaced node until the view is updated.
#[test]
fn leaving_node_counts_as_unreachable() {
    check(Cause::Leaving.outcome(), Sample::Unreachable);
    check(Cause::Replaced.outcome(), Sample::Unreachable);
    check(Cause::Unreachable.outcome(), Sample::Unreachable);
}

/// Guards against ejection of all upstreams of an overloaded service, since each of them refuses
/// calls.
#[test]
fn refusal_does_not_count_as_failure() {
    check(Cause::Overloaded.outcome(), Sample::Refused);
    check(Cause::Refused.outcome(), Sample::Refused);
    check(Cause::Late.outcome(), Sample::Refused);
    check(Cause::Paused.outcome(), Sample::Refused);
}

#[test]
fn only_a_timeout_gives_a_latency_sample() {
    check(Outcome::Unknown(Uncertainty::Timeout), Sample::TimedOut(TIME));
    check(Outcome::Unknown(Uncertainty::Broken), Sample::Failed);
    check(Outcome::Unknown(Uncertainty::BadAnswer), Sample::Failed);
}
