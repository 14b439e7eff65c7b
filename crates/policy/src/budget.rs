//! Retry budget of the whole fleet, enforced by each node without coordination.
//!
//! In any window, all nodes together may make `ratio` retries per call of that window or of the one before,
//! whichever has more, and the slack. Each node keeps to its part of that by itself, whatever happens to the
//! others, to the callers or to its own process.
//!
//! Invariant *bounded spans*: of any span that ends now and is at most a window long, a process makes no
//! more retries than half of `ratio` times its own calls in the window before the span, half of `ratio`
//! times its own calls in the span, and its part of the slack. A retry is in a span if it may have reached
//! its upstream in it.
//!
//! Summed over all processes, the two halves stay within the calls of one window or the other. A process that
//! has just started has no calls before the span, so it cannot spend again what the one before it has
//! spent, and calls that move from one node to another are counted where they are made. Half of a window's
//! budget is saved up for a sudden failure; the other half comes with the calls.

mod reserve;
mod share;
mod siblings;

pub use reserve::{Benefit, Demand, Grant, Level};
pub use share::{Census, Part, Share};
pub use siblings::Siblings;

use model::time::Time;
use std::{collections::VecDeque, time::Duration};

/// Settings of a [`Window`], for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per call.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, summed over all nodes.
    pub slack: f64,
    /// Usable share of both.
    pub usable_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { window: Duration::from_secs(10), ratio: 0.2, slack: 64.0, usable_share: 1.0 }
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

/// How an attempt counts towards the budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// How it counts if it reaches its upstream first.
    pub lineage: Lineage,
    /// When a hedged request may be made, which can reach an upstream first from then on.
    pub first_until: Option<Time>,
}

impl Standing {
    /// Returns how a run counts that begins at `now`.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::budget::{Lineage, Standing};
    /// let [hedge_due, before] = [500, 499].map(Time::from_millis);
    /// let standing = Standing { first_until: Some(hedge_due), ..Standing::default() };
    /// assert_eq!(standing.at(before), Lineage::First);
    /// assert_eq!(standing.at(hedge_due), Lineage::Retry);
    /// ```
    pub fn at(self, now: Time) -> Lineage {
        match self.first_until {
            Some(until) if now >= until => Lineage::Retry,
            _ => self.lineage,
        }
    }
}

/// Number of slots that a window is divided into.
const SLOTS: usize = 100;

/// Slots that are kept: the spans of a window, and the window before the longest of them.
const KEPT_SLOTS: usize = 2 * SLOTS + 1;

/// Share of the ratio that applies to the calls before a span; the rest applies to those in it.
///
/// Not less than a half: slots are longer than an instant, and the calls of the slot that a span begins in
/// count as calls in it.
const SAVED_SHARE: f64 = 0.5;

/// Calls and retries of one node to one service in the last two windows.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// The latest slots, the current one last.
    slots: VecDeque<Slot>,
    slot_length: Duration,
    /// Number of the current slot since the start of the clock.
    current: u64,
    /// Retries that may still reach an upstream; they count in every span.
    pending: u32,
}

/// Calls and retries of a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    calls: u32,
    /// Retries that ended.
    retries: u32,
}

impl Window {
    /// Counts a call before its first attempt. One that is nested in a retry is a retry instead.
    pub fn record_call(&mut self, settings: &Settings, now: Time) {
        self.slot(settings, now).calls += 1;
    }

    /// Spends one retry; returns false if the budget is exhausted.
    ///
    /// It counts until a window after [`Window::end_retry`], since it may reach its upstream at any time
    /// until then.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::budget::{Part, Settings, Window};
    /// let (settings, part) = (Settings::default(), Part { slack: 2.4, ..Part::default() });
    /// let mut window = Window::default();
    /// let granted = (0..9).filter(|_| window.try_retry(&settings, part, Time::default())).count();
    /// assert_eq!(granted, 2);
    /// ```
    pub fn try_retry(&mut self, settings: &Settings, part: Part, now: Time) -> bool {
        if self.available(settings, part, now) == 0 {
            cov_mark::hit!(window_spent);
            return false;
        }
        self.pending += 1;
        true
    }

    /// Returns how many retries are left.
    pub fn available(&mut self, settings: &Settings, part: Part, now: Time) -> usize {
        self.slot(settings, now);
        let left = self.spans().map(|span| {
            let calls = SAVED_SHARE * span.calls_before + (1.0 - SAVED_SHARE) * span.calls;
            let allowed = (settings.ratio * calls + part.slack) * settings.usable_share;
            // A cast of a negative number yields 0.
            (allowed + part.rounding - span.retries) as usize
        });
        left.min().unwrap_or(0)
    }

    /// Ends a retry, which reaches no upstream from now on.
    pub fn end_retry(&mut self, settings: &Settings, now: Time) {
        self.pending = self.pending.saturating_sub(1);
        self.slot(settings, now).retries += 1;
    }

    /// Returns a retry, which has reached no upstream, to the budget.
    pub fn give_back(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Iterates over the spans that end now, from the current slot alone to a whole window.
    fn spans(&self) -> impl Iterator<Item = Span> {
        let calls = |age: usize| self.aged(age).map_or(0.0, |slot| f64::from(slot.calls));
        let mut span = Span {
            calls_before: (0..SLOTS - 1).map(calls).sum(),
            calls: 0.0,
            retries: f64::from(self.pending),
        };
        (0..=SLOTS).map(move |age| {
            span.calls_before += calls(age + SLOTS - 1) - calls(age);
            span.calls += calls(age);
            span.retries += self.aged(age).map_or(0.0, |slot| f64::from(slot.retries));
            span
        })
    }

    /// Returns the slot that ended `age` slots before the current one.
    fn aged(&self, age: usize) -> Option<&Slot> {
        self.slots.get(self.slots.len().checked_sub(age + 1)?)
    }

    /// Returns the current slot, and forgets those that are too old.
    fn slot(&mut self, settings: &Settings, now: Time) -> &mut Slot {
        let length = settings.window / SLOTS as u32;
        let current = (now.since(Time::default()).as_nanos() / length.as_nanos().max(1)) as u64;
        if self.slots.is_empty() || self.slot_length != length {
            self.restart(length, current);
        }
        let passed = current.saturating_sub(self.current).min(KEPT_SLOTS as u64) as usize;
        self.current = self.current.max(current);
        self.slots.extend(std::iter::repeat_n(Slot::default(), passed));
        let surplus = self.slots.len().saturating_sub(KEPT_SLOTS);
        self.slots.drain(..surplus);
        self.slots.back_mut().expect("the current slot is never removed")
    }

    /// Begins with slots of another length: earlier retries count as if they had ended now, earlier calls
    /// earn nothing more.
    fn restart(&mut self, length: Duration, current: u64) {
        let retries = self.slots.iter().map(|slot| slot.retries).sum();
        self.slots.clear();
        self.slots.push_back(Slot { calls: 0, retries });
        self.slot_length = length;
        self.current = current;
    }
}

/// Calls and retries of a span that ends now.
#[derive(Clone, Copy, Debug)]
struct Span {
    /// Calls in the window before the span, less its first slot.
    calls_before: f64,
    /// Calls in the span.
    calls: f64,
    /// Retries that may have reached an upstream in the span.
    retries: f64,
}
