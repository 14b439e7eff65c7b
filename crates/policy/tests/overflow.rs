//! Overflow between data centres under a demand peak.

use model::time::Time;
use policy::{
    health::{Load, Record, Sample},
    overflow::{Acceptance, MIN_ACCEPTANCE, Request, Response, Stage, choose},
    placement::{self, Candidate, Cold, Locality},
    retry::{Kind, may_offer},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// An upstream that reported its load at 10 s.
fn reported(busy: usize, waiting: usize) -> Record {
    let mut record = Record::new(at(0));
    record.update_load(Load { busy, waiting, ..Load::default() }, at(10_000));
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

/// Guards against a change of the decisions without overflow: the digest is that of the code before it.
#[test]
fn placement_without_overflow_is_unchanged() {
    let mut random = SmallRng::seed_from_u64(7);
    let localities = [Locality::Instance, Locality::DataCentre, Locality::Remote, Locality::Remote];
    let mut digest = 0u64;
    for n in 0..2_000usize {
        let load = |i: usize| (n * (i + 3) * 7 % 13, n * (i + 1) % 5);
        let mut records: Vec<Record> =
            (0..4).map(load).map(|(busy, waiting)| reported(busy, waiting)).collect();
        if n % 9 == 0 {
            records[n % 4].end(at(10_000), Sample::Unreachable);
        }
        let candidates: Vec<_> = (0..4)
            .map(|i| Candidate {
                tried: (n + i).is_multiple_of(6),
                refusals: (n % 4) as u32,
                response_bytes: n % 700,
                ..candidate(&records[i], localities[i])
            })
            .collect();
        let now = at(10_000) + Duration::from_millis(n as u64 % 600);
        let chosen = placement::choose(&candidates, Kind::Once, now, &mut random);
        let value = chosen.map_or(9, |index| index as u64);
        digest = digest.wrapping_mul(1_000_003).wrapping_add(value);
    }
    assert_eq!(digest, 8_391_583_272_105_088_948);
}

const PRIORITY: u8 = 9;

/// The own data centre and two others, of two upstreams each.
const UPSTREAMS: usize = 6;

fn data_centre(upstream: usize) -> usize {
    upstream / 2
}

fn request(stage: Stage, acceptance: f64, now: Time) -> Request {
    Request { stage, priority: PRIORITY, kind: Kind::Once, acceptance, now }
}

/// Whether overflow decides.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Switch {
    On,
    Off,
}

/// An entry node that makes 100 calls a second for two seconds.
struct Run {
    served: usize,
    offers: usize,
    remote: usize,
}

fn run(switch: Switch, is_full: fn(usize) -> bool) -> Run {
    let mut random = SmallRng::seed_from_u64(11);
    let mut records = vec![Record::new(at(0)); UPSTREAMS];
    let mut acceptance = Acceptance::default();
    let mut totals = Run { served: 0, offers: 0, remote: 0 };
    for now in (10_000..12_000).step_by(10).map(at) {
        let mut tried = Vec::new();
        while may_offer(tried.len()) {
            let of = |i: usize| Candidate {
                tried: tried.contains(&i),
                refusals: tried.len() as u32,
                ..candidate(&records[i], locality(i))
            };
            let candidates: Vec<_> = (0..UPSTREAMS).map(of).collect();
            let stage = if tried.is_empty() { Stage::First } else { Stage::Refused };
            let chosen = match switch {
                Switch::On => {
                    choose(&candidates, &request(stage, acceptance.share(now), now), &mut random)
                }
                Switch::Off => placement::choose(&candidates, Kind::Once, now, &mut random),
            };
            let Some(chosen) = chosen else { break };
            tried.push(chosen);
            let is_remote = data_centre(chosen) > 0;
            totals.offers += 1;
            totals.remote += usize::from(is_remote);
            let (busy, waiting) = if is_full(chosen) { (10, 5) } else { (4, 0) };
            records[chosen].update_load(Load { busy, waiting, ..Load::default() }, now);
            let response = if is_full(chosen) { Response::Refused } else { Response::Taken };
            if is_remote {
                acceptance.record(response, now);
            }
            if response == Response::Taken {
                totals.served += 1;
                break;
            }
            records[chosen].record_refusal(PRIORITY, now);
        }
    }
    totals
}

fn locality(upstream: usize) -> Locality {
    if data_centre(upstream) == 0 { Locality::DataCentre } else { Locality::Remote }
}

/// Load: a demand peak in all data centres, where offers elsewhere cost traffic and serve nothing.
#[test]
fn a_peak_in_all_data_centres_sends_few_offers_elsewhere() {
    let (on, off) = (run(Switch::On, |_| true), run(Switch::Off, |_| true));
    assert_eq!(off.offers, 800);
    assert!(on.offers < 400, "{}", on.offers);
    assert!(on.remote * 4 < off.remote, "{} of {}", on.remote, off.remote);
}

/// Load: the own data centre and another are full, and the third is idle.
#[test]
fn an_idle_data_centre_takes_the_calls_of_a_full_one() {
    let is_full = |upstream| data_centre(upstream) < 2;
    let (on, off) = (run(Switch::On, is_full), run(Switch::Off, is_full));
    assert!(on.served >= off.served, "{} of {}", on.served, off.served);
    assert!(on.offers < 260, "{}", on.offers);
}

/// Guards against offers elsewhere while slots are free nearby.
#[test]
fn calls_stay_in_their_data_centre_while_slots_are_free() {
    let run = run(Switch::On, |_| false);
    assert_eq!((run.served, run.offers, run.remote), (200, 200, 0));
}

/// Guards against many nodes that all send to the same idle upstream in one step.
#[test]
fn nodes_with_the_same_view_spread_their_calls() {
    let local = reported(10, 3);
    let remote: Vec<Record> = (0..4).map(|busy| reported(busy, 0)).collect();
    let mut candidates = vec![candidate(&local, Locality::DataCentre)];
    candidates.extend(remote.iter().map(|record| candidate(record, Locality::Remote)));
    let mut counts = [0; 5];
    for seed in 0..400 {
        let mut random = SmallRng::seed_from_u64(seed);
        let first = request(Stage::First, 1.0, at(10_000));
        counts[choose(&candidates, &first, &mut random).expect("one is free")] += 1;
    }
    assert!(counts.iter().all(|&count| count < 240), "{counts:?}");
}

/// Returns the choice among `candidates` at `now`, with an acceptance of `acceptance`.
fn choice(candidates: &[Candidate<'_>], stage: Stage, acceptance: f64, now: Time) -> Option<usize> {
    choose(candidates, &request(stage, acceptance, now), &mut SmallRng::seed_from_u64(3))
}

/// Guards against lasting exclusion by an old report or refusal.
#[test]
fn old_knowledge_excludes_no_upstream() {
    let mut full = reported(10, 1);
    full.record_refusal(PRIORITY, at(10_000));
    let remote = [candidate(&full, Locality::Remote)];
    assert_eq!(choice(&remote, Stage::Refused, 1.0, at(10_250)), None);
    assert_eq!(choice(&remote, Stage::Refused, 1.0, at(10_251)), Some(0));
}

/// Guards against exclusion of upstreams that never reported, or whose number of slots is unknown.
#[test]
fn an_upstream_without_knowledge_is_not_excluded() {
    let (new, full) = (Record::new(at(10_000)), reported(10, 1));
    assert_eq!(
        choice(&[candidate(&new, Locality::Remote)], Stage::Refused, 1.0, at(10_000)),
        Some(0)
    );
    let unknown = Candidate { slots: 0, ..candidate(&full, Locality::Remote) };
    assert_eq!(choice(&[unknown], Stage::Refused, 1.0, at(10_000)), Some(0));
}

/// Guards against knowledge about a node that has since restarted or was cut off.
#[test]
fn a_returned_node_is_not_excluded() {
    let mut returned = reported(10, 5);
    returned.record_refusal(PRIORITY, at(10_000));
    returned.end(at(10_010), Sample::Unreachable);
    returned.reinstate(at(10_020));
    let remote = [candidate(&returned, Locality::Remote)];
    assert_eq!(choice(&remote, Stage::Refused, 1.0, at(10_030)), Some(0));
}

/// Guards against calls that are never offered in a data centre that is cut off and full.
#[test]
fn a_cut_off_data_centre_offers_its_calls_to_its_own_upstreams() {
    let (local, mut remote) = (reported(10, 5), Record::new(at(0)));
    remote.end(at(10_000), Sample::Unreachable);
    let candidates =
        [candidate(&local, Locality::DataCentre), candidate(&remote, Locality::Remote)];
    assert_eq!(choice(&candidates, Stage::First, 1.0, at(10_000)), Some(0));
}

/// Guards against more than one lost offer by a report of free slots that is wrong.
#[test]
fn a_wrong_report_of_free_slots_costs_one_offer() {
    let mut wrong = reported(0, 0);
    wrong.record_refusal(PRIORITY, at(10_010));
    let other = reported(3, 0);
    let candidates = [candidate(&wrong, Locality::Remote), candidate(&other, Locality::Remote)];
    for _ in 0..20 {
        assert_eq!(choice(&candidates, Stage::Refused, 1.0, at(10_020)), Some(1));
    }
}

/// Guards against refusals of urgent calls because less urgent ones were refused.
#[test]
fn refusals_of_less_urgent_calls_exclude_no_upstream() {
    let mut record = reported(10, 0);
    record.record_refusal(PRIORITY + 1, at(10_000));
    assert_eq!(
        choice(&[candidate(&record, Locality::Remote)], Stage::Refused, 1.0, at(10_100)),
        Some(0)
    );
    record.record_refusal(PRIORITY - 1, at(10_050));
    record.record_refusal(PRIORITY + 1, at(10_300));
    assert!(record.is_known_full(10, PRIORITY, at(10_300)));
    assert!(!record.is_known_full(10, PRIORITY, at(10_301)));
}

/// Guards against calls that are never offered in a data centre without upstreams that accept calls.
#[test]
fn a_data_centre_without_upstreams_offers_its_calls_elsewhere_at_any_acceptance() {
    let (mut ejected, remote) = (Record::new(at(0)), reported(10, 5));
    ejected.end(at(10_000), Sample::Unreachable);
    let remote = candidate(&remote, Locality::Remote);
    for acceptance in [1.0, 0.2, 0.0] {
        assert_eq!(choice(&[remote], Stage::First, acceptance, at(10_000)), Some(0));
        let candidates = [candidate(&ejected, Locality::DataCentre), remote];
        assert_eq!(choice(&candidates, Stage::First, acceptance, at(10_000)), Some(1));
    }
}

/// Guards against offers elsewhere while other data centres refuse nearly all of them, by nodes that know
/// nothing about the upstreams there.
#[test]
fn calls_stay_in_their_data_centre_at_low_acceptance() {
    let (full, new) = (reported(10, 5), Record::new(at(0)));
    let candidates = [candidate(&full, Locality::DataCentre), candidate(&new, Locality::Remote)];
    assert_eq!(choice(&candidates, Stage::First, 0.24, at(10_000)), Some(0));
    assert_eq!(choice(&candidates, Stage::Refused, 0.24, at(10_000)), None);
    assert_eq!(choice(&candidates, Stage::First, MIN_ACCEPTANCE, at(10_000)), Some(1));
    assert_eq!(choice(&candidates, Stage::Refused, MIN_ACCEPTANCE, at(10_000)), Some(1));
}

/// Guards against data centres that are avoided after they have room again.
#[test]
fn acceptance_falls_only_with_many_refusals_and_returns() {
    let after_a_second = |offers: u64| {
        let mut acceptance = Acceptance::default();
        let times = (0..offers).map(|n| at(10_000 + n * 1_000 / offers));
        times.for_each(|now| acceptance.record(Response::Refused, now));
        acceptance
    };
    assert!(after_a_second(3).share(at(11_000)) > 0.4);
    let acceptance = after_a_second(10);
    assert!(acceptance.share(at(11_000)) < MIN_ACCEPTANCE);
    assert!(acceptance.share(at(13_000)) > 0.5);
}

/// Guards against calls without any offer, and against restrictions of retries that the budget granted.
#[test]
fn a_call_is_offered_once_wherever_it_is_without_overflow() {
    let mut random = SmallRng::seed_from_u64(13);
    for _ in 0..2_000 {
        let records: Vec<Record> = (0..6)
            .map(|_| {
                let mut record = reported(random.random_range(0..12), random.random_range(0..3));
                match random.random_range(0..4) {
                    0 => record.record_refusal(random.random_range(0..20), at(10_000)),
                    1 => _ = record.end(at(10_000), Sample::Unreachable),
                    _ => {}
                }
                record
            })
            .collect();
        let candidates: Vec<_> = records
            .iter()
            .map(|record| Candidate {
                tried: random.random_bool(0.5),
                ..candidate(record, locality(random.random_range(0..UPSTREAMS)))
            })
            .collect();
        let acceptance = random.random_range(0.0..1.0);
        let expect = placement::choose(&candidates, Kind::Once, at(10_000), &mut random).is_some();
        for stage in [Stage::First, Stage::Failed] {
            assert_eq!(choice(&candidates, stage, acceptance, at(10_000)).is_some(), expect);
        }
    }
}

/// Guards against a refused call that goes to an ejected upstream since all others are full; it may be lost there.
#[test]
fn a_refused_call_does_not_go_to_an_ejected_upstream() {
    let now = at(10_000);
    let (full, mut ejected) = (reported(10, 5), Record::new(at(0)));
    ejected.end(now, Sample::Unreachable);
    let candidates =
        [candidate(&full, Locality::DataCentre), candidate(&ejected, Locality::DataCentre)];
    let mut random = SmallRng::seed_from_u64(3);
    assert_eq!(choose(&candidates, &request(Stage::Refused, 1.0, now), &mut random), None);
}

/// Guards against a data centre that cannot send refused calls elsewhere while its own upstreams are ejected.
#[test]
fn a_data_centre_without_available_upstreams_sends_refused_calls_elsewhere() {
    let now = at(10_000);
    let (mut ejected, other) = (Record::new(at(0)), Record::new(at(0)));
    ejected.end(now, Sample::Unreachable);
    let candidates =
        [candidate(&ejected, Locality::DataCentre), candidate(&other, Locality::Remote)];
    let mut random = SmallRng::seed_from_u64(3);
    assert_eq!(choose(&candidates, &request(Stage::Refused, 0.0, now), &mut random), Some(1));
}

/// Guards against first offers that stay with upstreams that fail quickly and therefore seem to have free slots.
#[test]
fn a_first_offer_leaves_a_data_centre_whose_upstreams_fail() {
    let now = at(10_000);
    let (mut failing, other) = (Record::new(at(0)), Record::new(at(0)));
    for _ in 0..30 {
        failing.begin();
        failing.end(now, Sample::ErrorAnswer(Duration::from_millis(1)));
    }
    let candidates =
        [candidate(&failing, Locality::DataCentre), candidate(&other, Locality::Remote)];
    let mut random = SmallRng::seed_from_u64(3);
    assert_eq!(choose(&candidates, &request(Stage::First, 1.0, now), &mut random), Some(1));
}
