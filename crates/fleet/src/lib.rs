//! Decisions of the nodes about each other and about the configuration.
//!
//! This crate exists so that membership, the choice of readers, the spreading of versions and the
//! version fence are one state machine, [`control::Control`], that tests drive with a virtual
//! clock and without sockets. It performs no I/O, starts no threads and reads no clock; it must
//! not know HTTP or JSON-RPC. The messages in [`message`] are the protocol between nodes and the
//! events in [`timeline`] are read by operators' tools: those two modules are an API border.

pub mod catchup;
pub mod clock;
pub mod control;
pub mod directory;
pub mod dissemination;
pub mod evacuation;
pub mod fence;
pub mod listed;
pub mod member;
pub mod message;
pub mod probe;
pub mod quarantine;
pub mod roster;
pub mod source;
pub mod status;
pub mod timeline;
pub mod view;
