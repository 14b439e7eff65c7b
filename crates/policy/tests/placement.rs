//! Choice of an upstream by reported slots and load.

use model::time::Time;
use policy::{
    health::{Load, Record, Sample},
    placement::{Candidate, Cold, Locality, choose},
    retry::Kind,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

const DRAWS: usize = 1_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// An upstream with a mean latency of `latency_ms` and `others` calls of other nodes.
fn record(latency_ms: u64, others: usize) -> Record {
    let mut record = Record::new(at(0));
    record.begin();
    record.end(at(10_000), Sample::Answered(Duration::from_millis(latency_ms)));
    // Enough samples for the mean to converge, relative to a route mean of 80 ms.
    (0..30).for_each(|_| record.record_slowness(latency_ms as f64 / 80.0, at(10_000)));
    record.update_load(Load { busy: others, ..Load::default() }, at(10_000));
    record
}

fn candidate(record: &Record, locality: Locality) -> Candidate<'_> {
    Candidate {
        record,
        slots: 10,
        locality,
        tried: false,
        request_bytes: 0,
        response_bytes: 0,
        cold: Cold::No,
        refusals: 0,
    }
}

/// Returns the percentage of calls per candidate, without any call ending.
fn shares(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(5);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..DRAWS {
        let chosen = choose(candidates, Kind::Once, at(10_000), &mut random);
        counts[chosen.expect("an upstream is available")] += 1;
    }
    counts.into_iter().map(|count| count * 100 / DRAWS).collect()
}

