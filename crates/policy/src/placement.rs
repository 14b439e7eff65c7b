//! Choice of an upstream whose slots and load are known.
//!
//! Many entry nodes share few upstreams, so the calls that one node has in flight say little about
//! an upstream's load. Serving nodes therefore tell how many calls they hold with each answer, and
//! the entry node adds what it has sent since. The upstream with the lowest expected work is taken:
//! share of slots in use, weighed by how slow the upstream is and how often it fails. Another data
//! centre's upstream costs a fixed addition, so work stays near while there is room, and spills over
//! in proportion to room before a queue forms.

use model::time::Time;
use rand::{Rng, RngExt};
use std::time::Duration;

use crate::{health::Record, retry::Kind};

/// Addition for an upstream in another data centre, as a share of its slots.
///
/// Crossing costs bytes between data centres and about 2 ms. At a quarter, an upstream near by is
/// filled to a quarter more of its slots than one elsewhere before work goes there.
const FAR: f64 = 0.25;

/// Addition for each byte that has to be sent within a data centre.
///
/// A body of 60 KB that is sent takes a link of 5 Mbit/s a tenth of a second; beside its upstream it
/// takes none, so a third more of the slots is filled there first.
const NEAR_BYTE: f64 = 1.0 / 180_000.0;

/// Further addition for each byte that crosses to another data centre, or comes back from there.
///
/// A lookup with an answer of 5 KB fills the slots near by before it goes elsewhere: it goes there
/// when it would have to wait near by, not before.
const FAR_BYTE: f64 = 1.0 / 3_000.0;

/// Most that is added for bytes that cross. A large body goes elsewhere rather than to the end of
/// a queue that is twice as long as the slots.
const FAR_BYTES_MOST: f64 = 2.0;

/// Divides the addition for bytes with each refusal of the call for want of room.
///
/// A refusal shows that less room is near by than was thought. With seventeen upstreams in a data
/// centre, a call would otherwise be refused by four of them while others stand idle elsewhere:
/// callers of the busiest of three got 0.77 of their worth, the others 0.86 and 0.91.
const PER_REFUSAL: f64 = 2.0;

/// Bodies of at least so many bytes take turns on slow links. Smaller ones cross a link of 5 Mbit/s
/// in 25 ms, about what asking costs between data centres on a busy machine.
pub const LARGE_BODY_BYTES: usize = 16 * 1024;

/// Addition to a large body's way for each one that goes before it, in shares of the slots.
///
/// One of 60 KB takes a link of 5 Mbit/s a tenth of a second, a quarter of the time that such calls
/// take in all.
const BODY: f64 = 0.25;

/// Addition for an upstream that fails every call, in shares of its slots; in proportion for one
/// that fails a part of them.
///
/// A call that fails is lost or made twice, so others are filled up before one that fails half.
const FAILING: f64 = 1.0;

/// Random addition of at most this share of the slots, so that nodes with the same view do not
/// all send their next call to the same upstream.
const JITTER: f64 = 0.08;

/// Slots assumed of an upstream whose size is not known.
const SLOTS_GUESS: usize = 8;

/// An upstream that is slow after its start counts as this many times slower than it is.
///
/// Upstreams take about twice as long while cold; their first answers show it only after a while.
const COLD: f64 = 2.0;

/// Time of a call assumed at an upstream that has not answered one yet.
const COLD_CALL: Duration = Duration::from_millis(50);

/// Where an upstream is, as seen from the entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Locality {
    /// Beside it: nothing crosses a link.
    Instance,
    /// In the same data centre.
    DataCentre,
    /// In another data centre.
    Remote,
}

/// Whether an upstream is cold after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cold {
    /// It is not.
    No,
    /// It takes longer for its calls.
    Slow,
    /// It also takes only so many calls a second.
    Limited(f64),
}

/// An upstream that could be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What was seen and heard of it.
    pub record: &'a Record,
    /// Calls that it works on at once; 0 where that is not known.
    pub slots: usize,
    /// Where it is, as seen from the entry node.
    pub locality: Locality,
    /// Whether this call was already offered to it.
    pub tried: bool,
    /// Bytes that have to be sent to it.
    pub request_bytes: usize,
    /// Bytes that usually come back; 0 where that is not known.
    pub response_bytes: usize,
    /// Whether it is cold.
    pub cold: Cold,
    /// Upstreams that the call was offered to so far. Nearly all of them refused it for want of room;
    /// one that is silent beside a second attempt counts as well.
    pub refusals: u32,
}

/// Returns the index of the chosen candidate, or none where no untried one is left.
///
/// Upstreams in good standing come first. Where none is left, the one whose ejection ends first is
/// tried, so that ejection never empties a service.
pub fn choose(
    candidates: &[Candidate<'_>],
    kind: Kind,
    now: Time,
    random: &mut impl Rng,
) -> Option<usize> {
    let untried = || (0..candidates.len()).filter(|&i| !candidates[i].tried);
    let able = untried().filter(|&i| candidates[i].record.accepts(kind, now));
    let mut best: Option<(f64, usize)> = None;
    for index in able {
        let jitter = random.random_range(0.0..JITTER);
        let work = expected_work(&candidates[index], now) + jitter;
        if best.is_none_or(|(least, _)| work < least) {
            best = Some((work, index));
        }
    }
    let chosen = best.map(|(_, index)| index);
    chosen.or_else(|| untried().min_by_key(|&i| candidates[i].record.ejected_until()))
}

/// Returns what is added for the bytes that cross to and from another data centre.
fn far_bytes(candidate: &Candidate<'_>) -> f64 {
    let bytes = (candidate.request_bytes + candidate.response_bytes) as f64;
    (bytes * FAR_BYTE).min(FAR_BYTES_MOST) / PER_REFUSAL.powi(candidate.refusals as i32)
}

/// Returns how many slots calls can use: at a cold upstream no more than its limit of calls a second fills.
fn usable_slots(candidate: &Candidate<'_>, now: Time) -> f64 {
    let slots = if candidate.slots == 0 { SLOTS_GUESS } else { candidate.slots } as f64;
    match candidate.cold {
        Cold::No | Cold::Slow => slots,
        Cold::Limited(calls_per_s) => {
            let time = candidate.record.latency(now).unwrap_or(COLD_CALL).mul_f64(COLD);
            (calls_per_s * time.as_secs_f64()).min(slots)
        }
    }
}

/// Returns the expected work at an upstream, in shares of its slots.
fn expected_work(candidate: &Candidate<'_>, now: Time) -> f64 {
    let record = candidate.record;
    let slots = usable_slots(candidate, now);
    let held = record.expected_load(now) + 1.0;
    let slowness = record.slowness(now);
    let cold = if candidate.cold == Cold::No { 1.0 } else { COLD };
    let failing = record.failure_share(now);
    let answering = (1.0 - failing).max(0.1);
    let bytes = candidate.request_bytes as f64;
    let before = if candidate.request_bytes >= LARGE_BODY_BYTES {
        record.expected_bodies(now) * BODY
    } else {
        0.0
    };
    let way = match candidate.locality {
        Locality::Instance => 0.0,
        Locality::DataCentre => before + bytes * NEAR_BYTE,
        Locality::Remote => FAR + before + far_bytes(candidate),
    };
    held / slots * slowness * cold / answering + failing * FAILING + way
}
