//! Overload: who waits, who is refused, who comes back when.
//!
//! Pattern: a service gets half more calls than its slots can take, for seconds on end, and refused
//! callers come back. Only so many can be served; the others should know soon, and the served ones
//! should be in time.

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

const OBJECTIVE: u64 = 200;
const DEADLINE: u64 = 1_200;
const SERVICE: u64 = 75;
const SLOTS: usize = 11;
const ATTEMPTS: usize = 3;

fn clock(now: u64, begun: u64) -> Timing {
    Timing {
        received: at(now),
        deadline: at(begun + DEADLINE),
        attempt: if now > begun {
            client_retry::Attempt::Retry
        } else {
            client_retry::Attempt::First
        },
        elapsed: ms(now - begun),
        objective: ms(OBJECTIVE),
        expected: ms(SERVICE),
    }
}

/// What became of the callers of a run.
#[derive(Debug, Default)]
struct Tally {
    asked: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest time after which a refusal was told, in ms.
    slowest_refusal: u64,
    /// The same of first attempts.
    slowest_first_refusal: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { caller: usize, attempt: usize },
    Expire { ticket: u64 },
    Finish { ticket: u64 },
}

/// A caller's attempt that waits or runs.
#[derive(Clone, Copy)]
struct Attempt {
    caller: usize,
    attempt: usize,
    arrived: u64,
}

/// Plays `load` times the calls that the slots can take, for ten seconds.
fn play(load: f64, seed: u64) -> Tally {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut gate = Limiter::new(SLOTS);
    let mut events = BinaryHeap::new();
    let push = |events: &mut BinaryHeap<_>, when: u64, event| {
        events.push((std::cmp::Reverse(when), event));
    };
    let per_ms = load * SLOTS as f64 / SERVICE as f64;
    let mut begun = Vec::new();
    let mut when = 0.0;
    while when < 10_000.0 {
        when += -random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / per_ms;
        push(&mut events, when as u64, Event::Arrive { caller: begun.len(), attempt: 1 });
        begun.push(when as u64);
    }
    let mut tally = Tally { asked: begun.len(), ..Tally::default() };
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
                let clock = clock(now, begun[caller]);
                let rank = rank(Origin::Caller, 2, clock);
                match gate.admit_ranked(Ticket(ticket), rank, at(now), clock.deadline, 64) {
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
                    gate.cancel(Ticket(ticket));
                    refused.push(ticket);
                }
            }
            Event::Finish { ticket } => {
                let done = attempts[&ticket];
                let took = now - begun[done.caller];
                if took <= OBJECTIVE {
                    tally.in_time += 1
                } else {
                    tally.late += 1
                }
                let mut next = gate.finish(Ticket(ticket), at(now), Some(ms(SERVICE)));
                while let Some(granted) = next {
                    if waiting.remove(&granted.0).is_some() {
                        run.push(granted.0);
                        break;
                    }
                    next = gate.finish(granted, at(now), None);
                }
            }
        }
        for ticket in run {
            let service = SERVICE as f64 * random.random_range(0.5..1.5);
            push(&mut events, now + service as u64, Event::Finish { ticket });
        }
        for ticket in refused {
            let attempt = attempts[&ticket];
            let held = now - attempt.arrived;
            tally.slowest_refusal = tally.slowest_refusal.max(held);
            if attempt.attempt == 1 {
                tally.slowest_first_refusal = tally.slowest_first_refusal.max(held);
            }
            if attempt.attempt == ATTEMPTS {
                tally.refused += 1;
                continue;
            }
            let after = retry_after(clock(now, begun[attempt.caller]), &mut random);
            let again = Event::Arrive { caller: attempt.caller, attempt: attempt.attempt + 1 };
            push(&mut events, now + after.as_millis() as u64, again);
        }
    }
    tally
}

/// A chef gets a head count after 400 ms instead of 200, like everybody else, because all calls
/// queue until they can only be late. Few are late now, and no slot stands empty.
#[test]
fn under_lasting_overload_the_served_calls_are_in_time() {
    for seed in 0..5 {
        let tally = play(1.4, seed);
        let served = tally.in_time + tally.late;
        let capacity = tally.asked as f64 / 1.4;
        assert!(tally.in_time as f64 > 0.93 * served as f64, "{tally:?}");
        assert!(served as f64 > 0.95 * capacity, "{tally:?}");
        assert_eq!(tally.asked, served + tally.refused, "{tally:?}");
    }
}

/// A first attempt is refused within an eighth of the objective, so that the caller can still be
/// served in time elsewhere or later; a later one, which may be the last, within a quarter.
#[test]
fn refusals_come_soon() {
    for load in [1.1, 1.4, 2.0] {
        let tally = play(load, 1);
        assert!(tally.slowest_refusal <= OBJECTIVE / 4, "{tally:?}");
        assert!(tally.slowest_first_refusal <= OBJECTIVE / 8 + 1, "{tally:?}");
    }
}

