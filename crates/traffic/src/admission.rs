//! Admission to this node's upstream and link: a semaphore with a priority queue, scheduling of large
//! body transfers, and a registry of the requests that the upstream is processing.

pub(crate) mod running;
pub(crate) mod semaphore;
pub(crate) mod transfer;
