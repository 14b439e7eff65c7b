//! Retry budget of the whole fleet, enforced by each node without coordination.
//!
//! Each node applies the ratio to its own calls, which sums to the same ratio of all calls, and takes
//! an equal part of the fixed slack. At a node with few calls its part is a few retries and a fraction.
//! It is rounded up at as many nodes as the fraction says, so that the parts add up to the budget at
//! any number of nodes.

use model::time::Time;
use std::{collections::VecDeque, time::Duration};

/// Share of its slack that a node may use when it starts.
const STARTING_SLACK_SHARE: f64 = 0.5;

/// Settings of a [`Window`], for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per call.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, summed over all nodes.
    pub slack: f64,
    /// Usable share of both. The rest covers calls and nodes that the nodes do not count alike, such as
    /// in a partition.
    pub usable_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { window: Duration::from_secs(10), ratio: 0.2, slack: 64.0, usable_share: 0.95 }
    }
}

/// Whether a call was made on behalf of a first run or of a retry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lineage {
    /// No retry led to it.
    #[default]
    First,
    /// It is a retry, or nested in the run of one.
    Retry,
}

/// Sliding window of calls and retries of one node to one service.
#[derive(Clone, Debug, Default)]
pub struct Window {
    calls: VecDeque<Time>,
    retries: VecDeque<Time>,
    /// Added to the allowed retries before they are rounded down; in 0..1.
    rounding: f64,
    /// When the node started; none if that was more than a window ago.
    started: Option<Time>,
}

impl Window {
    /// Creates the window of a node that started at `started`.
    ///
    /// `rounding` is uniformly distributed in 0..1 over all nodes. The part of the slack grows over the
    /// first window, since the previous process may have spent some of it.
    pub fn starting(rounding: f64, started: Time) -> Self {
        Window { rounding, started: Some(started), ..Window::default() }
    }

    /// Counts a call before its first attempt. One that is nested in a retry counts as a retry.
    pub fn record_call(&mut self, settings: &Settings, lineage: Lineage, now: Time) {
        self.drop_expired(settings, now);
        match lineage {
            Lineage::First => self.calls.push_back(now),
            Lineage::Retry => self.retries.push_back(now),
        }
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
        if !self.may_retry(settings, nodes, now) {
            cov_mark::hit!(window_spent);
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns whether a retry is left.
    pub fn may_retry(&mut self, settings: &Settings, nodes: usize, now: Time) -> bool {
        self.drop_expired(settings, now);
        let slack = settings.slack / nodes.max(1) as f64 * self.slack_share(settings, now);
        let earned = settings.ratio * self.calls.len() as f64;
        let allowed = (earned + slack) * settings.usable_share + self.rounding;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Returns the last retry, which has reached no upstream, to the budget.
    pub fn give_back(&mut self) {
        self.retries.pop_back();
    }

    /// Returns the share of the node's slack that it may use by now.
    fn slack_share(&self, settings: &Settings, now: Time) -> f64 {
        let uptime = self.started.map_or(settings.window, |started| now.since(started));
        let grown = uptime.div_duration_f64(settings.window).min(1.0);
        STARTING_SLACK_SHARE + (1.0 - STARTING_SLACK_SHARE) * grown
    }

    fn drop_expired(&mut self, settings: &Settings, now: Time) {
        for times in [&mut self.calls, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > settings.window) {
                times.pop_front();
            }
        }
    }
}
