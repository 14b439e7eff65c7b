//! Stand-ins of the users' platform, backends and clients for the scripts of the second review.
//!
//! They speak what the users' page on the protocol describes, over loopback addresses, with threads and blocking
//! sockets. A case is a program in `src/bin`; it starts the nodes as processes with the command of the deploy file.

pub mod backend;
pub mod client;
pub mod deployment;
pub mod http;
pub mod record;
pub mod store;
