//! Passive health of an upstream at an entry node: outlier ejection, probation and slow start.
//!
//! It uses only the outcomes of the node's calls and the load reported with answers.

mod refusals;

use model::time::Time;
use std::time::Duration;

use crate::{
    health::refusals::{Refusals, is_recent},
    outcome::{Cause, Outcome, Uncertainty},
    retry::Kind,
};

/// Weight of a new sample in the moving averages of latency and slowness.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life of latency, slowness and failure share without new samples.
pub const HALF_LIFE: Duration = Duration::from_secs(5);

/// Weight of a new sample in the moving failure share; a single failure has little effect.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.1;

/// Half-life of the load reported by a serving node.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// Age of a load report from which its limit no longer diverts calls; a call then shows whether the limit
/// still holds.
const LIMIT_TTL: Duration = Duration::from_secs(2);

/// Consecutive failures after which an upstream is ejected.
const FAILURE_LIMIT: u32 = 3;

/// First ejection time; doubled with each further ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(10);

/// Time after an ejection in which an upstream gets no non-idempotent calls until it answers a call.
const PROBATION: Duration = Duration::from_secs(30);

/// Weight of a new upstream at the beginning of its slow start.
const MIN_SLOW_START_WEIGHT: f64 = 0.1;

/// Result of a call as evidence of the health of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// Complete answer, with its latency.
    Answered(Duration),
    /// The upstream or its node refused the call; it is alive.
    Refused,
    /// No answer within the given time.
    TimedOut(Duration),
    /// Complete answer with a server error, with its latency.
    ErrorAnswer(Duration),
    /// Malformed answer or broken connection.
    Failed,
    /// No connection could be opened.
    Unreachable,
}

impl Sample {
    /// Returns the sample for a call that ended with `outcome` and no answer after `time`.
    ///
    /// ```
    /// use policy::{health::Sample, outcome::Cause};
    /// use std::time::Duration;
    /// let overloaded = Cause::Overloaded.outcome();
    /// assert_eq!(Sample::of_failure(overloaded, Duration::ZERO), Sample::Refused);
    /// ```
    pub fn of_failure(outcome: Outcome, time: Duration) -> Sample {
        match outcome {
            // A node that is leaving or was replaced counts as unreachable until the view is
            // updated.
            Outcome::NotRun(
                Cause::Unreachable | Cause::Leaving | Cause::Replaced | Cause::Evacuated,
                _,
            ) => Sample::Unreachable,
            Outcome::NotRun(..) => Sample::Refused,
            Outcome::Unknown(Uncertainty::Timeout) => Sample::TimedOut(time),
            Outcome::Unknown(_) => Sample::Failed,
        }
    }
}

/// Observations of one upstream by an entry node.
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
    /// Whether the last ejection was due to a failed connection.
    unreachable: bool,
    /// Calls of other entry nodes, as of the last load report.
    other_calls: f64,
    /// Large bodies in transfer or waiting for it, as of the last load report.
    bodies: f64,
    /// Limit that the upstream named, as of the last load report.
    limit: Option<f64>,
    load_at: Time,
    /// Last load report, while it is known to be of the running node.
    report: Option<Load>,
    /// Recent refusals for lack of capacity.
    refusals: Refusals,
    /// Whether an answer of the upstream said that it is leaving.
    leaving: bool,
}

/// Load of a serving node, reported with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls being processed by its upstream.
    pub busy: usize,
    /// Calls waiting for a slot.
    pub waiting: usize,
    /// Large bodies in transfer on its link or waiting for it.
    pub bodies: usize,
    /// Calls per second that its upstream accepts from all nodes together; none without a limit.
    pub limit: Option<f64>,
}

