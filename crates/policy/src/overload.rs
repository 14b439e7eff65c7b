//! Switches of the mechanisms for lasting overload.
//!
//! Each is off unless the settings of a deployment turn it on; without it, decisions are as if the mechanism
//! did not exist.

/// Which mechanisms are in use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Settings {
    /// Refuse calls whose nested calls would find no capacity.
    pub nested_admission: bool,
    /// Limit calls to cold upstreams by a sliding window, and divide them among kinds of calls.
    pub cold_window: bool,
    /// Grant scarce retries first where one retry completes a call.
    pub retry_priority: bool,
    /// Queue calls of entry nodes that recently got less of a service first.
    pub fair_shares: bool,
    /// Offer refused calls, and calls to other data centres, only where capacity is expected.
    pub overflow: bool,
    /// Spread the returns of refused callers over the time at which capacity is expected.
    pub paced_returns: bool,
}
