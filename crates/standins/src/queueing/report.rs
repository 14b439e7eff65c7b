//! Results of a run.

use std::time::Duration;

/// Outcome counters of the callers of one route, or of all routes.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Callers that started.
    pub callers: u64,
    /// Answered within the objective.
    pub in_time: u64,
    /// Answered after the objective.
    pub late: u64,
    /// Refused at their last attempt.
    pub refused: u64,
    /// Ended without an answer other than by a refusal.
    pub failed: u64,
    /// The part of `refused` that was refused more than once.
    pub refused_again: u64,
    /// Refusals received later than an eighth of the objective after the attempt.
    pub late_refusals: u64,
    /// Utility if every caller had been answered in time.
    pub max_utility: f64,
    /// Utility of the answers.
    pub utility: f64,
    /// Latencies of the answers, from the first attempt.
    pub times: Vec<Duration>,
}

impl Counters {
    /// Returns the number of callers with an outcome.
    pub fn ended(&self) -> u64 {
        self.in_time + self.late + self.refused + self.failed
    }

    /// Returns the utility as a share of the maximum, 1 if that is zero.
    pub fn utility_share(&self) -> f64 {
        if self.max_utility > 0.0 { self.utility / self.max_utility } else { 1.0 }
    }

    /// Returns the latency quantile for `share` from 0 to 1, or `None` without answers.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let mut times = self.times.clone();
        times.sort_unstable();
        let index = (times.len() as f64 * share) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied()
    }

    fn add(&mut self, other: &Counters) {
        self.callers += other.callers;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.refused_again += other.refused_again;
        self.late_refusals += other.late_refusals;
        self.max_utility += other.max_utility;
        self.utility += other.utility;
        self.times.extend(&other.times);
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Counters by route; nested calls are not counted.
    pub routes: Vec<Counters>,
    /// Requests that upstreams began to run, including nested calls.
    pub arrivals: u64,
    /// The part of `arrivals` that was not the first of its call: retries and hedged requests.
    pub retries: u64,
}

impl Report {
    /// Returns the counters summed over all routes.
    pub fn total(&self) -> Counters {
        let mut total = Counters::default();
        self.routes.iter().for_each(|counters| total.add(counters));
        total
    }

    /// Returns the lowest utility share among routes with utility, 1 without such a route.
    pub fn min_utility_share(&self) -> f64 {
        let rated = self.routes.iter().filter(|counters| counters.max_utility > 0.0);
        rated.map(Counters::utility_share).fold(1.0, f64::min)
    }
}
