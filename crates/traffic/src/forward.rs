//! Offers between nodes.

pub(crate) mod receiver;
pub(crate) mod sender;
