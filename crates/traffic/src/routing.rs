//! Where a call goes, and what holds for it on the way.

pub(crate) mod client_retry;
pub(crate) mod schedule;
pub(crate) mod target;
