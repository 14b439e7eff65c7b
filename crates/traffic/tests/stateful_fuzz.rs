//! Stateful fuzzing of calls under random faults of upstreams and nodes; the upstreams' ledgers are
//! the oracle.

mod rig;

use fleet::member::State;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rig::{Rig, record};
use standins::{
    caller::{Call, Caller},
    upstream::{Mode, Settings},
};
use std::time::Duration;

/// Seed of the action sequences.
const SEED: u64 = 42;

const CASES: u64 = 150;
const MAX_ACTIONS: usize = 14;
const UPSTREAMS: usize = 3;
const PROFILE: &str = r#"{"deadline_ms": 120, "refused_status": 503, "queue_limit": 4}"#;

const MODES: [Mode; 9] = [
    Mode::Normal,
    Mode::Frozen,
    Mode::Silent,
    Mode::CloseBefore,
    Mode::CloseAfter,
    Mode::Truncate,
    Mode::Duplicate,
    Mode::WrongId,
    Mode::Refuse,
];

#[derive(Clone, Copy, Debug)]
enum Action {
    /// Changes how an upstream behaves.
    Behave(u8, u8),
    /// Makes payments concurrently.
    Pay(u8),
    /// Makes a node leave.
    Leave(u8),
    /// Shows the entry node a previous incarnation of a node.
    Outdate(u8),
    /// Shows the entry node the current incarnation of all nodes.
    Refresh,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0..=3 => Action::Behave(n, u8::arbitrary(g)),
            4..=8 => Action::Pay(1 + n % 6),
            9 => Action::Leave(n),
            10 => Action::Outdate(n),
            _ => Action::Refresh,
        }
    }
}

/// The payments made, each with the outcome reported to its caller.
type Payments = Vec<(String, String)>;

fn apply(rig: &Rig, action: Action, payments: &mut Payments) {
    let index = |n: u8| usize::from(n) % UPSTREAMS;
    match action {
        Action::Behave(n, mode) => {
            rig.upstreams[index(n)].set_mode(MODES[usize::from(mode) % MODES.len()]);
        }
        Action::Pay(count) => pay(rig, count, payments),
        Action::Leave(n) => rig.nodes[index(n)].proxy.leave(),
        Action::Outdate(n) => show(rig, Some(index(n))),
        Action::Refresh => show(rig, None),
    }
}

fn show(rig: &Rig, outdated: Option<usize>) {
    let records: Vec<_> = (0..UPSTREAMS)
        .map(|i| {
            let mut record = record(i, rig.nodes[i].traffic, State::Live);
            record.incarnation -= u64::from(outdated == Some(i));
            record
        })
        .collect();
    rig.set_view(&records);
}

fn pay(rig: &Rig, count: u8, payments: &mut Payments) {
    let entry = rig.entry.traffic;
    let calls: Vec<_> = (0..count)
        .map(|_| {
            let work = format!("pay-{}", payments.len());
            payments.push((work.clone(), String::new()));
            let call = Call::post("/paydesk/pay", &work);
            rig.runtime.spawn(async move { (work, Caller::new(entry).call(&call).await) })
        })
        .collect();
    for call in calls {
        let (work, answer) = rig.runtime.block_on(call).expect("the task ends");
        let outcome = answer.map_or("none".to_owned(), |a| {
            let is_own_answer = a.outcome() != "answered" || a.header("x-work") == work;
            if is_own_answer { a.outcome().to_owned() } else { "another's answer".to_owned() }
        });
        if let Some(entry) = payments.iter_mut().find(|(w, _)| *w == work) {
            entry.1 = outcome;
        }
    }
}

/// Guards against payments that run twice, are wrongly reported as not run, or get the answer of
/// another call.
#[test]
fn reported_outcomes_match_the_ledgers_after_any_faults() {
    fn property(actions: Vec<Action>) -> TestResult {
        let work = Duration::from_millis(2);
        let upstream = Settings { slots: 2, service_time: work, ..Settings::default() };
        let rig = Rig::new(vec![upstream; UPSTREAMS], PROFILE);
        let mut payments = Payments::new();
        for action in actions {
            apply(&rig, action, &mut payments);
        }
        for (work, outcome) in payments {
            let runs = rig.runs(&work);
            let is_consistent = match outcome.as_str() {
                "answered" => runs == 1,
                "not-run" => runs == 0,
                "unknown" => runs <= 1,
                _ => false,
            };
            if !is_consistent {
                return TestResult::error(format!("{work} got {outcome} and ran {runs} times"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_ACTIONS, SEED))
        .tests(CASES)
        .quickcheck(property as fn(Vec<Action>) -> TestResult);
}
