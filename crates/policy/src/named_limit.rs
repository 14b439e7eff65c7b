//! Rate that a serving node allows to an upstream that names a limit.
//!
//! The upstream's limit is for all nodes together. Every call to it passes its serving node, so that
//! this is where the limit is applied; shares for each entry node would exceed it where some nodes do
//! not know of it, and would leave most nodes without a single call under a low limit.

use crate::bucket::Rate;
use std::time::Duration;

/// Time in which an unused limit accumulates a burst.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Calls per second to an upstream that accepts fewer: only an answer shows that a limit was raised or
/// lifted.
const MIN_RATE: f64 = 0.25;

/// Returns the rate for a limit of `calls_per_s`.
///
/// ```
/// use policy::named_limit::rate;
/// assert_eq!((rate(40.0).per_s, rate(40.0).burst), (40.0, 10.0));
/// assert_eq!((rate(0.0).per_s, rate(0.0).burst), (0.25, 1.0));
/// ```
pub fn rate(calls_per_s: f64) -> Rate {
    let per_s = calls_per_s.max(MIN_RATE);
    // A bucket that never holds a whole token would admit nothing.
    Rate { per_s, burst: (per_s * BURST_TIME.as_secs_f64()).max(1.0) }
}
