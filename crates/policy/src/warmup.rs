//! Rate limit of an upstream during warm-up.
//!
//! A cold upstream crashes above a low call rate and restarts cold, so that the normal load keeps
//! it crashing. All its calls pass its serving node, which limits them with a token bucket or with
//! a sliding window.

mod evidence;
mod window;

use model::{service::WarmUp, time::Time};
use std::time::Duration;

use crate::bucket;

pub use evidence::{Evidence, Report, Source, Trust};
pub use window::{Usage, Window};

/// Share of the bound that the starts of a window use.
///
/// The rest absorbs calls that are sent one after the other and arrive together, up to 0.18 s late.
const WINDOW_SHARE: f64 = 0.85;

/// How far the calls in any second may exceed [`WarmUp::calls_per_s`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Factor of the configured rate.
    pub factor: f64,
    /// Calls in addition to that.
    pub slack: f64,
}

impl Default for Excess {
    /// Allows one call in addition to the rate; without it, none would be admitted.
    fn default() -> Self {
        Excess { factor: 1.0, slack: 1.0 }
    }
}

/// Rate and burst of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls per second.
    pub rate: f64,
    /// Largest burst, in calls.
    pub burst: f64,
    /// End of the warm-up.
    pub until: Time,
}

impl Limit {
    /// Returns the limit of an upstream that is cold until `until`.
    ///
    /// Rate and burst use half of the excess; the other half absorbs calls that were admitted one
    /// after the other and arrive together.
    ///
    /// ```
    /// use model::{service::WarmUp, time::Time};
    /// use policy::warmup::{Excess, Limit};
    /// use std::time::Duration;
    /// let warm_up = WarmUp { calls_per_min: 600, length: Duration::from_secs(3) };
    /// let limit = Limit::new(warm_up, Excess { factor: 1.5, slack: 8.0 }, Time::default());
    /// assert_eq!((limit.rate, limit.burst), (12.5, 4.0));
    /// ```
    pub fn new(warm_up: WarmUp, excess: Excess, until: Time) -> Self {
        let excess_rate = (excess.factor - 1.0).max(0.0) / 2.0;
        let rate = warm_up.calls_per_s() * (1.0 + excess_rate);
        Limit { rate, burst: (excess.slack / 2.0).max(1.0), until }
    }

    /// Returns the limit by a [`Window`] of an upstream that is cold until `until`; `None` if the
    /// bound is below one call or too large for a window.
    ///
    /// Rate and burst add up to the bound.
    ///
    /// ```
    /// use model::{service::WarmUp, time::Time};
    /// use policy::warmup::{Excess, Limit};
    /// use std::time::Duration;
    /// let warm_up = WarmUp { calls_per_min: 660, length: Duration::from_secs(3) };
    /// let excess = Excess { factor: 1.5, slack: 8.0 };
    /// let limit = Limit::of_window(warm_up, excess, Time::default()).expect("the bound is 24.5");
    /// assert_eq!((limit.rate, limit.burst), (20.0, 4.0));
    /// ```
    pub fn of_window(warm_up: WarmUp, excess: Excess, until: Time) -> Option<Limit> {
        let bound = warm_up.calls_per_s() * excess.factor + excess.slack;
        if bound < 1.0 {
            return None;
        }
        let bound = bound.min(window::MAX_STARTS as f64);
        let rate = (bound * WINDOW_SHARE).floor().max(1.0);
        Some(Limit { rate, burst: (bound.floor() - rate).max(1.0), until })
    }

    fn tokens(&self) -> bucket::Rate {
        bucket::Rate { per_s: self.rate, burst: self.burst }
    }
}

/// Token bucket of one cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: bucket::Bucket,
    until: Time,
}

impl Bucket {
    /// Creates a bucket with one token.
    pub fn new(limit: Limit, now: Time) -> Self {
        Bucket { tokens: bucket::Bucket::new(limit.tokens(), now), until: limit.until }
    }

    /// Replaces the limit; tokens beyond its burst are dropped.
    pub fn set_limit(&mut self, limit: Limit, now: Time) {
        self.tokens.set_rate(limit.tokens(), now);
        self.until = limit.until;
    }

    /// Returns whether the warm-up lasts at `now`.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    /// Takes a token; returns false if there is none.
    pub fn take(&mut self, now: Time) -> bool {
        self.tokens.take(now)
    }

    /// Returns the token of a call that did not reach the upstream.
    pub fn give_back(&mut self) {
        self.tokens.give_back();
    }

    /// Returns how long the call at `position` in a queue, from 1, waits for a token or for the end of
    /// the warm-up.
    pub fn wait(&self, position: usize, now: Time) -> Duration {
        self.tokens.wait(position, now).min(self.until.since(now))
    }
}
