//! Rate limits of one upstream; a call needs a token of each one in force.

use model::time::Time;
use std::time::Duration;

use crate::{
    admission::{Kind, Ticket},
    bucket::{Bucket, Rate},
    warmup::{self, Limit, Trust, Usage, Window},
};

/// Rate limits of one upstream.
#[derive(Debug, Default)]
pub(super) struct Tokens {
    /// During warm-up; `None` once the upstream is warm.
    warm_up: Option<warmup::Bucket>,
    /// Calls passed to the upstream, if a window limits them during warm-up.
    window: Option<Window>,
    /// Limit that the upstream named; `None` without one.
    named: Option<Bucket>,
}

impl Tokens {
    /// Applies the warm-up rate `limit` until the upstream is warm.
    pub(super) fn set_warm_up(&mut self, limit: Limit, now: Time) {
        self.window = None;
        match &mut self.warm_up {
            Some(bucket) if bucket.is_active(now) => bucket.set_limit(limit, now),
            bucket => *bucket = Some(warmup::Bucket::new(limit, now)),
        }
    }

    /// Records calls, and limits them by a window until the upstream is warm.
    pub(super) fn set_window(&mut self, limit: Limit, now: Time) {
        self.warm_up = None;
        match &mut self.window {
            Some(window) => window.set_limit(limit),
            None => self.window = Some(Window::new(limit, now)),
        }
    }

    /// Sets whether the upstream of the window is warm while it is not reported as cold.
    pub(super) fn set_trust(&mut self, trust: Trust) {
        if let Some(window) = &mut self.window {
            window.set_trust(trust);
        }
    }

    /// Returns whether a probe of the upstream is due for the starts that are left.
    pub(super) fn needs_probe(&self, now: Time) -> bool {
        self.window.as_ref().is_some_and(|window| window.needs_probe(now))
    }

    pub(super) fn end_warm_up(&mut self) {
        self.warm_up = None;
        self.window = None;
    }

    /// Applies the rate of a limit that the upstream named; `None` removes it.
    pub(super) fn set_named(&mut self, rate: Option<Rate>, now: Time) {
        match (&mut self.named, rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(rate, now),
            (named, rate) => *named = rate.map(|rate| Bucket::new(rate, now)),
        }
    }

    /// Returns how long the call at `position` in a queue, from 1, waits for all of its tokens.
    pub(super) fn wait(&self, position: usize, now: Time) -> Duration {
        let warm_up = self.warm_up.filter(|bucket| bucket.is_active(now));
        let warm_up = warm_up.map_or(Duration::ZERO, |bucket| bucket.wait(position, now));
        warm_up.max(self.start_wait(position, now)).max(self.named_wait(position, now))
    }

    /// Returns how long the call at `position` in a queue waits for a start of a cold upstream.
    fn start_wait(&self, position: usize, now: Time) -> Duration {
        self.window.as_ref().map_or(Duration::ZERO, |window| window.wait(position, now))
    }

    /// Returns the window if its starts are scarcer than slots for `waiting` calls, given that a
    /// slot is freed every `slot_time`.
    ///
    /// They are if the last call waits longer for a start than for a slot, or if it waits and
    /// starts become free at a lower rate than slots.
    pub(super) fn scarce_starts(
        &self,
        waiting: usize,
        slot_time: Duration,
        now: Time,
    ) -> Option<&Window> {
        let window = self.window.as_ref().filter(|window| window.is_active(now))?;
        let wait = window.wait(waiting, now);
        let slot_wait = slot_time * waiting as u32;
        let is_scarce = wait > slot_wait || (!wait.is_zero() && window.interval(1) > slot_time);
        is_scarce.then_some(window)
    }

    /// Returns whether a window limits a cold upstream.
    pub(super) fn is_window_active(&self, now: Time) -> bool {
        self.window.as_ref().is_some_and(|window| window.is_active(now))
    }

    /// Returns the use of the starts, while a window limits a cold upstream.
    pub(super) fn starts(&self, now: Time) -> Option<Usage> {
        let window = self.window.as_ref().filter(|window| window.is_active(now))?;
        Some(window.usage(now))
    }

    /// Returns the number of calls started in the last second; 0 without a window.
    pub(super) fn recent_starts(&self, now: Time) -> usize {
        self.window.as_ref().map_or(0, |window| window.recent(now))
    }

    /// Returns the largest number of calls started in any second since the last call; 0 without a window.
    pub(super) fn take_start_peak(&mut self) -> usize {
        self.window.as_mut().map_or(0, Window::take_peak)
    }

    /// Returns when a start becomes free after those that are free now.
    pub(super) fn next_start(&self, now: Time) -> Option<Time> {
        self.window.as_ref()?.next_start(now)
    }

    /// Returns how long the call at `position` in a queue waits under the limit that the upstream named.
    pub(super) fn named_wait(&self, position: usize, now: Time) -> Duration {
        self.named.map_or(Duration::ZERO, |bucket| bucket.wait(position, now))
    }

    /// Takes a token of every limit in force, or none if one of them has none.
    pub(super) fn take(&mut self, now: Time) -> bool {
        if !self.wait(1, now).is_zero() {
            return false;
        }
        if let Some(bucket) = self.warm_up.as_mut().filter(|bucket| bucket.is_active(now)) {
            bucket.take(now);
        }
        if let Some(bucket) = &mut self.named {
            bucket.take(now);
        }
        true
    }

    /// Records the admission of the call `ticket`.
    pub(super) fn admit(&mut self, ticket: Ticket, kind: Kind, now: Time) {
        if let Some(window) = &mut self.window {
            window.admit(ticket, kind, now);
        }
    }

    /// Records that the call `ticket` is sent now.
    pub(super) fn start(&mut self, ticket: Ticket, now: Time) {
        if let Some(window) = &mut self.window {
            window.start(ticket, now);
        }
    }

    /// Ends the call `ticket`, which reached the upstream.
    pub(super) fn finish(&mut self, ticket: Ticket) {
        if let Some(window) = &mut self.window {
            window.finish(ticket);
        }
    }

    /// Returns the tokens of the call `ticket`, which did not reach the upstream.
    pub(super) fn give_back(&mut self, ticket: Ticket) {
        if let Some(window) = &mut self.window {
            window.give_back(ticket);
        }
        if let Some(bucket) = &mut self.warm_up {
            bucket.give_back();
        }
        if let Some(bucket) = &mut self.named {
            bucket.give_back();
        }
    }
}
