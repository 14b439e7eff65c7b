//! Division of the slots of one service between external calls and nested calls.
//!
//! External calls are uploads; nested calls are short checks made for less urgent lookups. Uploads
//! take about five times as long as checks.

use model::time::Time;
use policy::{
    admission::{Class, Decision, Limiter, Rank, Ticket},
    client_retry::Attempt,
    urgency::{Origin, Parent, Timing, rank},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

const SLOTS: usize = 9;
const UPLOAD_MS: f64 = 140.0;
const CHECK_MS: f64 = 30.0;
const SPAN_MS: f64 = 20_000.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Kind {
    Upload,
    Check,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(Kind),
    Finish(u64),
}

/// Returns the rank of a call that arrives at `now`: an upload, or the first check of a less urgent
/// lookup.
fn rank_of(kind: Kind, now: Time) -> (Rank, Time) {
    let timing = |objective, deadline| Timing {
        received: now,
        deadline: now + ms(deadline),
        attempt: Attempt::First,
        elapsed: Duration::ZERO,
        objective: ms(objective),
        expected: ms(objective / 4),
    };
    let outer = rank(Origin::Caller, 2, timing(400, 1_000));
    let (origin, priority, timing) = match kind {
        Kind::Upload => (Origin::Caller, 1, timing(500, 1_200)),
        Kind::Check => (Origin::Upstream(Parent { rank: outer, answered: 0 }), 2, timing(120, 400)),
    };
    (rank(origin, priority, timing), timing.deadline)
}

/// Simulates uploads and checks at the given load, relative to the slots; returns the shares of
/// each that got a slot.
fn simulate(uploads: f64, checks: f64, seed: u64) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiter = Limiter::new(SLOTS);
    let mut events = BinaryHeap::new();
    for (kind, load, time) in [(Kind::Upload, uploads, UPLOAD_MS), (Kind::Check, checks, CHECK_MS)]
    {
        let mut at = 0.0;
        while at < SPAN_MS {
            at +=
                -random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * time / SLOTS as f64 / load;
            events.push((Reverse(at as u64), Event::Arrive(kind)));
        }
    }
    let (mut kinds, mut counts) = (Vec::new(), HashMap::new());
    while let Some((Reverse(now), event)) = events.pop() {
        let at = Time::from_millis(now);
        let granted = match event {
            Event::Arrive(kind) => {
                let ticket = Ticket(kinds.len() as u64);
                kinds.push(kind);
                counts.entry(kind).or_insert((0, 0)).0 += 1;
                let (rank, deadline) = rank_of(kind, at);
                let decision = limiter.admit_ranked(ticket, rank, at, deadline, 64);
                (decision == Decision::Run).then_some(ticket)
            }
            Event::Finish(ticket) => {
                let time =
                    if kinds[ticket as usize] == Kind::Upload { UPLOAD_MS } else { CHECK_MS };
                limiter.finish(Ticket(ticket), at, Some(ms(time as u64)))
            }
        };
        if let Some(Ticket(ticket)) = granted {
            let kind = kinds[ticket as usize];
            counts.entry(kind).or_insert((0, 0)).1 += 1;
            let time = if kind == Kind::Upload { UPLOAD_MS } else { CHECK_MS };
            let time = time * random.random_range(0.5..1.5);
            events.push((Reverse(now + time as u64), Event::Finish(ticket)));
        }
    }
    let share =
        |kind| counts.get(&kind).map_or(0.0, |(calls, ran)| f64::from(*ran) / f64::from(*calls));
    (share(Kind::Upload), share(Kind::Check))
}

/// Runs the simulation with several seeds and compares the shares with lower bounds.
#[track_caller]
fn check(uploads: f64, checks: f64, min_shares: (f64, f64)) {
    for seed in 0..5 {
        let shares = simulate(uploads, checks, seed);
        assert!(shares.0 >= min_shares.0 && shares.1 >= min_shares.1, "{shares:?}, seed {seed}");
    }
}

/// Guards against starvation of uploads by nested calls that alone exceed the capacity.
#[test]
fn nested_overload_leaves_half_of_the_slots_to_uploads() {
    check(0.4, 1.2, (0.92, 0.50));
}

/// Guards against lost work: nested calls of running lookups wait behind a burst of uploads.
#[test]
fn external_overload_leaves_slots_to_nested_calls() {
    check(1.3, 0.2, (0.60, 0.77));
}

#[test]
fn all_calls_are_served_below_capacity() {
    check(0.35, 0.35, (0.97, 0.97));
}

/// Both classes demand more than half of the slots.
#[test]
fn neither_class_starves_under_overload_of_both() {
    check(1.0, 1.0, (0.60, 0.35));
}

/// Nested calls go first while they hold less than half of the slots; otherwise the rank decides.
#[test]
fn nested_calls_go_first_until_they_hold_half_of_the_slots() {
    let mut limiter = Limiter::new(4);
    let now = Time::from_millis(0);
    let rank = |class, priority| Rank { priority, class, ..Rank::default() };
    let mut admit = |ticket, class, priority| {
        limiter.admit_ranked(
            Ticket(ticket),
            rank(class, priority),
            now,
            Time::from_millis(9_000),
            64,
        )
    };
    for ticket in 0..4 {
        assert_eq!(admit(ticket, Class::External, 9), Decision::Run);
    }
    let waiting = [
        (4, Class::External, 9),
        (5, Class::Nested, 13),
        (6, Class::Nested, 12),
        (7, Class::Nested, 12),
    ];
    for (ticket, class, priority) in waiting {
        assert!(matches!(admit(ticket, class, priority), Decision::Wait(_)));
    }
    let order: Vec<u64> =
        (0..4).filter_map(|held| limiter.finish(Ticket(held), now, None)).map(|t| t.0).collect();
    assert_eq!(order, [6, 7, 4, 5]);
    assert_eq!(limiter.busy(), 4);
    (4..8).for_each(|held| assert_eq!(limiter.finish(Ticket(held), now, None), None));
    assert_eq!(limiter.busy(), 0);
}

/// Guards against refusals of all nested calls where slots are few and calls are long, so that the
/// next slot is freed after their objective.
#[test]
fn nested_call_waits_for_the_next_of_few_slots() {
    const LONG_MS: u64 = 190;
    let slots = 6;
    let mut limiter = Limiter::new(slots);
    let at = Time::from_millis;
    let ticket = |n: u64| Ticket(n);
    let mut now = 0;
    // Lets the limiter learn the service time.
    for n in 0..100 {
        now += LONG_MS;
        limiter.admit(ticket(n), at(now), at(now + 9_000), 64);
        limiter.finish(ticket(n), at(now), Some(Duration::from_millis(LONG_MS)));
    }
    for n in 100..100 + slots as u64 {
        assert_eq!(limiter.admit(ticket(n), at(now), at(now + 9_000), 64), Decision::Run);
    }
    let check =
        Rank { priority: 1, start_by: Some(at(now + 30)), class: Class::Nested, ..Rank::default() };
    let decision = limiter.admit_ranked(ticket(200), check, at(now), at(now + 400), 64);
    let Decision::Wait(until) = decision else { panic!("{decision:?}") };
    assert!(until > at(now + LONG_MS / slots as u64), "{until:?}");
    assert!(until <= at(now + 400 / 3 + 1), "{until:?}");
    // A second nested call would wait too long, whatever its deadline.
    let second = limiter.admit_ranked(ticket(201), check, at(now), at(now + 60), 64);
    assert!(matches!(second, Decision::Refuse(_)), "{second:?}");
    assert_eq!(limiter.finish(ticket(100), at(now + 32), None), Some(ticket(200)));
}
