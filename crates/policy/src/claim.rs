//! The claim: the last check at the serving node before the first byte goes to the upstream.
//!
//! A call lost before the claim was not run; after it, only a complete answer is proof. All reasons
//! to refuse are checked here again, on current state.
//! Source: "14. Workers", section "Admission and exact claim".

use model::time::Time;
use std::time::Duration;

use crate::outcome::Cause;

/// State of a request and its serving node at the time of the claim.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Current time.
    pub now: Time,
    /// Deadline of the call.
    pub deadline: Time,
    /// Whether the request may have been sent before a pause of this process.
    pub paused: bool,
    /// Whether the connection of the request is still open.
    pub connected: bool,
    /// Whether the upstream is leaving the fleet.
    pub leaving: bool,
    /// Whether the request is addressed to the node's current incarnation.
    pub current_incarnation: bool,
    /// Whether the upstream's data centre is evacuated by operators.
    pub evacuated: bool,
    /// Whether the request is quarantined as a poison request.
    pub quarantined: bool,
}

/// Returns the cause for which the request must not run, or `None` if it may.
///
/// ```
/// use model::time::Time;
/// use policy::{claim, outcome::Cause};
/// let conditions = claim::Conditions {
///     now: Time::from_millis(10), deadline: Time::from_millis(9),
///     paused: false, connected: true, leaving: false, current_incarnation: true,
///     evacuated: false, quarantined: false,
/// };
/// assert_eq!(claim::refusal(conditions), Some(Cause::Late));
/// ```
pub fn refusal(conditions: Conditions) -> Option<Cause> {
    if !conditions.current_incarnation {
        // The entry node has a stale view of this address: the previous incarnation may have served
        // another service or held the caller's session.
        cov_mark::hit!(claim_replaced);
        return Some(Cause::Replaced);
    }
    if conditions.quarantined {
        // The quarantine may have started while the request was on its way or in the queue.
        cov_mark::hit!(claim_quarantined);
        return Some(Cause::Quarantined);
    }
    if conditions.paused {
        // The request may be older than it seems: its caller may already have got "unknown" or
        // retried, and running it would run a payment twice.
        cov_mark::hit!(claim_paused);
        return Some(Cause::Paused);
    }
    if conditions.now >= conditions.deadline {
        cov_mark::hit!(claim_late);
        return Some(Cause::Late);
    }
    if !conditions.connected {
        // The entry node closes the connection when it abandons the call or crashes.
        cov_mark::hit!(claim_cancelled);
        return Some(Cause::Cancelled);
    }
    if conditions.leaving {
        cov_mark::hit!(claim_leaving);
        return Some(Cause::Leaving);
    }
    if conditions.evacuated {
        // The evacuation may have started while the request was on its way or in the queue.
        cov_mark::hit!(claim_evacuated);
        return Some(Cause::Evacuated);
    }
    None
}

/// Divides the remaining time to give the part that a node reserves for itself.
const RESERVE_DIVISOR: u32 = 20;

/// Upper bound of the reserved time.
const MAX_RESERVE: Duration = Duration::from_millis(50);

/// Returns the timeout to send to the next hop, given the `remaining` time of the call.
///
/// The next hop must answer or give up first, so that its refusal arrives in time and the retry
/// happens at the lowest level that can make one. The reserve is small because a call may pass many
/// services.
///
/// ```
/// use std::time::Duration;
/// let timeout = policy::claim::forwarded_timeout(Duration::from_millis(200));
/// assert_eq!(timeout.as_millis(), 190);
/// ```
pub fn forwarded_timeout(remaining: Duration) -> Duration {
    remaining - (remaining / RESERVE_DIVISOR).min(MAX_RESERVE)
}

/// Returns the deadline of a request received with `remaining_ms`, capped at `limit_ms`.
///
/// Time starts when the head of the request is read. Time on the wire is not subtracted, since each
/// hop has an earlier deadline than the previous one.
pub fn deadline(received: Time, remaining_ms: Option<u64>, limit_ms: u64) -> Time {
    let ms = remaining_ms.unwrap_or(limit_ms).min(limit_ms);
    received + Duration::from_millis(ms)
}
