//! Choice of an upstream by power of two choices, and the health record that it uses.

use model::time::Time;
use policy::{
    choice::{Candidate, Reach, choose},
    health::{Change, Record, Sample},
    retry::Kind,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

const SLOW_START: Duration = Duration::from_secs(2);
const DRAWS: usize = 2_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An upstream known since the start that answers with the given latency.
fn warm(latency: Duration) -> Record {
    let mut record = Record::new(at(0));
    record.begin();
    record.end(at(0), Sample::Answered(latency));
    record
}

fn ejected() -> Record {
    let mut record = warm(ms(1));
    record.begin();
    assert_eq!(record.end(at(9_900), Sample::Unreachable), Change::Ejected);
    record
}

fn candidate(record: &Record, local: bool) -> Candidate<'_> {
    Candidate { record, local, tried: false }
}

/// Makes many choices and compares the set of chosen candidates.
#[track_caller]
fn check(candidates: &[Candidate<'_>], reach: Reach, expect: &[usize]) {
    let mut random = SmallRng::seed_from_u64(3);
    let mut chosen: Vec<usize> = (0..DRAWS)
        .filter_map(|_| choose(candidates, reach, Kind::Once, SLOW_START, at(10_000), &mut random))
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, expect);
}

#[test]
fn local_upstreams_are_preferred() {
    let (healthy, ejected) = (warm(ms(1)), ejected());
    let (local, remote) = (candidate(&healthy, true), candidate(&healthy, false));
    check(&[remote, local, local, remote], Reach::Failover, &[1, 2]);
    check(&[remote, candidate(&ejected, true)], Reach::Failover, &[0]);
    check(&[remote, remote], Reach::LocalOnly, &[]);
    check(&[], Reach::Failover, &[]);
}

#[test]
fn tried_upstream_is_not_chosen_again() {
    let healthy = warm(ms(1));
    let tried = Candidate { tried: true, ..candidate(&healthy, true) };
    check(&[tried, candidate(&healthy, true)], Reach::Failover, &[1]);
    check(&[tried], Reach::Failover, &[]);
}

/// Guards against a service without upstreams after a short network fault that ejected all of them.
#[test]
fn ejected_upstream_is_chosen_if_no_other_is_left() {
    cov_mark::check!(choice_uses_ejected);
    let ejected = ejected();
    check(&[candidate(&ejected, true)], Reach::LocalOnly, &[0]);
    check(&[candidate(&ejected, false)], Reach::Failover, &[0]);
}

/// Returns the share of choices that take the first of two candidates.
fn share(first: &Record, second: &Record, now: Time) -> f64 {
    let mut random = SmallRng::seed_from_u64(5);
    let mut records = [first.clone(), second.clone()];
    let mut count = 0;
    for _ in 0..DRAWS {
        let candidates: Vec<Candidate<'_>> = records.iter().map(|r| candidate(r, true)).collect();
        let chosen =
            choose(&candidates, Reach::LocalOnly, Kind::Once, SLOW_START, now, &mut random);
        let chosen = chosen.expect("two candidates are available");
        count += usize::from(chosen == 0);
        records[chosen].begin();
        if records.iter().map(Record::in_flight).sum::<usize>() >= 20 {
            records.iter_mut().for_each(|r| (0..r.in_flight()).for_each(|_| r.abandon()));
        }
    }
    count as f64 / DRAWS as f64
}

/// Guards against an equal share of calls for an upstream on slower hardware.
#[test]
fn slow_upstream_gets_fewer_calls() {
    let equal = share(&warm(ms(5)), &warm(ms(5)), at(10_000));
    let slow = share(&warm(ms(50)), &warm(ms(5)), at(10_000));
    assert!((0.45..0.55).contains(&equal), "{equal}");
    assert!(slow < 0.12, "{slow}");
}

#[test]
fn new_upstream_starts_with_a_small_share() {
    let cold = Record::new(at(9_900));
    let cold_share = share(&cold, &warm(ms(5)), at(10_000));
    assert!(cold_share < 0.2, "{cold_share}");
    let warm = share(&cold, &warm(ms(5)), at(20_000));
    assert!((0.45..0.55).contains(&warm), "{warm}");
}

#[test]
fn consecutive_failures_eject_and_an_answer_resets_the_count() {
    let mut record = Record::new(at(0));
    let mut end = |sample| {
        record.begin();
        record.end(at(0), sample)
    };
    assert_eq!(end(Sample::Failed), Change::None);
    assert_eq!(end(Sample::Failed), Change::None);
    assert_eq!(end(Sample::Answered(ms(1))), Change::None);
    assert_eq!(end(Sample::Failed), Change::None);
    assert_eq!(end(Sample::Failed), Change::None);
    assert_eq!(end(Sample::Failed), Change::Ejected);
    assert!(record.is_ejected(at(499)));
    assert!(!record.is_ejected(at(500)));
}

/// Guards against an unknown outcome when the first call after an ejection is not idempotent and
/// the upstream is still frozen.
#[test]
fn upstream_on_probation_gets_only_idempotent_calls() {
    let mut record = warm(ms(1));
    record.begin();
    record.end(at(1_000), Sample::Unreachable);
    let accepts = |record: &Record, now| {
        (record.accepts(Kind::Once, at(now)), record.accepts(Kind::Idempotent, at(now)))
    };
    assert_eq!(accepts(&record, 1_400), (false, false));
    assert_eq!(accepts(&record, 1_600), (false, true));
    record.begin();
    assert_eq!(accepts(&record, 1_600), (false, false));
    record.abandon();
    assert_eq!(accepts(&record, 31_000), (true, true));
    record.begin();
    record.end(at(1_700), Sample::Answered(ms(1)));
    assert_eq!(accepts(&record, 1_700), (true, true));
}

/// Guards against further calls to an unresponsive upstream until the failure limit is reached.
#[test]
fn unresponsive_upstream_is_avoided_at_once_and_only_for_a_while() {
    let mut unresponsive = warm(ms(2));
    unresponsive.begin();
    assert_eq!(unresponsive.end(at(9_000), Sample::TimedOut(ms(600))), Change::None);
    assert!(share(&unresponsive, &warm(ms(2)), at(9_001)) < 0.05);
    let later = unresponsive.latency(at(60_000)).expect("the record has a latency");
    assert!(later < ms(1), "{later:?}");
}
