//! Data plane: forwards calls from callers through entry and serving node to an upstream, and back.
//!
//! Applies the decisions of `policy` to sockets. It reads immutable snapshots, never blocks on the control
//! plane, and depends neither on the platform nor on control messages. Only the headers in [`wire`] are
//! a stable interface.

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
        settings::{Addressing, Settings, Tuning},
    },
    record::events::Event,
};
