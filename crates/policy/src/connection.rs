//! Whether an idle pooled connection may carry a call.
//!
//! A middlebox can drop the state of an idle connection silently, and the outcome of a
//! non-idempotent call sent on it would be unknown.

use std::time::Duration;

use crate::retry::Kind;

/// What to do with a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Use {
    /// Send the call on it.
    Reuse,
    /// Close it and open a new one.
    Replace,
}

/// How many times longer a connection may be idle for idempotent calls.
const IDEMPOTENT_FACTOR: u32 = 6;

/// Decides on a connection that was `idle` for some time, given the profile's `limit`.
///
/// ```
/// use policy::connection::{Use, decide};
/// use std::time::Duration;
/// let (idle, limit) = (Duration::from_secs(6), Duration::from_secs(5));
/// assert_eq!(decide(idle, limit, policy::retry::Kind::Once), Use::Replace);
/// ```
pub fn decide(idle: Duration, limit: Duration, kind: Kind) -> Use {
    let bound = match kind {
        Kind::Once => limit,
        // A lost idempotent call is retried elsewhere, at the cost of latency only.
        Kind::Idempotent => limit * IDEMPOTENT_FACTOR,
    };
    if idle > bound { Use::Replace } else { Use::Reuse }
}
