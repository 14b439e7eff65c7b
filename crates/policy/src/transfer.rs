//! When a large body may cross a slow link.
//!
//! Pattern: uploads of 60 KB go to instances whose links carry five megabits a second, a tenth of a
//! second each, and the links are in use for most of the time. Who finds a body before its own has
//! to wait for a tenth of a second, which is nothing beside an objective of a second, but more than
//! a call may wait for a slot. Turned away after that short wait, it asks elsewhere, finds the same,
//! and is refused although every link would have taken it in time.

use model::time::Time;
use std::time::Duration;

use crate::{client_retry::Attempt, urgency::Timing};

/// Part of its slack that the body of a first attempt may wait for its turn. The other half is for
/// a second attempt, for crossing and for what takes longer than usual.
const FIRST_SHARE: f64 = 0.5;

/// The same of a later attempt, which may be the caller's last.
const LATER_SHARE: f64 = 0.75;

/// Part of its objective that the body of a call may wait which can only be late.
const LATE_SHARE: f64 = 0.125;

/// Part of its time that a call may wait for a slot once its large body has crossed.
const CROSSED_SHARE: u32 = 4;

/// Speed of a link that carries one body at a time, in Mbit/s: one of 64 KB takes it 20 ms.
const MBPS_PER_BODY: u32 = 25;

/// Most bodies at a time, on any link.
const BODIES_MOST: usize = 32;

/// Returns how many bodies may cross a link of `link_mbps` at a time; 0 stands for a fast one.
///
/// ```
/// assert_eq!(policy::transfer::max_concurrent(5), 1);
/// ```
pub fn max_concurrent(link_mbps: u32) -> usize {
    match link_mbps {
        0 => BODIES_MOST,
        speed => (speed.div_ceil(MBPS_PER_BODY) as usize).min(BODIES_MOST),
    }
}

/// Bytes that may come before a small packet on a link: a body of 60 KB, and half of another.
const BACKLOG_BYTES: u64 = 96 * 1024;

/// Returns how long a small packet may wait on a link of `link_mbps` behind large bodies; 0 stands
/// for a fast one.
///
/// Who opens a connection while its own link receives an upload hears of the other side only after
/// that. At 5 Mbit/s a bound of 100 ms was passed by 250 of 8,000 calls, and each time a sound
/// upstream was taken for dead.
///
/// ```
/// assert_eq!(policy::transfer::queueing_delay(5).as_millis(), 157);
/// ```
pub fn queueing_delay(link_mbps: u32) -> Duration {
    match link_mbps {
        0 => Duration::ZERO,
        speed => Duration::from_micros(BACKLOG_BYTES * 8 / u64::from(speed)),
    }
}

/// Returns by when the body of a call must begin to cross.
pub fn start_by(clock: Timing) -> Time {
    let slack = clock.slack();
    let wait = match clock.attempt {
        _ if slack.is_zero() => clock.objective.mul_f64(LATE_SHARE),
        Attempt::Retry => slack.mul_f64(LATER_SHARE),
        Attempt::First | Attempt::Early => slack.mul_f64(FIRST_SHARE),
    };
    clock.received + wait
}

/// Returns by when a call whose large body has crossed must begin; it was found fit to be taken before,
/// and to refuse it now would waste the transfer.
///
/// ```
/// use model::time::Time;
/// use policy::transfer::start_after_transfer;
/// let (now, deadline) = (Time::from_millis(300), Time::from_millis(1_100));
/// assert_eq!(start_after_transfer(now, deadline), Time::from_millis(500));
/// ```
pub fn start_after_transfer(now: Time, deadline: Time) -> Time {
    now + deadline.since(now) / CROSSED_SHARE
}
