//! Sliding window over the calls passed to a cold upstream, under lasting overload.

use model::{service::WarmUp, time::Time};
use policy::{
    admission::{Decision, Limiter, Rank, Ticket},
    warmup::{Excess, Limit},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const WARM_UP: WarmUp = WarmUp { calls_per_min: 660, length: Duration::from_secs(3) };
const EXCESS: Excess = Excess { factor: 1.5, slack: 8.0 };

/// Upper bound of calls that reach a cold upstream in any second.
const MAX_ARRIVALS: usize = 24;

/// Upper bound of calls that are passed to it in any second.
const MAX_STARTS: usize = 20;

const SECOND_MS: u64 = 1_000;
const MAX_DELAY_MS: u64 = 180;
const SLOTS: usize = 8;
const QUEUE: usize = 64;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn limit(until_ms: u64) -> Limit {
    Limit::of_window(WARM_UP, EXCESS, at(until_ms)).expect("the bound is 24.5")
}

/// Returns a limiter whose window allows no start before `from_ms` and is empty of known calls.
fn limiter(until_ms: u64) -> Limiter {
    let mut limiter = Limiter::new(SLOTS);
    limiter.set_window(limit(until_ms), at(0));
    limiter
}

/// Returns the largest number of calls in any period of `span_ms`.
fn peak(times: &[u64], span_ms: u64) -> usize {
    let within = |from: u64| times.iter().filter(|t| (from..from + span_ms).contains(t)).count();
    times.iter().map(|&from| within(from)).max().unwrap_or(0)
}

/// A day of one upstream, in ms.
#[derive(Clone, Copy)]
struct Scenario {
    /// Arrivals per ms, during `busy_ms` of every `period_ms`.
    arrivals: f64,
    busy_ms: u64,
    period_ms: u64,
    /// When the node learns that the upstream is cold.
    known_cold_ms: u64,
    /// When the upstream is warm.
    warm_ms: u64,
    /// Mean time between restarts of the node, if it restarts.
    restart_ms: Option<u64>,
    /// Whether the upstream is replaced by one of another size from time to time.
    resize_ms: Option<u64>,
    /// Longest time from the admission of a call until it is sent.
    dial_ms: u64,
}

const OVERLOAD: Scenario = Scenario {
    arrivals: 0.2,
    busy_ms: 700,
    period_ms: 700,
    known_cold_ms: 0,
    warm_ms: LENGTH_MS,
    restart_ms: None,
    resize_ms: None,
    dial_ms: 0,
};

const LENGTH_MS: u64 = 8_000;

/// Plays a scenario with random arrivals, durations and returned calls; returns the times of the
/// calls that were passed and reached the upstream.
fn play(scenario: Scenario, seed: u64) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiter = limiter(0);
    let mut running: Vec<(u64, Ticket, bool)> = Vec::new();
    let mut dialling: Vec<(u64, Ticket)> = Vec::new();
    let mut reached = Vec::new();
    for now in 0..LENGTH_MS {
        for (_, ticket) in dialling.extract_if(.., |dial| dial.0 <= now) {
            limiter.record_sent(ticket, at(now));
            reached.push(now);
        }
        if scenario.restart_ms.is_some_and(|mean| random.random_ratio(1, mean as u32)) {
            limiter = Limiter::new(SLOTS);
            running.clear();
            dialling.clear();
        }
        let until_ms = if now < scenario.known_cold_ms { 0 } else { scenario.warm_ms };
        limiter.set_window(limit(until_ms), at(now));
        let mut granted = limiter.grant_waiting(at(now));
        if scenario.resize_ms.is_some_and(|mean| random.random_ratio(1, mean as u32)) {
            granted.extend(limiter.resize(random.random_range(2..16), at(now)));
        }
        for (_, ticket, reaches) in running.extract_if(.., |run| run.0 <= now) {
            let time = reaches.then_some(Duration::from_millis(50));
            granted.extend(limiter.finish(ticket, at(now), time));
        }
        let is_busy = now % scenario.period_ms < scenario.busy_ms;
        if is_busy && random.random_bool(scenario.arrivals) {
            let ticket = Ticket(now);
            if limiter.admit(ticket, at(now), at(now + 600), QUEUE) == Decision::Run {
                granted.push(ticket);
            }
        }
        for ticket in granted {
            let reaches = random.random_bool(0.8);
            let dial = match scenario.dial_ms {
                0 => 0,
                longest => random.random_range(0..=longest),
            };
            match (reaches, dial) {
                (true, 0) => {
                    limiter.record_sent(ticket, at(now));
                    reached.push(now);
                }
                (true, dial) => dialling.push((now + dial, ticket)),
                (false, _) => {}
            }
            running.push((now + dial + random.random_range(1..200), ticket, reaches));
        }
    }
    reached
}

