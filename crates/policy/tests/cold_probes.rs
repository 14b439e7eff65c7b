//! Calls to an upstream that becomes cold at moments that only its answers to health probes show.

use model::{service::WarmUp, time::Time};
use policy::{
    admission::{Decision, Limiter, Ticket},
    warmup::{Evidence, Excess, Limit, Trust},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const WARM_UP: WarmUp = WarmUp { calls_per_min: 660, length: Duration::from_secs(3) };
const EXCESS: Excess = Excess { factor: 1.5, slack: 8.0 };

/// Upper bound of calls that reach a cold upstream in any second.
const BOUND: usize = 24;

const SECOND_MS: u64 = 1_000;
const LENGTH_MS: u64 = 20_000;
const SLOTS: usize = 12;
const QUEUE: usize = 64;
const RETRY_MS: u64 = 100;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A day of one upstream and its node.
#[derive(Clone, Copy)]
struct Scenario {
    /// Calls per ms.
    calls: f64,
    /// Mean time until a warm upstream becomes cold, in ms; it stays warm if 0.
    warm_ms: u32,
    /// Mean time between restarts of the node, in ms; none if 0.
    restart_ms: u32,
    /// Longest time from the admission of a call until it is sent.
    dial_ms: u64,
    /// Share of the probes that bring no answer.
    lost_probes: f64,
}

const BUSY: Scenario =
    Scenario { calls: 0.06, warm_ms: 1_500, restart_ms: 0, dial_ms: 0, lost_probes: 0.0 };

/// A process of the node, whose clock begins with it.
struct Process {
    started: u64,
    limiter: Limiter,
    evidence: Evidence,
    /// When the running probe was sent and ends, and its answer: for how long the upstream is cold.
    probe: Option<(u64, u64, Option<u64>)>,
    retry_at: u64,
    dialling: Vec<(u64, Ticket)>,
    running: Vec<(u64, Ticket)>,
}

impl Process {
    fn new(started: u64) -> Self {
        Process {
            started,
            limiter: Limiter::new(SLOTS),
            evidence: Evidence::default(),
            probe: None,
            retry_at: 0,
            dialling: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Returns `now` on the clock of the process.
    fn at(&self, now: u64) -> Time {
        at(now - self.started)
    }

    /// Ends a probe whose time has come, and sends one that is due to an upstream that is cold until `cold_until`.
    fn probe(&mut self, now: u64, cold_until: u64, scenario: Scenario, random: &mut SmallRng) {
        if let Some((sent, end, answer)) = self.probe
            && now >= end
        {
            self.probe = None;
            match answer {
                Some(0) => self.evidence.set_probed(self.at(sent), self.at(sent)),
                Some(left) => self.evidence.set_probed(self.at(sent), self.at(now + left)),
                None => {
                    self.evidence.set_unanswered();
                    self.retry_at = now + RETRY_MS;
                }
            }
        }
        let time = self.at(now);
        let limit = Limit::of_window(WARM_UP, EXCESS, self.evidence.cold_until());
        self.limiter.set_window(limit.expect("the bound is 24.5"), time);
        self.limiter.set_trust(self.evidence.trust());
        let is_due = self.limiter.needs_probe(time) || self.evidence.is_outdated(time);
        if is_due && self.probe.is_none() && now >= self.retry_at {
            let is_lost = random.random_bool(scenario.lost_probes);
            let answer = (!is_lost).then_some(cold_until.saturating_sub(now));
            self.probe = Some((now, now + random.random_range(1..20), answer));
        }
    }
}

/// Plays a scenario; returns the times of the calls that reached the upstream, and from when until when it was cold.
fn play(scenario: Scenario, seed: u64) -> (Vec<u64>, Vec<(u64, u64)>) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut process = Process::new(0);
    let (mut arrivals, mut cold) = (Vec::new(), Vec::new());
    let mut cold_until = 0;
    for now in 0..LENGTH_MS {
        let is_due = |mean: u32, random: &mut SmallRng| mean > 0 && random.random_ratio(1, mean);
        if now >= cold_until && is_due(scenario.warm_ms, &mut random) {
            cold_until = now + 3_000;
            cold.push((now, cold_until));
        }
        if is_due(scenario.restart_ms, &mut random) {
            process = Process::new(now);
        }
        process.probe(now, cold_until, scenario, &mut random);
        let time = process.at(now);
        for (_, ticket) in process.dialling.extract_if(.., |dial| dial.0 <= now) {
            process.limiter.record_sent(ticket, time);
            arrivals.push(now);
        }
        let mut granted = process.limiter.grant_waiting(time);
        for (_, ticket) in process.running.extract_if(.., |run| run.0 <= now) {
            let service_time = Some(Duration::from_millis(50));
            granted.extend(process.limiter.finish(ticket, time, service_time));
        }
        if random.random_bool(scenario.calls) {
            let ticket = Ticket(now);
            let deadline = time + Duration::from_millis(600);
            if process.limiter.admit(ticket, time, deadline, QUEUE) == Decision::Run {
                granted.push(ticket);
            }
        }
        for ticket in granted {
            let dial = if random.random_bool(0.2) { scenario.dial_ms } else { 0 };
            process.dialling.push((now + dial, ticket));
            process.running.push((now + dial + random.random_range(2..100), ticket));
        }
    }
    (arrivals, cold)
}

/// Returns the largest number of calls in any second in which the upstream was cold throughout.
fn peak(arrivals: &[u64], cold: &[(u64, u64)]) -> usize {
    let within = |from: u64, until: u64| {
        let until = until.min(from + SECOND_MS);
        arrivals.iter().filter(|time| (from..until).contains(time)).count()
    };
    let in_spell = |&(from, until): &(u64, u64)| {
        let starts = arrivals.iter().filter(move |time| (from..until).contains(time));
        starts.map(|&start| within(start, until)).max().unwrap_or(0)
    };
    cold.iter().map(in_spell).max().unwrap_or(0)
}

/// Guards against full load on an upstream that becomes cold without a report: at any moment, with slow
/// connections, lost probes and restarts of the node.
#[test]
fn an_upstream_that_becomes_cold_unreported_is_not_flooded() {
    let overload = Scenario { calls: 0.3, ..BUSY };
    let slow = Scenario { dial_ms: 250, ..overload };
    let unlucky = Scenario { lost_probes: 0.3, ..slow };
    let restarts = Scenario { restart_ms: 400, ..unlucky };
    for seed in 0..20 {
        for scenario in [BUSY, overload, slow, unlucky, restarts] {
            let (arrivals, cold) = play(scenario, seed);
            let peak = peak(&arrivals, &cold);
            assert!(peak <= BOUND, "seed {seed}, {} calls per ms: {peak}", scenario.calls);
        }
    }
}

/// Guards against a warm upstream that gets less than its load because it has to be probed.
#[test]
fn a_warm_upstream_gets_its_load() {
    for seed in 0..20 {
        let (arrivals, _) = play(Scenario { warm_ms: 0, ..BUSY }, seed);
        let per_second = arrivals.len() as u64 * SECOND_MS / LENGTH_MS;
        assert!(per_second >= 55, "seed {seed}: {per_second} of 60 calls per second");
    }
}

/// Guards against trust in an upstream that answers no probe: it gets what a cold one bears, and not more.
#[test]
fn an_upstream_that_answers_no_probe_is_limited() {
    for seed in 0..20 {
        let scenario = Scenario { warm_ms: 0, lost_probes: 1.0, ..BUSY };
        let (arrivals, _) = play(scenario, seed);
        assert!(peak(&arrivals, &[(0, LENGTH_MS)]) <= BOUND, "seed {seed}");
        let per_second = arrivals.len() as u64 * SECOND_MS / LENGTH_MS;
        assert!(per_second >= 17, "seed {seed}: {per_second} calls per second");
    }
}

/// Guards against a late report of the list that outweighs a later answer of the upstream itself.
#[test]
fn the_answer_to_a_later_probe_outweighs_the_list() {
    let mut evidence = Evidence::default();
    evidence.set_probed(at(100), at(100));
    evidence.set_listed(policy::warmup::Source::List, at(3_000), at(500));
    assert_eq!((evidence.cold_until(), evidence.is_outdated(at(600))), (at(3_000), true));
    evidence.set_probed(at(600), at(600));
    assert_eq!((evidence.cold_until(), evidence.is_outdated(at(700))), (at(600), false));
    assert_eq!(evidence.trust(), Trust::Probed { warm_at: Some(at(600)), is_answered: true });
}
