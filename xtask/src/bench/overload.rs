//! Discrete-event simulation that compares the call policies with simple baselines.
//!
//! Calls arrive at random with a fixed mean rate at four upstreams. The baselines replace one policy
//! each: round robin, an unbounded queue, and retries without a budget.

use model::time::Time;
use policy::{
    admission::{Decision, Limiter, Ticket},
    choice::{Candidate, Reach, choose},
    health::{Record, Sample},
    outcome::{Cause, Outcome, Uncertainty},
    retry::{Attempt, Budget, Kind, Step, decide},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use super::report::{Line, Report, Times};

const UPSTREAMS: usize = 4;

/// Concurrency limit of each upstream.
const SLOTS: usize = 10;

/// Mean service time of a call at an upstream without a slowdown.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Time limit of a call from its arrival.
const DEADLINE: Duration = Duration::from_millis(200);

/// Simulated time of each scenario.
const RUN_TIME: Duration = Duration::from_secs(20);

/// Limit of the calls queued at an upstream.
const QUEUE_LENGTH: usize = 16;

/// A combination of call policies.
#[derive(Clone, Copy)]
struct Policies {
    name: &'static str,
    round_robin: bool,
    max_queued: usize,
    /// Whether the queue respects the deadlines of calls.
    deadline_aware: bool,
    /// Retry budget, in per cent of the calls; unlimited if none.
    budget_percent: Option<u32>,
}

const PRODUCT: Policies = Policies {
    name: "product",
    round_robin: false,
    max_queued: QUEUE_LENGTH,
    deadline_aware: true,
    budget_percent: Some(10),
};
const ROUND_ROBIN: Policies = Policies { name: "round-robin", round_robin: true, ..PRODUCT };
const UNBOUNDED: Policies =
    Policies { name: "unbounded-queue", max_queued: usize::MAX, deadline_aware: false, ..PRODUCT };
const NO_BUDGET: Policies = Policies { name: "no-retry-budget", budget_percent: None, ..PRODUCT };

/// Conditions of one simulation.
#[derive(Clone, Copy)]
struct Scenario {
    /// Rate of calls, in per cent of what all upstreams can serve.
    load_percent: u32,
    /// Factor of the service time of the first upstream.
    slowdown: u32,
    /// Whether every run fails.
    failing: bool,
}

/// Counts and times of one simulation.
#[derive(Default)]
struct Totals {
    /// Calls answered within the deadline.
    answered: u64,
    /// Attempts, the first ones included.
    offered: u64,
    calls: u64,
    times: Times,
}

/// Compares the policies under overload, with one slow upstream, and with all upstreams failing.
pub(crate) fn run(report: &mut Report) {
    let best_answered =
        simulate(PRODUCT, Scenario { load_percent: 95, slowdown: 1, failing: false }).answered
            as f64;
    for load_percent in [150, 300] {
        for policies in [PRODUCT, UNBOUNDED, NO_BUDGET] {
            let totals = simulate(policies, Scenario { load_percent, slowdown: 1, failing: false });
            report.add(
                line("goodput_percent_of_best", policies)
                    .count("load", load_percent.into())
                    .figure("value", 100.0 * totals.answered as f64 / best_answered),
            );
        }
    }
    for policies in [PRODUCT, ROUND_ROBIN] {
        let totals =
            simulate(policies, Scenario { load_percent: 50, slowdown: 10, failing: false });
        let lost = 100.0 * (totals.calls - totals.answered) as f64 / totals.calls as f64;
        report.add(
            line("slow_upstream_ms", policies).times(&totals.times).figure("lost_percent", lost),
        );
    }
    for policies in [PRODUCT, NO_BUDGET] {
        let totals = simulate(policies, Scenario { load_percent: 50, slowdown: 1, failing: true });
        let extra = 100.0 * (totals.offered as f64 / totals.calls as f64 - 1.0);
        report.add(line("extra_calls_percent", policies).figure("value", extra));
    }
}

fn line(measure: &str, policies: Policies) -> Line {
    Line::new(measure, UPSTREAMS).word("ports", "memory").word("way", policies.name)
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Completion { upstream: usize, call: u64 },
}

/// A call in flight.
#[derive(Clone, Copy)]
struct Call {
    started: Time,
    attempts: u32,
    tried: [bool; UPSTREAMS],
}

/// State of one simulation.
struct Simulation {
    policies: Policies,
    scenario: Scenario,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Last identifier given to a call or an event.
    last_id: u64,
    limiters: Vec<Limiter>,
    records: Vec<Record>,
    calls: HashMap<u64, Call>,
    budget: Budget,
    random: SmallRng,
    next_upstream: usize,
    totals: Totals,
}

fn simulate(policies: Policies, scenario: Scenario) -> Totals {
    let mut simulation = Simulation {
        policies,
        scenario,
        now: Time::default(),
        events: BinaryHeap::new(),
        last_id: 0,
        limiters: (0..UPSTREAMS).map(|_| Limiter::new(SLOTS)).collect(),
        records: (0..UPSTREAMS).map(|_| Record::new(Time::default())).collect(),
        calls: HashMap::new(),
        budget: Budget::default(),
        random: SmallRng::seed_from_u64(9),
        next_upstream: 0,
        totals: Totals::default(),
    };
    simulation.schedule(Duration::ZERO, Event::Arrival);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > Time::default() + RUN_TIME {
            break;
        }
        simulation.now = at;
        match event {
            Event::Arrival => simulation.accept_call(),
            Event::Completion { upstream, call } => simulation.complete(upstream, call),
        }
    }
    simulation.totals
}

