//! Sliding window over the calls passed to one upstream, under full load of cold upstreams.
//!
//! The window is kept while the upstream is warm too, so that calls passed before the node learns
//! that the upstream is cold count.

use model::time::Time;
use std::{collections::VecDeque, time::Duration};

use crate::{
    admission::{Kind, Ticket},
    warmup::{Limit, Trust},
};

/// Period for which the rate of calls is bounded.
const PERIOD: Duration = Duration::from_secs(1);

/// Longest delay between sending and arrival that can let calls arrive closer together.
const MAX_DELAY: Duration = Duration::from_millis(180);

/// Time after which a start no longer limits later ones.
const SPAN: Duration = PERIOD.saturating_add(MAX_DELAY);

/// Largest number of calls per period that a window limits; a decision examines each of them. As many are
/// kept.
pub(super) const MAX_STARTS: usize = 128;

/// Divides the starts of a second to give those that are left when the next probe is due. An answer must
/// arrive before they are used.
const PROBE_DIVISOR: usize = 4;

/// Time until the answer to a probe, for estimates of waits.
const PROBE_TIME: Duration = Duration::from_millis(20);

/// Starts of calls on one upstream, which limit further starts while the upstream is cold.
///
/// A call starts when it is sent. Until then, for example while a connection is opened for it, it counts
/// as if it started now.
///
/// With rate L and burst b of its [`Limit`], at most L starts are in any second, at most L + b in
/// any 1.18 s, and at most L x + b in any x seconds. The second keeps late arrivals within the
/// bound of L + b per second. The third does so across a restart of the node, whose window begins
/// with the starts of its predecessor assumed evenly spread.
///
/// If the upstream is probed, L calls may start since the latest probe that found it warm was sent, at any
/// rate. Whenever it has become cold since, the calls of any second are at most L: either all of them
/// started since that probe, or the last one was limited by the starts of that second. No clock and no
/// report of a restart is needed for that.
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
    /// Whether the upstream is warm after that.
    trust: Trust,
    /// The latest starts, oldest first; at most [`MAX_STARTS`].
    starts: VecDeque<Start>,
    /// Admitted calls that are not sent yet, oldest first, with the times of their admission.
    pending: Vec<Start>,
    /// Largest number of starts in any second since [`take_peak`](Window::take_peak).
    peak: usize,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    /// Start time plus [`SPAN`], since starts before the origin of [`Time`] cannot be represented.
    expires: Time,
    /// The call; `None` if it is unknown.
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
            trust: Trust::Assumed,
            starts: VecDeque::new(),
            pending: Vec::new(),
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

    /// Sets whether the upstream is warm while it is not reported as cold.
    pub fn set_trust(&mut self, trust: Trust) {
        if self.trust == Trust::Assumed && trust != Trust::Assumed {
            // The predecessor may have sent the calls of a second right before the start of this process.
            let unknown = self.starts.iter_mut().rev().filter(|start| start.kind.is_none());
            for (age, start) in unknown.enumerate() {
                let is_recent = age < self.per_period;
                start.expires = if is_recent { Time::default() + SPAN } else { Time::default() };
            }
        }
        self.trust = trust;
    }

    /// Returns whether a probe is due, since few calls may start until the upstream is found to be warm again.
    pub fn needs_probe(&self, now: Time) -> bool {
        now >= self.until && self.credit(now) <= self.per_period / PROBE_DIVISOR
    }

    /// Returns how many calls may start now because the upstream is, or was a moment ago, warm.
    fn credit(&self, now: Time) -> usize {
        match self.trust {
            _ if now < self.until => 0,
            Trust::Assumed => usize::MAX,
            Trust::Probed { warm_at: None, .. } => 0,
            Trust::Probed { warm_at: Some(at), .. } => {
                let later = self.starts.iter().rev().take_while(|start| start.expires >= at + SPAN);
                self.per_period.saturating_sub(later.count() + self.pending.len())
            }
        }
    }

    /// Returns when the upstream is expected to be known as warm, after `now`.
    fn warm_in(&self, now: Time) -> Duration {
        let rest = self.until.since(now);
        match self.trust {
            Trust::Assumed => rest,
            Trust::Probed { is_answered: true, .. } => rest + PROBE_TIME,
            Trust::Probed { .. } => Duration::MAX,
        }
    }

    /// Records the admission of the call `ticket`.
    pub fn admit(&mut self, ticket: Ticket, kind: Kind, now: Time) {
        let start = Start { expires: now + SPAN, ticket: Some(ticket), kind: Some(kind) };
        self.pending.push(start);
    }

    /// Records the start of the call `ticket`, which is sent now, possibly again.
    pub fn start(&mut self, ticket: Ticket, now: Time) {
        if let Some(start) = self.take_pending(ticket).or_else(|| self.take_start(ticket)) {
            self.push(Start { expires: now + SPAN, ..start });
            self.peak = self.peak.max(self.recent(now));
        }
    }

    /// Ends the call `ticket`, which reached the upstream.
    pub fn finish(&mut self, ticket: Ticket) {
        if let Some(start) = self.take_pending(ticket) {
            self.push(start);
        }
    }

    /// Removes the call `ticket`, unless it was sent.
    pub fn give_back(&mut self, ticket: Ticket) {
        self.take_pending(ticket);
    }

    fn push(&mut self, start: Start) {
        let latest = self.starts.back().map_or(Time::default(), |start| start.expires);
        self.starts.push_back(Start { expires: latest.max(start.expires), ..start });
        if self.starts.len() > MAX_STARTS {
            self.starts.pop_front();
        }
    }

    fn take_pending(&mut self, ticket: Ticket) -> Option<Start> {
        let index = self.pending.iter().position(|start| start.ticket == Some(ticket))?;
        Some(self.pending.remove(index))
    }

    fn take_start(&mut self, ticket: Ticket) -> Option<Start> {
        let index = self.starts.iter().rposition(|start| start.ticket == Some(ticket))?;
        self.starts.remove(index)
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

    /// Returns how long the call at `position` in a queue, from 1, waits for a start or for the end
    /// of the warm-up; a lower bound for positions after the first.
    pub fn wait(&self, position: usize, now: Time) -> Duration {
        if position <= self.credit(now) {
            return Duration::ZERO;
        }
        let rest = self.warm_in(now);
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

    /// Returns whether the starts of the last second limit the next call.
    pub fn is_active(&self, now: Time) -> bool {
        self.credit(now) == 0
    }

    /// Returns the kinds of the recorded calls, latest first.
    pub fn kinds(&self) -> impl Iterator<Item = Option<Kind>> {
        self.pending.iter().chain(&self.starts).rev().map(|start| start.kind)
    }

    /// Returns the use of the starts of the second before `now`.
    pub fn usage(&self, now: Time) -> Usage {
        let mut usage = Usage { limit: self.per_period, ..Usage::default() };
        let recent = self.starts.iter().filter(|start| start.expires > now + MAX_DELAY);
        for start in recent.chain(&self.pending) {
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
        let pending = self.pending.iter().map(|_| now + SPAN);
        let starts = pending.chain(self.starts.iter().rev().map(|start| start.expires));
        let free = starts.zip(distances).map(|(expires, distance)| expires + self.gap(distance));
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
}
