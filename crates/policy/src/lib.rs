//! Decisions about one call: admission, claim, choice of upstream, retry and outcome.
//!
//! Pure functions and small state machines that tests drive with a virtual clock. This crate
//! performs no I/O, starts no threads and reads no clock; it must not depend on HTTP, sockets or
//! the peer protocol. It is not an API boundary.

pub mod admission;
pub mod bucket;
pub mod budget;
pub mod choice;
pub mod claim;
pub mod client_retry;
pub mod connection;
pub mod drain;
pub mod fairness;
pub mod health;
pub mod latency;
pub mod named_limit;
pub mod nested;
pub mod outcome;
pub mod overflow;
pub mod overload;
pub mod pause;
pub mod placement;
pub mod retry;
pub mod share;
pub mod split;
pub mod suspects;
pub mod transfer;
pub mod urgency;
pub mod warmup;
