//! Carries calls: from callers to the entry node, on to the serving node, to the upstream and back.
//!
//! This crate exists to put the decisions of `policy` into effect on sockets. It reads immutable
//! snapshots of configuration and fleet and never waits for control state; it must not know the
//! platform or the messages between control threads. The headers in [`wire`] are an API border,
//! towards callers and between nodes; the rest is not.

mod admission;
mod call;
mod clock;
mod entry;
mod forward;
mod intake;
mod lock;
mod net;
mod proxy;
mod record;
mod routing;
mod serving;
mod upstream;
pub mod wire;

pub use crate::{
    clock::Clock,
    intake::{
        Audience,
        server::{Error, Listener},
    },
    proxy::{
        Proxy,
        settings::{Settings, Tuning},
    },
    record::events::Event,
};
