//! A planned stop ends, and not in the midst of calls.

use policy::drain::{Plan, Progress, Step, next_step};
use std::time::Duration;

const PLAN: Plan = Plan { close: ms(2_000), limit: ms(4_000) };

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[track_caller]
fn check(elapsed: u64, closed: Option<u64>, idle: u64, expect: Step) {
    let progress = Progress { elapsed: ms(elapsed), closed: closed.map(ms), idle: ms(idle) };
    assert_eq!(next_step(PLAN, progress), expect);
}

#[test]
fn a_node_with_nothing_in_hand_ends_once_others_have_heard_that_it_leaves() {
    check(0, None, 5_000, Step::Wait);
    check(999, None, 5_000, Step::Wait);
    check(1_000, None, 299, Step::Wait);
    check(1_000, None, 300, Step::Close);
    check(1_099, Some(99), 399, Step::Wait);
    check(1_100, Some(100), 400, Step::End);
    check(2_500, Some(500), 300, Step::End);
}

/// A terminal's call is cut by a node that had nothing to do: it was to stop, stood still for a second
/// with nothing in hand, and took that for quiet as it woke, just as the calls of that second came in.
/// Seen in a soak; such calls are refused by a node that has closed, and go elsewhere.
#[test]
fn a_node_that_stood_still_with_nothing_in_hand_closes_first() {
    check(2_600, None, 1_300, Step::Close);
    check(2_605, Some(5), 0, Step::Wait);
    check(2_950, Some(350), 299, Step::Wait);
    check(2_960, Some(360), 300, Step::End);
}

#[test]
fn a_node_with_calls_in_hand_closes_and_ends_at_its_limit() {
    check(1_999, None, 0, Step::Wait);
    check(2_000, None, 0, Step::Close);
    check(3_999, Some(1_999), 0, Step::Wait);
    check(4_000, Some(2_000), 0, Step::End);
}

/// A cashier is told that nobody knows whether a payment was made: the node that carried it was to
/// stop, stood still until its time was over, and ended as soon as it woke. Seen once in a soak: two
/// calls cut at a node that had never refused one; proved by holding a stopping process for 4.5 s.
#[test]
fn a_node_that_stood_still_closes_first_and_lets_calls_end() {
    check(4_500, None, 0, Step::Close);
    check(4_510, Some(10), 0, Step::Wait);
    check(4_800, Some(300), 300, Step::End);
    check(4_999, Some(499), 0, Step::Wait);
    check(5_000, Some(500), 0, Step::End);
}

/// A profile that grants less than the announcement takes still gives calls in hand their time.
#[test]
fn a_limit_before_the_close_closes_too() {
    let plan = Plan { close: ms(3_000), limit: ms(1_000) };
    let progress = Progress { elapsed: ms(1_000), closed: None, idle: ms(0) };
    assert_eq!(next_step(plan, progress), Step::Close);
}
