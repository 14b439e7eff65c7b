//! Uploads on slow links: whose body waits, and who is refused.
//!
//! Pattern: eleven instances with links that carry one body in a tenth of a second are asked for
//! nine tenths of what their links can carry. Each upload asks up to four instances by chance.

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
const CROSSING_MS: u64 = 100;
const WORK_MS: u64 = 240;
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
        expected: ms(CROSSING_MS + WORK_MS),
    }
}

/// Plays `load` times what the links can carry for a minute; returns the shares of uploads that
/// found a link and those whose answer is in time.
fn play(load: f64, start_by: fn(Timing) -> Time) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(11);
    let mut gates: Vec<Limiter> = (0..LINKS).map(|_| Limiter::new(1)).collect();
    let mut ends: BinaryHeap<(Reverse<u64>, usize, u64)> = BinaryHeap::new();
    let mut begun = Vec::new();
    let (mut taken, mut in_time) = (0, 0);
    let mut now = 0.0;
    while now < 60_000.0 {
        now += -random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * CROSSING_MS as f64
            / (load * LINKS as f64);
        let arrived = now as u64;
        while ends.peek().is_some_and(|(Reverse(end), ..)| *end <= arrived) {
            let (Reverse(end), link, ended) = ends.pop().expect("an end was seen");
            if let Some(Ticket(next)) =
                gates[link].finish(Ticket(ended), at(end), Some(ms(CROSSING_MS)))
            {
                ends.push((Reverse(end + CROSSING_MS), link, next));
                let answered = end + CROSSING_MS + WORK_MS;
                in_time += usize::from(answered - begun[next as usize] <= OBJECTIVE_MS);
            }
        }
        let ticket = Ticket(begun.len() as u64);
        begun.push(arrived);
        let rank =
            Rank { priority: 1, start_by: Some(start_by(first(arrived))), ..Rank::default() };
        for _ in 0..OFFERS {
            let link = random.random_range(0..LINKS);
            let entry =
                gates[link].admit_ranked(ticket, rank, at(arrived), at(arrived + 4_000), 16);
            match entry {
                Decision::Refuse(_) => continue,
                Decision::Wait(_) => {}
                Decision::Run => {
                    ends.push((Reverse(arrived + CROSSING_MS), link, ticket.0));
                    in_time += 1;
                }
            }
            taken += 1;
            break;
        }
    }
    (f64::from(taken) / begun.len() as f64, in_time as f64 / begun.len() as f64)
}

/// A pharmacy's sales file is refused twice in a row at nine tenths of the load: each link has a
/// body before it, and a wait of a tenth of a second was too long.
#[test]
fn a_body_waits_for_its_turn_while_it_can_be_in_time() {
    let as_for_a_slot = |clock| {
        urgency::rank(Origin::Caller, 1, clock).start_by.expect("callers wait for a bounded time")
    };
    let (before, _) = play(0.9, as_for_a_slot);
    let (taken, in_time) = play(0.9, transfer::start_by);
    assert!(before < 0.95 && taken > 0.99 && in_time > 0.98, "{before} {taken} {in_time}");
}

/// More uploads come than the links can carry: what is taken is still in time, and the others are
/// refused at once.
#[test]
fn under_overload_bodies_that_are_taken_are_in_time() {
    let (taken, in_time) = play(1.3, transfer::start_by);
    assert!(taken > 0.74, "{taken}");
    assert!(in_time > 0.95 * taken, "{in_time} of {taken}");
}

#[track_caller]
fn check(clock: Timing, wait_ms: u64) {
    assert_eq!(transfer::start_by(clock), clock.received + ms(wait_ms));
}

#[test]
fn a_body_may_wait_for_a_part_of_the_slack() {
    check(first(0), 330);
    check(Timing { attempt: Attempt::Retry, elapsed: ms(400), ..first(0) }, 195);
    check(Timing { attempt: Attempt::Retry, elapsed: ms(900), ..first(0) }, 125);
}

#[test]
fn slow_links_carry_one_body_at_a_time() {
    let expect = [(0, 32), (5, 1), (25, 1), (26, 2), (100, 4), (10_000, 32)];
    for (mbps, max_concurrent) in expect {
        assert_eq!(transfer::max_concurrent(mbps), max_concurrent, "{mbps}");
    }
}

/// An upstream that works is left alone for half a second: the caller's own link received an upload
/// just then, and the other side was heard of a tenth of a second too late.
#[test]
fn who_is_called_over_a_busy_link_gets_time_to_answer() {
    for (mbps, backlog_ms) in [(0, 0), (5, 157), (100, 7), (1_000, 0)] {
        assert_eq!(transfer::queueing_delay(mbps).as_millis(), backlog_ms, "{mbps}");
    }
}

/// Uploads queue on one link while others are free: the slots tell nothing of links.
#[test]
fn large_bodies_go_where_fewer_are_on_their_way() {
    let told = |bodies| {
        let mut record = Record::new(at(0));
        record.begin();
        record.end(at(9_000), Sample::Answered(ms(300)));
        record.update_load(Load { busy: 3, waiting: 0, bodies }, at(9_000));
        record
    };
    let (busy, free) = (told(3), told(0));
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
