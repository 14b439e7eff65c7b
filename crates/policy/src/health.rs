//! What an entry node has itself seen of one upstream.
//!
//! Health and load endpoints lag or mislead; the outcomes of the node's own calls do not. The
//! record of an upstream is made of those alone.

use model::time::Time;
use std::time::Duration;

use crate::{
    outcome::{Cause, Doubt, Outcome},
    retry::Kind,
};

/// Share of a new sample in the moving average of latencies.
const SAMPLE_SHARE: f64 = 0.2;

/// Time without a call in which a latency loses half of its weight.
pub const HALF_LIFE: Duration = Duration::from_secs(5);

/// Share of a new sample in the moving share of failures.
///
/// At a tenth, an upstream that fails half of its calls shows after about five of them, and one
/// failure in a thousand never does.
const FAILURE_SAMPLE_SHARE: f64 = 0.1;

/// Time in which what a serving node told of its load loses half of its weight.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

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
    /// No answer in the given time.
    TimedOut(Duration),
    /// A whole answer after the given time, by which the upstream says that it failed.
    ErrorAnswer(Duration),
    /// A broken answer, or a broken connection.
    Failed,
    /// No connection: nobody is there.
    Unreachable,
}

impl Sample {
    /// Returns what a call without an answer shows, which ended with `outcome` after `time`.
    ///
    /// ```
    /// use policy::{health::Sample, outcome::Cause};
    /// use std::time::Duration;
    /// let full = Cause::Overloaded.outcome();
    /// assert_eq!(Sample::of_failure(full, Duration::ZERO), Sample::Refused);
    /// ```
    pub fn of_failure(outcome: Outcome, time: Duration) -> Sample {
        match outcome {
            // A node that says it leaves, or that another life has replaced, is as good as absent
            // until the view says the same.
            Outcome::NotRun(
                Cause::Unreachable | Cause::Leaving | Cause::Replaced | Cause::Evacuated,
                _,
            ) => Sample::Unreachable,
            Outcome::NotRun(..) => Sample::Refused,
            Outcome::Unknown(Doubt::Timeout) => Sample::TimedOut(time),
            Outcome::Unknown(_) => Sample::Failed,
        }
    }
}

/// Own observations of one upstream.
#[derive(Clone, Debug)]
pub struct Record {
    known_since: Time,
    in_flight: usize,
    latency: Option<Duration>,
    latency_at: Time,
    slowness: f64,
    slowness_at: Time,
    failures: u32,
    ejections: u32,
    ejected_until: Time,
    probation_until: Option<Time>,
    failure_share: f64,
    failure_at: Time,
    /// Whether the last ejection was for want of a connection.
    unreachable: bool,
    /// Calls of others that the serving node held when it last told.
    others: f64,
    /// Large bodies that were on their way to it, or waited, when it last told.
    bodies: f64,
    others_at: Time,
}

/// Calls that a serving node holds, as it tells with each answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Calls that its upstream works on.
    pub busy: usize,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Large bodies that cross its link or wait for their turn.
    pub bodies: usize,
}

impl Record {
    /// Starts observing an upstream that became known at `now`.
    pub fn new(now: Time) -> Self {
        Record {
            known_since: now,
            in_flight: 0,
            latency: None,
            latency_at: now,
            slowness: 1.0,
            slowness_at: now,
            failures: 0,
            ejections: 0,
            ejected_until: Time::default(),
            probation_until: None,
            failure_share: 0.0,
            failure_at: now,
            unreachable: false,
            others: 0.0,
            bodies: 0.0,
            others_at: now,
        }
    }

    /// Notes that a call goes to the upstream.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Notes how a call ended; returns whether that ejects the upstream.
    pub fn end(&mut self, now: Time, sample: Sample) -> Change {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note_failure(sample, now);
        match sample {
            Sample::Answered(latency) | Sample::ErrorAnswer(latency) => {
                self.average(latency, now);
                self.failures = 0;
                self.ejections = 0;
                self.probation_until = None;
                Change::None
            }
            Sample::Refused => Change::None,
            Sample::TimedOut(waited) => {
                // The time waited in vain counts as latency, so that the next calls go elsewhere
                // even before the failures in a row are enough.
                self.average(waited, now);
                self.fail(now)
            }
            Sample::Failed => self.fail(now),
            // Nobody listens: no second call is needed to believe it.
            Sample::Unreachable => {
                let change = self.eject(now);
                self.unreachable = true;
                change
            }
        }
    }

    /// Notes that a call took `ratio` times as long as calls of its route usually do.
    pub fn record_slowness(&mut self, ratio: f64, now: Time) {
        let old = self.slowness(now);
        self.slowness = old + (ratio - old) * SAMPLE_SHARE;
        self.slowness_at = now;
    }

