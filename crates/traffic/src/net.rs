//! A connection pool, complete reception of bodies in accounted memory, and the signs of their ends.

pub(crate) mod body;
pub(crate) mod framing;
pub(crate) mod pool;
