//! Where an entry node sends a call when it knows slots and load.

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

/// An upstream that usually answers after `latency_ms` and holds `others` calls of other nodes.
fn record(latency_ms: u64, others: usize) -> Record {
    let mut record = Record::new(at(0));
    record.begin();
    record.end(at(10_000), Sample::Answered(Duration::from_millis(latency_ms)));
    // Enough calls that the average is theirs, beside others of the route that take 80 ms.
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

/// Returns how many of 100 calls each candidate gets, where none of them ends.
fn shares(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(5);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..DRAWS {
        let chosen = choose(candidates, Kind::Once, at(10_000), &mut random);
        counts[chosen.expect("one is able")] += 1;
    }
    counts.into_iter().map(|count| count * 100 / DRAWS).collect()
}

#[track_caller]
fn check(candidates: &[Candidate<'_>], expect: usize) {
    let shares = shares(candidates);
    assert!(shares[expect] > 95, "{shares:?}");
}

#[test]
fn the_emptier_upstream_is_taken() {
    let (idle, busy) = (record(80, 1), record(80, 8));
    check(&[candidate(&busy, Locality::DataCentre), candidate(&idle, Locality::DataCentre)], 1);
}

#[test]
fn equal_upstreams_share_the_calls() {
    let (a, b) = (record(80, 4), record(80, 4));
    let shares =
        shares(&[candidate(&a, Locality::DataCentre), candidate(&b, Locality::DataCentre)]);
    assert!(shares.iter().all(|&share| share > 40), "{shares:?}");
}

/// One data centre has three of six upstreams and a third of the callers; another has one. Calls
/// queue there while slots stand empty next door, as long as work leaves only when nothing is able.
#[test]
fn work_spills_over_before_a_queue_forms() {
    let (near, far) = (record(80, 9), record(80, 3));
    check(&[candidate(&near, Locality::DataCentre), candidate(&far, Locality::Remote)], 1);
    let (near, far) = (record(80, 4), record(80, 3));
    check(&[candidate(&near, Locality::DataCentre), candidate(&far, Locality::Remote)], 0);
}

/// Lookups cross between data centres by the thousand although there is room near by: their requests
/// are small, and nobody weighed the 5 KB that come back. Redemptions with answers of 400 bytes go
/// where there is more room.
#[test]
fn calls_with_large_answers_stay_near_for_longer() {
    let (near, far) = (record(80, 8), record(80, 1));
    for (response_bytes, expect) in [(0, 1), (400, 1), (5_000, 0)] {
        let near = Candidate { response_bytes, ..candidate(&near, Locality::DataCentre) };
        let far = Candidate { response_bytes, ..candidate(&far, Locality::Remote) };
        check(&[near, far], expect);
    }
}

/// Callers in the busiest data centre are refused while slots stand idle elsewhere: a call was
/// offered to four upstreams near by, one after the other, and all of them were full.
#[test]
fn a_refusal_makes_other_data_centres_nearer() {
    let (near, far) = (record(80, 9), record(80, 3));
    for (refusals, expect) in [(0, 0), (1, 0), (3, 1)] {
        let of = |record, locality| Candidate {
            response_bytes: 5_000,
            refusals,
            ..candidate(record, locality)
        };
        check(&[of(&near, Locality::DataCentre), of(&far, Locality::Remote)], expect);
    }
}

/// A body goes on to another data centre once a queue as long as the slots has formed near by,
/// however large the body is.
#[test]
fn no_body_is_too_large_to_leave_a_long_queue() {
    let (near, far) = (record(80, 25), record(80, 0));
    let near = Candidate { request_bytes: 400_000, ..candidate(&near, Locality::Instance) };
    let far = Candidate { request_bytes: 400_000, ..candidate(&far, Locality::Remote) };
    check(&[near, far], 1);
}

#[test]
fn large_bodies_stay_near_for_longer() {
    let (near, far) = (record(80, 9), record(80, 3));
    let near = Candidate { request_bytes: 60_000, ..candidate(&near, Locality::DataCentre) };
    let far = Candidate { request_bytes: 60_000, ..candidate(&far, Locality::Remote) };
    check(&[near, far], 0);
}

#[test]
fn a_large_body_stays_on_its_instance_while_there_is_room() {
    let (own, near) = (record(80, 4), record(80, 2));
    let own = Candidate { request_bytes: 60_000, ..candidate(&own, Locality::Instance) };
    let near = Candidate { request_bytes: 60_000, ..candidate(&near, Locality::DataCentre) };
    check(&[own, near], 0);
}

/// One of four upstreams turns five times slower; its calls miss their objective although its
/// slots are no fuller than the others'.
#[test]
fn a_slow_upstream_gets_less() {
    let (slow, fast) = (record(400, 1), record(80, 4));
    check(&[candidate(&slow, Locality::DataCentre), candidate(&fast, Locality::DataCentre)], 1);
}

/// An upstream fails half of its calls at once, with a good health check: it answers fast, is
/// never full, and draws calls from everywhere.
#[test]
fn an_upstream_that_fails_a_part_of_its_calls_gets_less() {
    let mut failing = record(10, 0);
    for i in 0..20 {
        failing.begin();
        let ms = Duration::from_millis(10);
        let sample = if i % 2 == 0 { Sample::ErrorAnswer(ms) } else { Sample::Answered(ms) };
        failing.end(at(10_000), sample);
    }
    assert!((0.3..0.7).contains(&failing.failure_share(at(10_000))));
    let sound = record(10, 2);
    check(&[candidate(&failing, Locality::DataCentre), candidate(&sound, Locality::DataCentre)], 1);
}

#[test]
fn a_cold_upstream_gets_some_and_less() {
    let (cold, warm) = (record(80, 3), record(80, 3));
    let cold = Candidate { cold: Cold::Slow, ..candidate(&cold, Locality::DataCentre) };
    check(&[cold, candidate(&warm, Locality::DataCentre)], 1);
    let idle = record(80, 0);
    let idle = Candidate { cold: Cold::Slow, ..candidate(&idle, Locality::DataCentre) };
    check(&[idle, candidate(&warm, Locality::DataCentre)], 0);
}

#[test]
fn tried_ones_are_left_out_and_ejected_ones_come_last() {
    let sound = record(80, 9);
    let mut out = record(80, 0);
    out.begin();
    out.end(at(9_900), Sample::Unreachable);
    check(&[candidate(&out, Locality::DataCentre), candidate(&sound, Locality::DataCentre)], 1);
    let tried = Candidate { tried: true, ..candidate(&sound, Locality::DataCentre) };
    check(&[tried, candidate(&out, Locality::DataCentre)], 1);
    let mut random = SmallRng::seed_from_u64(5);
    assert_eq!(choose(&[tried], Kind::Once, at(10_000), &mut random), None);
}

/// What a serving node told a second ago says little; the node's own calls count as they are.
#[test]
fn old_word_of_a_load_fades() {
    let told = record(80, 8);
    assert!(told.expected_load(at(10_000)) > 7.9);
    assert!(told.expected_load(at(12_000)) < 0.6);
}

/// An upstream whose node was restarted stays without calls for ten seconds, because refused
/// connections doubled its ejection, although the node has long been heard of again.
#[test]
fn a_node_that_is_heard_of_again_is_pardoned() {
    let mut out = record(80, 0);
    for _ in 0..4 {
        out.begin();
        out.end(at(9_900), Sample::Unreachable);
    }
    assert!(out.is_ejected(at(10_000)));
    out.reinstate(at(10_000));
    assert!(!out.is_ejected(at(10_000)));
    let mut failing = record(80, 0);
    for _ in 0..3 {
        failing.begin();
        failing.end(at(9_900), Sample::Failed);
    }
    failing.reinstate(at(10_000));
    assert!(failing.is_ejected(at(10_000)));
}
