//! The decisions on calls against simple baselines, on a virtual clock.
//!
//! Calls arrive at a fixed rate at four upstreams. The product's admission, choice and budget stand
//! beside a round robin, an unbounded queue and retries without budget. Only the decisions differ.

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
const SLOTS: usize = 10;
const WORK: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_millis(200);
const SPAN: Duration = Duration::from_secs(20);
const QUEUE: usize = 16;

/// One way of deciding.
#[derive(Clone, Copy)]
struct Way {
    name: &'static str,
    round_robin: bool,
    queue: usize,
    hopeless_refused: bool,
    budget_percent: Option<u32>,
}

const PRODUCT: Way = Way {
    name: "product",
    round_robin: false,
    queue: QUEUE,
    hopeless_refused: true,
    budget_percent: Some(10),
};
const ROUND_ROBIN: Way = Way { name: "round-robin", round_robin: true, ..PRODUCT };
const UNBOUNDED: Way =
    Way { name: "unbounded-queue", queue: usize::MAX, hopeless_refused: false, ..PRODUCT };
const NO_BUDGET: Way = Way { name: "no-retry-budget", budget_percent: None, ..PRODUCT };

/// A trial: the load in per cent of capacity, and how many times slower the first upstream is.
#[derive(Clone, Copy)]
struct Trial {
    load: u32,
    slow: u32,
    broken: bool,
}

/// What came of a trial.
#[derive(Default)]
struct Result {
    answered: u64,
    offered: u64,
    calls: u64,
    times: Times,
}

/// Measures every way under overload, beside a slow upstream, and with all upstreams broken.
pub(crate) fn run(report: &mut Report) {
    let best = trial(PRODUCT, Trial { load: 95, slow: 1, broken: false }).answered as f64;
    for load in [150, 300] {
        for way in [PRODUCT, UNBOUNDED, NO_BUDGET] {
            let result = trial(way, Trial { load, slow: 1, broken: false });
            report.add(
                line("goodput_percent_of_best", way)
                    .count("load", load.into())
                    .figure("value", 100.0 * result.answered as f64 / best),
            );
        }
    }
    for way in [PRODUCT, ROUND_ROBIN] {
        let result = trial(way, Trial { load: 50, slow: 10, broken: false });
        let lost = 100.0 * (result.calls - result.answered) as f64 / result.calls as f64;
        report.add(line("slow_upstream_ms", way).times(&result.times).figure("lost_percent", lost));
    }
    for way in [PRODUCT, NO_BUDGET] {
        let result = trial(way, Trial { load: 50, slow: 1, broken: true });
        let extra = 100.0 * (result.offered as f64 / result.calls as f64 - 1.0);
        report.add(line("extra_calls_percent", way).figure("value", extra));
    }
}

fn line(measure: &str, way: Way) -> Line {
    Line::new(measure, UPSTREAMS).word("ports", "memory").word("way", way.name)
}

/// Something due in a trial.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Arrive,
    Finish { upstream: usize, call: u64 },
}

/// A call on its way.
#[derive(Clone, Copy)]
struct Call {
    begun: Time,
    made: u32,
    tried: [bool; UPSTREAMS],
}

/// All state of a trial.
struct Run {
    way: Way,
    trial: Trial,
    now: Time,
    agenda: BinaryHeap<Reverse<(Time, u64, Due)>>,
    number: u64,
    gates: Vec<Limiter>,
    records: Vec<Record>,
    calls: HashMap<u64, Call>,
    budget: Budget,
    random: SmallRng,
    turn: usize,
    result: Result,
}

fn trial(way: Way, trial: Trial) -> Result {
    let mut run = Run {
        way,
        trial,
        now: Time::default(),
        agenda: BinaryHeap::new(),
        number: 0,
        gates: (0..UPSTREAMS).map(|_| Limiter::new(SLOTS)).collect(),
        records: (0..UPSTREAMS).map(|_| Record::new(Time::default())).collect(),
        calls: HashMap::new(),
        budget: Budget::default(),
        random: SmallRng::seed_from_u64(9),
        turn: 0,
        result: Result::default(),
    };
    run.put(Duration::ZERO, Due::Arrive);
    while let Some(Reverse((at, _, due))) = run.agenda.pop() {
        if at > Time::default() + SPAN {
            break;
        }
        run.now = at;
        match due {
            Due::Arrive => run.arrive(),
            Due::Finish { upstream, call } => run.finish(upstream, call),
        }
    }
    run.result
}

