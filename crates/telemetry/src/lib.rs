//! Logs and metrics.
//!
//! This crate exists so that the other crates name what they count and log, and only this one
//! knows the libraries that carry it. It is not an API border; the names of metrics are, and they
//! are listed in [`metric::CATALOGUE`].

pub mod log;
pub mod metric;