/// Guards against a burst that crashes a cold upstream, with calls that never reach it, calls that
/// arrive late, and upstreams replaced by others of another size.
#[test]
fn starts_and_late_arrivals_stay_below_the_bound_in_any_second() {
    let bursts = Scenario { busy_ms: 150, period_ms: 900, arrivals: 0.9, ..OVERLOAD };
    let resized = Scenario { resize_ms: Some(150), ..bursts };
    for (seed, scenario) in (0..20).flat_map(|seed| [OVERLOAD, bursts, resized].map(|s| (seed, s)))
    {
        let starts = play(scenario, seed);
        let passed = peak(&starts, SECOND_MS);
        assert!(passed <= MAX_STARTS, "seed {seed}: {passed} are passed");
        // If the first calls are late and the others are not, calls of a longer period arrive in a
        // second.
        let arrive = peak(&starts, SECOND_MS + MAX_DELAY_MS);
        assert!(arrive <= MAX_ARRIVALS, "seed {seed}: {arrive} may arrive");
    }
}

/// Guards against calls that wait for connections after their admission and are then sent together.
#[test]
fn calls_that_are_sent_late_stay_below_the_bound_in_any_second() {
    let bursts = Scenario { busy_ms: 150, period_ms: 900, arrivals: 0.9, ..OVERLOAD };
    for (seed, scenario) in (0..40).flat_map(|seed| [OVERLOAD, bursts].map(|s| (seed, s))) {
        for dial_ms in [250, 900] {
            let sent = play(Scenario { dial_ms, ..scenario }, seed);
            let peak = peak(&sent, SECOND_MS);
            assert!(peak <= MAX_STARTS, "seed {seed}, {dial_ms} ms: {peak}");
        }
    }
}

/// Guards against a limit below what the upstream takes: 13.75 calls a second with a token bucket.
#[test]
fn overload_uses_the_starts() {
    for seed in 0..20 {
        let starts = play(OVERLOAD, seed);
        let per_second = starts.len() as u64 * SECOND_MS / LENGTH_MS;
        assert!(per_second >= 18, "seed {seed}: {per_second} calls per second");
    }
}

/// Guards against a metastable failure: an upstream that starts cold under normal load stays
/// limited or is crashed by it.
#[test]
fn cold_start_under_normal_load_recovers() {
    for seed in 0..20 {
        let starts = play(Scenario { arrivals: 0.06, warm_ms: 3_000, ..OVERLOAD }, seed);
        let (cold, warm): (Vec<u64>, Vec<u64>) = starts.iter().partition(|start| **start < 3_000);
        let passed = peak(&cold, SECOND_MS);
        assert!(passed <= MAX_STARTS, "seed {seed}: {passed}");
        // Eight in ten of 60 calls per second reach the upstream.
        let served = warm.iter().filter(|start| **start >= 4_000).count();
        assert!(served >= 160, "seed {seed}: {served} in four seconds");
    }
}

/// Guards against a restarted node that adds its starts to those of the previous process.
#[test]
fn calls_of_several_processes_stay_below_the_bound_together() {
    let bursts = Scenario { busy_ms: 300, period_ms: 900, arrivals: 0.9, ..OVERLOAD };
    for (seed, scenario) in (0..40).flat_map(|seed| [OVERLOAD, bursts].map(|s| (seed, s))) {
        let starts = play(Scenario { restart_ms: Some(1_500), ..scenario }, seed);
        let passed = peak(&starts, SECOND_MS);
        assert!(passed <= MAX_ARRIVALS, "seed {seed}: {passed}");
    }
}

