//! Reserve of the retry budget for retries that are more useful than others.
//!
//! Load: an upstream service refuses a large share of its calls at random, and more retries are wanted than
//! the budget allows. First come, first served then spends many of them on parents that fail anyway.
//!
//! A reserve only denies: what is granted is taken from the [`Window`], so its bound holds as without a
//! reserve. Without demand at more useful levels, every decision is that of the window.

use model::time::Time;
use std::{collections::BTreeMap, time::Duration};

use crate::budget::{Part, SAVED_SHARE, Settings, Window};

/// Half-life of the demand and of the calls that it is compared with.
///
/// It also bounds how long a level is denied retries once the demand above it has ended.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Time for which the demand of more useful levels is kept in reserve.
const RESERVED_TIME: Duration = Duration::from_millis(500);

/// Share of the window for which the demand that exceeds the budget's gain is kept in reserve: the time in
/// which the gain renews the saved half of the budget.
const EXCESS_SHARE: f64 = 0.5;

/// What a retry is expected to achieve; the most useful first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Benefit {
    /// It alone completes a call: of a caller, or nested without a refused sibling.
    Completes,
    /// It is one of several that its parent needs, or its parent is unknown.
    Partial,
    /// Its call may be answered without it, or can no longer be answered within its objective.
    Speculative,
}

/// Usefulness of a retry; the most useful first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Level {
    /// What it is expected to achieve.
    pub benefit: Benefit,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
}

/// Result of a request for a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The retry was taken from the budget.
    Granted,
    /// The budget is exhausted.
    Exhausted,
    /// What is left is reserved for more useful retries.
    Reserved,
}

/// Recent calls of one node to one service, and the retries wanted of them by level.
///
/// Bounded by the number of levels: three for each priority.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    calls: Rate,
    wanted: BTreeMap<Level, Rate>,
}

impl Demand {
    /// Counts a call that earns retries, as in [`Window::record_call`].
    pub fn record_call(&mut self, now: Time) {
        self.calls.record(now);
    }

    /// Counts a retry of `level` that is wanted, once however often it is tried.
    pub fn record_wanted(&mut self, level: Level, now: Time) {
        self.wanted.entry(level).or_default().record(now);
    }

    /// Spends one retry of `level`, unless what is left is reserved for more useful ones.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::budget::{Benefit, Demand, Grant, Level, Part, Settings, Window};
    /// let (settings, part) = (Settings::default(), Part { slack: 2.0, ..Part::default() });
    /// let (mut window, mut demand, now) = (Window::default(), Demand::default(), Time::default());
    /// let mut take = |benefit| {
    ///     let level = Level { benefit, priority: 0 };
    ///     demand.record_wanted(level, now);
    ///     demand.try_retry(&mut window, &settings, part, level, now)
    /// };
    /// assert_eq!(take(Benefit::Completes), Grant::Granted);
    /// assert_eq!(take(Benefit::Speculative), Grant::Reserved);
    /// assert_eq!(take(Benefit::Completes), Grant::Granted);
    /// assert_eq!(take(Benefit::Completes), Grant::Exhausted);
    /// ```
    pub fn try_retry(
        &self,
        window: &mut Window,
        settings: &Settings,
        part: Part,
        level: Level,
        now: Time,
    ) -> Grant {
        if self.is_reserved(window, settings, part, level, now) {
            cov_mark::hit!(retry_reserved);
            return Grant::Reserved;
        }
        match window.try_retry(settings, part, now) {
            true => Grant::Granted,
            false => Grant::Exhausted,
        }
    }

    /// Returns whether all retries that are left are reserved for levels above `level`.
    pub fn is_reserved(
        &self,
        window: &mut Window,
        settings: &Settings,
        part: Part,
        level: Level,
        now: Time,
    ) -> bool {
        let reserve = self.reserve(settings, level, now);
        if reserve == 0.0 {
            return false;
        }
        let left = window.available(settings, part, now);
        left > 0 && left as f64 <= reserve
    }

    /// Returns how many retries are reserved for levels above `level`; 0 if less than one, which denies
    /// nothing.
    pub fn reserve(&self, settings: &Settings, level: Level, now: Time) -> f64 {
        let above = self.wanted.range(..level).map(|(_, rate)| rate.per_second(now));
        let wanted: f64 = above.sum();
        let ratio = settings.ratio * settings.usable_share;
        let gain = (1.0 - SAVED_SHARE) * ratio * self.calls.per_second(now);
        let excess = (wanted - gain).max(0.0);
        let reserve = wanted * RESERVED_TIME.as_secs_f64()
            + excess * EXCESS_SHARE * settings.window.as_secs_f64();
        if reserve < 1.0 { 0.0 } else { reserve }
    }
}

/// Events per second, as a mean that decays with [`HALF_LIFE`].
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_second: f64,
    updated: Time,
}

impl Rate {
    fn record(&mut self, now: Time) {
        let weight = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        *self = Rate { per_second: self.per_second(now) + weight, updated: now };
    }

    fn per_second(self, now: Time) -> f64 {
        let passed = now.since(self.updated).as_secs_f64();
        self.per_second * (-passed / HALF_LIFE.as_secs_f64()).exp2()
    }
}
