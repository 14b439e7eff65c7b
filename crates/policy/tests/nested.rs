//! Nested admission: parents are refused while their nested calls find no capacity.

use model::time::Time;
use policy::{
    nested::{
        Capacity, Decision, MAX_ROUTE_SERVICES, MAX_ROUTES, MAX_SERVICES, Refusals, Run, Throttle,
    },
    outcome::{Cause, Outcome, Uncertainty},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a run of `route` that made one call to each of `services`.
fn run(route: &str, priority: u8, services: &[&str]) -> Run {
    let mut run = Run::new(route, priority);
    services.iter().for_each(|service| run.count(service));
    run
}

/// Returns a throttle that has seen 100 of each of `runs`.
fn learned(runs: &[Run], now: Time) -> Throttle {
    let mut throttle = Throttle::default();
    for run in runs.iter().cycle().take(runs.len() * 100) {
        throttle.record_run(run, now);
    }
    throttle
}

fn record(throttle: &mut Throttle, service: &str, priority: u8, calls: [u32; 2], now: Time) {
    let [found, missing] = calls;
    (0..found).for_each(|_| throttle.record_call(service, priority, Capacity::Found, now));
    (0..missing).for_each(|_| throttle.record_call(service, priority, Capacity::Missing, now));
}

/// Returns how many of 400 copies of `run` are refused.
fn refused(throttle: &mut Throttle, run: &Run, now: Time) -> usize {
    let mut random = SmallRng::seed_from_u64(7);
    let mut decide = || throttle.decide(run, now, &mut random);
    (0..400).filter(|_| decide() == Decision::Refuse).count()
}

/// Parents with two nested calls each, at a nested service with half of the capacity that they
/// want.
struct Day {
    completed: u32,
    runs: u32,
}

impl Day {
    /// Plays `seconds` of 100 parents each, which are admitted by `decide`.
    fn play(
        seconds: u64,
        mut decide: impl FnMut(&mut Throttle, &Run, Time, &mut SmallRng) -> Decision,
    ) -> Day {
        let mut random = SmallRng::seed_from_u64(3);
        let mut throttle = Throttle::default();
        let mut day = Day { completed: 0, runs: 0 };
        let mut capacity = 0.0_f64;
        for ms in (0..seconds * 1_000).step_by(10) {
            let mut parent = Run::new("orders", 2);
            // 100 nested calls a second are served; few are saved up.
            capacity = (capacity + 1.0).min(4.0);
            if decide(&mut throttle, &parent, at(ms), &mut random) == Decision::Refuse {
                continue;
            }
            day.runs += 1;
            let mut found = 0;
            for _ in 0..2 {
                parent.count("loyalty");
                let is_served = capacity >= 1.0 && rand::RngExt::random_bool(&mut random, 0.9);
                capacity -= if is_served { 1.0 } else { 0.0 };
                found += u32::from(is_served);
                let result = if is_served { Capacity::Found } else { Capacity::Missing };
                throttle.record_call("loyalty", 2, result, at(ms));
            }
            throttle.record_run(&parent, at(ms));
            day.completed += u32::from(found == 2);
        }
        day
    }
}

/// Guards against parents that run in vain while the service that they call is short of capacity.
#[test]
fn fewer_runs_complete_more_while_a_nested_service_is_short() {
    let all = Day::play(60, |_, _, _, _| Decision::Admit);
    let throttled = Day::play(60, |throttle, run, now, random| throttle.decide(run, now, random));
    assert!(
        throttled.completed * 10 >= all.completed * 12,
        "{} {}",
        throttled.completed,
        all.completed
    );
    assert!(throttled.runs * 10 <= all.runs * 8, "{} {}", throttled.runs, all.runs);
}

/// Guards against refusals of urgent parents for calls that less urgent ones make.
#[test]
fn less_urgent_parents_are_refused_first() {
    let [urgent, other] = [run("pay", 0, &["loyalty"]), run("browse", 2, &["loyalty"])];
    let mut throttle = learned(&[urgent.clone(), other.clone()], at(0));
    record(&mut throttle, "loyalty", 0, [30, 30], at(0));
    record(&mut throttle, "loyalty", 2, [70, 70], at(0));
    assert_eq!(refused(&mut throttle, &urgent, at(0)), 0);
    // 200 were wanted and 100 found capacity, so 75 of 140 are in excess.
    let mut random = SmallRng::seed_from_u64(1);
    let mut once = || learned_refusal(&urgent, &other, &mut random);
    let share = (0..400).filter(|_| once() == Decision::Refuse).count();
    assert!((180..250).contains(&share), "{share} of 400");
}

/// Returns the first decision of a node that has just recorded the calls of the test above.
fn learned_refusal(urgent: &Run, other: &Run, random: &mut SmallRng) -> Decision {
    let mut throttle = learned(&[urgent.clone(), other.clone()], at(0));
    record(&mut throttle, "loyalty", 0, [30, 30], at(0));
    record(&mut throttle, "loyalty", 2, [70, 70], at(0));
    throttle.decide(other, at(0), random)
}

/// Guards against a route that is starved while nothing finds capacity.
#[test]
fn a_quarter_of_the_parents_is_admitted_without_any_capacity() {
    let parent = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    record(&mut throttle, "loyalty", 2, [0, 200], at(0));
    let refused = refused(&mut throttle, &parent, at(0));
    assert!((270..330).contains(&refused), "{refused} of 400");
}

/// Guards against refusals for a few refused nested calls, which are no lasting shortage.
#[test]
fn four_refused_nested_calls_refuse_no_parent() {
    let parent = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    record(&mut throttle, "loyalty", 2, [0, 4], at(0));
    assert_eq!(refused(&mut throttle, &parent, at(0)), 0);
    record(&mut throttle, "loyalty", 2, [0, 1], at(0));
    assert!(refused(&mut throttle, &parent, at(0)) > 0);
}

/// Guards against refusals at ordinary load, at which a few nested calls are refused among many.
#[test]
fn a_fifth_of_refused_nested_calls_refuses_no_parent() {
    let parent = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    record(&mut throttle, "loyalty", 2, [80, 20], at(0));
    assert_eq!(refused(&mut throttle, &parent, at(0)), 0);
}

/// Guards against refusals by a restarted node, which knows neither routes nor capacity.
#[test]
fn a_restarted_node_admits() {
    let parent = run("orders", 2, &["loyalty"]);
    assert_eq!(refused(&mut Throttle::default(), &parent, at(0)), 0);
    // It knows the shortage before the first run has ended.
    let mut throttle = Throttle::default();
    record(&mut throttle, "loyalty", 2, [0, 100], at(0));
    assert_eq!(refused(&mut throttle, &parent, at(0)), 0);
    // It knows the routes, but no nested call has ended.
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    assert_eq!(refused(&mut throttle, &parent, at(0)), 0);
}

/// Guards against refusals after a shortage has ended, including those caused by earlier refusals.
#[test]
fn the_window_forgets_a_shortage_within_two_seconds() {
    let parent = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    record(&mut throttle, "loyalty", 2, [0, 100], at(50));
    assert!(refused(&mut throttle, &parent, at(1_900)) > 0);
    assert_eq!(refused(&mut throttle, &parent, at(2_000)), 0);
}

/// Guards against lasting refusals of a route whose target no longer calls the short service.
#[test]
fn means_adapt_when_a_route_changes_its_target() {
    let before = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&before), at(0));
    record(&mut throttle, "loyalty", 2, [0, 100], at(0));
    assert!(refused(&mut throttle, &before, at(0)) > 0);
    let after = run("orders", 2, &[]);
    (0..60).for_each(|_| throttle.record_run(&after, at(0)));
    assert_eq!(refused(&mut throttle, &after, at(0)), 0);
}

