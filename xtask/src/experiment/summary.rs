//! Means and confidence intervals over several seeds.

use serde_json::{Value, json};
use standins::queueing::{Counters, Report};

/// A mean and the half width of its 95% confidence interval, which is NaN for a single sample.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pub(super) mean: f64,
    pub(super) margin: f64,
}

/// Results of a strategy in a scene.
#[derive(Clone, Debug)]
pub(super) struct Summary {
    pub(super) scene: &'static str,
    pub(super) strategy: &'static str,
    /// Utility as a share of the maximum, which is reached if every caller gets an answer in time.
    pub(super) earned: Estimate,
    /// The lowest utility share of any route.
    pub(super) worst: Estimate,
    /// Share of callers whose answer was late.
    pub(super) late: Estimate,
    /// Share of callers that were refused at their last attempt.
    pub(super) refused: Estimate,
    /// Share of callers that were refused at their last attempt and at an earlier one.
    pub(super) refused_again: Estimate,
    /// Share of callers without an answer, apart from those refused.
    pub(super) failed: Estimate,
    /// 99th percentile of the time to an answer, in ms.
    pub(super) p99_ms: Estimate,
    /// Arrivals of later attempts as a share of all arrivals.
    pub(super) repeats: Estimate,
}

impl Summary {
    pub(super) fn of(scene: &'static str, strategy: &'static str, reports: &[Report]) -> Self {
        let totals: Vec<Counters> = reports.iter().map(Report::total).collect();
        let share = |pick: fn(&Counters) -> u64| {
            estimate(totals.iter().map(|t| pick(t) as f64 / t.callers.max(1) as f64).collect())
        };
        let p99 = |t: &Counters| t.quantile(0.99).map_or(f64::NAN, |time| time.as_secs_f64() * 1e3);
        let repeats = |r: &Report| r.retries as f64 / r.arrivals.max(1) as f64;
        Summary {
            scene,
            strategy,
            earned: estimate(totals.iter().map(Counters::utility_share).collect()),
            worst: estimate(reports.iter().map(Report::min_utility_share).collect()),
            late: share(|t| t.late),
            refused: share(|t| t.refused),
            refused_again: share(|t| t.refused_again),
            failed: share(|t| t.failed),
            p99_ms: estimate(totals.iter().map(p99).collect()),
            repeats: estimate(reports.iter().map(repeats).collect()),
        }
    }

    /// Returns one JSON line; a number that does not exist is `null`.
    pub(super) fn to_json(&self, nodes: usize, seeds: u64) -> Value {
        let value =
            |estimate: Estimate| json!({ "mean": estimate.mean, "margin95": estimate.margin });
        json!({
            "measure": "experiment",
            "scene": self.scene,
            "way": self.strategy,
            "nodes": nodes,
            "trials": seeds,
            "earned": value(self.earned),
            "worst_route": value(self.worst),
            "late": value(self.late),
            "refused": value(self.refused),
            "refused_again": value(self.refused_again),
            "failed": value(self.failed),
            "p99_ms": value(self.p99_ms),
            "repeats": value(self.repeats),
        })
    }
}

fn estimate(samples: Vec<f64>) -> Estimate {
    let count = samples.len() as f64;
    let mean = samples.iter().sum::<f64>() / count;
    if samples.len() < 2 {
        return Estimate { mean, margin: f64::NAN };
    }
    let variance = samples.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / (count - 1.0);
    Estimate { mean, margin: t_quantile(samples.len() - 1) * (variance / count).sqrt() }
}

/// Returns the 97.5% quantile of Student's t-distribution; from 30 degrees of freedom on, that of the
/// normal distribution.
fn t_quantile(degrees_of_freedom: usize) -> f64 {
    const TABLE: [f64; 10] =
        [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];
    match degrees_of_freedom {
        1..=10 => TABLE[degrees_of_freedom - 1],
        11..=20 => 2.131,
        21..=29 => 2.064,
        _ => 1.960,
    }
}
