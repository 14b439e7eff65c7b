//! The model of the served systems: nobody is lost in it, and it tells good ways from bad ones.

use standins::served::{
    Burst, Choice, Fault, Mechanism, Order, Report, Route, Settings, Trouble, Way, play,
};
use std::time::Duration;

const SEEDS: u64 = 3;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn short() -> Settings {
    Settings { span: seconds(6), ..Settings::default() }
}

fn with_trouble(trouble: Trouble) -> Settings {
    let fault = Fault { begin: seconds(1), end: seconds(6), service: 0, upstreams: 1, trouble };
    Settings { faults: vec![fault], ..loaded(0.8) }
}

fn loaded(factor: f64) -> Settings {
    let base = short();
    let routes = base.routes.iter();
    let routes = routes.map(|r| Route { per_second: r.per_second * factor, ..r.clone() }).collect();
    Settings { routes, ..base }
}

/// Returns the mean share earned over some seeds.
fn earned(settings: &Settings, way: Way) -> f64 {
    let settings = Settings { way, ..settings.clone() };
    (0..SEEDS).map(|seed| play(&settings, seed).total().share()).sum::<f64>() / SEEDS as f64
}

#[track_caller]
fn check_whole(report: &Report) {
    for (route, tally) in report.routes.iter().enumerate() {
        assert_eq!(tally.asked, tally.ended(), "route {route}: {tally:?}");
        assert_eq!(tally.times.len() as u64, tally.in_time + tally.late, "route {route}");
    }
}

#[test]
fn every_caller_gets_one_end_under_each_trouble() {
    let burst = Burst { begin: seconds(1), end: seconds(3), factor: 2.0 };
    let troubles = [Trouble::Slow(8.0), Trouble::Failing(0.6), Trouble::Silent(0.5)];
    let mut days: Vec<Settings> = troubles.into_iter().map(with_trouble).collect();
    days.push(Settings { bursts: vec![burst], ..short() });
    days.push(loaded(1.6));
    for choice in [Choice::Room, Choice::InTurn, Choice::LeastInFlight] {
        for order in [Order::Ranked, Order::Arrival] {
            for day in &days {
                check_whole(&play(
                    &Settings { way: Way { choice, order, ..Way::default() }, ..day.clone() },
                    1,
                ));
            }
        }
    }
}

#[test]
fn every_caller_gets_one_end_without_each_mechanism() {
    for (_, mechanism) in Mechanism::ALL {
        let way = Way { without: Some(mechanism), ..Way::default() };
        check_whole(&play(&Settings { way, ..with_trouble(Trouble::Failing(0.6)) }, 1));
    }
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let day = with_trouble(Trouble::Silent(0.3));
    let (a, b) = (play(&day, 5), play(&day, 5));
    assert_eq!(a.total().times, b.total().times);
    assert_ne!(a.total().times, play(&day, 6).total().times);
}

#[test]
fn with_room_everybody_is_served_in_time() {
    let total = play(&loaded(0.5), 2).total();
    assert!(total.share() > 0.98, "{}", total.share());
    assert_eq!(total.refused, 0);
}

#[track_caller]
fn check_better(day: &Settings, worse: Way, least: f64) {
    let (product, plain) = (earned(day, Way::default()), earned(day, worse));
    assert!(product > plain + least, "{product} and {plain}");
}

/// A third of the callers are late or lost all through the rush: calls queue by arrival until their
/// deadline, so each one waits for calls that are late already.
#[test]
fn under_overload_short_waits_by_rank_beat_a_queue_by_arrival() {
    let by_arrival = Way { order: Order::Arrival, ..Way::default() };
    check_better(&loaded(2.0), by_arrival, 0.1);
}

/// Lookups are late as long as one of four upstreams takes eight times as long: it gets as many calls
/// as the others, and its callers wait for each other.
#[test]
fn slow_upstreams_get_fewer_calls_than_in_turn() {
    let in_turn = Way { choice: Choice::InTurn, ..Way::default() };
    check_better(&with_trouble(Trouble::Slow(8.0)), in_turn, 0.005);
}

/// Upstreams that fail at once look idle to whoever counts calls in flight, and draw more calls.
#[test]
fn failing_upstreams_draw_no_calls() {
    let idle = Way { choice: Choice::LeastInFlight, ..Way::default() };
    check_better(&with_trouble(Trouble::Failing(0.6)), idle, 0.004);
}

#[test]
fn repeats_stay_within_the_budget() {
    let report = play(&with_trouble(Trouble::Failing(0.9)), 4);
    assert!(report.repeats > 0);
    assert!(report.repeats * 5 <= report.arrivals, "{} of {}", report.repeats, report.arrivals);
}
