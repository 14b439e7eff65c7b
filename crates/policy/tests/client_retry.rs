//! Recognition of retries by refused callers.

use model::{request::Fingerprint, time::Time};
use policy::client_retry::{Attempt, History};
use std::time::Duration;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

const KEY: Fingerprint = Fingerprint(42);

/// A history with a refusal of `KEY` at 20 ms, a `Retry-After` of 100 ms and a caller timeout at
/// 900 ms.
fn refused() -> History {
    let mut history = History::default();
    history.record(KEY, at(10), at(20), Duration::from_millis(100), at(900));
    history
}

#[track_caller]
fn check(now: u64, attempt: Attempt, first_arrival: u64) {
    assert_eq!(refused().take(KEY, at(now)), (attempt, at(first_arrival)));
}

#[test]
fn first_attempt_is_remembered_until_the_caller_times_out() {
    check(120, Attempt::Retry, 10);
    check(100, Attempt::Retry, 10);
    check(99, Attempt::Early, 10);
    check(899, Attempt::Retry, 10);
    check(900, Attempt::First, 900);
}

/// Guards against first attempts that are taken for retries because callers start with different
/// timeouts.
#[test]
fn first_attempts_and_retries_are_distinguished_by_fingerprint() {
    let mut history = refused();
    assert_eq!(history.take(Fingerprint(43), at(130)), (Attempt::First, at(130)));
    assert_eq!(history.take(KEY, at(130)), (Attempt::Retry, at(10)));
}

#[test]
fn refusal_matches_one_attempt_only() {
    let mut history = refused();
    assert_eq!(history.take(KEY, at(130)), (Attempt::Retry, at(10)));
    assert_eq!(history.take(KEY, at(140)), (Attempt::First, at(140)));
}

#[test]
fn second_refusal_keeps_the_time_of_the_first_attempt() {
    let mut history = refused();
    let (_, first_arrival) = history.take(KEY, at(130));
    history.record(KEY, first_arrival, at(140), Duration::from_millis(50), at(900));
    assert_eq!(history.take(KEY, at(200)), (Attempt::Retry, at(10)));
}

/// Guards against unbounded memory on a node that refuses calls for minutes.
#[test]
fn history_is_bounded_and_evicts_the_oldest() {
    let mut history = History::default();
    for key in 0..10_000 {
        history.record(Fingerprint(key), at(key), at(key), Duration::ZERO, at(1_000_000));
    }
    assert_eq!(history.take(Fingerprint(0), at(10_000)).0, Attempt::First);
    assert_eq!(history.take(Fingerprint(9_999), at(10_000)), (Attempt::Retry, at(9_999)));
    assert!(history.len() <= 4_096, "{}", history.len());
}
