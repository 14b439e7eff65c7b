//! Rate limits of one upstream; a call needs a token of each one in force.

use model::time::Time;
use std::time::Duration;

use crate::{
    bucket::{Bucket, Rate},
    warmup::{self, Limit},
};

/// Rate limits of one upstream.
#[derive(Debug, Default)]
pub(super) struct Tokens {
    /// During warm-up; `None` once the upstream is warm.
    warm_up: Option<warmup::Bucket>,
    /// Limit that the upstream named; `None` without one.
    named: Option<Bucket>,
}

impl Tokens {
    /// Applies the warm-up rate `limit` until the upstream is warm.
    pub(super) fn set_warm_up(&mut self, limit: Limit, now: Time) {
        match &mut self.warm_up {
            Some(bucket) if bucket.is_active(now) => bucket.set_limit(limit, now),
            bucket => *bucket = Some(warmup::Bucket::new(limit, now)),
        }
    }

    pub(super) fn end_warm_up(&mut self) {
        self.warm_up = None;
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
        warm_up.max(self.named_wait(position, now))
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

    /// Returns the tokens of a call that did not reach the upstream.
    pub(super) fn give_back(&mut self) {
        if let Some(bucket) = &mut self.warm_up {
            bucket.give_back();
        }
        if let Some(bucket) = &mut self.named {
            bucket.give_back();
        }
    }
}