/// Guards against refusals of a route that hardly ever calls the short service, and of unknown
/// routes.
#[test]
fn routes_without_calls_to_the_short_service_are_admitted() {
    let parent = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    record(&mut throttle, "loyalty", 2, [0, 100], at(0));
    let seldom = run("seldom", 2, &["loyalty"]);
    throttle.record_run(&seldom, at(0));
    (0..10).for_each(|_| throttle.record_run(&run("seldom", 2, &[]), at(0)));
    assert_eq!(refused(&mut throttle, &seldom, at(0)), 0);
    assert_eq!(refused(&mut throttle, &run("new", 2, &[]), at(0)), 0);
}

/// Guards against refusals for a service with capacity, since another service of a route is short.
#[test]
fn parents_refused_for_one_service_do_not_count_as_demand_for_another() {
    let [both, one] = [run("both", 2, &["loyalty", "stock"]), run("one", 2, &["stock"])];
    let mut throttle = learned(&[both.clone(), one.clone()], at(0));
    record(&mut throttle, "loyalty", 2, [0, 100], at(0));
    record(&mut throttle, "stock", 2, [94, 6], at(0));
    assert!(refused(&mut throttle, &both, at(0)) > 200);
    assert_eq!(refused(&mut throttle, &one, at(0)), 0);
}