#[test]
fn without_overload_hardly_anybody_is_refused_for_good() {
    let tally = play(0.8, 3);
    assert!(tally.refused * 50 <= tally.asked, "{tally:?}");
    assert!(tally.in_time * 100 >= tally.asked * 97, "{tally:?}");
}

/// Two services that call each other under full load stand still: new calls hold all slots and wait
/// for answers of calls that wait for slots.
#[test]
fn calls_of_upstreams_go_before_new_ones_and_in_time_before_late() {
    let urgent = rank(Origin::Caller, 0, clock(0, 0));
    let usual = rank(Origin::Caller, 2, clock(0, 0));
    let late = rank(Origin::Caller, 2, clock(900, 0));
    let made_for = |rank, answered| Origin::Upstream(Parent { rank, answered });
    let further = rank(made_for(usual, 1), 7, clock(500, 0));
    let nested = rank(made_for(usual, 0), 7, clock(500, 0));
    let of_urgent = rank(made_for(urgent, 0), 7, clock(500, 0));
    let deeper = rank(made_for(nested, 0), 7, clock(500, 0));
    let ranks = [of_urgent, urgent, further, nested, usual, late].map(|rank| rank.priority);
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
    assert_eq!(deeper.priority, nested.priority);
    let mut gate = Limiter::new(1);
    let admit = |gate: &mut Limiter, ticket, rank| {
        gate.admit_ranked(Ticket(ticket), rank, at(0), at(9_000), 64)
    };
    assert_eq!(admit(&mut gate, 0, usual), Decision::Run);
    for (ticket, rank) in
        [(1, late), (2, usual), (3, nested), (4, urgent), (5, further), (6, of_urgent)]
    {
        assert!(matches!(admit(&mut gate, ticket, rank), Decision::Wait(_)));
    }
    let ended = [0, 6, 5, 3, 4, 2];
    let order = ended.map(|held| gate.finish(Ticket(held), at(1), None).map(|t| t.0));
    assert_eq!(order, [6, 5, 3, 4, 2, 1].map(Some));
}

#[test]
fn a_refused_caller_comes_back_while_it_can_be_in_time() {
    let mut random = SmallRng::seed_from_u64(2);
    for _ in 0..200 {
        let early = retry_after(clock(10, 0), &mut random);
        assert!(early >= ms(15) && ms(10 + SERVICE) + early < ms(OBJECTIVE), "{early:?}");
        let late = retry_after(clock(300, 0), &mut random);
        assert!(late > ms(100) && late < ms((DEADLINE - 300) / 3), "{late:?}");
    }
}

#[test]
fn every_stretch_of_a_split_holds_each_part_in_proportion() {
    for offset in [0, 7, 35, 99] {
        let mut split = Split::default();
        let weights = [70, 20, 10];
        let taken: Vec<usize> =
            (0..300).map(|_| split.next(&weights, offset).expect("a part")).collect();
        for stretch in taken.chunks(50) {
            for (part, weight) in weights.iter().enumerate() {
                let count = stretch.iter().filter(|&&taken| taken == part).count();
                assert!(count.abs_diff(*weight as usize / 2) <= 1, "{offset}: {stretch:?}");
            }
        }
    }
    assert_eq!(Split::default().next(&[0, 0], 3), None);
    assert_eq!(Split::default().next(&[0, 5], 3), Some(1));
}

#[test]
fn a_larger_upstream_in_the_same_place_lets_waiting_calls_run() {
    let mut gate = Limiter::new(1);
    for ticket in 0..4 {
        gate.admit(Ticket(ticket), at(0), at(9_000), 64);
    }
    assert_eq!(gate.resize(3, at(1)), [Ticket(1), Ticket(2)]);
    assert_eq!(gate.resize(1, at(1)), []);
    let mut finish = |held| gate.finish(Ticket(held), at(2), None);
    assert_eq!((finish(0), finish(1)), (None, None));
    assert_eq!(finish(2), Some(Ticket(3)));
}

/// A chef who was refused after a wait is told to come back as if the wait had not been, and comes too
/// late for an answer in time.
#[test]
fn a_call_that_was_held_has_less_time_left() {
    let arrived = clock(10, 0);
    let refused = arrived.at(at(60));
    assert_eq!((refused.received, refused.elapsed), (at(60), ms(60)));
    assert_eq!((refused.due(), arrived.due()), (at(OBJECTIVE), at(OBJECTIVE)));
    assert_eq!(refused.deadline, arrived.deadline);
}
