//! TCP streams, a connection pool, and complete reception of bodies.

pub(crate) mod body;
pub(crate) mod pool;
pub(crate) mod stream;