/// Guards against calls in addition to those passed before the node learned that the upstream is
/// cold.
#[test]
fn calls_passed_before_the_upstream_is_known_to_be_cold_count() {
    for seed in 0..20 {
        let starts = play(Scenario { known_cold_ms: 2_500, ..OVERLOAD }, seed);
        assert!(
            peak(&starts, SECOND_MS) > MAX_ARRIVALS,
            "seed {seed}: a warm upstream is not limited"
        );
        for &start in starts.iter().filter(|start| **start >= 2_500) {
            let recent = starts.iter().filter(|t| (start - SECOND_MS + 1..=start).contains(t));
            assert!(recent.count() <= MAX_STARTS, "seed {seed}: at {start} ms");
        }
    }
}

/// Admits calls every 50 ms in the second before 2,000 ms, and returns the limiter.
fn with_calls() -> Limiter {
    let mut limiter = limiter(9_000);
    for n in 0..20 {
        let now = at(1_050 + n * 50);
        assert_eq!(
            limiter.admit(Ticket(n), now, now + Duration::from_secs(1), QUEUE),
            Decision::Run
        );
        if n < 18 {
            limiter.finish(Ticket(n), now, Some(Duration::from_millis(1)));
        }
    }
    limiter
}

/// Guards against a returned call that frees the start of another call.
#[test]
fn a_returned_call_is_removed_by_its_own_time() {
    let mut limiter = with_calls();
    limiter.record_sent(Ticket(19), at(2_000));
    assert!(matches!(limiter.admit(Ticket(90), at(2_000), at(2_900), QUEUE), Decision::Wait(_)));
    assert_eq!(limiter.next_token(at(2_000)), Some(at(2_050)));
    assert_eq!(limiter.finish(Ticket(18), at(2_001), None), Some(Ticket(90)));
    // The call at 1,050 ms is the next to expire, as before.
    limiter.admit(Ticket(91), at(2_002), at(2_900), QUEUE);
    assert_eq!(limiter.next_token(at(2_002)), Some(at(2_050)));
    // A call that is returned after it was sent frees nothing.
    for n in 92..112 {
        limiter.finish(Ticket(n - 2), at(n * 50 - 2_500), Some(Duration::from_millis(1)));
        limiter.admit(Ticket(n), at(n * 50 - 2_500), at(9_000), QUEUE);
    }
    limiter.admit(Ticket(120), at(3_050), at(9_000), QUEUE);
    assert_eq!(limiter.finish(Ticket(19), at(3_050), None), None);
}

/// Guards against a free start for a call that was sent and then cancelled by its caller.
#[test]
fn a_cancelled_call_that_was_sent_counts() {
    let mut limiter = with_calls();
    limiter.admit(Ticket(90), at(2_000), at(2_900), QUEUE);
    limiter.record_sent(Ticket(18), at(1_950));
    assert_eq!(limiter.finish(Ticket(18), at(2_001), None), None);
    assert_eq!(limiter.next_token(at(2_001)), Some(at(2_050)));
}

/// Guards against starts that are forgotten when the bound is raised at run time.
#[test]
fn a_raised_bound_counts_forgotten_calls() {
    let mut limiter = limiter(0);
    let ends = Some(Duration::from_millis(1));
    for n in 0..200 {
        let now = at(2_000 + n);
        assert_eq!(limiter.admit(Ticket(n), now, at(9_000), QUEUE), Decision::Run);
        limiter.finish(Ticket(n), now, ends);
    }
    limiter.set_window(Limit { rate: 80.0, burst: 10.0, until: at(9_000) }, at(2_200));
    assert!(matches!(limiter.admit(Ticket(900), at(2_200), at(9_000), QUEUE), Decision::Wait(_)));
    assert!(limiter.next_token(at(2_200)) >= Some(at(3_100)));
}

/// Guards against a call that waits for a slot and, once another call takes the last start, is
/// woken late.
#[test]
fn the_next_waiting_call_is_woken_when_an_entry_expires() {
    let mut limiter = limiter(9_000);
    limiter.resize(1, at(0));
    assert_eq!(limiter.admit(Ticket(1), at(2_000), at(2_900), QUEUE), Decision::Run);
    for n in 2..6 {
        limiter.admit(Ticket(n), at(2_000), at(2_900), QUEUE);
    }
    // The burst of four is free; the fifth start follows 50 ms after the first.
    assert_eq!(limiter.next_token(at(2_000)), Some(at(2_050)));
    for n in 1..4 {
        let next = limiter.finish(Ticket(n), at(2_001), Some(Duration::from_millis(1)));
        assert_eq!(next, Some(Ticket(n + 1)));
    }
    assert_eq!(limiter.finish(Ticket(4), at(2_002), Some(Duration::from_millis(1))), None);
    assert_eq!(limiter.next_token(at(2_002)), Some(at(2_050)));
    assert_eq!(limiter.grant_waiting(at(2_050)), [Ticket(5)]);
}

