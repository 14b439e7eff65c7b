//! Who among the callers has been refused before.

use model::{request::Fingerprint, time::Time};
use policy::client_retry::{Attempt, History};
use std::time::Duration;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

const KEY: Fingerprint = Fingerprint(42);

/// A register that refused `KEY` at 20 ms, asked it back after 100 ms, and knows that its time is
/// over at 900 ms.
fn refused() -> History {
    let mut register = History::default();
    register.record(KEY, at(10), at(20), Duration::from_millis(100), at(900));
    register
}

#[track_caller]
fn check(now: u64, attempt: Attempt, begun: u64) {
    assert_eq!(refused().take(KEY, at(now)), (attempt, at(begun)));
}

#[test]
fn the_time_of_the_first_attempt_is_remembered_until_the_caller_has_none_left() {
    check(120, Attempt::Retry, 10);
    check(100, Attempt::Retry, 10);
    check(99, Attempt::Early, 10);
    check(899, Attempt::Retry, 10);
    check(900, Attempt::First, 900);
}

/// A grocer's lookup is refused twice and the cashier guesses: callers start with times that differ
/// by 15 in 100, so the time left made every new caller look like one who had come back, and those
/// who had were not put first.
#[test]
fn new_callers_are_told_from_returning_ones_whatever_time_they_have() {
    let mut register = refused();
    assert_eq!(register.take(Fingerprint(43), at(130)), (Attempt::First, at(130)));
    assert_eq!(register.take(KEY, at(130)), (Attempt::Retry, at(10)));
}

#[test]
fn one_refusal_stands_for_one_attempt() {
    let mut register = refused();
    assert_eq!(register.take(KEY, at(130)), (Attempt::Retry, at(10)));
    assert_eq!(register.take(KEY, at(140)), (Attempt::First, at(140)));
}

#[test]
fn a_second_refusal_keeps_the_time_of_the_first_attempt() {
    let mut register = refused();
    let (_, begun) = register.take(KEY, at(130));
    register.record(KEY, begun, at(140), Duration::from_millis(50), at(900));
    assert_eq!(register.take(KEY, at(200)), (Attempt::Retry, at(10)));
}

/// A node is killed for want of memory: it refuses for minutes and remembers everybody.
#[test]
fn the_register_is_bounded_and_forgets_the_oldest() {
    let mut register = History::default();
    for key in 0..10_000 {
        register.record(Fingerprint(key), at(key), at(key), Duration::ZERO, at(1_000_000));
    }
    assert_eq!(register.take(Fingerprint(0), at(10_000)).0, Attempt::First);
    assert_eq!(register.take(Fingerprint(9_999), at(10_000)), (Attempt::Retry, at(9_999)));
    assert!(register.len() <= 4_096, "{}", register.len());
}
