//! Stateful fuzzing of calls: random faults of upstreams and nodes, with the upstreams' ledgers as
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

/// Seed of the scripts.
const SEED: u64 = 42;

const SCRIPTS: u64 = 150;
const LENGTH: usize = 14;
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
    /// Makes some payments at the same time.
    Pay(u8),
    /// Has a node take no more work.
    Leave(u8),
    /// Shows a node to the entry node as of a former life.
    Age(u8),
    /// Shows all nodes as they are.
    Refresh,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0..=3 => Action::Behave(n, u8::arbitrary(g)),
            4..=8 => Action::Pay(1 + n % 6),
            9 => Action::Leave(n),
            10 => Action::Age(n),
            _ => Action::Refresh,
        }
    }
}

/// What callers were told of their payments.
type Told = Vec<(String, String)>;

fn act(rig: &Rig, action: Action, told: &mut Told) {
    let index = |n: u8| usize::from(n) % UPSTREAMS;
    match action {
        Action::Behave(n, mode) => {
            rig.upstreams[index(n)].set_mode(MODES[usize::from(mode) % MODES.len()]);
        }
        Action::Pay(count) => pay(rig, count, told),
        Action::Leave(n) => rig.nodes[index(n)].proxy.leave(),
        Action::Age(n) => show(rig, Some(index(n))),
        Action::Refresh => show(rig, None),
    }
}

fn show(rig: &Rig, aged: Option<usize>) {
    let records: Vec<_> = (0..UPSTREAMS)
        .map(|i| {
            let mut record = record(i, rig.nodes[i].traffic, State::Live);
            record.incarnation -= u64::from(aged == Some(i));
            record
        })
        .collect();
    rig.set_view(&records);
}

fn pay(rig: &Rig, count: u8, told: &mut Told) {
    let entry = rig.entry.traffic;
    let calls: Vec<_> = (0..count)
        .map(|_| {
            let work = format!("pay-{}", told.len());
            told.push((work.clone(), String::new()));
            let call = Call::post("/paydesk/pay", &work);
            rig.runtime.spawn(async move { (work, Caller::new(entry).call(&call).await) })
        })
        .collect();
    for call in calls {
        let (work, answer) = rig.runtime.block_on(call).expect("the task ends");
        let outcome = answer.map_or("none".to_owned(), |a| {
            let own = a.outcome() != "answered" || a.header("x-work") == work;
            if own { a.outcome().to_owned() } else { "another's answer".to_owned() }
        });
        if let Some(entry) = told.iter_mut().find(|(w, _)| *w == work) {
            entry.1 = outcome;
        }
    }
}

/// A payment posts twice, is called "not run" although it ran, or brings another's answer, after
/// some order of faults. No single cause; this looks for one.
#[test]
fn outcomes_are_true_after_any_faults() {
    fn property(actions: Vec<Action>) -> TestResult {
        let work = Duration::from_millis(2);
        let upstream = Settings { slots: 2, service_time: work, ..Settings::default() };
        let rig = Rig::new(vec![upstream; UPSTREAMS], PROFILE);
        let mut told = Told::new();
        for action in actions {
            act(&rig, action, &mut told);
        }
        for (work, outcome) in told {
            let runs = rig.runs(&work);
            let holds = match outcome.as_str() {
                "answered" => runs == 1,
                "not-run" => runs == 0,
                "unknown" => runs <= 1,
                _ => false,
            };
            if !holds {
                return TestResult::error(format!(
                    "{work} was told {outcome} and ran {runs} times"
                ));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(LENGTH, SEED))
        .tests(SCRIPTS)
        .quickcheck(property as fn(Vec<Action>) -> TestResult);
}
