//! Scheduling of large request bodies on slow links.
//!
//! A body may wait longer for its link than a call for a slot, because the links of other upstreams
//! are likely to be busy too.

use model::time::Time;
use std::time::Duration;

use crate::{client_retry::Attempt, urgency::Timing};

/// Share of the slack that the body of a first attempt may wait; the rest is for the transfer and a
/// retry.
const FIRST_SHARE: f64 = 0.5;

/// Share of the slack that the body of a retry may wait, which may be the caller's last attempt.
const RETRY_SHARE: f64 = 0.75;

/// Share of the objective that the body of a call may wait if the objective cannot be met.
const LATE_SHARE: f64 = 0.125;

/// Divides the remaining time to give the longest wait for a slot after a transfer.
const TRANSFERRED_DIVISOR: u32 = 4;

/// Link speed per concurrent transfer, in Mbit/s.
const MBPS_PER_BODY: u32 = 25;

/// Upper bound of concurrent transfers on any link.
const MAX_BODIES: usize = 32;

/// Returns the number of concurrent transfers on a link of `link_mbps`; 0 means unlimited speed.
///
/// ```
/// assert_eq!(policy::transfer::max_concurrent(5), 1);
/// ```
pub fn max_concurrent(link_mbps: u32) -> usize {
    match link_mbps {
        0 => MAX_BODIES,
        speed => (speed.div_ceil(MBPS_PER_BODY) as usize).min(MAX_BODIES),
    }
}

/// Bytes queued on a link before a small packet: about one and a half large bodies.
const QUEUED_BYTES: u64 = 96 * 1024;

/// Returns how long a small packet may wait behind large bodies on a link of `link_mbps`; 0 means
/// unlimited speed.
///
/// Connect timeouts include this delay. Without it, a healthy upstream would appear unreachable
/// while the link of the entry node receives an upload.
///
/// ```
/// assert_eq!(policy::transfer::queueing_delay(5).as_millis(), 157);
/// ```
pub fn queueing_delay(link_mbps: u32) -> Duration {
    match link_mbps {
        0 => Duration::ZERO,
        speed => Duration::from_micros(QUEUED_BYTES * 8 / u64::from(speed)),
    }
}

/// Returns the latest start of the transfer of a body.
pub fn start_by(timing: Timing) -> Time {
    let slack = timing.slack();
    let wait = match timing.attempt {
        _ if slack.is_zero() => timing.objective.mul_f64(LATE_SHARE),
        Attempt::Retry => slack.mul_f64(RETRY_SHARE),
        Attempt::First | Attempt::Early => slack.mul_f64(FIRST_SHARE),
    };
    timing.received + wait
}

/// Returns the latest start of a call after the transfer of its large body.
///
/// It was admitted before the transfer; a refusal now would waste that.
///
/// ```
/// use model::time::Time;
/// use policy::transfer::start_after_transfer;
/// let (now, deadline) = (Time::from_millis(300), Time::from_millis(1_100));
/// assert_eq!(start_after_transfer(now, deadline), Time::from_millis(500));
/// ```
pub fn start_after_transfer(now: Time, deadline: Time) -> Time {
    now + deadline.since(now) / TRANSFERRED_DIVISOR
}
