//! Division of the starts of a cold upstream among kinds of calls, under twice its capacity of each
//! kind.

use model::time::Time;
use policy::{
    admission::{Class, Decision, Kind, Limiter, Rank, Ticket},
    warmup::Limit,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const STARTS_PER_SECOND: f64 = 20.0;
const SLOTS: usize = 8;
const QUEUE: usize = 64;
const RANKS_PER_PRIORITY: u8 = 6;
const LENGTH_MS: u64 = 20_000;

/// Duration of a call, with which slots are freed at four times the rate of the starts.
const CALL_MS: u64 = 100;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn kind(priority: u8, class: Class) -> Kind {
    Kind { priority, class }
}

fn limiter(starts_per_second: f64) -> Limiter {
    let mut limiter = Limiter::new(SLOTS);
    let limit = Limit { rate: starts_per_second, burst: 4.0, until: at(60_000) };
    limiter.set_window(limit, at(0));
    limiter
}

/// Calls of one kind.
#[derive(Clone, Copy)]
struct Demand {
    kind: Kind,
    per_second: f64,
}

/// Plays random arrivals of `demands` that wait up to 150 ms; returns the times and kinds of the
/// starts.
fn play(demands: &[Demand], starts_per_second: f64, seed: u64) -> Vec<(u64, Kind)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiter = limiter(starts_per_second);
    let mut running: Vec<(u64, Ticket)> = Vec::new();
    let (mut starts, mut kinds) = (Vec::new(), Vec::new());
    for now in 0..LENGTH_MS {
        let mut granted = limiter.grant_waiting(at(now));
        for (_, ticket) in running.extract_if(.., |run| run.0 <= now) {
            granted.extend(limiter.finish(ticket, at(now), Some(Duration::from_millis(CALL_MS))));
        }
        for demand in demands {
            if !random.random_bool(demand.per_second / 1_000.0) {
                continue;
            }
            let ticket = Ticket(kinds.len() as u64);
            kinds.push(demand.kind);
            let priority = demand.kind.priority * RANKS_PER_PRIORITY + random.random_range(0..6);
            let rank = Rank {
                priority,
                start_by: Some(at(now + 150)),
                class: demand.kind.class,
                ..Rank::default()
            };
            let decision = limiter.admit_ranked(ticket, rank, at(now), at(now + 800), QUEUE);
            granted.extend((decision == Decision::Run).then_some(ticket));
        }
        for ticket in granted {
            limiter.record_sent(ticket, at(now));
            starts.push((now, kinds[ticket.0 as usize]));
            running.push((now + CALL_MS, ticket));
        }
    }
    starts
}

/// Checks the shares of the starts that each demand gets, as (demand, lowest, highest).
#[track_caller]
fn check(starts_per_second: f64, cases: &[(Demand, f64, f64)]) {
    let demands: Vec<Demand> = cases.iter().map(|case| case.0).collect();
    for seed in 0..5 {
        let starts = play(&demands, starts_per_second, seed);
        for (demand, lowest, highest) in cases {
            let own = starts.iter().filter(|start| start.1 == demand.kind).count();
            let share = own as f64 / starts.len() as f64;
            let is_expected = (*lowest..=*highest).contains(&share);
            assert!(is_expected, "{:?}: {share:.3} of {}, seed {seed}", demand.kind, starts.len());
        }
    }
}

const POSTS: Demand = Demand {
    kind: Kind { priority: 0, class: Class::External },
    per_second: 2.0 * STARTS_PER_SECOND,
};
const READS: Demand = Demand {
    kind: Kind { priority: 2, class: Class::Nested },
    per_second: 2.0 * STARTS_PER_SECOND,
};

/// Guards against urgent posts behind less urgent nested reads, and against reads that starve.
#[test]
fn urgent_posts_go_before_nested_reads_which_get_an_eighth() {
    check(STARTS_PER_SECOND, &[(POSTS, 0.80, 0.875), (READS, 0.125, 0.20)]);
}

