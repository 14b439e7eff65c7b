//! The claim: the last decision before the first byte goes to the upstream.
//!
//! Before the claim a lost call was provably not run; after it, only a whole answer tells. All
//! reasons to refuse are therefore checked here, together, on the facts of this moment, whatever
//! was checked when the request arrived. The idea of one fenced point after which a stale delivery
//! cannot start work is that of "14. Workers", section "Admission and exact claim".

use model::time::Time;
use std::time::Duration;

use crate::outcome::Cause;

/// What the serving node knows about a request at the moment of its claim.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// The moment of the decision.
    pub now: Time,
    /// When the time for the call is over.
    pub deadline: Time,
    /// Whether the node was stopped between the request's sending and now, as far as it can tell.
    pub paused: bool,
    /// Whether the connection that the request came on is still open.
    pub connected: bool,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Whether the request was meant for this life of the node.
    pub current_incarnation: bool,
    /// Whether operators had the upstream's data centre evacuated.
    pub evacuated: bool,
    /// Whether upstreams ended under such requests, so that it must not run.
    pub quarantined: bool,
}

/// Returns why the request may not be run, or nothing where it may.
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
        // An entry node that still believes in the previous life of this address would otherwise
        // reach an upstream of another service, or one that has forgotten the caller's session.
        cov_mark::hit!(claim_replaced);
        return Some(Cause::Replaced);
    }
    if conditions.quarantined {
        // The entry node may not have heard of it, or heard while the request waited here for a slot.
        cov_mark::hit!(claim_quarantined);
        return Some(Cause::Quarantined);
    }
    if conditions.paused {
        // A request read after a pause may have been given up on long ago; its caller was told
        // "unknown" or has retried. Running it now would run a payment a second time.
        cov_mark::hit!(claim_paused);
        return Some(Cause::Paused);
    }
    if conditions.now >= conditions.deadline {
        cov_mark::hit!(claim_late);
        return Some(Cause::Late);
    }
    if !conditions.connected {
        // The offering side closes its connection when it gives up or dies.
        cov_mark::hit!(claim_cancelled);
        return Some(Cause::Cancelled);
    }
    if conditions.leaving {
        cov_mark::hit!(claim_leaving);
        return Some(Cause::Leaving);
    }
    if conditions.evacuated {
        // The entry node may not have heard of the order, or heard while the request waited here.
        cov_mark::hit!(claim_evacuated);
        return Some(Cause::Evacuated);
    }
    None
}

/// Share of the remaining time that a node keeps for itself when it passes a call on.
const RESERVE_SHARE: u32 = 20;

/// Most time that a node keeps for itself.
const RESERVE_MOST: Duration = Duration::from_millis(50);

/// Returns the time that the next one down is told, of the `remaining` time for a call.
///
/// The next one must answer, or give up, before this one does: then its word ("late", "not run")
/// arrives, and a retry is made at the lowest level that can make one. The reserve is small, since
/// a call may pass 27 services.
///
/// ```
/// use std::time::Duration;
/// let told = policy::claim::forwarded_timeout(Duration::from_millis(200));
/// assert_eq!(told.as_millis(), 190);
/// ```
pub fn forwarded_timeout(remaining: Duration) -> Duration {
    remaining - (remaining / RESERVE_SHARE).min(RESERVE_MOST)
}

/// Returns the time of the deadline that arrives as `remaining` milliseconds, cut to `limit_ms`.
///
/// The receiver's clock starts when the request's head is read. Time spent on the wire is not
/// subtracted; each node answers within its own deadline, which lies before that of the sender.
pub fn deadline(received: Time, remaining_ms: Option<u64>, limit_ms: u64) -> Time {
    let ms = remaining_ms.unwrap_or(limit_ms).min(limit_ms);
    received + Duration::from_millis(ms)
}
