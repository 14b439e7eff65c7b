//! What the own upstream and its link are busy with: slots, turns of large bodies, running work.
//!
//! Nothing here knows a call; tasks wait, hold and give back.

pub(crate) mod running;
pub(crate) mod semaphore;
pub(crate) mod transfer;
