//! When a starting node calls the platform for the first time.
//!
//! A node on a slow link listens first: a running peer sends it a digest, and it has no reason to call. When
//! the whole fleet starts for the first time, upstreams register over some seconds, and a node that has called
//! cannot find most others to inform them. Nodes then draw their time from a truncated exponential
//! distribution, most of them late: the first few to call inform the others, so that the number of calls
//! depends on how long that takes and hardly on the number of nodes (feedback suppression with exponential
//! timers).

use rand::{RngExt, rngs::SmallRng};
use std::time::Duration;

/// Link speed, in Mbit/s, below which a starting node leaves the first calls to others.
///
/// Peers send the configuration compressed; the platform does not.
const SLOW_LINK_MBPS: u32 = 25;

/// How long a node on a slow link listens at least, so that nodes on fast links call first.
const SLOW_LINK_WAIT: Duration = Duration::from_millis(800);

/// Maximum jitter of a restarted node on a slow link, so that nodes without peers do not all call at once.
const RESTART_JITTER: Duration = Duration::from_millis(200);

/// Longest time that a node on a fast link listens in a first start.
const FAST_LINK_SPREAD: Duration = Duration::from_millis(250);

/// Difference between the shortest and the longest time on a slow link in a first start; longer than
/// upstreams take to register.
const SLOW_LINK_SPREAD: Duration = Duration::from_millis(6_000);

/// Natural logarithm of the number of nodes up to which the number of calls hardly grows.
const LN_MAX_NODES: f64 = 8.0;

/// Returns whether a link of `link_mbps` is slow; 0 means unknown and does not count as slow.
pub(super) fn is_slow(link_mbps: u32) -> bool {
    (1..SLOW_LINK_MBPS).contains(&link_mbps)
}

/// Whether a node starts with the whole fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Occasion {
    /// The whole fleet starts for the first time, and has no calls yet.
    FirstStart,
    /// Any other start.
    #[default]
    Restart,
}

/// Returns how long a starting node listens before its first call to the platform.
pub(super) fn listen_time(occasion: Occasion, link_mbps: u32, random: &mut SmallRng) -> Duration {
    match (occasion, is_slow(link_mbps)) {
        (Occasion::FirstStart, true) => {
            SLOW_LINK_WAIT + SLOW_LINK_SPREAD.mul_f64(late_fraction(random.random()))
        }
        (Occasion::FirstStart, false) => FAST_LINK_SPREAD.mul_f64(late_fraction(random.random())),
        (Occasion::Restart, true) => SLOW_LINK_WAIT + RESTART_JITTER.mul_f64(random.random()),
        (Occasion::Restart, false) => Duration::ZERO,
    }
}

/// Maps a uniform `sample` in 0..1 to a fraction of 0..1 whose density grows exponentially.
fn late_fraction(sample: f64) -> f64 {
    (sample * LN_MAX_NODES.exp_m1()).ln_1p() / LN_MAX_NODES
}
