//! How many calls an upstream gets while it warms up.
//!
//! A cold upstream bears few calls a second and crashes under more; it comes back cold, so that a load
//! which was no trouble before keeps it crashing. Every call passes the node beside the upstream, which
//! lets no more through than a token bucket holds.

use model::{service::WarmUp, time::Time};
use std::time::Duration;

/// How far any second may exceed [`WarmUp::calls_per_s`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Factor of the configured rate.
    pub factor: f64,
    /// Calls beyond that.
    pub slack: f64,
}

impl Default for Excess {
    /// Nothing beyond the rate but one call, without which none would ever be let through.
    fn default() -> Self {
        Excess { factor: 1.0, slack: 1.0 }
    }
}

/// Rate and burst of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls per second.
    pub rate: f64,
    /// Most calls at once.
    pub burst: f64,
    /// When the upstream is warm.
    pub until: Time,
}

impl Limit {
    /// Returns the limit of an upstream that is cold until `until`.
    ///
    /// Rate and burst use half of what any second may exceed the configured rate; the other half absorbs calls
    /// that were let through one after the other and arrive together.
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
        let beyond = (excess.factor - 1.0).max(0.0) / 2.0;
        let rate = warm_up.calls_per_s() * (1.0 + beyond);
        Limit { rate, burst: (excess.slack / 2.0).max(1.0), until }
    }
}

/// A token bucket in front of one cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    tokens: f64,
    filled: Time,
}

impl Bucket {
    /// Creates a bucket with one token: what was sent in the second before may not be known.
    pub fn new(limit: Limit, now: Time) -> Self {
        Bucket { limit, tokens: 1.0, filled: now }
    }

    /// Works under `limit` from now on.
    pub fn set_limit(&mut self, limit: Limit, now: Time) {
        self.fill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
    }

    /// Tells whether the upstream is cold.
    pub fn is_in_force(&self, now: Time) -> bool {
        now < self.limit.until
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.fill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Gives back the token of a call that did not reach the upstream.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.limit.burst);
    }

    /// Returns how long it takes until the call at `place` in a queue gets a token; 1 is the first place.
    pub fn wait(&self, place: usize, now: Time) -> Duration {
        let missing = place as f64 - self.tokens_at(now);
        let warm = self.limit.until.since(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.limit.rate).map_or(warm, |wait| wait.min(warm))
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let added = now.since(self.filled).as_secs_f64() * self.limit.rate;
        (self.tokens + added).min(self.limit.burst)
    }

    fn fill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.filled = self.filled.max(now);
    }
}
