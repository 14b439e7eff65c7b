//! Scarce retries go to the calls that one retry completes; the bound of the budget does not change.

use model::time::Time;
use policy::budget::{Benefit, Demand, Grant, Level, Part, Settings, Siblings, Window};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const RUNS: u64 = 2_000;

/// Share of calls that the service refuses.
const REFUSED: f64 = 0.55;

/// Calls from callers per run; each run makes two nested calls.
const CALLS_PER_RUN: f64 = 0.31;

/// Retries per run that the budget allows.
const RETRIES_PER_RUN: f64 = 0.36;

const COMPLETES: Level = Level { benefit: Benefit::Completes, priority: 2 };
const SPECULATIVE: Level = Level { benefit: Benefit::Speculative, priority: 0 };

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns settings without slack, with `ratio`.
fn ratio(ratio: f64) -> Settings {
    Settings { ratio, slack: 0.0, ..Settings::default() }
}

/// Order in which retries are granted.
#[derive(Clone, Copy)]
enum Order {
    Arrival,
    Level,
}

/// Budget of a node, with the demand for it.
#[derive(Default)]
struct Budget {
    window: Window,
    demand: Demand,
}

impl Budget {
    fn record_calls(&mut self, settings: &Settings, count: usize, now: Time) {
        for _ in 0..count {
            self.window.record_call(settings, now);
            self.demand.record_call(now);
        }
    }

    fn take(&mut self, settings: &Settings, level: Level, now: Time) -> Grant {
        let part = Part::default();
        self.demand.record_wanted(level, now);
        let grant = self.demand.try_retry(&mut self.window, settings, part, level, now);
        if grant == Grant::Granted {
            self.window.end_retry(settings, now);
        }
        grant
    }

    fn take_in(&mut self, order: Order, settings: &Settings, level: Level, now: Time) -> bool {
        if let Order::Level = order {
            return self.take(settings, level, now) == Grant::Granted;
        }
        let is_granted = self.window.try_retry(settings, Part::default(), now);
        if is_granted {
            self.window.end_retry(settings, now);
        }
        is_granted
    }
}

/// Returns the value per run of what is completed: 2 for a call from a caller, 1 for a run.
fn value_per_run(order: Order, refused: f64, settings: &Settings) -> f64 {
    let mut random = SmallRng::seed_from_u64(8_111);
    let mut budget = Budget::default();
    let mut value = 0;
    for run in 0..RUNS {
        let now = at(run * 50);
        // First attempts and retries are drawn for both orders alike.
        let is_called = random.random_bool(CALLS_PER_RUN);
        let is_refused: [[bool; 2]; 3] =
            std::array::from_fn(|_| std::array::from_fn(|_| random.random_bool(refused)));
        budget.record_calls(settings, 2 + usize::from(is_called), now);
        let mut completes = |[first, retry]: [bool; 2], level| {
            !first || (budget.take_in(order, settings, level, now) && !retry)
        };
        if is_called && completes(is_refused[0], Level { priority: 1, ..COMPLETES }) {
            value += 2;
        }
        let mut siblings = Siblings::default();
        let nested = [("r.1", is_refused[1]), ("r.2", is_refused[2])];
        nested.iter().for_each(|(id, _)| siblings.begin(id, now));
        nested.iter().filter(|(_, refused)| refused[0]).for_each(|(id, _)| {
            siblings.record_refusal(id);
        });
        let done = nested.map(|(id, refused)| {
            completes(refused, Level { benefit: siblings.benefit(id), priority: 2 })
        });
        value += u32::from(done == [true, true]);
    }
    f64::from(value) / RUNS as f64
}

/// Guards against a budget that is spent on parents which fail anyway, while others need a single retry.
#[test]
fn granting_by_level_completes_more_where_a_service_refuses_most_calls() {
    cov_mark::check!(retry_reserved);
    let settings = ratio(RETRIES_PER_RUN / (2.0 + CALLS_PER_RUN));
    let [by_arrival, by_level] =
        [Order::Arrival, Order::Level].map(|order| value_per_run(order, REFUSED, &settings));
    println!("value per run: {by_arrival:.3} by arrival, {by_level:.3} by level");
    assert!(by_level >= by_arrival + 0.05, "{by_level} and {by_arrival}");
}

/// Guards against retries that are denied where the budget suffices for all of them.
#[test]
fn without_scarcity_both_orders_complete_the_same() {
    for (refused, allowed) in [(REFUSED, 4.0), (0.03, RETRIES_PER_RUN)] {
        let settings = ratio(allowed / (2.0 + CALLS_PER_RUN));
        let values = [Order::Arrival, Order::Level].map(|o| value_per_run(o, refused, &settings));
        assert_eq!(values[0], values[1], "{refused} refused, {allowed} retries per run");
    }
}

