//! Token bucket: limits the rate of calls to an upstream.

use model::time::Time;
use std::time::Duration;

/// Sustained rate and burst of a [`Bucket`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens added per second.
    pub per_s: f64,
    /// Largest number of tokens.
    pub burst: f64,
}

/// A token bucket; each call takes one token.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: Rate,
    tokens: f64,
    refilled: Time,
}

impl Bucket {
    /// Creates a bucket with one token, since calls before `now` may be unknown after a restart.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::bucket::{Bucket, Rate};
    /// let (start, later) = (Time::from_millis(0), Time::from_millis(100));
    /// let mut bucket = Bucket::new(Rate { per_s: 10.0, burst: 4.0 }, start);
    /// assert!(bucket.take(start));
    /// assert!(!bucket.take(start));
    /// assert!(bucket.take(later));
    /// ```
    pub fn new(rate: Rate, now: Time) -> Self {
        Bucket { rate, tokens: 1.0, refilled: now }
    }

    /// Replaces the rate; tokens beyond its burst are dropped.
    pub fn set_rate(&mut self, rate: Rate, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate.burst);
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
        self.tokens = (self.tokens + 1.0).min(self.rate.burst);
    }

    /// Returns how long the call at `position` in a queue, from 1, waits for a token.
    pub fn wait(&self, position: usize, now: Time) -> Duration {
        let missing = position as f64 - self.tokens_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate.per_s).unwrap_or(Duration::MAX)
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let added = now.since(self.refilled).as_secs_f64() * self.rate.per_s;
        (self.tokens + added).min(self.rate.burst)
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.refilled = self.refilled.max(now);
    }
}
