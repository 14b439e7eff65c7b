//! Tests of the attribution of nested calls to running requests.

use model::time::Time;
use policy::{
    admission::Rank,
    budget::{Benefit, Lineage},
    nested::Run,
};

use super::{Guard, Registry};

/// Deadline of all requests.
const DEADLINE: Time = Time::from_millis(1_000);

fn begin(running: &Registry, id: &str, rank: Rank, lineage: Lineage) -> Guard {
    running.begin(id, rank, lineage, DEADLINE)
}

#[track_caller]
fn check(running: &Registry, id: &str, expect: bool) {
    assert_eq!(running.parent_of(id).is_some(), expect, "{id}");
}

/// Guards against calls of callers that get the priority of nested calls.
#[test]
fn only_calls_for_a_running_request_are_nested() {
    let running = Registry::default();
    check(&running, "9c41.77", false);
    let guard = begin(&running, "9c41", Rank::default(), Lineage::First);
    check(&running, "9c41.77", true);
    check(&running, "9c41", false);
    check(&running, "9c42.77", false);
    check(&running, "9c41.77.3", false);
    drop(guard);
    check(&running, "9c41.77", false);
}

#[test]
fn a_request_that_runs_twice_is_registered_until_both_runs_end() {
    let running = Registry::default();
    let begin = || begin(&running, "9c41", Rank::default(), Lineage::First);
    let (first, second) = (begin(), begin());
    drop(first);
    check(&running, "9c41.77", true);
    drop(second);
    check(&running, "9c41.77", false);
}

/// Guards against later nested calls that are ranked without regard to those already answered.
#[test]
fn a_parent_counts_its_answered_nested_calls() {
    let running = Registry::default();
    let rank = Rank { priority: 9, ..Rank::default() };
    let _guard = begin(&running, "9c41", rank, Lineage::First);
    running.answered("9c41.77");
    running.answered("other.77");
    running.answered("9c41");
    let parent = running.parent_of("9c41.78").expect("it runs");
    assert_eq!((parent.rank, parent.answered), (rank, 1));
}

/// Guards against calls of a retried run that no node counts towards the retry budget.
#[test]
fn nested_calls_of_a_retry_count_as_retries() {
    let running = Registry::default();
    let _first = begin(&running, "9c41", Rank::default(), Lineage::First);
    let _retry = begin(&running, "9c42", Rank::default(), Lineage::Retry);
    assert_eq!(running.lineage_of("9c41.7"), Lineage::First);
    assert_eq!(running.lineage_of("9c42.7"), Lineage::Retry);
    assert_eq!(running.lineage_of("9c42"), Lineage::First);
    assert_eq!(running.lineage_of("9c43.7"), Lineage::First);
}

/// Guards against nested calls of a retry that count as first ones, since its upstream goes on after the
/// connection was closed.
#[test]
fn nested_calls_of_an_ended_retry_count_as_retries_until_its_deadline() {
    let running = Registry::default();
    drop(begin(&running, "9c41", Rank::default(), Lineage::Retry));
    drop(begin(&running, "9c42", Rank::default(), Lineage::First));
    assert_eq!(running.lineage_of("9c41.7"), Lineage::Retry);
    assert_eq!(running.lineage_of("9c42.7"), Lineage::First);
    check(&running, "9c41.7", false);
    running.remove_expired(Time::from_millis(999));
    assert_eq!(running.lineage_of("9c41.7"), Lineage::Retry);
    running.remove_expired(DEADLINE);
    assert_eq!(running.lineage_of("9c41.7"), Lineage::First);
}

/// Guards against nested calls of a retry that count as those of an earlier attempt at the same upstream.
#[test]
fn nested_calls_of_two_runs_with_one_id_count_as_retries() {
    let running = Registry::default();
    let _first = begin(&running, "9c41", Rank::default(), Lineage::First);
    let retry = begin(&running, "9c41", Rank::default(), Lineage::Retry);
    assert_eq!(running.lineage_of("9c41.7"), Lineage::Retry);
    drop(retry);
    assert_eq!(running.lineage_of("9c41.7"), Lineage::Retry);
}

/// Guards against a retry for a parent that has ended which counts as the only one that its parent needs.
#[test]
fn a_retry_for_an_unknown_parent_completes_no_call() {
    let running = Registry::default();
    assert!(running.begin_nested("9c41.7", Time::default()).is_none());
    let parent = begin(&running, "9c41", Rank::default(), Lineage::First);
    let nested = running.begin_nested("9c41.7", Time::default()).expect("its parent runs");
    assert_eq!(nested.benefit(), Benefit::Completes);
    drop(parent);
    assert_eq!(nested.benefit(), Benefit::Partial);
    assert_eq!(nested.settled_at(Time::default()), None);
}

/// Guards against a refusal that is forgotten when the nested call ends, or kept after it was answered.
#[test]
fn a_refused_sibling_counts_until_it_is_answered() {
    let running = Registry::default();
    let _parent = begin(&running, "9c41", Rank::default(), Lineage::First);
    let begin = |id| running.begin_nested(id, Time::default()).expect("its parent runs");
    let (nested, sibling) = (begin("9c41.7"), begin("9c41.8"));
    assert!(nested.settled_at(Time::default()).is_some());
    sibling.record_refusal();
    drop(sibling);
    assert_eq!(nested.benefit(), Benefit::Partial);
    running.answered("9c41.8");
    assert_eq!(nested.benefit(), Benefit::Completes);
}

/// Guards against nested calls that are counted for no route or for that of another request.
#[test]
fn nested_calls_are_counted_for_the_route_of_their_parent() {
    let running = Registry::default();
    let first = begin(&running, "9c41", Rank::default(), Lineage::First);
    let second = begin(&running, "9c42", Rank::default(), Lineage::First);
    first.set_nested(Run::new("orders", 2));
    assert_eq!(running.count_nested("9c41.7", "loyalty"), Some(2));
    assert_eq!(running.count_nested("9c42.7", "loyalty"), None);
    assert_eq!(running.count_nested("9c41", "loyalty"), None);
    assert_eq!(running.count_nested("9c43.7", "loyalty"), None);
    assert!(first.take_nested().is_some());
    assert!(second.take_nested().is_none());
}

/// Guards against a run that counts twice, or without the nested calls of another run with its id.
#[test]
fn the_last_of_two_runs_with_one_id_takes_the_nested_calls() {
    let running = Registry::default();
    let first = begin(&running, "9c41", Rank::default(), Lineage::First);
    let second = begin(&running, "9c41", Rank::default(), Lineage::First);
    first.set_nested(Run::new("orders", 2));
    second.set_nested(Run::new("orders", 2));
    assert_eq!(running.count_nested("9c41.7", "loyalty"), Some(2));
    assert!(first.take_nested().is_none());
    drop(first);
    assert_eq!(running.count_nested("9c41.8", "loyalty"), Some(2));
    assert!(second.take_nested().is_some());
}