impl Simulation {
    fn accept_call(&mut self) {
        let capacity = (UPSTREAMS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let rate = capacity * f64::from(self.scenario.load_percent) / 100.0;
        let interval = -self.random.random_range(f64::EPSILON..1.0f64).ln() / rate;
        self.schedule(Duration::from_secs_f64(interval), Event::Arrival);
        if let Some(percent) = self.policies.budget_percent {
            self.budget.earn(percent);
        }
        self.totals.calls += 1;
        self.last_id += 1;
        let call = self.last_id;
        self.calls.insert(call, Call { started: self.now, attempts: 0, tried: [false; UPSTREAMS] });
        self.dispatch(call);
    }

    /// Offers a call to upstreams in turn until one admits it or no retry is allowed.
    fn dispatch(&mut self, id: u64) {
        loop {
            let Some(upstream) = self.choose(id) else { return self.abandon(id) };
            let call = self.calls.get_mut(&id).expect("the call is in flight");
            call.attempts += 1;
            call.tried[upstream] = true;
            let (attempts, deadline) = (call.attempts, call.started + DEADLINE);
            self.totals.offered += 1;
            self.records[upstream].begin();
            let wait_until =
                if self.policies.deadline_aware { deadline } else { deadline + RUN_TIME };
            match self.limiters[upstream].admit(
                Ticket(id),
                self.now,
                wait_until,
                self.policies.max_queued,
            ) {
                Decision::Run => return self.start_run(upstream, id),
                Decision::Wait(_) => return,
                Decision::Refuse(after) => {
                    self.records[upstream].end(self.now, Sample::Refused);
                    if !self.may_retry(Outcome::NotRun(Cause::Overloaded, after), attempts) {
                        return self.abandon(id);
                    }
                }
            }
        }
    }

    fn start_run(&mut self, upstream: usize, call: u64) {
        let slowdown = if upstream == 0 { self.scenario.slowdown } else { 1 };
        let service_time = (SERVICE_TIME * slowdown).mul_f64(self.random.random_range(0.5..1.5));
        self.schedule(service_time, Event::Completion { upstream, call });
    }

    fn complete(&mut self, upstream: usize, id: u64) {
        if let Some(Ticket(next)) =
            self.limiters[upstream].finish(Ticket(id), self.now, Some(SERVICE_TIME))
        {
            self.start_run(upstream, next);
        }
        let Some(call) = self.calls.get(&id).copied() else { return };
        let elapsed = self.now.since(call.started);
        if self.scenario.failing {
            self.records[upstream].end(self.now, Sample::Failed);
            if self.may_retry(Outcome::Unknown(Uncertainty::Broken), call.attempts) {
                return self.dispatch(id);
            }
            return self.abandon(id);
        }
        self.calls.remove(&id);
        self.records[upstream].end(self.now, Sample::Answered(elapsed));
        if elapsed <= DEADLINE {
            self.totals.answered += 1;
            self.totals.times.add(elapsed);
        }
    }

    fn may_retry(&mut self, outcome: Outcome, attempts: u32) -> bool {
        let attempt = Attempt { outcome, kind: Kind::Idempotent, made: attempts, limit: 3 };
        if self.policies.budget_percent.is_none() {
            self.budget = Budget::default();
        }
        decide(attempt, &mut self.budget) == Step::Retry
    }

    fn choose(&mut self, id: u64) -> Option<usize> {
        let tried = self.calls[&id].tried;
        if self.policies.round_robin {
            self.next_upstream += 1;
            let order = (0..UPSTREAMS).map(|i| (self.next_upstream + i) % UPSTREAMS);
            return order.into_iter().find(|&i| !tried[i]);
        }
        let candidates: Vec<Candidate<'_>> = self
            .records
            .iter()
            .enumerate()
            .map(|(i, record)| Candidate { record, local: true, tried: tried[i] })
            .collect();
        choose(
            &candidates,
            Reach::LocalOnly,
            Kind::Idempotent,
            Duration::ZERO,
            self.now,
            &mut self.random,
        )
    }

    fn abandon(&mut self, id: u64) {
        self.calls.remove(&id);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_id += 1;
        self.events.push(Reverse((self.now + after, self.last_id, event)));
    }
}
