//! Admission under a limit that the upstream names.

use model::time::Time;
use policy::{
    admission::{Decision, Limiter, Rank, Ticket},
    named_limit::rate,
    outcome::Cause,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, time::Duration};

/// Window in which calls are counted, in ms.
const WINDOW_MS: u64 = 4_000;

const RUN_MS: u64 = 16_000;
const SLOTS: usize = 11;
const QUEUE: usize = 64;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns the largest number of calls in any window.
fn peak(times: &[u64]) -> usize {
    let within = |from: u64| times.iter().filter(|t| (from..from + WINDOW_MS).contains(t)).count();
    times.iter().map(|&from| within(from)).max().unwrap_or(0)
}

/// Returns when calls reached an upstream under `limit_at`, the limit that it names at each ms.
fn arrivals(seed: u64, limit_at: impl Fn(u64) -> Option<f64>) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiter = Limiter::new(SLOTS);
    let mut running: VecDeque<(u64, Ticket, bool)> = VecDeque::new();
    let mut reached = Vec::new();
    for now in 0..RUN_MS {
        limiter.set_named_limit(limit_at(now).map(rate), at(now));
        let mut granted = limiter.grant_waiting(at(now));
        running.make_contiguous().sort_by_key(|run| run.0);
        while running.front().is_some_and(|run| run.0 <= now) {
            let (_, ticket, reaches) = running.pop_front().expect("the queue is not empty");
            let time = reaches.then_some(Duration::from_millis(50));
            granted.extend(limiter.finish(ticket, at(now), time));
        }
        if random.random_bool(0.3) {
            let ticket = Ticket(now);
            if limiter.admit(ticket, at(now), at(now + 600), QUEUE) == Decision::Run {
                granted.push(ticket);
            }
        }
        for ticket in granted {
            let reaches = random.random_bool(0.9);
            if reaches {
                reached.push(now);
            }
            running.push_back((now + random.random_range(1..120), ticket, reaches));
        }
    }
    reached
}

/// Guards against bursts, unused tokens and rounding that exceed the limit in some window.
#[test]
fn calls_stay_within_the_limit_in_any_window_and_use_it() {
    for limit in [0.0, 0.4, 1.0, 3.3, 29.8, 60.0] {
        for seed in 0..8 {
            let times = arrivals(seed, |_| Some(limit));
            let allowed = 1.5 * 4.0 * limit + 5.0;
            assert!(peak(&times) as f64 <= allowed, "{limit}, seed {seed}: {}", peak(&times));
            let usable = limit * RUN_MS as f64 / 1e3 * 0.8;
            assert!(times.len() as f64 >= usable.floor(), "{limit}, seed {seed}: {}", times.len());
        }
    }
}

/// Guards against tokens of a higher or lifted limit that are spent under the next one.
#[test]
fn a_limit_that_changes_back_and_forth_holds_in_every_window() {
    for seed in 0..8 {
        let limit = |now: u64| match now / 500 % 3 {
            0 => Some(40.0),
            1 => Some(2.0),
            _ => None,
        };
        let times = arrivals(seed, limit);
        for start in (500..RUN_MS - 500).step_by(1_500) {
            let low = times.iter().filter(|t| (start..start + 500).contains(t)).count();
            assert!(low <= 2 + 1, "seed {seed}: {low} calls within 0.5 s under 2 a second");
        }
    }
}

/// Guards against a call above the limit that waits in vain, and against a caller that comes back too early.
#[test]
fn a_call_above_the_limit_is_refused_at_once_with_the_time_of_the_next_one() {
    let mut limiter = Limiter::new(SLOTS);
    limiter.set_named_limit(Some(rate(2.0)), at(0));
    let rank = Rank { start_by: Some(at(100)), ..Rank::default() };
    assert_eq!(limiter.admit_ranked(Ticket(1), rank, at(0), at(900), QUEUE), Decision::Run);
    let refused = limiter.admit_ranked(Ticket(2), rank, at(0), at(900), QUEUE);
    assert_eq!(refused, Decision::Refuse(Duration::from_millis(500)));
    assert_eq!(limiter.refusal_cause(at(0)), Cause::Limited);
    limiter.set_named_limit(None, at(0));
    assert_eq!(limiter.admit_ranked(Ticket(3), rank, at(0), at(900), QUEUE), Decision::Run);
    assert_eq!(limiter.refusal_cause(at(0)), Cause::Overloaded);
}

/// Guards against waiting calls that stay in the queue when the limit is lifted.
#[test]
fn waiting_calls_run_once_the_limit_is_lifted() {
    let mut limiter = Limiter::new(SLOTS);
    limiter.set_named_limit(Some(rate(2.0)), at(0));
    assert_eq!(limiter.admit(Ticket(1), at(0), at(5_000), QUEUE), Decision::Run);
    for ticket in 2..5 {
        let decision = limiter.admit(Ticket(ticket), at(0), at(5_000), QUEUE);
        assert_eq!(decision, Decision::Wait(at(5_000)));
    }
    assert!(limiter.grant_waiting(at(100)).is_empty());
    limiter.set_named_limit(None, at(100));
    assert_eq!(limiter.grant_waiting(at(100)), [Ticket(2), Ticket(3), Ticket(4)]);
}
