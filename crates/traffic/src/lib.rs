//! Carries calls: from callers to the entry node, on to the serving node, to the upstream and back.
//!
//! This crate exists to put the decisions of `policy` into effect on sockets. It reads immutable
//! snapshots of configuration and fleet and never waits for control state; it must not know the
//! platform or the messages between control threads. The headers in [`wire`] are an API border,
//! towards callers and between nodes; the rest is not.

mod call;
mod clock;
mod entry;
mod gate;
mod hub;
mod intake;
mod link;
mod lock;
mod net;
mod record;
mod routing;
mod serving;
mod upstream;
pub mod wire;

pub use crate::{
    clock::Clock,
    hub::{
        Hub,
        settings::{Settings, Tuning},
    },
    intake::{
        Door,
        server::{Error, Listener},
    },
    record::tally::Count,
};
