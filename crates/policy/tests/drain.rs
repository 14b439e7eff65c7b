//! A planned stop ends, and without breaking calls in flight.

use policy::drain::{FLUSH_TIME, MIN_LEAVE_TIME, Plan, Progress, Step, next_step};
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

/// Guards against calls accepted later than planned because the stop began late, and against a stop that
/// exceeds its limit by its last messages.
#[test]
fn time_already_spent_does_not_move_the_close_or_the_end() {
    let whole = ms(5_400);
    for spent in [ms(0), ms(100), ms(2_500), ms(2_600)] {
        let plan = Plan::new(whole - spent, ms(600_000), ms(2_650));
        assert_eq!(spent + plan.close, ms(2_750));
        assert_eq!(spent + plan.limit + FLUSH_TIME, whole);
    }
    let late = Plan::new(whole - ms(3_000), ms(600_000), ms(2_650));
    assert_eq!((late.close, late.limit), (ms(0), ms(2_200)));
    let over = Plan::new(ms(0), ms(600_000), ms(2_650));
    assert_eq!((over.close, over.limit), (ms(0), ms(0)));
}

/// The time for calls in flight bounds a stop whose limit is longer.
#[test]
fn drain_time_bounds_the_stop() {
    let plan = Plan::new(ms(600_000), ms(4_000), ms(1_000));
    assert_eq!((plan.close, plan.limit), (ms(3_000), ms(4_000)));
    let short = Plan::new(ms(600_000), ms(0), ms(2_000));
    assert_eq!((short.close, short.limit), (ms(0), MIN_LEAVE_TIME));
}
