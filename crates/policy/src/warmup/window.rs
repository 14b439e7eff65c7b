//! Sliding window over the calls passed to one upstream, under full load of cold upstreams.
//!
//! The window is kept while the upstream is warm too, so that calls passed before the node learns
//! that the upstream is cold count.

use model::time::Time;
use std::{collections::VecDeque, time::Duration};

use crate::{
    admission::{Kind, Ticket},
    warmup::Limit,
};

/// Period for which the rate of calls is bounded.
const PERIOD: Duration = Duration::from_secs(1);

/// Longest delay between admission and arrival that can let calls arrive closer together.
const MAX_DELAY: Duration = Duration::from_millis(180);

/// Time after which a start no longer limits later ones.
const SPAN: Duration = PERIOD.saturating_add(MAX_DELAY);

/// Largest number of calls per period that a window limits; a decision examines each of them.
pub(super) const MAX_STARTS: usize = 128;

/// Smallest number of starts that are kept for their division among kinds of calls.
const MIN_KEPT: usize = 8;

/// Starts of calls on one upstream, which limit further starts while the upstream is cold.
///
/// With rate L and burst b of its [`Limit`], at most L starts are in any second, at most L + b in
/// any 1.18 s, and at most L x + b in any x seconds. The second keeps late arrivals within the
/// bound of L + b per second. The third does so across a restart of the node, whose window begins
/// with the starts of its predecessor assumed evenly spread.
#[derive(Clone, Debug)]
pub struct Window {
    /// Largest number of starts in any second.
    per_period: usize,
    /// Largest number of starts at once.
    burst: usize,
    /// Time between two starts at the sustained rate.
    step: Duration,
    /// End of the warm-up.
    until: Time,
    /// The latest starts, oldest first.
    ///
    /// At most [`MAX_STARTS`] and one for each held slot: calls that hold a slot may be given back,
    /// and the others must then suffice.
    starts: VecDeque<Start>,
    /// Largest number of starts in any second since [`take_peak`](Window::take_peak).
    peak: usize,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    /// Start time plus [`SPAN`], since starts before the origin of [`Time`] cannot be represented.
    expires: Time,
    /// The call, while it may still be given back.
    ticket: Option<Ticket>,
    /// Kind of the call; `None` if it is unknown.
    kind: Option<Kind>,
}

/// Use of the starts of one second.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Starts of the last second, of known and unknown calls.
    pub used: usize,
    /// Largest number of starts in any second.
    pub limit: usize,
    /// Starts of each kind, in no order.
    pub kinds: Vec<(Kind, usize)>,
}

impl Window {
    /// Creates a full window, since calls before `now` may be unknown after a restart.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::warmup::{Limit, Window};
    /// let limit = Limit { rate: 20.0, burst: 4.0, until: Time::from_millis(3_000) };
    /// let window = Window::new(limit, Time::default());
    /// assert_eq!(window.wait(1, Time::default()).as_millis(), 50);
    /// assert!(window.wait(1, Time::from_millis(50)).is_zero());
    /// ```
    pub fn new(limit: Limit, now: Time) -> Self {
        let mut window = Window {
            per_period: 1,
            burst: 1,
            step: PERIOD,
            until: limit.until,
            starts: VecDeque::new(),
            peak: 0,
        };
        window.set_limit(limit);
        let latest = (now + SPAN).since(Time::default());
        for age in 0..window.bound() {
            let expires = Time::at(latest.saturating_sub(window.interval(age)));
            window.starts.push_front(Start { expires, ticket: None, kind: None });
        }
        window
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: Limit) {
        self.per_period = (limit.rate as usize).clamp(1, MAX_STARTS);
        self.burst = (limit.burst as usize).clamp(1, MAX_STARTS);
        self.step = PERIOD / self.per_period as u32;
        self.until = limit.until;
        // A higher bound needs older starts than were kept; they were at the time of the oldest or
        // earlier.
        let Some(oldest) = self.starts.front().copied() else { return };
        while self.starts.len() < self.bound() {
            self.starts.push_front(Start { ticket: None, kind: None, ..oldest });
        }
    }

    /// Records the start of the call `ticket`, one of `held` calls that hold a slot.
    pub fn record(&mut self, ticket: Ticket, kind: Kind, held: usize, now: Time) {
        let latest = self.starts.back().map_or(Time::default(), |start| start.expires);
        let expires = latest.max(now + SPAN);
        self.starts.push_back(Start { expires, ticket: Some(ticket), kind: Some(kind) });
        let kept = self.bound().max(MIN_KEPT) + held;
        let surplus = self.starts.len().saturating_sub(kept);
        self.starts.drain(..surplus);
        self.peak = self.peak.max(self.recent(now));
    }

    /// Returns the largest number of known starts in any second since the last call, as far as they are kept.
    pub fn take_peak(&mut self) -> usize {
        std::mem::take(&mut self.peak)
    }

    /// Returns the number of known starts of the second before `now`, as far as they are kept.
    pub fn recent(&self, now: Time) -> usize {
        let known = self.starts.iter().filter(|start| start.kind.is_some());
        known.filter(|start| start.expires > now + MAX_DELAY).count()
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

    /// Returns how long the call at `position` in a queue, from 1, waits for a start or for the end
    /// of the warm-up; a lower bound for positions after the first.
    pub fn wait(&self, position: usize, now: Time) -> Duration {
        let rest = self.until.since(now);
        if rest.is_zero() {
            return rest;
        }
        let first = self.wait_for_starts(1, now);
        if position <= 1 {
            return first.min(rest);
        }
        let after_first = self.interval(position.saturating_sub(self.burst));
        (first + after_first).max(self.wait_for_starts(position, now)).min(rest)
    }

    /// Returns when a start becomes free after those that are free now; `None` while the upstream
    /// is warm.
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

    /// Returns whether the warm-up lasts at `now`.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the kinds of the recorded calls, latest first.
    pub fn kinds(&self) -> impl Iterator<Item = Option<Kind>> {
        self.starts.iter().rev().map(|start| start.kind)
    }

    /// Returns the use of the starts of the second before `now`.
    pub fn usage(&self, now: Time) -> Usage {
        let mut usage = Usage { limit: self.per_period, ..Usage::default() };
        for start in self.starts.iter().filter(|start| start.expires > now + MAX_DELAY) {
            usage.used += 1;
            let Some(kind) = start.kind else { continue };
            match usage.kinds.iter_mut().find(|(known, _)| *known == kind) {
                Some((_, starts)) => *starts += 1,
                None => usage.kinds.push((kind, 1)),
            }
        }
        usage
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
        let paced = self.interval((distance + 1).saturating_sub(self.burst));
        match distance {
            _ if distance >= self.bound() => paced.max(SPAN),
            _ if distance >= self.per_period => paced.max(PERIOD),
            _ => paced,
        }
    }

    /// Returns the largest number of starts in any second.
    pub fn per_period(&self) -> usize {
        self.per_period
    }

    /// Returns the time of `starts` starts at the sustained rate.
    pub fn interval(&self, starts: usize) -> Duration {
        self.step * starts as u32
    }

    /// Returns the largest number of calls that may arrive in any period.
    fn bound(&self) -> usize {
        self.per_period + self.burst
    }

    fn index(&self, ticket: Ticket) -> Option<usize> {
        self.starts.iter().rposition(|start| start.ticket == Some(ticket))
    }
}
