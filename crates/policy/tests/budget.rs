//! Repeated calls of all nodes together stay under the fleet's bound in every window.

use model::time::Time;
use policy::budget::{Settings, Window};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, time::Duration};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Every upstream of a service loses half of its answers; every node repeats what it may. Looked at
/// in any window of ten seconds, the service gets no more repeats than the fleet's bound.
#[test]
fn no_window_holds_more_than_the_bound() {
    let settings = Settings { usable_share: 1.0, ..Settings::default() };
    for seed in 0..10 {
        let mut random = SmallRng::seed_from_u64(seed);
        let nodes = 13;
        let mut windows = vec![Window::default(); nodes];
        let (mut calls, mut repeats) = (VecDeque::new(), VecDeque::new());
        for ms in 0..60_000_u64 {
            // Load comes in waves, so that the share of a busy time is not spent in a calm one.
            let busy = (ms / 7_000) % 2 == 0;
            if !random.random_bool(if busy { 0.4 } else { 0.05 }) {
                continue;
            }
            let node = random.random_range(0..nodes);
            windows[node].record_call(&settings, at(ms));
            calls.push_back(ms);
            if random.random_bool(0.5) && windows[node].try_retry(&settings, nodes, at(ms)) {
                repeats.push_back(ms);
            }
            let old = |then: &u64| ms - then > 10_000;
            while repeats.front().is_some_and(old) {
                repeats.pop_front();
            }
            // The bound counts the calls of this window or the one before it, whichever has more.
            while calls.front().is_some_and(|then| ms - then > 20_000) {
                calls.pop_front();
            }
            let recent = calls.iter().filter(|then| ms - **then <= 10_000).count();
            let former = calls.len() - recent;
            let bound = settings.ratio * recent.max(former) as f64 + settings.slack;
            assert!(repeats.len() as f64 <= bound, "seed {seed}, {ms} ms: {}", repeats.len());
        }
    }
}

#[test]
fn the_window_gives_back_what_has_left_it() {
    cov_mark::check!(window_spent);
    let settings = Settings { slack: 13.0, usable_share: 1.0, ..Settings::default() };
    let mut window = Window::default();
    assert!(window.try_retry(&settings, 13, at(0)));
    assert!(!window.try_retry(&settings, 13, at(9_000)));
    assert!(window.try_retry(&settings, 13, at(11_500)));
}

#[test]
fn a_part_is_kept_for_what_no_node_sees() {
    let settings = Settings { slack: 0.0, ..Settings::default() };
    let mut window = Window::default();
    (0..100).for_each(|_| window.record_call(&settings, at(0)));
    let granted = (0..100).filter(|_| window.try_retry(&settings, 13, at(1))).count();
    assert_eq!(granted, 12);
    assert_eq!(settings.window, Duration::from_secs(10));
}
