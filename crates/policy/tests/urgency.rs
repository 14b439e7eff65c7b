//! Admission under overload: which calls wait or are refused, and when refused callers retry.
//!
//! The simulated service gets more calls than its slots can take, and refused callers retry.

use model::time::Time;
use policy::{
    admission::{Decision, Limiter, Ticket},
    client_retry,
    split::Split,
    urgency::{Origin, Parent, Timing, rank, retry_after},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::BinaryHeap, collections::HashMap, time::Duration};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

const OBJECTIVE_MS: u64 = 200;
const DEADLINE_MS: u64 = 1_200;
const SERVICE_MS: u64 = 75;
const SLOTS: usize = 11;
const ATTEMPTS: usize = 3;

fn timing(now: u64, first_arrival: u64) -> Timing {
    Timing {
        received: at(now),
        deadline: at(first_arrival + DEADLINE_MS),
        attempt: if now > first_arrival {
            client_retry::Attempt::Retry
        } else {
            client_retry::Attempt::First
        },
        elapsed: ms(now - first_arrival),
        objective: ms(OBJECTIVE_MS),
        expected: ms(SERVICE_MS),
    }
}

/// Results of the callers of a simulation.
#[derive(Debug, Default)]
struct Results {
    callers: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest time from arrival to refusal, in milliseconds.
    slowest_refusal: u64,
    /// Longest time from arrival to refusal of a first attempt, in milliseconds.
    slowest_first_refusal: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { caller: usize, attempt: usize },
    Expire { ticket: u64 },
    Finish { ticket: u64 },
}

/// A waiting or running attempt of a caller.
#[derive(Clone, Copy)]
struct Attempt {
    caller: usize,
    attempt: usize,
    arrived: u64,
}

/// Simulates ten seconds at `load` times the capacity of the slots.
fn simulate(load: f64, seed: u64) -> Results {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiter = Limiter::new(SLOTS);
    let mut events = BinaryHeap::new();
    let push = |events: &mut BinaryHeap<_>, time: u64, event| {
        events.push((std::cmp::Reverse(time), event));
    };
    let calls_per_ms = load * SLOTS as f64 / SERVICE_MS as f64;
    let mut first_arrivals = Vec::new();
    let mut time = 0.0;
    while time < 10_000.0 {
        time += -random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / calls_per_ms;
        push(&mut events, time as u64, Event::Arrive { caller: first_arrivals.len(), attempt: 1 });
        first_arrivals.push(time as u64);
    }
    let mut results = Results { callers: first_arrivals.len(), ..Results::default() };
    let mut attempts: HashMap<u64, Attempt> = HashMap::new();
    let mut waiting: HashMap<u64, ()> = HashMap::new();
    let mut tickets = 0;
    while let Some((std::cmp::Reverse(now), event)) = events.pop() {
        let mut run = Vec::new();
        let mut refused = Vec::new();
        match event {
            Event::Arrive { caller, attempt } => {
                tickets += 1;
                let ticket = tickets;
                attempts.insert(ticket, Attempt { caller, attempt, arrived: now });
                let timing = timing(now, first_arrivals[caller]);
                let rank = rank(Origin::Caller, 2, timing);
                match limiter.admit_ranked(Ticket(ticket), rank, at(now), timing.deadline, 64) {
                    Decision::Run => run.push(ticket),
                    Decision::Refuse(_) => refused.push(ticket),
                    Decision::Wait(until) => {
                        waiting.insert(ticket, ());
                        push(&mut events, until.millis(), Event::Expire { ticket });
                    }
                }
            }
            Event::Expire { ticket } => {
                if waiting.remove(&ticket).is_some() {
                    limiter.cancel(Ticket(ticket));
                    refused.push(ticket);
                }
            }
            Event::Finish { ticket } => {
                let done = attempts[&ticket];
                let took = now - first_arrivals[done.caller];
                if took <= OBJECTIVE_MS {
                    results.in_time += 1
                } else {
                    results.late += 1
                }
                let mut next = limiter.finish(Ticket(ticket), at(now), Some(ms(SERVICE_MS)));
                while let Some(granted) = next {
                    if waiting.remove(&granted.0).is_some() {
                        run.push(granted.0);
                        break;
                    }
                    next = limiter.finish(granted, at(now), None);
                }
            }
        }
        for ticket in run {
            let service = SERVICE_MS as f64 * random.random_range(0.5..1.5);
            push(&mut events, now + service as u64, Event::Finish { ticket });
        }
        for ticket in refused {
            let attempt = attempts[&ticket];
            let waited = now - attempt.arrived;
            results.slowest_refusal = results.slowest_refusal.max(waited);
            if attempt.attempt == 1 {
                results.slowest_first_refusal = results.slowest_first_refusal.max(waited);
            }
            if attempt.attempt == ATTEMPTS {
                results.refused += 1;
                continue;
            }
            let after = retry_after(timing(now, first_arrivals[attempt.caller]), &mut random);
            let retry = Event::Arrive { caller: attempt.caller, attempt: attempt.attempt + 1 };
            push(&mut events, now + after.as_millis() as u64, retry);
        }
    }
    results
}

