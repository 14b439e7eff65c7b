//! Sliding window over the calls passed to one upstream, under full load of cold upstreams.
//!
//! The window is kept while the upstream is warm too, so that calls passed before the node learns that
//! the upstream is cold count.

use model::time::Time;
use std::{collections::VecDeque, time::Duration};

use crate::{admission::Ticket, warmup::Limit};

/// Period for which the rate of calls is bounded.
const PERIOD: Duration = Duration::from_secs(1);

/// Longest delay between admission and arrival that can let calls arrive closer together.
const MAX_DELAY: Duration = Duration::from_millis(180);

/// Time after which a start no longer limits later ones.
const SPAN: Duration = PERIOD.saturating_add(MAX_DELAY);

/// Largest number of calls per period that a window limits; a decision examines each of them.
pub(super) const MAX_STARTS: usize = 128;

/// Starts of calls on one upstream, which limit further starts while the upstream is cold.
///
/// With rate L and burst b of its [`Limit`], at most L starts are in any second, at most L + b in
/// any [`SPAN`], and at most L x + b in any x seconds. The second keeps late arrivals within the bound of
/// L + b per second. The third does so across a restart of the node, whose window begins with the
/// starts of its predecessor assumed evenly spread.
#[derive(Clone, Debug)]
pub struct Window {
    limit: Limit,
    /// The latest starts, oldest first.
    ///
    /// At most [`MAX_STARTS`] and one for each held slot: calls that hold a slot may be given back, and the
    /// others must then suffice.
    starts: VecDeque<Start>,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    /// Start time plus [`SPAN`], since starts before the origin of [`Time`] cannot be represented.
    expires: Time,
    /// The call, while it may still be given back.
    ticket: Option<Ticket>,
}

impl Window {
    /// Creates a full window, since calls before `now` may be unknown after a restart.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::{admission::Ticket, warmup::{Limit, Window}};
    /// let limit = Limit { rate: 20.0, burst: 4.0, until: Time::from_millis(3_000) };
    /// let window = Window::new(limit, Time::default());
    /// assert_eq!(window.wait(1, Time::default()).as_millis(), 50);
    /// assert!(window.wait(1, Time::from_millis(50)).is_zero());
    /// ```
    pub fn new(limit: Limit, now: Time) -> Self {
        let mut window = Window { limit, starts: VecDeque::new() };
        let latest = (now + SPAN).since(Time::default());
        for age in 0..window.bound() {
            let expires = Time::at(latest.saturating_sub(window.interval(age)));
            window.starts.push_front(Start { expires, ticket: None });
        }
        window
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        // A higher bound needs older starts than were kept; they were at the time of the oldest or earlier.
        let Some(oldest) = self.starts.front().copied() else { return };
        while self.starts.len() < self.bound() {
            self.starts.push_front(Start { ticket: None, ..oldest });
        }
    }

    /// Records the start of the call `ticket`, one of `held` calls that hold a slot.
    pub fn record(&mut self, ticket: Ticket, held: usize, now: Time) {
        let latest = self.starts.back().map_or(Time::default(), |start| start.expires);
        let expires = latest.max(now + SPAN);
        self.starts.push_back(Start { expires, ticket: Some(ticket) });
        let surplus = self.starts.len().saturating_sub(self.bound() + held);
        self.starts.drain(..surplus);
    }

    /// Removes the start of a call that did not reach the upstream.
    pub fn give_back(&mut self, ticket: Ticket) {
        if let Some(index) = self.index(ticket) {
            self.starts.remove(index);
        }
    }

    /// Keeps the start of `ticket` although the call may be given back: it reached the upstream.
    pub fn keep(&mut self, ticket: Ticket) {
        if let Some(index) = self.index(ticket) {
            self.starts[index].ticket = None;
        }
    }

    /// Returns how long the call at `position` in a queue, from 1, waits for a start or for the end of
    /// the warm-up; a lower bound for positions after the first.
    pub fn wait(&self, position: usize, now: Time) -> Duration {
        let rest = self.limit.until.since(now);
        if rest.is_zero() {
            return rest;
        }
        let burst = self.burst();
        let after_first = self.interval(position.saturating_sub(burst));
        let first = self.wait_for_starts(1, now);
        (first + after_first).max(self.wait_for_starts(position, now)).min(rest)
    }

    /// Returns when a start becomes free after those that are free now; `None` while the upstream is warm.
    pub fn next_start(&self, now: Time) -> Option<Time> {
        let (mut free, mut taken) = (0, self.bound() + 1);
        while taken - free > 1 {
            let middle = (free + taken) / 2;
            let is_free = self.wait(middle, now).is_zero();
            (free, taken) = if is_free { (middle, taken) } else { (free, middle) };
        }
        let wait = self.wait(taken, now);
        (!wait.is_zero()).then(|| now + wait)
    }

    /// Returns how long the recorded starts delay the call at `position` in a queue.
    fn wait_for_starts(&self, position: usize, now: Time) -> Duration {
        let distances = position..=self.bound();
        let starts = self.starts.iter().rev().zip(distances);
        let free = starts.map(|(start, distance)| start.expires + self.gap(distance));
        free.max().map_or(Duration::ZERO, |free| free.since(now + SPAN))
    }

    /// Returns the shortest time from one start to the `distance`th after it.
    fn gap(&self, distance: usize) -> Duration {
        let paced = self.interval((distance + 1).saturating_sub(self.burst()));
        match distance {
            _ if distance >= self.bound() => paced.max(SPAN),
            _ if distance >= self.per_period() => paced.max(PERIOD),
            _ => paced,
        }
    }

    /// Returns the time of `starts` starts at the sustained rate.
    fn interval(&self, starts: usize) -> Duration {
        PERIOD * starts as u32 / self.per_period() as u32
    }

    fn per_period(&self) -> usize {
        (self.limit.rate as usize).clamp(1, MAX_STARTS)
    }

    fn burst(&self) -> usize {
        (self.limit.burst as usize).clamp(1, MAX_STARTS)
    }

    /// Returns the largest number of calls that may arrive in any period.
    fn bound(&self) -> usize {
        self.per_period() + self.burst()
    }

    fn index(&self, ticket: Ticket) -> Option<usize> {
        self.starts.iter().rposition(|start| start.ticket == Some(ticket))
    }
}
