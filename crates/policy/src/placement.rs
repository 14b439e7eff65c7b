//! Load balancing at the entry node for upstreams that report slots and load.
//!
//! The upstream with the lowest cost is taken: slot utilization, scaled by slowness and failures,
//! plus costs of distance and of bytes on slow links. Calls overflow to other data centres before a
//! queue forms.

use model::time::Time;
use rand::{Rng, RngExt};
use std::time::Duration;

use crate::{health::Record, retry::Kind};

/// Cost of another data centre, in shares of the slots; covers the round trip and the traffic.
const REMOTE_COST: f64 = 0.25;

/// Cost per request byte sent within a data centre, in shares of the slots; covers the transfer time
/// on a slow link.
const DATA_CENTRE_BYTE_COST: f64 = 1.0 / 180_000.0;

/// Cost per byte sent to or returned from another data centre, in shares of the slots; a call with a
/// large answer leaves its data centre only if it would have to wait there.
const REMOTE_BYTE_COST: f64 = 1.0 / 3_000.0;

/// Upper bound of the byte cost, so that large bodies leave a data centre with long queues.
const MAX_REMOTE_BYTES_COST: f64 = 2.0;

/// Divides the byte cost for each refusal of the call.
///
/// A refusal shows that the data centre has less free capacity than reported.
const REFUSAL_DISCOUNT: f64 = 2.0;

/// Body size in bytes from which transfers on slow links are queued; smaller ones take no longer than
/// the request for a grant.
pub const LARGE_BODY_BYTES: usize = 16 * 1024;

/// Cost for each large body queued before the call's own large body, in shares of the slots.
const QUEUED_BODY_COST: f64 = 0.25;

/// Cost of an upstream that fails every call, in shares of its slots; proportional to the failure
/// share. A failed call is lost or runs twice.
const FAILURE_COST: f64 = 1.0;

/// Upper bound of the random cost, in shares of the slots, which spreads the calls of nodes with
/// the same view.
const MAX_JITTER: f64 = 0.08;

/// Slots assumed if the number is unknown.
const DEFAULT_SLOTS: usize = 8;

/// Smallest number of slots that calls can use, under a rate limit near 0.
const MIN_USABLE_SLOTS: f64 = 0.001;

/// Latency factor assumed of an upstream that is cold after its start, before its answers show it.
const COLD_FACTOR: f64 = 2.0;

/// Latency assumed of a cold upstream without a sample.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(50);

/// Location of an upstream relative to the entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Locality {
    /// On the same instance; no link is crossed.
    Instance,
    /// In the same data centre.
    DataCentre,
    /// In another data centre.
    Remote,
}

/// Warm-up state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cold {
    /// The upstream is warm.
    No,
    /// Calls take longer.
    Slow,
    /// Calls take longer and are limited to the given number per second.
    Limited(f64),
}

/// An upstream that a call can be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Observations and load reports of the upstream.
    pub record: &'a Record,
    /// Concurrent calls of the upstream; 0 if unknown.
    pub slots: usize,
    /// Location relative to the entry node.
    pub locality: Locality,
    /// Whether this call was already offered to it.
    pub tried: bool,
    /// Bytes to send to it.
    pub request_bytes: usize,
    /// Mean response size in bytes; 0 if unknown.
    pub response_bytes: usize,
    /// Warm-up state.
    pub cold: Cold,
    /// Number of upstreams that the call was offered to; nearly all of them refused it, but an
    /// unanswered first attempt of a hedged request counts too.
    pub refusals: u32,
}

