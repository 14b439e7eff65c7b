//! Offers between nodes.

pub(crate) mod offer;
