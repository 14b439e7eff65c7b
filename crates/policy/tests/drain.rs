//! A planned stop ends, and without breaking calls in flight.

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
fn idle_node_ends_after_its_leave_was_announced() {
    check(0, None, 5_000, Step::Wait);
    check(999, None, 5_000, Step::Wait);
    check(1_000, None, 299, Step::Wait);
    check(1_000, None, 300, Step::Close);
    check(1_099, Some(99), 399, Step::Wait);
    check(1_100, Some(100), 400, Step::End);
    check(2_500, Some(500), 300, Step::End);
}

/// Guards against broken calls after a pause of an idle node: the calls that arrived meanwhile are
/// refused and go elsewhere.
#[test]
fn idle_node_closes_before_it_ends_after_a_pause() {
    check(2_600, None, 1_300, Step::Close);
    check(2_605, Some(5), 0, Step::Wait);
    check(2_950, Some(350), 299, Step::Wait);
    check(2_960, Some(360), 300, Step::End);
}

#[test]
fn busy_node_closes_and_ends_at_its_limit() {
    check(1_999, None, 0, Step::Wait);
    check(2_000, None, 0, Step::Close);
    check(3_999, Some(1_999), 0, Step::Wait);
    check(4_000, Some(2_000), 0, Step::End);
}

/// Guards against unknown outcomes when a stopping node was paused until its limit and ends as soon
/// as it resumes.
#[test]
fn busy_node_closes_and_drains_calls_after_a_pause_until_its_limit() {
    check(4_500, None, 0, Step::Close);
    check(4_510, Some(10), 0, Step::Wait);
    check(4_800, Some(300), 300, Step::End);
    check(4_999, Some(499), 0, Step::Wait);
    check(5_000, Some(500), 0, Step::End);
}

/// The limit may be shorter than the time until the close.
#[test]
fn limit_shorter_than_the_close_time_closes_before_the_end() {
    let plan = Plan { close: ms(3_000), limit: ms(1_000) };
    let progress = Progress { elapsed: ms(1_000), closed: None, idle: ms(0) };
    assert_eq!(next_step(plan, progress), Step::Close);
}
