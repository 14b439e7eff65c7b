//! A connection pool, and complete reception of bodies in accounted memory.

pub(crate) mod body;
pub(crate) mod pool;
