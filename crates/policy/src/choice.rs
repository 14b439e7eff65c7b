//! Power-of-two-choices load balancing at the entry node.
//!
//! Of two random upstreams, the one with less expected work (this node's calls in flight times mean
//! latency) is taken, so that slow hardware gets fewer calls than fast, and a silent upstream, whose calls
//! accumulate, hardly any; a global minimum would send all entry nodes to the same upstream.

use model::time::Time;
use rand::{Rng, RngExt};
use std::time::Duration;

use crate::{
    health::{self, Record},
    retry::Kind,
};

/// Latency assumed where no candidate has a sample.
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);

/// An upstream that a call can be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Observations of the upstream by this entry node.
    pub record: &'a Record,
    /// Whether it is in the entry node's data centre.
    pub local: bool,
    /// Whether this call was already offered to it.
    pub tried: bool,
}

/// Data centres that a call may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// The entry node's data centre.
    LocalOnly,
    /// Other data centres too, if no local upstream is available.
    Failover,
}

/// Returns the index of the chosen candidate, or `None` if all candidates were tried.
///
/// Local upstreams come before remote ones, and available ones before ejected ones. If all are
/// ejected, the one whose ejection ends first is used, so that a service is never without an
/// upstream.
pub fn choose(
    candidates: &[Candidate<'_>],
    reach: Reach,
    kind: Kind,
    slow_start: Duration,
    now: Time,
    random: &mut impl Rng,
) -> Option<usize> {
    let pools: &[bool] = match reach {
        Reach::LocalOnly => &[true],
        Reach::Failover => &[true, false],
    };
    for &local in pools {
        let available =
            indices(candidates, |c| c.local == local && !c.tried && c.record.accepts(kind, now));
        if let Some(index) = best_of_two(candidates, &available, slow_start, now, random) {
            return Some(index);
        }
    }
    for &local in pools {
        let ejected = indices(candidates, |c| c.local == local && !c.tried);
        let earliest = ejected.into_iter().min_by_key(|&i| candidates[i].record.ejected_until());
        if earliest.is_some() {
            cov_mark::hit!(choice_uses_ejected);
            return earliest;
        }
    }
    None
}

fn indices(candidates: &[Candidate<'_>], keep: impl Fn(&Candidate<'_>) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|&i| keep(&candidates[i])).collect()
}

fn best_of_two(
    candidates: &[Candidate<'_>],
    available: &[usize],
    slow_start: Duration,
    now: Time,
    random: &mut impl Rng,
) -> Option<usize> {
    if available.len() < 2 {
        return available.first().copied();
    }
    let first = random.random_range(0..available.len());
    let second = (first + random.random_range(1..available.len())) % available.len();
    // Upstreams without a sample get the mean latency of the others.
    let default_latency =
        health::mean_latency(available.iter().map(|&i| candidates[i].record), now);
    let default_latency = default_latency.unwrap_or(DEFAULT_LATENCY);
    let score = |i: usize| expected_work(candidates[i].record, default_latency, slow_start, now);
    let (a, b) = (available[first], available[second]);
    Some(if score(b) < score(a) { b } else { a })
}

fn expected_work(
    record: &Record,
    default_latency: Duration,
    slow_start: Duration,
    now: Time,
) -> f64 {
    let latency = record.latency(now).unwrap_or(default_latency).as_secs_f64();
    (record.in_flight() + 1) as f64 * latency / record.slow_start_weight(now, slow_start)
}
