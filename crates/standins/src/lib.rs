//! Small stand-ins for the systems around a node: the platform, upstreams and callers.
//!
//! They exist for tests, the demo and the bench only; the product never depends on them. Each can
//! be told to misbehave, and each keeps its own record of what really happened, which is the
//! oracle of the tests.

pub mod caller;
pub mod mesh;
pub mod platform;
pub mod queueing;
pub mod script;
pub mod simulation;
pub mod upstream;
