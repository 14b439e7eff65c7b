//! Latency estimates of routes, and the delay of hedged requests.

use policy::{
    client_retry::Attempt,
    latency::Estimate,
    retry::{Hedge, hedge_delay},
    urgency::{self, Origin, Timing},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

use model::time::Time;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns `count` log-normal times with the given mean in milliseconds and sigma.
fn times(mean: f64, sigma: f64, count: usize) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(3);
    let mut draw = || {
        let radius = (-2.0 * random.random_range(f64::MIN_POSITIVE..1.0_f64).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * random.random_range(0.0..1.0_f64)).cos();
        Duration::from_secs_f64((mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp() / 1e3)
    };
    (0..count).map(|_| draw()).collect()
}

fn estimate(times: &[Duration]) -> Estimate {
    let mut latency = Estimate::new(times[0]);
    times.iter().for_each(|time| latency.record(*time));
    latency
}

/// Guards against a mean over all routes of a service, which makes short calls next to long ones
/// count as late on arrival.
#[test]
fn short_call_on_a_service_with_long_calls_is_not_late_on_arrival() {
    let priority = |expected| {
        let timing = Timing {
            received: Time::default(),
            deadline: Time::from_millis(800),
            attempt: Attempt::First,
            elapsed: ms(0),
            objective: ms(300),
            expected,
        };
        urgency::rank(Origin::Caller, 1, timing).priority
    };
    let lookups = estimate(&times(80.0, 0.8, 500));
    assert!(priority(lookups.mean()) < priority(ms(400)), "{lookups:?}");
}

/// Guards against hedged requests for healthy calls of a route with a high latency variance, which
/// take slots under overload.
#[test]
fn at_most_four_percent_of_healthy_calls_are_hedged() {
    for (mean, sigma) in [(36.0, 0.8), (90.0, 0.3), (200.0, 0.5), (79.0, 0.8)] {
        let times = times(mean, sigma, 2_000);
        let mut latency = Estimate::new(times[0]);
        let mut hedged = 0;
        for time in &times {
            let hedge = Hedge {
                latency,
                slowness: 1.0,
                failure_share: 0.0,
                due: ms(300),
                remaining: ms(60_000),
            };
            hedged += usize::from(*time > hedge_delay(hedge));
            latency.record(*time);
        }
        assert!(hedged * 100 <= times.len() * 4, "{hedged} of {} at {sigma}", times.len());
    }
}

#[track_caller]
fn check(hedge: Hedge, expect: Duration) {
    assert_eq!(hedge_delay(hedge), expect);
}

/// Guards against hedged requests that can only be late, at an upstream that repeatedly loses
/// answers.
#[test]
fn upstream_that_loses_answers_is_hedged_earlier() {
    let healthy = Hedge {
        latency: Estimate::new(ms(100)),
        slowness: 1.0,
        failure_share: 0.1,
        due: ms(400),
        remaining: ms(2_000),
    };
    check(healthy, ms(300));
    check(Hedge { failure_share: 0.2, ..healthy }, ms(300));
    check(Hedge { failure_share: 0.2, due: ms(280), ..healthy }, ms(180));
    check(Hedge { failure_share: 0.2, due: ms(50), ..healthy }, ms(150));
    check(Hedge { slowness: 3.0, ..healthy }, ms(900));
    check(Hedge { slowness: 0.5, ..healthy }, ms(300));
    check(Hedge { remaining: ms(200), ..healthy }, ms(100));
}