/// Returns the index of the chosen candidate, or `None` if all candidates were tried.
///
/// Available upstreams come first. If all are ejected, the one whose ejection ends first is used,
/// so that a service is never without an upstream.
pub fn choose(
    candidates: &[Candidate<'_>],
    kind: Kind,
    now: Time,
    random: &mut impl Rng,
) -> Option<usize> {
    let untried: Vec<usize> = (0..candidates.len()).filter(|&i| !candidates[i].tried).collect();
    choose_among(candidates, &untried, kind, now, random)
}

/// Returns the chosen one of the candidates with the given indices; see [`choose`].
pub(crate) fn choose_among(
    candidates: &[Candidate<'_>],
    indices: &[usize],
    kind: Kind,
    now: Time,
    random: &mut impl Rng,
) -> Option<usize> {
    let indices = || indices.iter().copied();
    let available = indices().filter(|&i| candidates[i].record.accepts(kind, now));
    let mut best: Option<(f64, usize)> = None;
    for index in available {
        let jitter = random.random_range(0.0..MAX_JITTER);
        let cost = total_cost(&candidates[index], now) + jitter;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, index));
        }
    }
    let chosen = best.map(|(_, index)| index);
    chosen.or_else(|| indices().min_by_key(|&i| candidates[i].record.ejected_until()))
}

/// Slowness from which an upstream is no longer preferred for being near; above the spread of sound ones.
const MAX_SOUND_SLOWNESS: f64 = 2.0;

/// Failure share above which an upstream is no longer preferred for being near.
const MAX_SOUND_FAILURES: f64 = 0.15;

/// Returns whether an upstream is neither slow nor failing beyond what is usual.
pub(crate) fn is_sound(record: &Record, now: Time) -> bool {
    record.slowness(now) < MAX_SOUND_SLOWNESS && record.failure_share(now) <= MAX_SOUND_FAILURES
}

/// Returns the share of the slots that is expected to be free with one more call; negative if it would wait.
pub(crate) fn free_share(candidate: &Candidate<'_>, now: Time) -> f64 {
    1.0 - (candidate.record.expected_load(now) + 1.0) / usable_slots(candidate, now)
}

/// Returns the cost of the bytes sent to and returned from another data centre.
fn remote_bytes_cost(candidate: &Candidate<'_>) -> f64 {
    let bytes = (candidate.request_bytes + candidate.response_bytes) as f64;
    (bytes * REMOTE_BYTE_COST).min(MAX_REMOTE_BYTES_COST)
        / REFUSAL_DISCOUNT.powi(candidate.refusals as i32)
}

/// Returns the slots that calls can use; rate limits of the upstream bound them.
fn usable_slots(candidate: &Candidate<'_>, now: Time) -> f64 {
    let slots = if candidate.slots == 0 { DEFAULT_SLOTS } else { candidate.slots } as f64;
    let time = candidate.record.latency(now).unwrap_or(DEFAULT_CALL_TIME);
    let named = candidate.record.limit(now).map(|calls_per_s| calls_per_s * time.as_secs_f64());
    let warm_up = match candidate.cold {
        Cold::No | Cold::Slow => None,
        Cold::Limited(calls_per_s) => Some(calls_per_s * time.mul_f64(COLD_FACTOR).as_secs_f64()),
    };
    let limited = [named, warm_up].into_iter().flatten().fold(slots, f64::min);
    limited.max(MIN_USABLE_SLOTS)
}

/// Returns the cost of an upstream, in shares of its slots.
pub(crate) fn total_cost(candidate: &Candidate<'_>, now: Time) -> f64 {
    let record = candidate.record;
    let slots = usable_slots(candidate, now);
    let calls = record.expected_load(now) + 1.0;
    let slowness = record.slowness(now);
    let cold = if candidate.cold == Cold::No { 1.0 } else { COLD_FACTOR };
    let failure_share = record.failure_share(now);
    let success_share = (1.0 - failure_share).max(0.1);
    let bytes = candidate.request_bytes as f64;
    let queued_bodies = if candidate.request_bytes >= LARGE_BODY_BYTES {
        record.expected_bodies(now) * QUEUED_BODY_COST
    } else {
        0.0
    };
    let locality_cost = match candidate.locality {
        Locality::Instance => 0.0,
        Locality::DataCentre => queued_bodies + bytes * DATA_CENTRE_BYTE_COST,
        Locality::Remote => REMOTE_COST + queued_bodies + remote_bytes_cost(candidate),
    };
    calls / slots * slowness * cold / success_share + failure_share * FAILURE_COST + locality_cost
}