/// Guards against a reserve that grants a retry beyond the budget, or spends what it denies.
#[test]
fn a_reserve_only_denies() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let settings = ratio(0.2);
        let mut budget = Budget::default();
        let mut denied = 0;
        for ms in 0..30_000 {
            let now = at(ms);
            budget.record_calls(&settings, usize::from(random.random_bool(0.05)), now);
            if !random.random_bool(0.03) {
                continue;
            }
            let benefits = [Benefit::Completes, Benefit::Partial, Benefit::Speculative];
            let benefit = benefits[random.random_range(0..3)];
            let level = Level { benefit, priority: random.random_range(0..3) };
            let reserve = budget.demand.reserve(&settings, level, now);
            let before = budget.window.available(&settings, Part::default(), now);
            let grant = budget.take(&settings, level, now);
            let after = budget.window.available(&settings, Part::default(), now);
            let expect = match before {
                0 => Grant::Exhausted,
                left if reserve > 0.0 && left as f64 <= reserve => Grant::Reserved,
                _ => Grant::Granted,
            };
            assert_eq!(grant, expect, "seed {seed}, {ms} ms: {before} left, {reserve} reserved");
            assert_eq!(after, before - usize::from(grant == Grant::Granted));
            denied += usize::from(grant == Grant::Reserved);
        }
        assert!(denied > 0, "seed {seed}");
    }
}

/// Guards against a restarted node that denies retries of which it knows no demand.
#[test]
fn without_known_demand_retries_are_granted_as_by_the_window() {
    let settings = ratio(0.2);
    let mut budget = Budget::default();
    budget.record_calls(&settings, 40, at(0));
    let mut window = budget.window.clone();
    let of_window = (0..9).filter(|_| window.try_retry(&settings, Part::default(), at(1))).count();
    let grants = (0..9).map(|_| budget.take(&settings, SPECULATIVE, at(1)));
    assert_eq!(grants.filter(|grant| *grant == Grant::Granted).count(), of_window);
    assert_eq!(of_window, 4);
}

/// Guards against a reserve that outlives the demand it was made for.
#[test]
fn a_lower_level_gets_retries_once_the_demand_above_it_has_ended() {
    let settings = ratio(0.2);
    let mut budget = Budget::default();
    budget.record_calls(&settings, 100, at(0));
    for n in 0..30 {
        budget.take(&settings, COMPLETES, at(n * 50));
    }
    // More is earned than both levels use from here on.
    let mut first = None;
    for ms in (1_500..20_000).step_by(100) {
        budget.record_calls(&settings, 5, at(ms));
        if budget.take(&settings, SPECULATIVE, at(ms)) == Grant::Granted {
            first = first.or(Some(ms));
        }
    }
    let first = first.expect("a retry is granted");
    assert!((1_600..6_000).contains(&first), "first granted at {first} ms");
}

#[track_caller]
fn check(demand: &Demand, level: Level, expect: bool) {
    assert_eq!(demand.reserve(&ratio(0.2), level, at(0)) > 0.0, expect, "{level:?}");
}

/// Guards against retries that are reserved for less useful or less urgent ones.
#[test]
fn retries_are_reserved_for_levels_above_only() {
    let mut budget = Budget::default();
    let partial = Level { benefit: Benefit::Partial, priority: 1 };
    for _ in 0..4 {
        budget.take(&ratio(0.2), partial, at(0));
    }
    check(&budget.demand, Level { benefit: Benefit::Completes, priority: 9 }, false);
    check(&budget.demand, Level { priority: 0, ..partial }, false);
    check(&budget.demand, partial, false);
    check(&budget.demand, Level { priority: 2, ..partial }, true);
    check(&budget.demand, SPECULATIVE, true);
}

/// Guards against a retry that is taken for the only one of its parent, since its concurrent sibling is
/// refused a moment later.
#[test]
fn a_sibling_in_flight_is_waited_for_until_it_settles() {
    let mut siblings = Siblings::default();
    siblings.begin("r.1", at(10));
    assert_eq!(siblings.settled_at("r.1", at(11)), None, "there is no other");
    siblings.begin("r.2", at(12));
    assert_eq!(siblings.settled_at("r.1", at(13)), Some(at(17)));
    assert_eq!(siblings.settled_at("r.1", at(17)), None);
    siblings.record_refusal("r.2");
    assert_eq!(siblings.settled_at("r.1", at(13)), None, "the benefit is known");
    siblings.end("r.2");
    assert_eq!(siblings.benefit("r.1"), Benefit::Partial);
    assert_eq!(siblings.benefit("r.2"), Benefit::Completes);
}

/// Guards against parents that count as lost after their refused call was answered.
#[test]
fn an_answered_call_is_no_refused_sibling() {
    let mut siblings = Siblings::default();
    siblings.begin("r.1", at(0));
    siblings.record_refusal("r.1");
    siblings.record_answer("r.1");
    siblings.end("r.1");
    assert_eq!(siblings.benefit("r.2"), Benefit::Completes);
    // Ended without an answer: the parent lacks it.
    siblings.begin("r.1", at(1));
    siblings.record_refusal("r.1");
    siblings.end("r.1");
    assert_eq!(siblings.benefit("r.2"), Benefit::Partial);
    siblings.record_answer("r.1");
    assert_eq!(siblings.benefit("r.2"), Benefit::Completes);
}

/// Guards against memory without bound for a run that makes many nested calls.
#[test]
fn calls_beyond_the_maximum_are_not_counted() {
    let mut siblings = Siblings::default();
    (0..64).for_each(|n| siblings.begin(&format!("r.{n}"), at(0)));
    siblings.begin("r.64", at(0));
    siblings.record_refusal("r.64");
    siblings.end("r.64");
    assert_eq!(siblings.benefit("r.0"), Benefit::Completes);
}
