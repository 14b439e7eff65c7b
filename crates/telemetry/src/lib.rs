//! Logs and metrics.
//!
//! Wraps the logging and metrics libraries, so that other crates do not depend on them. The names
//! of metrics are a public API; [`metric::CATALOGUE`] lists them.

pub mod log;
pub mod metric;