    /// Notes that a call was given up without any word about the upstream.
    pub fn abandon(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes that a call which was given up after `waited` was answered by another upstream.
    pub fn record_hedge_loss(&mut self, waited: Duration, now: Time) {
        self.average(waited, now);
        self.note_failure(Sample::TimedOut(waited), now);
    }

    /// Takes note of what the serving node told with an answer to one of this node's calls, which
    /// has been counted as ended.
    pub fn update_load(&mut self, load: Load, now: Time) {
        let held = load.busy + load.waiting;
        self.others = held.saturating_sub(self.in_flight) as f64;
        self.bodies = load.bodies as f64;
        self.others_at = now;
    }

    /// Returns the calls that the upstream is expected to hold: the own ones, and those of others
    /// as last told, which count less the older the word is.
    pub fn expected_load(&self, now: Time) -> f64 {
        self.in_flight as f64 + self.others * weight(self.others_at, now, LOAD_HALF_LIFE)
    }

    /// Returns the large bodies that are expected to be on their way to the upstream, as last told;
    /// the older the word, the less it counts.
    pub fn expected_bodies(&self, now: Time) -> f64 {
        self.bodies * weight(self.others_at, now, LOAD_HALF_LIFE)
    }

    /// Returns the share of failures among the last calls; it halves for every [`HALF_LIFE`]
    /// without a call.
    pub fn failure_share(&self, now: Time) -> f64 {
        self.failure_share * weight(self.failure_at, now, HALF_LIFE)
    }

    /// Ends an ejection early: the upstream's node has been heard of again.
    pub fn reinstate(&mut self, now: Time) {
        if self.ejected_until > now && self.unreachable {
            self.ejected_until = now;
            self.ejections = 0;
            self.probation_until = None;
        }
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
    pub fn accepts(&self, kind: Kind, now: Time) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        let on_probation = self.probation_until.is_some_and(|until| now < until);
        match kind {
            Kind::Idempotent => !on_probation || self.in_flight == 0,
            Kind::Once => !on_probation,
        }
    }

    /// Returns for how long the upstream has been known.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.known_since)
    }

    /// Returns when the ejection ends.
    pub fn ejected_until(&self) -> Time {
        self.ejected_until
    }

    /// Returns the calls on their way.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the average latency seen, if any; it halves for every [`HALF_LIFE`] without a call.
    ///
    /// An upstream that was slow once and is avoided since would otherwise be avoided for ever.
    pub fn latency(&self, now: Time) -> Option<Duration> {
        let weight = weight(self.latency_at, now, HALF_LIFE);
        self.latency.map(|latency| latency.mul_f64(weight))
    }

    /// Returns how many times as long as usual calls to the upstream take; the difference from 1
    /// halves for every [`HALF_LIFE`] without a call.
    pub fn slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * weight(self.slowness_at, now, HALF_LIFE)
    }

    /// Returns the share of calls due to the upstream, from near 0 to 1, during its slow start.
    ///
    /// ```
    /// use model::time::Time;
    /// use std::time::Duration;
    /// let record = policy::health::Record::new(Time::from_millis(0));
    /// assert_eq!(record.slow_start_weight(Time::from_millis(3_000), Duration::from_secs(2)), 1.0);
    /// ```
    pub fn slow_start_weight(&self, now: Time, slow_start: Duration) -> f64 {
        let age = now.since(self.known_since);
        if age >= slow_start {
            return 1.0;
        }
        let progress = age.as_secs_f64() / slow_start.as_secs_f64();
        SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * progress
    }

    fn average(&mut self, sample: Duration, now: Time) {
        let old = self.latency(now).unwrap_or(sample);
        self.latency = Some(old.mul_f64(1.0 - SAMPLE_SHARE) + sample.mul_f64(SAMPLE_SHARE));
        self.latency_at = now;
    }

    fn fail(&mut self, now: Time) -> Change {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT { self.eject(now) } else { Change::None }
    }

    fn note_failure(&mut self, sample: Sample, now: Time) {
        let failed = match sample {
            Sample::Answered(_) => 0.0,
            Sample::ErrorAnswer(_) | Sample::TimedOut(_) | Sample::Failed => 1.0,
            // Neither says how the upstream treats the calls that it takes.
            Sample::Refused | Sample::Unreachable => return,
        };
        let old = self.failure_share(now);
        self.failure_share = old + (failed - old) * FAILURE_SAMPLE_SHARE;
        self.failure_at = now;
    }

    fn eject(&mut self, now: Time) -> Change {
        self.unreachable = false;
        let doubled = EJECTION_LEAST * 2u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + doubled.min(EJECTION_MOST);
        self.probation_until = Some(now + PROBATION);
        Change::Ejected
    }
}

/// Returns the weight at `now` of what was seen at `since`: 1 at once, halved for each `half_life`.
fn weight(since: Time, now: Time, half_life: Duration) -> f64 {
    let halvings = now.since(since).as_secs_f64() / half_life.as_secs_f64();
    (-halvings).exp2()
}

/// Returns the mean latency of those upstreams that have one.
pub fn mean_latency<'a>(
    records: impl IntoIterator<Item = &'a Record>,
    now: Time,
) -> Option<Duration> {
    let known: Vec<Duration> = records.into_iter().filter_map(|r| r.latency(now)).collect();
    let sum = known.iter().sum::<Duration>();
    (!known.is_empty()).then(|| sum / known.len() as u32)
}

/// Whether an observation changed an upstream's standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It did not.
    None,
    /// The upstream is ejected from now on.
    Ejected,
}