/// Guards against a clock that is read before another call is recorded.
#[test]
fn a_start_is_not_recorded_before_an_earlier_one() {
    let mut limiter = limiter(0);
    limiter.resize(40, at(0));
    for n in 0..30 {
        let now = if n == 0 { 2_100 } else { 2_000 };
        assert_eq!(limiter.admit(Ticket(n), at(now), at(9_000), QUEUE), Decision::Run);
    }
    limiter.set_window(limit(9_000), at(2_100));
    limiter.admit(Ticket(90), at(2_100), at(9_000), QUEUE);
    // Every start counts at 2,100 ms, for 1,180 ms.
    assert_eq!(limiter.next_token(at(2_100)), Some(at(3_280)));
}

/// Guards against calls of a warm upstream that are forgotten for others that are then given back.
#[test]
fn returned_calls_leave_enough_starts() {
    let mut limiter = limiter(0);
    limiter.resize(40, at(0));
    for n in 0..60 {
        assert_eq!(limiter.admit(Ticket(n), at(2_000), at(9_000), QUEUE), Decision::Run);
        if n < 30 {
            limiter.finish(Ticket(n), at(2_000), Some(Duration::from_millis(1)));
        }
    }
    limiter.set_window(limit(9_000), at(2_100));
    (30..60).for_each(|n| assert_eq!(limiter.finish(Ticket(n), at(2_100), None), None));
    limiter.admit(Ticket(90), at(2_100), at(9_000), QUEUE);
    assert!(limiter.next_token(at(2_100)) >= Some(at(3_000)));
}

/// Guards against calls that wait for a start that comes after their latest start, or while the
/// queue is full.
#[test]
fn call_without_a_start_in_time_is_refused_at_once() {
    let mut limiter = limiter(3_000);
    let rank = Rank { start_by: Some(at(120)), ..Rank::default() };
    let mut admit =
        |ticket, queue| limiter.admit_ranked(Ticket(ticket), rank, at(0), at(900), queue);
    assert_eq!(admit(1, QUEUE), Decision::Wait(at(120)));
    assert!(matches!(admit(2, 1), Decision::Refuse(_)));
    assert_eq!(admit(3, QUEUE), Decision::Wait(at(120)));
    // Its start is free at 150 ms.
    assert!(matches!(admit(4, QUEUE), Decision::Refuse(_)));
}

/// Guards against calls that keep waiting for starts once the upstream is warm.
#[test]
fn waiting_calls_run_once_the_upstream_is_warm() {
    let mut limiter = limiter(200);
    for n in 0..8 {
        limiter.admit(Ticket(n), at(0), at(900), QUEUE);
    }
    assert_eq!(limiter.grant_waiting(at(199)).len(), 3);
    assert_eq!(limiter.grant_waiting(at(200)).len(), 5);
}

/// Guards against a window for a bound that it cannot keep, and against no window for a large one.
#[test]
fn every_bound_of_one_call_or_more_has_a_window_that_keeps_it() {
    let bound = |slack| Limit::of_window(WARM_UP, Excess { factor: 0.0, slack }, at(0));
    assert_eq!(bound(0.9), None);
    assert_eq!(bound(1.0).map(|limit| limit.rate), Some(1.0));
    for slack in [127.0, 128.0, 129.0, 200.0, 1e6] {
        let limit = bound(slack).expect("the bound is above one call");
        assert!(limit.rate >= 1.0 && limit.rate + limit.burst <= slack.min(128.0), "{limit:?}");
        let mut limiter = Limiter::new(1_000);
        limiter.set_window(Limit { until: at(9_000), ..limit }, at(0));
        let admit = |n| limiter.admit(Ticket(n), at(5_000), at(5_500), QUEUE) == Decision::Run;
        let started = (0..1_000).map(admit).filter(|runs| *runs).count();
        assert!((1..=128).contains(&started), "{started} starts at once of {slack}");
    }
}
