//! Which calls belong to work that the own upstream does.

use super::Running;

#[track_caller]
fn check(running: &Running, id: &str, expect: bool) {
    assert_eq!(running.is_parent_of(id), expect, "{id}");
}

/// Every call of a caller counts as one of the upstream's own, goes first and waits for long, since
/// both come from the same address; under load nobody is served in time.
#[test]
fn only_calls_made_for_running_work_are_the_upstream_s_own() {
    let running = Running::default();
    check(&running, "9c41.77", false);
    let entry = running.begin("9c41");
    check(&running, "9c41.77", true);
    check(&running, "9c41", false);
    check(&running, "9c42.77", false);
    check(&running, "9c41.77.3", false);
    drop(entry);
    check(&running, "9c41.77", false);
}

#[test]
fn work_that_runs_twice_ends_twice() {
    let running = Running::default();
    let (first, second) = (running.begin("9c41"), running.begin("9c41"));
    drop(first);
    check(&running, "9c41.77", true);
    drop(second);
    check(&running, "9c41.77", false);
}
