//! What goes into the state machine and what comes out of it.

use model::config::Snapshot;
use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    message::{Request, Response},
    source::{Answer, Query},
    timeline::Kind,
    view::View,
};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes every 50 to 100 ms.
    Tick,
    /// The process did not run for the given time.
    Woke(Duration),
    /// Another node asks; the reply is among the effects.
    Asked(Request),
    /// Another node's answer to a request of this node.
    Answered(SocketAddr, Response),
    /// A request to another node failed.
    Lost(SocketAddr, Lost),
    /// The platform's answer.
    Source(Answer),
    /// Something that traffic wants remembered.
    Note(Kind),
    /// The node is to take no more work.
    Leave,
    /// The node has finished its work and stops.
    Stop,
}

/// A request that got no usable answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Lost {
    /// Which kind of request.
    pub asked: Asked,
    /// What was wrong with the answer, if there was one.
    pub malformed: Option<String>,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asked {
    /// A beat.
    Beat,
    /// A pull.
    Pull,
    /// An exchange of records.
    Sync,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request and report what comes of it.
    Send(SocketAddr, Request, Duration),
    /// Answer the request that this call of `apply` was about.
    Reply(Response),
    /// Call the platform and report what comes of it.
    Read(Query),
    /// Route by this configuration from now on.
    InForce(Arc<Snapshot>),
    /// Route to these upstreams from now on.
    View(Arc<View>),
    /// Take no more work.
    Drain,
}
