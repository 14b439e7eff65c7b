//! HTTP/1.1 servers whose clients are not trusted: every listener of a node is one.
//!
//! `hyper` parses and frames. This crate bounds what it leaves open: the number of connections, the time and
//! size of each part of a request, the time in which an answer must be read, and the memory of unfinished
//! heads. A connection that waits for its client gives way to others when connections or memory are short.

pub mod body;
mod connection;
pub mod limits;
pub mod listener;
pub mod memory;
mod phase;
mod registry;
mod server;
pub mod stream;
