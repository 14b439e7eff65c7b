//! Data plane: forwards calls from callers through the entry node and the serving node to an
//! upstream, and returns the answers.
//!
//! Applies the decisions of `policy` to sockets. It reads immutable snapshots of configuration and
//! membership, never blocks on the control plane, and depends neither on the platform nor on control
//! messages. Only the headers in [`wire`] are a stable interface.

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