/// Guards against half of few starts for a less urgent kind, since no window of two starts has an
/// eighth.
#[test]
fn less_urgent_calls_get_an_eighth_of_few_starts() {
    check(2.0, &[(POSTS, 0.80, 0.90), (READS, 0.10, 0.20)]);
}

/// Guards against callers behind nested calls of the same priority, and the reverse.
#[test]
fn nested_calls_get_half_while_callers_of_their_priority_wait() {
    let callers = Demand { kind: kind(2, Class::External), ..READS };
    check(STARTS_PER_SECOND, &[(callers, 0.48, 0.52), (READS, 0.48, 0.52)]);
}

/// Guards against starts that are kept free for callers that do not wait.
#[test]
fn nested_calls_get_what_few_callers_leave() {
    let callers = Demand { kind: kind(2, Class::External), per_second: 3.0 };
    check(STARTS_PER_SECOND, &[(callers, 0.10, 0.20), (READS, 0.80, 0.90)]);
    let starts = play(&[READS], STARTS_PER_SECOND, 1);
    assert!(starts.len() as u64 >= 19 * LENGTH_MS / 1_000, "{}", starts.len());
}

/// Guards against a kind that starves where more than eight kinds wait.
#[test]
fn a_dozen_kinds_share_the_starts() {
    let demand = |priority| Demand { kind: kind(priority, Class::External), per_second: 20.0 };
    let cases: Vec<_> = (0..12).map(|priority| (demand(priority), 0.04, 0.20)).collect();
    check(STARTS_PER_SECOND, &cases);
}

/// Starts of waiting calls, by ticket, in the order in which they are granted.
#[track_caller]
fn check_order(waiting: &[(u8, Class)], expected: &[u64]) {
    let mut limiter = limiter(STARTS_PER_SECOND);
    for (ticket, &(priority, class)) in waiting.iter().enumerate() {
        let rank = Rank { priority, start_by: None, class, ..Rank::default() };
        let decision = limiter.admit_ranked(Ticket(ticket as u64), rank, at(0), at(50_000), QUEUE);
        assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
    }
    let mut order = Vec::new();
    for step in 1..=waiting.len() as u64 {
        order.extend(grant(&mut limiter, step * 50).iter().map(|ticket| ticket.0));
    }
    assert_eq!(order, expected);
}

/// Guards against an order by arrival where ranks differ, and by rank where kinds differ.
#[test]
fn calls_start_by_priority_then_class_then_rank() {
    let (external, nested) = (Class::External, Class::Nested);
    check_order(&[(3, external), (2, external), (3, external)], &[1, 0, 2]);
    check_order(&[(0, nested), (1, nested), (3, external), (4, external)], &[2, 0, 3, 1]);
    // Every kind gets its first start soon, the more urgent ones first. Its further ones are
    // spaced.
    check_order(
        &[(13, nested), (13, nested), (3, external), (3, external), (3, external), (3, external)],
        &[2, 0, 3, 4, 1, 5],
    );
}

/// Returns a limiter after twenty starts, with forty urgent calls and a less urgent one that wait.
fn with_queue() -> Limiter {
    let mut limiter = limiter(STARTS_PER_SECOND);
    for ticket in 0..61 {
        let (priority, class) = if ticket < 4 { (13, Class::Nested) } else { (3, Class::External) };
        let rank = Rank { priority, start_by: None, class, ..Rank::default() };
        limiter.admit_ranked(Ticket(ticket), rank, at(0), at(50_000), QUEUE);
    }
    (1..=20).for_each(|step| drop(grant(&mut limiter, step * 50)));
    limiter
}

/// Ends the calls that are granted at `now` at once, and returns them.
fn grant(limiter: &mut Limiter, now: u64) -> Vec<Ticket> {
    let granted = limiter.grant_waiting(at(now));
    for ticket in &granted {
        limiter.finish(*ticket, at(now), Some(Duration::from_millis(1)));
    }
    granted
}

