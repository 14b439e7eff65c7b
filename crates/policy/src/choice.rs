//! Choice of an upstream by the entry node.
//!
//! Two upstreams are drawn at random and the one with less expected work is taken ("power of two
//! choices"). The expected work is the own calls in flight times the latency seen, so that slow
//! old hardware gets fewer calls than fast, and a silent upstream, whose calls pile up, gets hardly
//! any. A global best choice would send the calls of all entry nodes to the same upstream at once.

use model::time::Time;
use rand::{Rng, RngExt};
use std::time::Duration;

use crate::{
    health::{self, Record},
    retry::Kind,
};

/// Latency assumed of an upstream that has not answered yet, when none has.
const LATENCY_GUESS: Duration = Duration::from_millis(1);

/// An upstream that could be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What was seen of it.
    pub record: &'a Record,
    /// Whether it is in the entry node's own data centre.
    pub local: bool,
    /// Whether this call was already offered to it.
    pub tried: bool,
}

/// Which upstreams of other data centres may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// None.
    LocalOnly,
    /// All, when no upstream of the own data centre is able.
    Failover,
}

/// Returns the index of the chosen candidate, or none where no untried one is left.
///
/// Own data centre before others, upstreams in good standing before ejected ones. Ejection never
/// empties a service: where every upstream is ejected, the one whose ejection ends first is tried.
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
        let able =
            indices(candidates, |c| c.local == local && !c.tried && c.record.accepts(kind, now));
        if let Some(index) = best_of_two(candidates, &able, slow_start, now, random) {
            return Some(index);
        }
    }
    for &local in pools {
        let ejected = indices(candidates, |c| c.local == local && !c.tried);
        let soonest = ejected.into_iter().min_by_key(|&i| candidates[i].record.ejected_until());
        if soonest.is_some() {
            cov_mark::hit!(choice_takes_ejected);
            return soonest;
        }
    }
    None
}

fn indices(candidates: &[Candidate<'_>], keep: impl Fn(&Candidate<'_>) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|&i| keep(&candidates[i])).collect()
}

fn best_of_two(
    candidates: &[Candidate<'_>],
    able: &[usize],
    slow_start: Duration,
    now: Time,
    random: &mut impl Rng,
) -> Option<usize> {
    if able.len() < 2 {
        return able.first().copied();
    }
    let first = random.random_range(0..able.len());
    let second = (first + random.random_range(1..able.len())) % able.len();
    // A new upstream counts as average.
    let guess = health::mean_latency(able.iter().map(|&i| candidates[i].record), now);
    let guess = guess.unwrap_or(LATENCY_GUESS);
    let score = |i: usize| expected_work(candidates[i].record, guess, slow_start, now);
    let (a, b) = (able[first], able[second]);
    Some(if score(b) < score(a) { b } else { a })
}

fn expected_work(record: &Record, guess: Duration, slow_start: Duration, now: Time) -> f64 {
    let latency = record.latency(now).unwrap_or(guess).as_secs_f64();
    (record.in_flight() + 1) as f64 * latency / record.slow_start_weight(now, slow_start)
}