#[track_caller]
fn check(candidates: &[Candidate<'_>], expect: usize) {
    let shares = shares(candidates);
    assert!(shares[expect] > 95, "{shares:?}");
}

#[test]
fn less_loaded_upstream_is_chosen() {
    let (idle, busy) = (record(80, 1), record(80, 8));
    check(&[candidate(&busy, Locality::DataCentre), candidate(&idle, Locality::DataCentre)], 1);
}

#[test]
fn equal_upstreams_share_calls_evenly() {
    let (a, b) = (record(80, 4), record(80, 4));
    let shares =
        shares(&[candidate(&a, Locality::DataCentre), candidate(&b, Locality::DataCentre)]);
    assert!(shares.iter().all(|&share| share > 40), "{shares:?}");
}

/// Guards against queues in one data centre while slots are free in another.
#[test]
fn calls_overflow_to_another_data_centre_before_a_queue_forms() {
    let (local, remote) = (record(80, 9), record(80, 3));
    check(&[candidate(&local, Locality::DataCentre), candidate(&remote, Locality::Remote)], 1);
    let (local, remote) = (record(80, 4), record(80, 3));
    check(&[candidate(&local, Locality::DataCentre), candidate(&remote, Locality::Remote)], 0);
}

/// Guards against traffic between data centres for calls with large responses while there are free
/// slots nearby.
#[test]
fn calls_with_large_responses_stay_local_at_higher_load() {
    let (local, remote) = (record(80, 8), record(80, 1));
    for (response_bytes, expect) in [(0, 1), (400, 1), (5_000, 0)] {
        let local = Candidate { response_bytes, ..candidate(&local, Locality::DataCentre) };
        let remote = Candidate { response_bytes, ..candidate(&remote, Locality::Remote) };
        check(&[local, remote], expect);
    }
}

/// Guards against refusals in a busy data centre while slots are free elsewhere: every attempt went
/// to a full upstream nearby.
#[test]
fn refusals_lower_the_cost_of_other_data_centres() {
    let (local, remote) = (record(80, 9), record(80, 3));
    for (refusals, expect) in [(0, 0), (1, 0), (3, 1)] {
        let of = |record, locality| Candidate {
            response_bytes: 5_000,
            refusals,
            ..candidate(record, locality)
        };
        check(&[of(&local, Locality::DataCentre), of(&remote, Locality::Remote)], expect);
    }
}

/// A large body leaves its data centre once the queues there are as long as the slots.
#[test]
fn large_body_leaves_a_data_centre_with_long_queues() {
    let (local, remote) = (record(80, 25), record(80, 0));
    let local = Candidate { request_bytes: 400_000, ..candidate(&local, Locality::Instance) };
    let remote = Candidate { request_bytes: 400_000, ..candidate(&remote, Locality::Remote) };
    check(&[local, remote], 1);
}

#[test]
fn large_bodies_stay_local_at_higher_load() {
    let (local, remote) = (record(80, 9), record(80, 3));
    let local = Candidate { request_bytes: 60_000, ..candidate(&local, Locality::DataCentre) };
    let remote = Candidate { request_bytes: 60_000, ..candidate(&remote, Locality::Remote) };
    check(&[local, remote], 0);
}

#[test]
fn large_body_stays_on_its_instance_while_slots_are_free() {
    let (colocated, local) = (record(80, 4), record(80, 2));
    let colocated =
        Candidate { request_bytes: 60_000, ..candidate(&colocated, Locality::Instance) };
    let local = Candidate { request_bytes: 60_000, ..candidate(&local, Locality::DataCentre) };
    check(&[colocated, local], 0);
}

/// Guards against late calls at a slow upstream whose slots are no fuller than those of others.
#[test]
fn slower_upstream_gets_fewer_calls() {
    let (slow, fast) = (record(400, 1), record(80, 4));
    check(&[candidate(&slow, Locality::DataCentre), candidate(&fast, Locality::DataCentre)], 1);
}

/// Guards against an upstream that attracts calls because it fails half of them quickly.
#[test]
fn partially_failing_upstream_gets_fewer_calls() {
    let mut failing = record(10, 0);
    for i in 0..20 {
        failing.begin();
        let ms = Duration::from_millis(10);
        let sample = if i % 2 == 0 { Sample::ErrorAnswer(ms) } else { Sample::Answered(ms) };
        failing.end(at(10_000), sample);
    }
    assert!((0.3..0.7).contains(&failing.failure_share(at(10_000))));
    let healthy = record(10, 2);
    check(
        &[candidate(&failing, Locality::DataCentre), candidate(&healthy, Locality::DataCentre)],
        1,
    );
}

#[test]
fn cold_upstream_gets_fewer_calls_but_some() {
    let (cold, warm) = (record(80, 3), record(80, 3));
    let cold = Candidate { cold: Cold::Slow, ..candidate(&cold, Locality::DataCentre) };
    check(&[cold, candidate(&warm, Locality::DataCentre)], 1);
    let idle = record(80, 0);
    let idle = Candidate { cold: Cold::Slow, ..candidate(&idle, Locality::DataCentre) };
    check(&[idle, candidate(&warm, Locality::DataCentre)], 0);
}

#[test]
fn tried_upstreams_are_excluded_and_ejected_ones_come_last() {
    let healthy = record(80, 9);
    let mut ejected = record(80, 0);
    ejected.begin();
    ejected.end(at(9_900), Sample::Unreachable);
    check(
        &[candidate(&ejected, Locality::DataCentre), candidate(&healthy, Locality::DataCentre)],
        1,
    );
    let tried = Candidate { tried: true, ..candidate(&healthy, Locality::DataCentre) };
    check(&[tried, candidate(&ejected, Locality::DataCentre)], 1);
    let mut random = SmallRng::seed_from_u64(5);
    assert_eq!(choose(&[tried], Kind::Once, at(10_000), &mut random), None);
}

/// Reported load decays with age.
#[test]
fn reported_load_decays() {
    let loaded = record(80, 8);
    assert!(loaded.expected_load(at(10_000)) > 7.9);
    assert!(loaded.expected_load(at(12_000)) < 0.6);
}

/// Guards against an upstream without calls after a restart of its node, because failed connections
/// doubled its ejection.
#[test]
fn only_ejections_for_failed_connections_end_early() {
    let mut ejected = record(80, 0);
    for _ in 0..4 {
        ejected.begin();
        ejected.end(at(9_900), Sample::Unreachable);
    }
    assert!(ejected.is_ejected(at(10_000)));
    ejected.reinstate(at(10_000));
    assert!(!ejected.is_ejected(at(10_000)));
    let mut failing = record(80, 0);
    for _ in 0..3 {
        failing.begin();
        failing.end(at(9_900), Sample::Failed);
    }
    failing.reinstate(at(10_000));
    assert!(failing.is_ejected(at(10_000)));
}