/// Guards against refusals for upstreams that refuse by themselves, which fewer parents would not
/// change, and against a cut-off data centre that is taken for one with capacity.
#[test]
fn only_missing_capacity_counts() {
    let check = |outcome, expect| assert_eq!(Capacity::of_failure(outcome), expect, "{outcome:?}");
    for cause in ["overloaded", "limited", "no-upstream", "unreachable", "nested-overloaded"] {
        check(Cause::parse(cause).expect("it is a cause").outcome(), Capacity::Missing);
    }
    for cause in ["refused", "late", "cancelled", "quarantined", "leaving", "evacuated"] {
        check(Cause::parse(cause).expect("it is a cause").outcome(), Capacity::Found);
    }
    check(Outcome::Unknown(Uncertainty::Timeout), Capacity::Found);
}

/// Guards against state that grows with the number of routes or services.
#[test]
fn the_number_of_routes_and_services_is_bounded() {
    let mut throttle = Throttle::default();
    let named = |n: usize| format!("r{n}");
    for n in 0..=MAX_ROUTES {
        throttle.record_run(&run(&named(n), 2, &["loyalty"]), at(n as u64));
    }
    let now = at(MAX_ROUTES as u64);
    record(&mut throttle, "loyalty", 2, [0, 100], now);
    assert_eq!(refused(&mut throttle, &run("r0", 2, &[]), now), 0, "the oldest was removed");
    assert!(refused(&mut throttle, &run("r1", 2, &[]), now) > 0);
    // The next services find no room until those before were unused for the length of the window.
    (1..MAX_SERVICES).for_each(|n| record(&mut throttle, &named(n), 2, [1, 0], now));
    let parent = run("r1", 2, &["late"]);
    (0..100).for_each(|_| throttle.record_run(&parent, now));
    record(&mut throttle, "late", 2, [0, 100], now);
    let later = at(10_000);
    assert_eq!(refused(&mut throttle, &parent, later), 0);
    throttle.take_changes(later);
    throttle.record_run(&parent, later);
    record(&mut throttle, "late", 2, [0, 100], later);
    assert!(refused(&mut throttle, &parent, later) > 0);
}

/// Guards against a run that calls any number of services.
#[test]
fn a_route_knows_its_most_called_services() {
    let names: Vec<String> = (0..=MAX_ROUTE_SERVICES).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let parent = run("orders", 2, &names);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    let [first, last] = [names[0], names[MAX_ROUTE_SERVICES]];
    record(&mut throttle, last, 2, [0, 100], at(0));
    assert_eq!(refused(&mut throttle, &parent, at(0)), 0);
    record(&mut throttle, first, 2, [0, 100], at(0));
    assert!(refused(&mut throttle, &parent, at(0)) > 0);
}

/// Guards against a timeline that repeats what has not changed, or that never shows the end.
#[test]
fn begin_and_end_of_refusals_are_reported_once() {
    let parent = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    record(&mut throttle, "loyalty", 2, [0, 100], at(0));
    assert_eq!(throttle.take_changes(at(0)), []);
    assert!(refused(&mut throttle, &parent, at(0)) > 0);
    let refusals = throttle.refusals(at(0));
    assert_eq!(throttle.take_changes(at(0)), refusals);
    assert!(refusals[0].share > 0.6, "{refusals:?}");
    assert_eq!(throttle.take_changes(at(1_000)), []);
    let end = Refusals { service: "loyalty".to_owned(), share: 0.0 };
    assert_eq!(throttle.take_changes(at(2_100)), [end]);
    assert_eq!(throttle.take_changes(at(3_100)), []);
}

/// Guards against parents that are refused by what a route called in its last runs of long ago.
#[test]
fn a_route_without_recent_runs_is_admitted() {
    let parent = run("orders", 2, &["loyalty"]);
    let mut throttle = learned(std::slice::from_ref(&parent), at(0));
    record(&mut throttle, "loyalty", 2, [0, 100], at(2_500));
    assert_eq!(refused(&mut throttle, &parent, at(2_500)), 0);
}

/// Guards against a throttle that refuses ever more parents although a shortage does not depend on them.
#[test]
fn a_shortage_that_parents_do_not_cause_refuses_them_for_a_short_time_only() {
    let mut random = SmallRng::seed_from_u64(17);
    let mut throttle = Throttle::default();
    let (mut wanted, mut refused) = (0, 0);
    // Of 40 parents a second, each with one nested call, seven of ten calls find capacity whatever happens.
    for now in (0..60_000).step_by(25) {
        let now = Time::from_millis(now);
        let mut run = Run::new("orders", 2);
        run.count("loyalty");
        wanted += 1;
        if throttle.decide(&run, now, &mut random) == Decision::Refuse {
            refused += 1;
            continue;
        }
        throttle.record_run(&run, now);
        let capacity = if random.random_bool(0.7) { Capacity::Found } else { Capacity::Missing };
        throttle.record_call("loyalty", 2, capacity, now);
    }
    assert!(refused > 0 && refused * 10 < wanted, "{refused} of {wanted}");
}
