//! Rate limit of an upstream during warm-up.
//!
//! A cold upstream crashes above a low call rate and restarts cold, so that the normal load keeps
//! it crashing. All its calls pass its serving node, which limits them with a token bucket.

use model::{service::WarmUp, time::Time};
use std::time::Duration;

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
}

/// Token bucket of one cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    tokens: f64,
    refilled: Time,
}

impl Bucket {
    /// Creates a bucket with one token, since calls of the last second may be unknown after a
    /// restart.
    pub fn new(limit: Limit, now: Time) -> Self {
        Bucket { limit, tokens: 1.0, refilled: now }
    }

    /// Replaces the limit; tokens beyond its burst are dropped.
    pub fn set_limit(&mut self, limit: Limit, now: Time) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
    }

    /// Returns whether the warm-up lasts at `now`.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.limit.until
    }

    /// Takes a token; returns false if there is none.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the token of a call that did not reach the upstream.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.limit.burst);
    }

    /// Returns how long the call at `position` in a queue, from 1, waits for a token.
    pub fn wait(&self, position: usize, now: Time) -> Duration {
        let missing = position as f64 - self.tokens_at(now);
        let until_warm = self.limit.until.since(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.limit.rate)
            .map_or(until_warm, |wait| wait.min(until_warm))
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let added = now.since(self.refilled).as_secs_f64() * self.limit.rate;
        (self.tokens + added).min(self.limit.burst)
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.refilled = self.refilled.max(now);
    }
}