/// Guards against a predicted order other than the one in which calls then start.
#[test]
fn a_call_is_refused_exactly_if_it_would_start_late() {
    let admit = |limiter: &mut Limiter, start_by| {
        let rank = Rank { priority: 13, start_by, class: Class::Nested, ..Rank::default() };
        limiter.admit_ranked(Ticket(99), rank, at(1_000), at(50_000), QUEUE)
    };
    let mut limiter = with_queue();
    admit(&mut limiter, None);
    let mut steps = (21..).map(|step| step * 50);
    let start = steps.find(|&now| grant(&mut limiter, now).contains(&Ticket(99)));
    let start = start.expect("the call starts");
    let decide = |start_by| admit(&mut with_queue(), Some(at(start_by)));
    assert!(matches!(decide(start - 1), Decision::Refuse(_)), "starts at {start}");
    assert_eq!(decide(start), Decision::Wait(at(start)));
}

/// Guards against a less urgent call that waits although more urgent ones take the starts until it
/// is late.
#[test]
fn a_call_that_gets_no_start_in_this_order_is_refused_at_once() {
    let mut limiter = limiter(STARTS_PER_SECOND);
    let mut admit = |ticket, priority, class, start_by| {
        let rank = Rank { priority, start_by: Some(at(start_by)), class, ..Rank::default() };
        limiter.admit_ranked(Ticket(ticket), rank, at(0), at(900), QUEUE)
    };
    // One start every 50 ms: six posts, after the first of which the read starts.
    for ticket in 0..6 {
        assert!(matches!(admit(ticket, 3, Class::External, 400), Decision::Wait(_)));
    }
    assert!(matches!(admit(6, 12, Class::Nested, 110), Decision::Wait(_)));
    assert!(matches!(admit(7, 12, Class::Nested, 190), Decision::Refuse(_)));
    assert!(matches!(admit(8, 0, Class::External, 190), Decision::Wait(_)));
}

/// Guards against another order of the queue where only slots are short.
#[test]
fn the_order_for_slots_stays_where_starts_are_free() {
    let now = at(2_000);
    let order = |mut limiter: Limiter| -> Vec<Ticket> {
        limiter.resize(1, at(0));
        assert_eq!(limiter.admit(Ticket(0), now, at(9_000), QUEUE), Decision::Run);
        for (ticket, priority, class) in
            [(1, 3, Class::External), (2, 12, Class::Nested), (3, 13, Class::Nested)]
        {
            let rank = Rank { priority, start_by: None, class, ..Rank::default() };
            limiter.admit_ranked(Ticket(ticket), rank, now, at(9_000), QUEUE);
        }
        (0..3).filter_map(|held| limiter.finish(Ticket(held), now, None)).collect()
    };
    assert_eq!(order(limiter(STARTS_PER_SECOND)), order(Limiter::new(SLOTS)));
}

/// Guards against operators who cannot see how the starts are used.
#[test]
fn usage_counts_the_starts_of_the_last_second_by_kind() {
    let mut limiter = limiter(STARTS_PER_SECOND);
    let rank = |class| Rank { priority: 7, start_by: None, class, ..Rank::default() };
    for (ticket, class) in [(0, Class::Nested), (1, Class::Nested), (2, Class::External)] {
        limiter.admit_ranked(Ticket(ticket), rank(class), at(2_000), at(9_000), QUEUE);
        limiter.record_sent(Ticket(ticket), at(2_000));
    }
    let usage = limiter.starts(at(2_500)).expect("the upstream is cold");
    assert_eq!((usage.used, usage.limit), (3, 20));
    assert_eq!(usage.kinds, [(kind(1, Class::Nested), 2), (kind(1, Class::External), 1)]);
    assert_eq!(limiter.starts(at(3_000)).map(|usage| usage.used), Some(0));
    assert_eq!(limiter.starts(at(60_000)), None);
}
