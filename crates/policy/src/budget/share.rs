//! A node's part of the slack, as far as it can prove that the parts of all nodes add up.
//!
//! Invariant *sole holder*: a node uses its part only while the platform lists it, and the others divide by
//! the most nodes that were listed within the time for which a part may still be in use. A node that is cut
//! off, has just started or has just been listed gives up its part; what it retries for its own calls does
//! not depend on the others.

use model::time::Time;
use std::collections::VecDeque;

use crate::budget::Settings;

/// Age of the platform's last answer to any node, in windows, up to which a node relies on being listed.
const MAX_CONTACT_AGE: u32 = 1;

/// Time from which a node has to be listed, in windows: one in which the others learn of it, and one in
/// which what they retried before, or what its previous process retried, still counts.
const LISTED_FOR: u32 = 2;

/// Time for which a node counts after it was last listed, in windows: it may use its part for one more,
/// and what it retried counts for another; the last covers the time that changes take to reach a node.
const COUNTED_FOR: u32 = 3;

/// Standard deviations of the sum of rounded parts that are reserved.
const RESERVED_DEVIATIONS: f64 = 5.0;

/// Largest standard deviation of one number rounded to either side at random.
const ROUNDING_DEVIATION: f64 = 0.5;

/// What a node knows of the list of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Census {
    /// Number of listed nodes.
    pub nodes: usize,
    /// Whether the node itself is listed.
    pub is_listed: bool,
    /// The platform's last answer to any node, as far as is known.
    pub contact: Option<Time>,
}

/// The part of a fleet's budget that does not depend on the node's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Retries per window.
    pub slack: f64,
    /// Added to the allowed retries before they are rounded down; in 0..1.
    pub rounding: f64,
}

/// Tracks a node's part of the slack.
#[derive(Clone, Debug)]
pub struct Share {
    /// Uniformly distributed in 0..1 over all nodes, so that rounding down loses nothing in the mean.
    rounding: f64,
    /// Numbers of listed nodes by when they were last known; strictly descending.
    counts: VecDeque<(Time, usize)>,
    contact: Option<Time>,
    /// Since when the node has known that it is listed.
    listed_since: Option<Time>,
}

impl Share {
    /// Creates the share of a node that has just started; `rounding` is drawn uniformly from 0..1.
    pub fn new(rounding: f64) -> Self {
        Share { rounding, counts: VecDeque::new(), contact: None, listed_since: None }
    }

    /// Learns what is known of the list by now.
    pub fn update(&mut self, settings: &Settings, census: Census, now: Time) {
        while self.counts.back().is_some_and(|(_, nodes)| *nodes <= census.nodes) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, census.nodes));
        let is_over = |(at, _): &(Time, usize)| now.since(*at) > settings.window * COUNTED_FOR;
        while self.counts.front().is_some_and(is_over) {
            self.counts.pop_front();
        }
        self.contact = self.contact.max(census.contact);
        if census.is_listed && self.is_in_contact(settings, now) {
            self.listed_since.get_or_insert(now);
        } else {
            self.listed_since = None;
        }
    }

    /// Returns the part that the node may use by now.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::budget::{Census, Part, Settings, Share};
    /// let (settings, mut share) = (Settings { slack: 60.0, ..Settings::default() }, Share::new(0.5));
    /// for second in 0..=20 {
    ///     let now = Time::from_millis(second * 1_000);
    ///     share.update(&settings, Census { nodes: 16, is_listed: true, contact: Some(now) }, now);
    ///     let expected = if second < 20 { Part::default() } else { Part { slack: 3.125, rounding: 0.5 } };
    ///     assert_eq!(share.part(&settings, now), expected);
    /// }
    /// ```
    pub fn part(&self, settings: &Settings, now: Time) -> Part {
        let is_due = |since: Time| now.since(since) >= settings.window * LISTED_FOR;
        if !self.listed_since.is_some_and(is_due) || !self.is_in_contact(settings, now) {
            return Part::default();
        }
        let most = self.counts.front().map_or(1, |(_, nodes)| *nodes).max(1) as f64;
        let reserve = RESERVED_DEVIATIONS * ROUNDING_DEVIATION * most.sqrt();
        match settings.slack < reserve {
            true => Part { slack: settings.slack / most, rounding: 0.0 },
            false => Part { slack: (settings.slack - reserve) / most, rounding: self.rounding },
        }
    }

    fn is_in_contact(&self, settings: &Settings, now: Time) -> bool {
        let limit = settings.window * MAX_CONTACT_AGE;
        self.contact.is_some_and(|contact| now.since(contact) <= limit)
    }
}
