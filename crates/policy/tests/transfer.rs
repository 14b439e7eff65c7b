//! Admission of uploads on slow links.
//!
//! Each link carries one body at a time, and each upload is offered to a few random links.

use model::time::Time;
use policy::{
    admission::{Decision, Limiter, Rank, Ticket},
    client_retry::Attempt,
    health::{Load, Record, Sample},
    placement::{self, Candidate, Cold, Locality},
    retry::Kind,
    transfer,
    urgency::{self, Origin, Timing},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const LINKS: usize = 11;
const TRANSFER_MS: u64 = 100;
const SERVICE_MS: u64 = 240;
const OBJECTIVE_MS: u64 = 1_000;
const OFFERS: usize = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn first(received: u64) -> Timing {
    Timing {
        received: at(received),
        deadline: at(received + 4_000),
        attempt: Attempt::First,
        elapsed: ms(0),
        objective: ms(OBJECTIVE_MS),
        expected: ms(TRANSFER_MS + SERVICE_MS),
    }
}

/// Simulates a minute at `load` times the capacity of the links; returns the shares of uploads that
/// were admitted and that met their objective.
fn simulate(load: f64, start_by: fn(Timing) -> Time) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(11);
    let mut limiters: Vec<Limiter> = (0..LINKS).map(|_| Limiter::new(1)).collect();
    let mut transfers: BinaryHeap<(Reverse<u64>, usize, u64)> = BinaryHeap::new();
    let mut arrivals = Vec::new();
    let (mut admitted, mut in_time) = (0, 0);
    let mut now = 0.0;
    while now < 60_000.0 {
        now += -random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * TRANSFER_MS as f64
            / (load * LINKS as f64);
        let arrived = now as u64;
        while transfers.peek().is_some_and(|(Reverse(end), ..)| *end <= arrived) {
            let (Reverse(end), link, ended) = transfers.pop().expect("the heap is not empty");
            if let Some(Ticket(next)) =
                limiters[link].finish(Ticket(ended), at(end), Some(ms(TRANSFER_MS)))
            {
                transfers.push((Reverse(end + TRANSFER_MS), link, next));
                let answered = end + TRANSFER_MS + SERVICE_MS;
                in_time += usize::from(answered - arrivals[next as usize] <= OBJECTIVE_MS);
            }
        }
        let ticket = Ticket(arrivals.len() as u64);
        arrivals.push(arrived);
        let rank =
            Rank { priority: 1, start_by: Some(start_by(first(arrived))), ..Rank::default() };
        for _ in 0..OFFERS {
            let link = random.random_range(0..LINKS);
            let decision =
                limiters[link].admit_ranked(ticket, rank, at(arrived), at(arrived + 4_000), 16);
            match decision {
                Decision::Refuse(_) => continue,
                Decision::Wait(_) => {}
                Decision::Run => {
                    transfers.push((Reverse(arrived + TRANSFER_MS), link, ticket.0));
                    in_time += 1;
                }
            }
            admitted += 1;
            break;
        }
    }
    (f64::from(admitted) / arrivals.len() as f64, in_time as f64 / arrivals.len() as f64)
}

/// Guards against refusals at a load of 0.9, where each link has a body queued and the wait allowed
/// for a slot is too short.
#[test]
fn body_waits_for_the_link_while_it_can_meet_its_objective() {
    let slot_start_by = |timing| {
        urgency::rank(Origin::Caller, 1, timing)
            .start_by
            .expect("external calls have a latest start")
    };
    let (slot_admitted, _) = simulate(0.9, slot_start_by);
    let (admitted, in_time) = simulate(0.9, transfer::start_by);
    assert!(
        slot_admitted < 0.95 && admitted > 0.99 && in_time > 0.98,
        "{slot_admitted} {admitted} {in_time}"
    );
}

/// Guards against late answers of admitted uploads under overload.
#[test]
fn admitted_bodies_meet_their_objective_under_overload() {
    let (admitted, in_time) = simulate(1.3, transfer::start_by);
    assert!(admitted > 0.74, "{admitted}");
    assert!(in_time > 0.95 * admitted, "{in_time} of {admitted}");
}

#[track_caller]
fn check(timing: Timing, wait_ms: u64) {
    assert_eq!(transfer::start_by(timing), timing.received + ms(wait_ms));
}

#[test]
fn body_waits_for_a_part_of_its_slack() {
    check(first(0), 330);
    check(Timing { attempt: Attempt::Retry, elapsed: ms(400), ..first(0) }, 195);
    check(Timing { attempt: Attempt::Retry, elapsed: ms(900), ..first(0) }, 125);
}

#[test]
fn concurrent_transfers_grow_with_link_speed() {
    let expect = [(0, 32), (5, 1), (25, 1), (26, 2), (100, 4), (10_000, 32)];
    for (mbps, max_concurrent) in expect {
        assert_eq!(transfer::max_concurrent(mbps), max_concurrent, "{mbps}");
    }
}

/// Guards against ejection of a healthy upstream because the link of the entry node is busy with an
/// upload.
#[test]
fn queueing_delay_shrinks_with_link_speed() {
    for (mbps, delay_ms) in [(0, 0), (5, 157), (100, 7), (1_000, 0)] {
        assert_eq!(transfer::queueing_delay(mbps).as_millis(), delay_ms, "{mbps}");
    }
}

/// Guards against uploads that queue on one link while others are free; slots do not reflect link
/// load.
#[test]
fn large_bodies_go_to_links_with_fewer_transfers() {
    let reported = |bodies| {
        let mut record = Record::new(at(0));
        record.begin();
        record.end(at(9_000), Sample::Answered(ms(300)));
        record.update_load(Load { busy: 3, bodies, ..Load::default() }, at(9_000));
        record
    };
    let (busy, free) = (reported(3), reported(0));
    let of = |record, request_bytes| Candidate {
        record,
        slots: 9,
        locality: Locality::DataCentre,
        tried: false,
        request_bytes,
        response_bytes: 0,
        cold: Cold::No,
        refusals: 0,
    };
    let mut random = SmallRng::seed_from_u64(1);
    let mut share = |request_bytes| {
        let candidates = [of(&busy, request_bytes), of(&free, request_bytes)];
        let mut choose = || placement::choose(&candidates, Kind::Once, at(9_000), &mut random);
        (0..100).filter(|_| choose() == Some(1)).count()
    };
    assert_eq!(share(60_000), 100);
    assert!((20..80).contains(&share(1_000)));
}
