//! Streams, connections that are kept, and bodies taken in whole.

pub(crate) mod body;
pub(crate) mod pool;
pub(crate) mod stream;
