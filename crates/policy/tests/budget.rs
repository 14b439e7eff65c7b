//! Retries of all nodes together stay below the fleet-wide bound in every window.

use model::time::Time;
use policy::budget::{Settings, Window};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, time::Duration};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against a retry storm when every upstream of a service loses half of its answers.
#[test]
fn retries_in_any_window_stay_below_the_bound() {
    let settings = Settings { usable_share: 1.0, ..Settings::default() };
    for seed in 0..10 {
        let mut random = SmallRng::seed_from_u64(seed);
        let nodes = 13;
        let mut windows = vec![Window::default(); nodes];
        let (mut calls, mut retries) = (VecDeque::new(), VecDeque::new());
        for ms in 0..60_000_u64 {
            // The load alternates, so that a busy window is followed by a quiet one.
            let busy = (ms / 7_000) % 2 == 0;
            if !random.random_bool(if busy { 0.4 } else { 0.05 }) {
                continue;
            }
            let node = random.random_range(0..nodes);
            windows[node].record_call(&settings, at(ms));
            calls.push_back(ms);
            if random.random_bool(0.5) && windows[node].try_retry(&settings, nodes, at(ms)) {
                retries.push_back(ms);
            }
            let is_expired = |then: &u64| ms - then > 10_000;
            while retries.front().is_some_and(is_expired) {
                retries.pop_front();
            }
            // The bound uses the calls of this window or of the one before, whichever has more.
            while calls.front().is_some_and(|then| ms - then > 20_000) {
                calls.pop_front();
            }
            let recent = calls.iter().filter(|then| ms - **then <= 10_000).count();
            let previous = calls.len() - recent;
            let bound = settings.ratio * recent.max(previous) as f64 + settings.slack;
            assert!(retries.len() as f64 <= bound, "seed {seed}, {ms} ms: {}", retries.len());
        }
    }
}

#[test]
fn retries_that_left_the_window_are_available_again() {
    cov_mark::check!(window_spent);
    let settings = Settings { slack: 13.0, usable_share: 1.0, ..Settings::default() };
    let mut window = Window::default();
    assert!(window.try_retry(&settings, 13, at(0)));
    assert!(!window.try_retry(&settings, 13, at(9_000)));
    assert!(window.try_retry(&settings, 13, at(11_500)));
}

#[test]
fn only_the_usable_share_of_the_budget_is_spent() {
    let settings = Settings { slack: 0.0, ..Settings::default() };
    let mut window = Window::default();
    (0..100).for_each(|_| window.record_call(&settings, at(0)));
    let granted = (0..100).filter(|_| window.try_retry(&settings, 13, at(1))).count();
    assert_eq!(granted, 12);
    assert_eq!(settings.window, Duration::from_secs(10));
}
