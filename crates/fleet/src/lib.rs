//! Cluster membership, configuration distribution and upstream discovery.
//!
//! All of it is one deterministic state machine, [`control::Control`] or [`listed`] by discovery mode.
//! This crate performs no I/O, starts no threads, reads no clock, and knows neither HTTP nor JSON-RPC.
//! [`message`] is the protocol between nodes and [`timeline`] is read by operators' tools: both are API.

pub mod catchup;
pub mod clock;
pub mod control;
pub mod directory;
pub mod dissemination;
pub mod era;
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
