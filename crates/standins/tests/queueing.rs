//! The model of the served systems: nobody is lost in it, and it tells good ways from bad ones.

use standins::queueing::{
    Burst, Choice, Degradation, Discipline, Fault, Mechanism, Report, Route, Settings, Strategy,
    simulate,
};
use std::time::Duration;

const SEEDS: u64 = 3;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn short() -> Settings {
    Settings { span: seconds(6), ..Settings::default() }
}

fn with_trouble(degradation: Degradation) -> Settings {
    let fault = Fault { begin: seconds(1), end: seconds(6), service: 0, upstreams: 1, degradation };
    Settings { faults: vec![fault], ..loaded(0.8) }
}

fn loaded(factor: f64) -> Settings {
    let base = short();
    let routes = base.routes.iter();
    let routes = routes.map(|r| Route { per_second: r.per_second * factor, ..r.clone() }).collect();
    Settings { routes, ..base }
}

/// Returns the mean share earned over some seeds.
fn earned(settings: &Settings, strategy: Strategy) -> f64 {
    let settings = Settings { strategy, ..settings.clone() };
    (0..SEEDS).map(|seed| simulate(&settings, seed).total().utility_share()).sum::<f64>()
        / SEEDS as f64
}

#[track_caller]
fn check_whole(report: &Report) {
    for (route, counters) in report.routes.iter().enumerate() {
        assert_eq!(counters.callers, counters.ended(), "route {route}: {counters:?}");
        assert_eq!(counters.times.len() as u64, counters.in_time + counters.late, "route {route}");
    }
}

#[test]
fn every_caller_gets_one_end_under_each_trouble() {
    let burst = Burst { begin: seconds(1), end: seconds(3), factor: 2.0 };
    let troubles =
        [Degradation::Slow(8.0), Degradation::Failing(0.6), Degradation::LostAnswers(0.5)];
    let mut days: Vec<Settings> = troubles.into_iter().map(with_trouble).collect();
    days.push(Settings { bursts: vec![burst], ..short() });
    days.push(loaded(1.6));
    for choice in [Choice::Capacity, Choice::RoundRobin, Choice::LeastInFlight] {
        for discipline in [Discipline::Ranked, Discipline::Fifo] {
            for day in &days {
                check_whole(&simulate(
                    &Settings {
                        strategy: Strategy { choice, discipline, ..Strategy::default() },
                        ..day.clone()
                    },
                    1,
                ));
            }
        }
    }
}

#[test]
fn every_caller_gets_one_end_without_each_mechanism() {
    for (_, mechanism) in Mechanism::ALL {
        let strategy = Strategy { without: Some(mechanism), ..Strategy::default() };
        check_whole(&simulate(
            &Settings { strategy, ..with_trouble(Degradation::Failing(0.6)) },
            1,
        ));
    }
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let day = with_trouble(Degradation::LostAnswers(0.3));
    let (a, b) = (simulate(&day, 5), simulate(&day, 5));
    assert_eq!(a.total().times, b.total().times);
    assert_ne!(a.total().times, simulate(&day, 6).total().times);
}

#[test]
fn with_room_everybody_is_served_in_time() {
    let total = simulate(&loaded(0.5), 2).total();
    assert!(total.utility_share() > 0.98, "{}", total.utility_share());
    assert_eq!(total.refused, 0);
}

#[track_caller]
fn check_better(day: &Settings, worse: Strategy, least: f64) {
    let (product, plain) = (earned(day, Strategy::default()), earned(day, worse));
    assert!(product > plain + least, "{product} and {plain}");
}

/// A third of the callers are late or lost all through the rush: calls queue by arrival until their
/// deadline, so each one waits for calls that are late already.
#[test]
fn under_overload_short_waits_by_rank_beat_a_queue_by_arrival() {
    let by_arrival = Strategy { discipline: Discipline::Fifo, ..Strategy::default() };
    check_better(&loaded(2.0), by_arrival, 0.1);
}

/// Lookups are late as long as one of four upstreams takes eight times as long: it gets as many calls
/// as the others, and its callers wait for each other.
#[test]
fn slow_upstreams_get_fewer_calls_than_in_turn() {
    let in_turn = Strategy { choice: Choice::RoundRobin, ..Strategy::default() };
    check_better(&with_trouble(Degradation::Slow(8.0)), in_turn, 0.005);
}

/// Upstreams that fail at once look idle to whoever counts calls in flight, and draw more calls.
#[test]
fn failing_upstreams_draw_no_calls() {
    let idle = Strategy { choice: Choice::LeastInFlight, ..Strategy::default() };
    check_better(&with_trouble(Degradation::Failing(0.6)), idle, 0.004);
}

#[test]
fn repeats_stay_within_the_budget() {
    let report = simulate(&with_trouble(Degradation::Failing(0.9)), 4);
    assert!(report.retries > 0);
    assert!(report.retries * 5 <= report.arrivals, "{} of {}", report.retries, report.arrivals);
}
