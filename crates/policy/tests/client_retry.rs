//! Recognition of retries by refused callers, and the times at which they may return.

use model::{request::Fingerprint, time::Time};
use policy::{
    client_retry::{Attempt, History, returns::Promises},
    fairness::Usage,
    urgency::Timing,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
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

/// A caller that is refused at `now` and can still meet its objective.
fn caller(now: u64, objective: u64) -> Timing {
    Timing {
        received: at(now),
        deadline: at(now + 2 * objective),
        attempt: Attempt::First,
        elapsed: Duration::ZERO,
        objective: Duration::from_millis(objective),
        expected: Duration::from_millis(20),
    }
}

/// The usage at 10 s after 100 answered calls per second.
fn usage() -> Usage {
    let mut usage = Usage::default();
    (0..1_000).for_each(|call| usage.record(at(call * 10)));
    usage
}

/// Guards against many callers that are refused at once and find the same queue again.
#[test]
fn returns_use_at_most_half_of_the_answered_rate() {
    let (mut promises, mut random) = (Promises::default(), SmallRng::seed_from_u64(3));
    let mut refuse =
        || promises.promise(caller(10_000, 9_000), Duration::ZERO, usage(), &mut random);
    let mut delays: Vec<Duration> =
        (0..150).map(|_| refuse().expect("calls were answered")).collect();
    delays.sort();
    assert!(delays[0] >= Duration::from_millis(15) && delays[0] < Duration::from_millis(20));
    for first in &delays {
        let last = *first + Duration::from_millis(500);
        let within = delays.iter().filter(|delay| (*first..last).contains(delay)).count();
        assert!(within <= 25 + 5, "{within} returns within 500 ms of {first:?}");
    }
    // Half of 100 calls per second, later by up to a tenth.
    let last = delays[149].as_secs_f64();
    assert!((2.9..3.4).contains(&last), "{last}");
}

/// Guards against callers who are refused one after the other and are all told to return at once, since no
/// promise is in force any more.
#[test]
fn returns_of_a_lasting_overload_use_at_most_half_of_the_answered_rate() {
    let (mut promises, mut random) = (Promises::default(), SmallRng::seed_from_u64(7));
    let mut usage = Usage::default();
    let mut returns = Vec::new();
    for now in (10_000..16_000).step_by(20) {
        if now % 100 == 0 {
            usage.record(at(now));
        }
        let delay = promises.promise(caller(now, 60_000), Duration::ZERO, usage, &mut random);
        returns.extend(delay.map(|delay| at(now) + delay));
    }
    // Ten calls are answered per second; the count of the first second is still low.
    let early = returns.iter().filter(|time| **time < at(16_000)).count();
    assert!(early <= 6 * 5 + 2, "{early}");
}

/// Guards against a `Retry-After` that callers do not honour or that misses the objective.
#[test]
fn returns_stay_within_what_the_caller_can_use() {
    let (mut promises, mut random) = (Promises::default(), SmallRng::seed_from_u64(4));
    let mut usage = usage();
    for number in 0..4_000 {
        let now = 10_000 + number * 2;
        usage.record(at(now));
        let timing = Timing {
            elapsed: Duration::from_millis(random.random_range(0..500)),
            ..caller(now, random.random_range(100..900))
        };
        let earliest = Duration::from_millis(random.random_range(0..20) * (number % 100));
        let Some(delay) = promises.promise(timing, earliest, usage, &mut random) else { continue };
        let slack = timing.due().since(timing.received + timing.expected);
        let limit = match slack > Duration::from_millis(30) {
            true => slack.mul_f64(0.6),
            false => timing.deadline.since(timing.received).mul_f64(0.3),
        };
        assert!(delay <= limit.max(Duration::from_millis(15)), "{delay:?}, {timing:?}");
        assert!(delay >= Duration::from_millis(15).min(limit), "{delay:?}, {timing:?}");
    }
}

/// Guards against callers of a restarted node, or of a service that answers nothing, that are told to wait for a
/// rate that is not known.
#[test]
fn returns_are_not_paced_without_answered_calls() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut promise = |usage, now| {
        let mut promises = Promises::default();
        promises.promise(caller(now, 900), Duration::ZERO, usage, &mut random)
    };
    assert_eq!(promise(Usage::default(), 10_000), None);
    assert!(promise(usage(), 10_000).is_some());
    assert_eq!(promise(usage(), 25_000), None, "the calls were answered too long ago");
}

/// Guards against unbounded memory while callers are refused for minutes, and against times that stay taken.
#[test]
fn promises_are_bounded_and_expire_with_their_time() {
    let (mut promises, mut random) = (Promises::default(), SmallRng::seed_from_u64(6));
    let mut refuse = |now, callers| {
        let timing = caller(now, 9_000);
        let promise = |_| promises.promise(timing, Duration::ZERO, usage(), &mut random);
        let promised = (0..callers).filter_map(promise).count();
        (promised, promises.in_force(at(now)), promises.in_force(at(now + 30_000)))
    };
    assert_eq!(refuse(10_000, 5_000), (1_024, 1_024, 0));
    let (promised, in_force, _) = refuse(12_000, 5_000);
    assert!(promised > 90 && in_force == 1_024, "{promised}, {in_force}");
}
