//! Choice of upstream and what an entry node has seen of each.

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

/// An upstream known since the start, with answers of the given latency.
fn seasoned(latency: Duration) -> Record {
    let mut record = Record::new(at(0));
    record.begin();
    record.end(at(0), Sample::Answered(latency));
    record
}

fn ejected() -> Record {
    let mut record = seasoned(ms(1));
    record.begin();
    assert_eq!(record.end(at(9_900), Sample::Unreachable), Change::Ejected);
    record
}

fn candidate(record: &Record, local: bool) -> Candidate<'_> {
    Candidate { record, local, tried: false }
}

/// Draws often and compares which candidates were ever chosen.
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
fn the_own_data_centre_comes_first() {
    let (fine, out) = (seasoned(ms(1)), ejected());
    let (near, far) = (candidate(&fine, true), candidate(&fine, false));
    check(&[far, near, near, far], Reach::Failover, &[1, 2]);
    check(&[far, candidate(&out, true)], Reach::Failover, &[0]);
    check(&[far, far], Reach::LocalOnly, &[]);
    check(&[], Reach::Failover, &[]);
}

#[test]
fn an_upstream_already_tried_is_not_tried_again() {
    let fine = seasoned(ms(1));
    let tried = Candidate { tried: true, ..candidate(&fine, true) };
    check(&[tried, candidate(&fine, true)], Reach::Failover, &[1]);
    check(&[tried], Reach::Failover, &[]);
}

/// The buffet runs empty although all kitchens' upstreams are up: a short fault of the network had
/// each of them ejected, and nobody was left to ask.
#[test]
fn ejection_never_empties_a_service() {
    cov_mark::check!(choice_takes_ejected);
    let out = ejected();
    check(&[candidate(&out, true)], Reach::LocalOnly, &[0]);
    check(&[candidate(&out, false)], Reach::Failover, &[0]);
}

/// Returns the share of draws that choose the first of two candidates.
fn share(first: &Record, second: &Record, now: Time) -> f64 {
    let mut random = SmallRng::seed_from_u64(5);
    let mut records = [first.clone(), second.clone()];
    let mut count = 0;
    for _ in 0..DRAWS {
        let candidates: Vec<Candidate<'_>> = records.iter().map(|r| candidate(r, true)).collect();
        let chosen =
            choose(&candidates, Reach::LocalOnly, Kind::Once, SLOW_START, now, &mut random);
        let chosen = chosen.expect("there are two");
        count += usize::from(chosen == 0);
        records[chosen].begin();
        if records.iter().map(Record::in_flight).sum::<usize>() >= 20 {
            records.iter_mut().for_each(|r| (0..r.in_flight()).for_each(|_| r.abandon()));
        }
    }
    count as f64 / DRAWS as f64
}

/// Stock lookups are late at opening: an old machine beside three new ones got as many calls as
/// they did and answered each ten times later.
#[test]
fn slow_old_hardware_gets_fewer_calls() {
    let fair = share(&seasoned(ms(5)), &seasoned(ms(5)), at(10_000));
    let slow = share(&seasoned(ms(50)), &seasoned(ms(5)), at(10_000));
    assert!((0.45..0.55).contains(&fair), "{fair}");
    assert!(slow < 0.12, "{slow}");
}

#[test]
fn a_cold_upstream_starts_with_a_small_share() {
    let cold = Record::new(at(9_900));
    let warming = share(&cold, &seasoned(ms(5)), at(10_000));
    assert!(warming < 0.2, "{warming}");
    let warm = share(&cold, &seasoned(ms(5)), at(20_000));
    assert!((0.45..0.55).contains(&warm), "{warm}");
}

#[test]
fn failures_in_a_row_eject_and_an_answer_forgives() {
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

/// A lost cover: an upstream that had frozen was let in again after its ejection, and the first
/// call to show that it was still frozen was one that could not be repeated.
#[test]
fn an_upstream_on_probation_is_tried_with_repeatable_calls() {
    let mut record = seasoned(ms(1));
    record.begin();
    record.end(at(1_000), Sample::Unreachable);
    let able = |record: &Record, now| {
        (record.accepts(Kind::Once, at(now)), record.accepts(Kind::Idempotent, at(now)))
    };
    assert_eq!(able(&record, 1_400), (false, false));
    assert_eq!(able(&record, 1_600), (false, true));
    record.begin();
    assert_eq!(able(&record, 1_600), (false, false));
    record.abandon();
    assert_eq!(able(&record, 31_000), (true, true));
    record.begin();
    record.end(at(1_700), Sample::Answered(ms(1)));
    assert_eq!(able(&record, 1_700), (true, true));
}

/// Lookups wait one after the other at an upstream that has gone silent: until three had failed in
/// a row, it was chosen as often as before.
#[test]
fn a_silent_upstream_is_avoided_at_once_and_not_for_ever() {
    let mut silent = seasoned(ms(2));
    silent.begin();
    assert_eq!(silent.end(at(9_000), Sample::TimedOut(ms(600))), Change::None);
    assert!(share(&silent, &seasoned(ms(2)), at(9_001)) < 0.05);
    let later = silent.latency(at(60_000)).expect("it has one");
    assert!(later < ms(1), "{later:?}");
}