impl Run {
    fn arrive(&mut self) {
        let capacity = (UPSTREAMS * SLOTS) as f64 / WORK.as_secs_f64();
        let rate = capacity * f64::from(self.trial.load) / 100.0;
        let gap = -self.random.random_range(f64::EPSILON..1.0f64).ln() / rate;
        self.put(Duration::from_secs_f64(gap), Due::Arrive);
        if let Some(percent) = self.way.budget_percent {
            self.budget.earn(percent);
        }
        self.result.calls += 1;
        self.number += 1;
        let call = self.number;
        self.calls.insert(call, Call { begun: self.now, made: 0, tried: [false; UPSTREAMS] });
        self.offer(call);
    }

    /// Offers a call to one upstream after the other until one takes it or it is given up.
    fn offer(&mut self, number: u64) {
        loop {
            let Some(upstream) = self.choose(number) else { return self.drop_call(number) };
            let call = self.calls.get_mut(&number).expect("the call is on its way");
            call.made += 1;
            call.tried[upstream] = true;
            let (made, deadline) = (call.made, call.begun + DEADLINE);
            self.result.offered += 1;
            self.records[upstream].begin();
            let limit = if self.way.hopeless_refused { deadline } else { deadline + SPAN };
            match self.gates[upstream].admit(Ticket(number), self.now, limit, self.way.queue) {
                Decision::Run => return self.work(upstream, number),
                Decision::Wait(_) => return,
                Decision::Refuse(after) => {
                    self.records[upstream].end(self.now, Sample::Refused);
                    if !self.again(Outcome::NotRun(Cause::Overloaded, after), made) {
                        return self.drop_call(number);
                    }
                }
            }
        }
    }

    fn work(&mut self, upstream: usize, call: u64) {
        let slow = if upstream == 0 { self.trial.slow } else { 1 };
        let work = (WORK * slow).mul_f64(self.random.random_range(0.5..1.5));
        self.put(work, Due::Finish { upstream, call });
    }

    fn finish(&mut self, upstream: usize, number: u64) {
        if let Some(Ticket(next)) =
            self.gates[upstream].finish(Ticket(number), self.now, Some(WORK))
        {
            self.work(upstream, next);
        }
        let Some(call) = self.calls.get(&number).copied() else { return };
        let elapsed = self.now.since(call.begun);
        if self.trial.broken {
            self.records[upstream].end(self.now, Sample::Failed);
            if self.again(Outcome::Unknown(Uncertainty::Broken), call.made) {
                return self.offer(number);
            }
            return self.drop_call(number);
        }
        self.calls.remove(&number);
        self.records[upstream].end(self.now, Sample::Answered(elapsed));
        if elapsed <= DEADLINE {
            self.result.answered += 1;
            self.result.times.add(elapsed);
        }
    }

    fn again(&mut self, outcome: Outcome, made: u32) -> bool {
        let attempt = Attempt { outcome, kind: Kind::Idempotent, made, limit: 3 };
        if self.way.budget_percent.is_none() {
            self.budget = Budget::default();
        }
        decide(attempt, &mut self.budget) == Step::Retry
    }

    fn choose(&mut self, number: u64) -> Option<usize> {
        let tried = self.calls[&number].tried;
        if self.way.round_robin {
            self.turn += 1;
            let order = (0..UPSTREAMS).map(|i| (self.turn + i) % UPSTREAMS);
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

    fn drop_call(&mut self, number: u64) {
        self.calls.remove(&number);
    }

    fn put(&mut self, after: Duration, due: Due) {
        self.number += 1;
        self.agenda.push(Reverse((self.now + after, self.number, due)));
    }
}
