//! Configuration documents, their validation, and the snapshots built from them.
//!
//! The node and `baobabctl check` share this crate, so both validate documents alike. It performs
//! no I/O and reads no clock. Its types are used by every other crate.

pub mod arena;
pub mod config;
pub mod document;
pub mod fault;
pub mod json;
pub mod limits;
pub mod profile;
pub mod read;
pub mod request;
pub mod revision;
pub mod route;
pub mod service;
mod table;
pub mod time;
