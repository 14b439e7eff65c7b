//! What an entry node has itself seen of one upstream.
//!
//! Health and load endpoints lag or mislead; the outcomes of the node's own calls do not. The
//! record of an upstream is made of those alone.

use model::time::Time;
use std::time::Duration;

use crate::retry::Kind;

/// Share of a new sample in the moving average of latencies.
const SAMPLE_SHARE: f64 = 0.2;

/// Failures in a row after which an upstream is ejected.
const FAILURE_LIMIT: u32 = 3;

/// First time for which an upstream is ejected; doubled each further time.
const EJECTION_LEAST: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is ejected.
const EJECTION_MOST: Duration = Duration::from_secs(10);

/// After this time without an answer, calls that cannot be repeated may try an upstream again.
const PROBATION: Duration = Duration::from_secs(30);

/// A new upstream's share of calls when its slow start begins.
const SLOW_START_SHARE: f64 = 0.1;

/// How a call to an upstream ended, as far as the upstream's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// A whole answer after the given time.
    Answered(Duration),
    /// The upstream refused work; it is alive.
    Refused,
    /// No answer, a broken one, or none in time.
    Failed,
    /// No connection: nobody is there.
    Unreachable,
}

/// Own observations of one upstream.
#[derive(Clone, Debug)]
pub struct Record {
    known_since: Time,
    in_flight: usize,
    latency: Option<Duration>,
    failures: u32,
    ejections: u32,
    ejected_until: Time,
    probation_until: Option<Time>,
}

impl Record {
    /// Starts observing an upstream that became known at `now`.
    pub fn new(now: Time) -> Self {
        Record {
            known_since: now,
            in_flight: 0,
            latency: None,
            failures: 0,
            ejections: 0,
            ejected_until: Time::default(),
            probation_until: None,
        }
    }

    /// Notes that a call goes to the upstream.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Notes how a call ended; returns whether that ejects the upstream.
    pub fn end(&mut self, now: Time, sample: Sample) -> Change {
        self.in_flight = self.in_flight.saturating_sub(1);
        match sample {
            Sample::Answered(latency) => {
                self.latency = Some(match self.latency {
                    Some(old) => old.mul_f64(1.0 - SAMPLE_SHARE) + latency.mul_f64(SAMPLE_SHARE),
                    None => latency,
                });
                self.failures = 0;
                self.ejections = 0;
                self.probation_until = None;
                Change::None
            }
            Sample::Refused => Change::None,
            Sample::Failed => {
                self.failures += 1;
                if self.failures >= FAILURE_LIMIT { self.eject(now) } else { Change::None }
            }
            // Nobody listens: no second call is needed to believe it.
            Sample::Unreachable => self.eject(now),
        }
    }

    /// Notes that a call was given up without any word about the upstream.
    pub fn abandon(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Tells whether the upstream gets no calls at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Tells whether the upstream may get a call of `kind` at `now`.
    ///
    /// Once its ejection is over, an upstream is tried with one call at a time that can be
    /// repeated, until it answers one: an upstream that is still frozen then costs a read some
    /// time, and not a payment its outcome.
    pub fn is_able(&self, kind: Kind, now: Time) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        let on_probation = self.probation_until.is_some_and(|until| now < until);
        match kind {
            Kind::Idempotent => !on_probation || self.in_flight == 0,
            Kind::Once => !on_probation,
        }
    }

    /// Returns when the ejection ends.
    pub fn ejected_until(&self) -> Time {
        self.ejected_until
    }

    /// Returns the calls on their way.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the average latency seen, if any.
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Returns the share of calls due to the upstream, from near 0 to 1, during its slow start.
    ///
    /// ```
    /// use model::time::Time;
    /// use std::time::Duration;
    /// let record = policy::health::Record::new(Time::from_millis(0));
    /// assert_eq!(record.share(Time::from_millis(3_000), Duration::from_secs(2)), 1.0);
    /// ```
    pub fn share(&self, now: Time, slow_start: Duration) -> f64 {
        let age = now.since(self.known_since);
        if age >= slow_start {
            return 1.0;
        }
        let progress = age.as_secs_f64() / slow_start.as_secs_f64();
        SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * progress
    }

    fn eject(&mut self, now: Time) -> Change {
        let doubled = EJECTION_LEAST * 2u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + doubled.min(EJECTION_MOST);
        self.probation_until = Some(now + PROBATION);
        Change::Ejected
    }
}

/// Whether an observation changed an upstream's standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It did not.
    None,
    /// The upstream is ejected from now on.
    Ejected,
}
