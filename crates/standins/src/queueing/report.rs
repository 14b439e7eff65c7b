//! What came of a day.

use std::time::Duration;

/// What became of the callers of one route, or of all.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Callers.
    pub callers: u64,
    /// Answered within the objective.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused at their last attempt.
    pub refused: u64,
    /// Ended without an answer in any other way.
    pub failed: u64,
    /// Of the refused, those who were refused more than once.
    pub refused_again: u64,
    /// Refusals told later than an eighth of the objective.
    pub late_refusals: u64,
    /// What all answers in time would be utility.
    pub max_utility: f64,
    /// What the answers are utility.
    pub utility: f64,
    /// Times from the first attempt to the answer.
    pub times: Vec<Duration>,
}

impl Counters {
    /// Returns the callers whose end was noted.
    pub fn ended(&self) -> u64 {
        self.in_time + self.late + self.refused + self.failed
    }

    /// Returns the share of what all answers in time would be utility; 1 where nothing is max_utility.
    pub fn utility_share(&self) -> f64 {
        if self.max_utility > 0.0 { self.utility / self.max_utility } else { 1.0 }
    }

    /// Returns the time within which the share `part` of the answers came; none without answers.
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

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// By route, callers' calls only.
    pub routes: Vec<Counters>,
    /// Arrivals at upstreams, calls of upstreams included.
    pub arrivals: u64,
    /// Arrivals that were not the first of their call.
    pub retries: u64,
}

impl Report {
    /// Returns the sum over all routes.
    pub fn total(&self) -> Counters {
        let mut total = Counters::default();
        self.routes.iter().for_each(|counters| total.add(counters));
        total
    }

    /// Returns the lowest share among routes that anything is max_utility for.
    pub fn min_utility_share(&self) -> f64 {
        let rated = self.routes.iter().filter(|counters| counters.max_utility > 0.0);
        rated.map(Counters::utility_share).fold(1.0, f64::min)
    }
}
