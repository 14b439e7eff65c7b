//! Retry budget of the whole fleet, enforced by each node without coordination.
//!
//! Each node applies the ratio to its own calls and takes an equal part of the fixed slack.

use model::time::Time;
use std::{collections::VecDeque, time::Duration};

/// Buckets per window. The oldest bucket counts in full until all of it has left the window, which
/// overestimates retries.
const BUCKETS: u32 = 10;

/// Settings of a [`Window`], for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per call.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, summed over all nodes.
    pub slack: f64,
    /// Usable share of both. The rest covers retries that no node can count, such as nested calls
    /// of a call that is run twice.
    pub usable_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { window: Duration::from_secs(10), ratio: 0.2, slack: 64.0, usable_share: 0.6 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begin: Time,
    calls: u32,
    retries: u32,
}

/// Sliding window of calls and retries of one node to one service.
#[derive(Clone, Debug, Default)]
pub struct Window {
    buckets: VecDeque<Bucket>,
}

impl Window {
    /// Counts a first attempt.
    pub fn record_call(&mut self, settings: &Settings, now: Time) {
        self.bucket(settings, now).calls += 1;
    }

    /// Spends one retry; returns false if the budget is exhausted.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::budget::{Settings, Window};
    /// let settings = Settings { slack: 10.0, usable_share: 1.0, ..Settings::default() };
    /// let mut window = Window::default();
    /// let granted = (0..9).filter(|_| window.try_retry(&settings, 5, Time::default())).count();
    /// assert_eq!(granted, 2);
    /// ```
    pub fn try_retry(&mut self, settings: &Settings, nodes: usize, now: Time) -> bool {
        self.bucket(settings, now);
        let calls: u32 = self.buckets.iter().map(|b| b.calls).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let share = settings.slack / nodes.max(1) as f64;
        let allowed = (settings.ratio * f64::from(calls) + share) * settings.usable_share;
        if f64::from(retries + 1) > allowed {
            cov_mark::hit!(window_spent);
            return false;
        }
        self.bucket(settings, now).retries += 1;
        true
    }

    /// Drops the buckets that have left the window and returns the current one.
    fn bucket(&mut self, settings: &Settings, now: Time) -> &mut Bucket {
        let width = settings.window / BUCKETS;
        self.buckets.retain(|b| now.since(b.begin) < settings.window + width);
        let current = self.buckets.back().is_some_and(|b| now.since(b.begin) < width);
        if !current {
            self.buckets.push_back(Bucket { begin: now, calls: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
