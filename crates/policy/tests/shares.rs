//! A service that callers and other upstreams share: who gets its slots.
//!
//! Pattern: a service with few upstreams takes uploads of callers, and short checks that the upstreams
//! of another service make for lookups, which are less urgent. Either may be more than it can take:
//! checks where most of its upstreams have left, uploads where many come at once. Uploads take five
//! times as long as checks, as the users run them (140 and 30 ms).
//!
//! Shares of uploads and checks that get a slot, by who goes first (means of five seeds):
//!
//! | load of uploads, of checks | checks, for half of the slots | by urgency alone | checks always |
//! |---|---|---|---|
//! | 0.4, 1.2 | 0.95, 0.53 | 1.00, 0.51 | 0.13, 0.80 |
//! | 1.3, 0.2 | 0.64, 0.80 | 0.74, 0.15 | 0.63, 0.86 |
//! | 1.0, 1.0 | 0.65, 0.37 | 0.89, 0.13 | 0.20, 0.81 |

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

/// Returns the rank of a call that arrives at `now`: an upload of a caller, or the first check of a
/// lookup of less urgency.
fn rank_of(kind: Kind, now: Time) -> (Rank, Time) {
    let clock = |objective, deadline| Timing {
        received: now,
        deadline: now + ms(deadline),
        attempt: Attempt::First,
        elapsed: Duration::ZERO,
        objective: ms(objective),
        expected: ms(objective / 4),
    };
    let lookup = rank(Origin::Caller, 2, clock(400, 1_000));
    let (origin, priority, clock) = match kind {
        Kind::Upload => (Origin::Caller, 1, clock(500, 1_200)),
        Kind::Check => (Origin::Upstream(Parent { rank: lookup, answered: 0 }), 2, clock(120, 400)),
    };
    (rank(origin, priority, clock), clock.deadline)
}

/// Plays calls at the given parts of what the slots can take, and returns the shares of uploads and
/// of checks that got a slot.
fn play(uploads: f64, checks: f64, seed: u64) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut gate = Limiter::new(SLOTS);
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
                let entry = gate.admit_ranked(ticket, rank, at, deadline, 64);
                (entry == Decision::Run).then_some(ticket)
            }
            Event::Finish(ticket) => {
                let time =
                    if kinds[ticket as usize] == Kind::Upload { UPLOAD_MS } else { CHECK_MS };
                gate.finish(Ticket(ticket), at, Some(ms(time as u64)))
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
        |kind| counts.get(&kind).map_or(0.0, |(asked, ran)| f64::from(*ran) / f64::from(*asked));
    (share(Kind::Upload), share(Kind::Check))
}

/// Uploads and checks at the given parts of the slots; compares the least shares that get a slot.
#[track_caller]
fn check(uploads: f64, checks: f64, least: (f64, f64)) {
    for seed in 0..5 {
        let got = play(uploads, checks, seed);
        assert!(got.0 >= least.0 && got.1 >= least.1, "{got:?}, seed {seed}");
    }
}

/// A promotion misses its launch: one of three intake upstreams is left, checks of lookups fill it,
/// and no upload gets a slot, although uploads are the more urgent ones and need less than half.
#[test]
fn checks_that_fill_a_service_leave_the_more_urgent_their_half() {
    check(0.4, 1.2, (0.92, 0.50));
}

/// Shoppers are turned away although their lookups are under way: many uploads come at once, and the
/// few checks that the lookups need wait behind them, until the work already done is lost.
#[test]
fn callers_that_fill_a_service_leave_short_checks_their_part() {
    check(1.3, 0.2, (0.60, 0.77));
}

#[test]
fn where_there_is_room_all_are_served() {
    check(0.35, 0.35, (0.97, 0.97));
}

/// Where both want more than half, neither is left without.
#[test]
fn neither_starves_the_other() {
    check(1.0, 1.0, (0.60, 0.35));
}

/// A call of an upstream goes before callers while such calls hold less than half of the slots, and
/// by its urgency after that; among themselves the more urgent go first.
#[test]
fn the_half_counts_what_is_held() {
    let mut gate = Limiter::new(4);
    let now = Time::from_millis(0);
    let rank = |class, priority| Rank { priority, start_by: None, class };
    let mut admit = |ticket, class, priority| {
        gate.admit_ranked(Ticket(ticket), rank(class, priority), now, Time::from_millis(9_000), 64)
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
        (0..4).filter_map(|held| gate.finish(Ticket(held), now, None)).map(|t| t.0).collect();
    assert_eq!(order, [6, 7, 4, 5]);
    assert_eq!(gate.busy(), 4);
    (4..8).for_each(|held| assert_eq!(gate.finish(Ticket(held), now, None), None));
    assert_eq!(gate.busy(), 0);
}

/// Guards against short checks of running work that are all refused where slots are few and calls are long: the
/// next slot is freed later than a part of a short objective, so work was begun and lost.
#[test]
fn a_short_check_waits_for_the_next_of_few_slots() {
    const LONG_MS: u64 = 190;
    let slots = 6;
    let mut gate = Limiter::new(slots);
    let at = Time::from_millis;
    let ticket = |n: u64| Ticket(n);
    let mut now = 0;
    // The gate learns how long calls take.
    for n in 0..100 {
        now += LONG_MS;
        gate.admit(ticket(n), at(now), at(now + 9_000), 64);
        gate.finish(ticket(n), at(now), Some(Duration::from_millis(LONG_MS)));
    }
    for n in 100..100 + slots as u64 {
        assert_eq!(gate.admit(ticket(n), at(now), at(now + 9_000), 64), Decision::Run);
    }
    let check = Rank { priority: 1, start_by: Some(at(now + 30)), class: Class::Nested };
    let entry = gate.admit_ranked(ticket(200), check, at(now), at(now + 400), 64);
    let Decision::Wait(until) = entry else { panic!("{entry:?}") };
    assert!(until > at(now + LONG_MS / slots as u64), "{until:?}");
    assert!(until <= at(now + 400 / 3 + 1), "{until:?}");
    // A second one would wait for too long, whatever its deadline.
    let third = gate.admit_ranked(ticket(201), check, at(now), at(now + 60), 64);
    assert!(matches!(third, Decision::Refuse(_)), "{third:?}");
    assert_eq!(gate.finish(ticket(100), at(now + 32), None), Some(ticket(200)));
}
