//! Forwarding of calls between nodes: an entry node offers a call, a serving node runs or refuses it.

pub(crate) mod receiver;
pub(crate) mod sender;
