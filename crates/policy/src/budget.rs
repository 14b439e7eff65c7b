//! A bound on repeated calls that holds for all nodes together without a word between them.
//!
//! The fleet may make, in any window, as many repeats as a share of its calls and a fixed slack.
//! A share of the own calls sums to the same share of all calls; of the slack each node takes an
//! equal part. The window slides: a repeat counts until it is as old as the window.

use model::time::Time;
use std::{collections::VecDeque, time::Duration};

/// Buckets into which a window is divided; the oldest counts whole until it is over, so that the
/// bound errs towards fewer repeats.
const BUCKETS: u32 = 10;

/// Settings of a [`Window`], for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window.
    pub window: Duration,
    /// Repeats for each call.
    pub ratio: f64,
    /// Repeats beyond the ratio, of all nodes together.
    pub slack: f64,
    /// Part of both that is used. The rest is kept for what no node can see: calls that a repeated
    /// run makes count as repeats at the service that it calls.
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
    repeats: u32,
}

/// Calls and repeats of one node to one service.
#[derive(Clone, Debug, Default)]
pub struct Window {
    buckets: VecDeque<Bucket>,
}

impl Window {
    /// Notes a call.
    pub fn record_call(&mut self, settings: &Settings, now: Time) {
        self.bucket(settings, now).calls += 1;
    }

    /// Takes a repeat out of the budget; returns whether there was one.
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
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let share = settings.slack / nodes.max(1) as f64;
        let allowed = (settings.ratio * f64::from(calls) + share) * settings.usable_share;
        if f64::from(repeats + 1) > allowed {
            cov_mark::hit!(window_spent);
            return false;
        }
        self.bucket(settings, now).repeats += 1;
        true
    }

    /// Returns the bucket of `now`, after dropping those that have left the window.
    fn bucket(&mut self, settings: &Settings, now: Time) -> &mut Bucket {
        let width = settings.window / BUCKETS;
        self.buckets.retain(|b| now.since(b.begin) < settings.window + width);
        let current = self.buckets.back().is_some_and(|b| now.since(b.begin) < width);
        if !current {
            self.buckets.push_back(Bucket { begin: now, calls: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
