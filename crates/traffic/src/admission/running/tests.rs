//! Which calls belong to work that the own upstream does.

use policy::admission::Rank;

use super::Registry;

#[track_caller]
fn check(running: &Registry, id: &str, expect: bool) {
    assert_eq!(running.parent_of(id).is_some(), expect, "{id}");
}

/// Every call of a caller counts as one of the upstream's own, goes first and waits for long, since
/// both come from the same address; under load nobody is served in time.
#[test]
fn only_calls_made_for_running_work_are_the_upstream_s_own() {
    let running = Registry::default();
    check(&running, "9c41.77", false);
    let entry = running.begin("9c41", Rank::default());
    check(&running, "9c41.77", true);
    check(&running, "9c41", false);
    check(&running, "9c42.77", false);
    check(&running, "9c41.77.3", false);
    drop(entry);
    check(&running, "9c41.77", false);
}

#[test]
fn work_that_runs_twice_ends_twice() {
    let running = Registry::default();
    let begin = || running.begin("9c41", Rank::default());
    let (first, second) = (begin(), begin());
    drop(first);
    check(&running, "9c41.77", true);
    drop(second);
    check(&running, "9c41.77", false);
}

/// The second check of a lookup is refused like any first one, and the first was made in vain.
#[test]
fn work_knows_how_far_it_is() {
    let running = Registry::default();
    let rank = Rank { priority: 9, ..Rank::default() };
    let _entry = running.begin("9c41", rank);
    running.answered("9c41.77");
    running.answered("other.77");
    running.answered("9c41");
    let work = running.parent_of("9c41.78").expect("it runs");
    assert_eq!((work.rank, work.answered), (rank, 1));
}