/// Guards against a queue so long that every call is served late.
#[test]
fn served_calls_meet_their_objective_under_sustained_overload() {
    for seed in 0..5 {
        let results = simulate(1.4, seed);
        let served = results.in_time + results.late;
        let capacity = results.callers as f64 / 1.4;
        assert!(results.in_time as f64 > 0.93 * served as f64, "{results:?}");
        assert!(served as f64 > 0.95 * capacity, "{results:?}");
        assert_eq!(results.callers, served + results.refused, "{results:?}");
    }
}

/// Guards against refusals too late for a retry that meets the objective.
#[test]
fn calls_are_refused_within_a_part_of_the_objective() {
    for load in [1.1, 1.4, 2.0] {
        let results = simulate(load, 1);
        assert!(results.slowest_refusal <= OBJECTIVE_MS / 4, "{results:?}");
        assert!(results.slowest_first_refusal <= OBJECTIVE_MS / 8 + 1, "{results:?}");
    }
}

#[test]
fn few_callers_fail_below_capacity() {
    let results = simulate(0.8, 3);
    assert!(results.refused * 50 <= results.callers, "{results:?}");
    assert!(results.in_time * 100 >= results.callers * 97, "{results:?}");
}

/// Guards against a deadlock of two services that call each other: external calls hold all slots
/// while their nested calls wait.
#[test]
fn nested_calls_go_before_new_ones_and_late_ones_go_last() {
    let urgent = rank(Origin::Caller, 0, timing(0, 0));
    let normal = rank(Origin::Caller, 2, timing(0, 0));
    let late = rank(Origin::Caller, 2, timing(900, 0));
    let nested_in = |rank, answered| Origin::Upstream(Parent { rank, answered });
    let answered_once = rank(nested_in(normal, 1), 7, timing(500, 0));
    let nested = rank(nested_in(normal, 0), 7, timing(500, 0));
    let of_urgent = rank(nested_in(urgent, 0), 7, timing(500, 0));
    let deeper = rank(nested_in(nested, 0), 7, timing(500, 0));
    let ranks = [of_urgent, urgent, answered_once, nested, normal, late].map(|rank| rank.priority);
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
    assert_eq!(deeper.priority, nested.priority);
    let mut limiter = Limiter::new(1);
    let admit = |limiter: &mut Limiter, ticket, rank| {
        limiter.admit_ranked(Ticket(ticket), rank, at(0), at(9_000), 64)
    };
    assert_eq!(admit(&mut limiter, 0, normal), Decision::Run);
    for (ticket, rank) in
        [(1, late), (2, normal), (3, nested), (4, urgent), (5, answered_once), (6, of_urgent)]
    {
        assert!(matches!(admit(&mut limiter, ticket, rank), Decision::Wait(_)));
    }
    let ended = [0, 6, 5, 3, 4, 2];
    let order = ended.map(|held| limiter.finish(Ticket(held), at(1), None).map(|t| t.0));
    assert_eq!(order, [6, 5, 3, 4, 2, 1].map(Some));
}

#[test]
fn retry_after_leaves_time_to_meet_the_objective() {
    let mut random = SmallRng::seed_from_u64(2);
    for _ in 0..200 {
        let early = retry_after(timing(10, 0), &mut random);
        assert!(early >= ms(15) && ms(10 + SERVICE_MS) + early < ms(OBJECTIVE_MS), "{early:?}");
        let late = retry_after(timing(300, 0), &mut random);
        assert!(late > ms(100) && late < ms((DEADLINE_MS - 300) / 3), "{late:?}");
    }
}

#[test]
fn split_is_proportional_in_every_window() {
    for offset in [0, 7, 35, 99] {
        let mut split = Split::default();
        let weights = [70, 20, 10];
        let chosen: Vec<usize> =
            (0..300).map(|_| split.next(&weights, offset).expect("a target has weight")).collect();
        for window in chosen.chunks(50) {
            for (target, weight) in weights.iter().enumerate() {
                let count = window.iter().filter(|&&chosen| chosen == target).count();
                assert!(count.abs_diff(*weight as usize / 2) <= 1, "{offset}: {window:?}");
            }
        }
    }
    assert_eq!(Split::default().next(&[0, 0], 3), None);
    assert_eq!(Split::default().next(&[0, 5], 3), Some(1));
}

#[test]
fn resize_grants_new_slots_to_waiting_calls() {
    let mut limiter = Limiter::new(1);
    for ticket in 0..4 {
        limiter.admit(Ticket(ticket), at(0), at(9_000), 64);
    }
    assert_eq!(limiter.resize(3, at(1)), [Ticket(1), Ticket(2)]);
    assert_eq!(limiter.resize(1, at(1)), []);
    let mut finish = |held| limiter.finish(Ticket(held), at(2), None);
    assert_eq!((finish(0), finish(1)), (None, None));
    assert_eq!(finish(2), Some(Ticket(3)));
}

/// Guards against a `Retry-After` that ignores the time a call was held before its refusal.
#[test]
fn hold_time_counts_as_elapsed() {
    let arrived = timing(10, 0);
    let refused = arrived.at(at(60));
    assert_eq!((refused.received, refused.elapsed), (at(60), ms(60)));
    assert_eq!((refused.due(), arrived.due()), (at(OBJECTIVE_MS), at(OBJECTIVE_MS)));
    assert_eq!(refused.deadline, arrived.deadline);
}
