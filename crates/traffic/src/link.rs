//! Offers between nodes.

pub(crate) mod arrival;
pub(crate) mod offer;
