//! Routes a request: its target, its schedule and the caller's earlier attempts.

pub(crate) mod client_retry;
pub(crate) mod schedule;
pub(crate) mod target;
