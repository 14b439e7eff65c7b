//! Test doubles for the systems around a node: the platform, upstreams and callers.
//!
//! For tests, the demo and benchmarks only. Each double can inject faults and records what it
//! actually did, so that tests can check a node's answers against that record.

pub mod caller;
pub mod mesh;
pub mod platform;
pub mod queueing;
pub mod script;
pub mod simulation;
pub mod upstream;
