//! The limiter never runs more calls than slots, leaks no slot and bounds its queue.

use model::time::Time;
use policy::admission::{Decision, Limiter, Ticket};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::{collections::BTreeMap, time::Duration};

const SEED: u64 = 11;
const SLOTS: usize = 3;
const QUEUE: usize = 4;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Admits calls with the given remaining milliseconds to a limiter with one busy slot and calls of
/// 100 ms; compares the decisions.
#[track_caller]
fn check(remaining: &[u64], expect: &[&str]) {
    let mut limiter = Limiter::new(1);
    assert_eq!(limiter.admit(Ticket(0), at(0), at(9_000), QUEUE), Decision::Run);
    for _ in 0..200 {
        limiter.finish(Ticket(0), at(0), Some(Duration::from_millis(100)));
        limiter.admit(Ticket(0), at(0), at(9_000), QUEUE);
    }
    let decisions: Vec<&str> = remaining
        .iter()
        .enumerate()
        .map(|(i, &ms)| match limiter.admit(Ticket(i as u64 + 1), at(0), at(ms), QUEUE) {
            Decision::Run => "run",
            Decision::Wait(_) => "wait",
            Decision::Refuse(_) => "refuse",
        })
        .collect();
    assert_eq!(decisions, expect);
}

/// Guards against a long queue in which every call waits until its deadline and the upstream works
/// for callers that have given up.
#[test]
fn call_that_would_miss_its_deadline_is_refused_at_once() {
    cov_mark::check!(admission_refused);
    check(&[1_000, 50], &["wait", "refuse"]);
    check(&[1_000, 150], &["wait", "refuse"]);
    check(&[1_000, 250, 350], &["wait", "wait", "wait"]);
    check(&[900, 900, 900, 900, 900], &["wait", "wait", "wait", "wait", "refuse"]);
}

#[test]
fn freed_slot_skips_expired_calls() {
    cov_mark::check!(admission_expired);
    let mut limiter = Limiter::new(1);
    limiter.admit(Ticket(1), at(0), at(900), QUEUE);
    limiter.admit(Ticket(2), at(0), at(20), QUEUE);
    limiter.admit(Ticket(3), at(0), at(900), QUEUE);
    assert_eq!(limiter.finish(Ticket(1), at(30), None), Some(Ticket(3)));
    assert_eq!(limiter.finish(Ticket(3), at(31), None), None);
    assert_eq!(limiter.busy(), 0);
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Arrive(u16),
    Finish,
    Cancel(u8),
    Wait(u8),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 7 {
            0..=2 => Action::Arrive(u16::arbitrary(g) % 400),
            3 | 4 => Action::Finish,
            5 => Action::Cancel(u8::arbitrary(g)),
            _ => Action::Wait(u8::arbitrary(g)),
        }
    }
}

/// Runs the same actions on a limiter and on lists of running and waiting calls.
fn matches_model(actions: Vec<Action>) -> TestResult {
    let mut limiter = Limiter::new(SLOTS);
    let (mut now, mut next) = (0, 0);
    let mut running: Vec<Ticket> = Vec::new();
    let mut waiting: BTreeMap<u64, u64> = BTreeMap::new();
    for action in actions {
        match action {
            Action::Arrive(ms) => {
                next += 1;
                let deadline = now + u64::from(ms);
                match limiter.admit(Ticket(next), at(now), at(deadline), QUEUE) {
                    Decision::Run => running.push(Ticket(next)),
                    Decision::Wait(_) => drop(waiting.insert(next, deadline)),
                    Decision::Refuse(after) if after.is_zero() => {
                        return TestResult::error("a refused caller gets a Retry-After of zero");
                    }
                    Decision::Refuse(_) => {}
                }
            }
            Action::Finish if !running.is_empty() => {
                let ended = running.remove(0);
                let expect = waiting.iter().find(|(_, deadline)| **deadline > now).map(|w| *w.0);
                let granted = limiter.finish(ended, at(now), Some(Duration::from_millis(5)));
                if granted != expect.map(Ticket) {
                    return TestResult::error(format!("granted {granted:?}, expected {expect:?}"));
                }
                match granted {
                    Some(ticket) => {
                        waiting.retain(|&number, _| number > ticket.0);
                        running.push(ticket);
                    }
                    None => waiting.clear(),
                }
            }
            Action::Cancel(n) => {
                let number = next.saturating_sub(u64::from(n % 8));
                limiter.cancel(Ticket(number));
                waiting.remove(&number);
            }
            Action::Finish => {}
            Action::Wait(ms) => now += u64::from(ms),
        }
        if limiter.busy() != running.len() || limiter.busy() > SLOTS || limiter.waiting() > QUEUE {
            return TestResult::error(format!(
                "{} slots busy, {} calls running",
                limiter.busy(),
                running.len()
            ));
        }
    }
    TestResult::passed()
}

#[test]
fn slots_are_neither_leaked_nor_granted_twice() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(500)
        .quickcheck(matches_model as fn(Vec<Action>) -> TestResult);
}