impl Record {
    /// Creates the record of an upstream that was added at `now`.
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
            other_calls: 0.0,
            bodies: 0.0,
            limit: None,
            load_at: now,
            report: None,
            refusals: Refusals::default(),
            leaving: false,
        }
    }

    /// Counts a call that is sent to the upstream.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the result of a call; returns whether it ejects the upstream.
    pub fn end(&mut self, now: Time, sample: Sample) -> Change {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_failure(sample, now);
        match sample {
            Sample::Answered(latency) | Sample::ErrorAnswer(latency) => {
                self.record_latency(latency, now);
                self.failures = 0;
                self.ejections = 0;
                self.probation_until = None;
                Change::None
            }
            Sample::Refused => Change::None,
            Sample::TimedOut(waited) => {
                // The elapsed time is a lower bound of the latency and diverts calls before the
                // failure limit is reached.
                self.record_latency(waited, now);
                self.record_consecutive_failure(now)
            }
            Sample::Failed => self.record_consecutive_failure(now),
            // A failed connection ejects at once, without further attempts.
            Sample::Unreachable => {
                self.forget_capacity();
                let change = self.eject(now);
                self.unreachable = true;
                change
            }
        }
    }

    /// Records that a call took `ratio` times the mean latency of its route.
    pub fn record_slowness(&mut self, ratio: f64, now: Time) {
        let old = self.slowness(now);
        self.slowness = old + (ratio - old) * SAMPLE_WEIGHT;
        self.slowness_at = now;
    }

    /// Ends a call without a result, for example one that its caller cancelled.
    pub fn abandon(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a call without an answer after `waited` was answered by another upstream.
    pub fn record_hedge_loss(&mut self, waited: Duration, now: Time) {
        self.record_latency(waited, now);
        self.record_failure(Sample::TimedOut(waited), now);
    }

    /// Records the load that came with an answer, after [`end`](Record::end) of its call.
    pub fn update_load(&mut self, load: Load, now: Time) {
        let calls = load.busy + load.waiting;
        self.other_calls = calls.saturating_sub(self.in_flight) as f64;
        self.bodies = load.bodies as f64;
        self.limit = load.limit;
        self.load_at = now;
        self.report = Some(load);
    }

    /// Records that the upstream's node refused a call of `priority` for lack of capacity.
    pub fn record_refusal(&mut self, priority: u8, now: Time) {
        self.refusals.record(priority, now);
    }

    /// Returns whether recent knowledge shows that a call of `priority` would be refused or wait: the upstream
    /// reported that all of its `slots` were busy and calls waited, or refused a call of the same or a more urgent
    /// priority.
    ///
    /// ```
    /// use model::time::Time;
    /// let at = Time::from_millis;
    /// let mut record = policy::health::Record::new(at(0));
    /// record.record_refusal(9, at(1_000));
    /// assert!(record.is_known_full(10, 9, at(1_250)));
    /// assert!(!record.is_known_full(10, 8, at(1_250)));
    /// assert!(!record.is_known_full(10, 9, at(1_251)));
    /// ```
    pub fn is_known_full(&self, slots: usize, priority: u8, now: Time) -> bool {
        let is_full = |load: Load| slots > 0 && load.busy >= slots && load.waiting > 0;
        let reports_full = is_recent(self.load_at, now) && self.report.is_some_and(is_full);
        reports_full || self.refusals.covers(priority, now)
    }

    /// Returns the expected number of calls at the upstream: the node's own calls in flight, and
    /// the reported calls of others, which decay with age.
    pub fn expected_load(&self, now: Time) -> f64 {
        self.in_flight as f64 + self.other_calls * weight(self.load_at, now, LOAD_HALF_LIFE)
    }

    /// Returns the expected number of large bodies in transfer to the upstream; the reported number
    /// decays with age.
    pub fn expected_bodies(&self, now: Time) -> f64 {
        self.bodies * weight(self.load_at, now, LOAD_HALF_LIFE)
    }

    /// Records that an answer of the upstream said that it is leaving; that is final.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns whether an answer of the upstream said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the limit that the upstream named as of the last load report, in calls per second.
    pub fn last_limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns the limit that the upstream named, in calls per second, unless the report is too old.
    pub fn limit(&self, now: Time) -> Option<f64> {
        self.limit.filter(|_| now.since(self.load_at) < LIMIT_TTL)
    }

    /// Returns the moving share of failed calls; it decays by half in each [`HALF_LIFE`] without a
    /// sample.
    pub fn failure_share(&self, now: Time) -> f64 {
        self.failure_share * weight(self.failure_at, now, HALF_LIFE)
    }

    /// Ends an ejection due to a failed connection, once the node of the upstream is reported alive
    /// again.
    pub fn reinstate(&mut self, now: Time) {
        self.forget_capacity();
        if self.ejected_until > now && self.unreachable {
            self.ejected_until = now;
            self.ejections = 0;
            self.probation_until = None;
        }
    }

    /// Returns whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the upstream may get a call of `kind` at `now`.
    ///
    /// On probation after an ejection, an upstream gets one idempotent call at a time until it
    /// answers one: if it is still unresponsive, that costs latency but leaves no outcome unknown.
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

    /// Returns the time since the upstream was added.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.known_since)
    }

    /// Returns the end of the last ejection.
    pub fn ejected_until(&self) -> Time {
        self.ejected_until
    }

    /// Returns the number of this node's calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the moving average of latencies, if there is a sample; it decays by half in each
    /// [`HALF_LIFE`] without one.
    ///
    /// The decay gives an upstream that was once slow new calls after some time.
    pub fn latency(&self, now: Time) -> Option<Duration> {
        let weight = weight(self.latency_at, now, HALF_LIFE);
        self.latency.map(|latency| latency.mul_f64(weight))
    }

    /// Returns the moving ratio of latency to the mean of the route; its difference from 1 decays
    /// by half in each [`HALF_LIFE`] without a sample.
    pub fn slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * weight(self.slowness_at, now, HALF_LIFE)
    }

    /// Returns the weight of the upstream during slow start: rises from 0.1 to 1 within
    /// `slow_start`.
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
        MIN_SLOW_START_WEIGHT + (1.0 - MIN_SLOW_START_WEIGHT) * progress
    }

    /// Forgets what showed that the upstream is full; its node may have restarted with an empty queue.
    fn forget_capacity(&mut self) {
        self.report = None;
        self.refusals.clear();
    }

    fn record_latency(&mut self, sample: Duration, now: Time) {
        let old = self.latency(now).unwrap_or(sample);
        self.latency = Some(old.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT));
        self.latency_at = now;
    }

    fn record_consecutive_failure(&mut self, now: Time) -> Change {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT { self.eject(now) } else { Change::None }
    }

    fn record_failure(&mut self, sample: Sample, now: Time) {
        let failed = match sample {
            Sample::Answered(_) => 0.0,
            Sample::ErrorAnswer(_) | Sample::TimedOut(_) | Sample::Failed => 1.0,
            // Refusals and failed connections say nothing about calls that run.
            Sample::Refused | Sample::Unreachable => return,
        };
        let old = self.failure_share(now);
        self.failure_share = old + (failed - old) * FAILURE_SAMPLE_WEIGHT;
        self.failure_at = now;
    }

    fn eject(&mut self, now: Time) -> Change {
        self.unreachable = false;
        let doubled = MIN_EJECTION * 2u32.pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + doubled.min(MAX_EJECTION);
        self.probation_until = Some(now + PROBATION);
        Change::Ejected
    }
}

/// Returns the exponential decay factor at `now` of a sample taken at `since`.
fn weight(since: Time, now: Time, half_life: Duration) -> f64 {
    let halvings = now.since(since).as_secs_f64() / half_life.as_secs_f64();
    (-halvings).exp2()
}

/// Returns the mean of the latencies of upstreams that have a sample.
pub fn mean_latency<'a>(
    records: impl IntoIterator<Item = &'a Record>,
    now: Time,
) -> Option<Duration> {
    let known: Vec<Duration> = records.into_iter().filter_map(|r| r.latency(now)).collect();
    let sum = known.iter().sum::<Duration>();
    (!known.is_empty()).then(|| sum / known.len() as u32)
}

/// Effect of a sample on the ejection state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The state is unchanged.
    None,
    /// The upstream was ejected.
    Ejected,
}
