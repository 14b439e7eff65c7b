//! What goes into the state machine and what comes out of it.

use model::{config::Snapshot, request::Fingerprint};
use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    clock::{Now, Stamp},
    member::State,
    message::{Digest, Request, Response},
    quarantine::{Crash, Quarantine},
    source::{Answer, Query},
    status,
    timeline::{self, Kind},
    view::View,
};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes every 50 to 100 ms.
    Tick,
    /// The process did not run for the given time.
    Resumed(Duration),
    /// Another node asks; the reply is among the effects.
    Request(Request),
    /// Another node's answer to a request of this node.
    Response(SocketAddr, Response),
    /// A request to another node failed.
    Failed(SocketAddr, Error),
    /// Another node's summary.
    Digest(Digest),
    /// The platform's answer.
    Source(Answer),
    /// Something that traffic wants remembered.
    Note(Kind),
    /// The own upstream's process ended.
    UpstreamEnded(Crash),
    /// The own upstream answered a request that is suspected of ending upstreams.
    Cleared(Fingerprint),
    /// The node is to take no more work.
    Leave,
    /// The node has finished its work and stops.
    Stop,
}

/// A request that got no usable answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// Which kind of request.
    pub method: Method,
    /// What was wrong with the answer, if there was one.
    pub malformed: Option<String>,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// A beat.
    Heartbeat,
    /// A pull.
    Pull,
    /// An exchange of records.
    Sync,
    /// A fetch of the list of upstreams.
    Fetch,
}

impl Method {
    /// Returns the name used in metrics and events.
    pub fn name(self) -> &'static str {
        match self {
            Method::Heartbeat => "beat",
            Method::Pull => "pull",
            Method::Sync => "sync",
            Method::Fetch => "fetch",
        }
    }
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request and report what comes of it.
    Send(SocketAddr, Request, Duration),
    /// Send a summary to these nodes; nobody answers.
    Gossip(Vec<SocketAddr>, Digest),
    /// Answer the request that this call of `apply` was about.
    Reply(Response),
    /// Another revision of the configuration is the highest that this node holds or is going to.
    Expected(u64),
    /// Call the platform and report what comes of it.
    Read(Query),
    /// Route by this configuration from now on.
    InForce(Arc<Snapshot>),
    /// Route to these upstreams from now on.
    View(Arc<View>),
    /// Do not run these requests.
    Quarantine(Arc<Quarantine>),
    /// Tell callers that they may send work here.
    Open,
    /// Take no more work.
    Drain,
}

/// The control state of a node, in whichever mode it finds the others.
pub trait Machine: Send {
    /// Takes one event into account and returns what is to be done, in order.
    fn apply(&mut self, event: Event, now: Now) -> Vec<Effect>;
    /// Returns what operators are told.
    fn status(&mut self, now: Now) -> status::Node;
    /// Returns the events after `stamp`.
    fn events_after(&self, stamp: Stamp) -> Vec<timeline::Event>;
    /// Returns the highest revision of the configuration that any node was heard to hold.
    fn known_revision(&self) -> u64;
    /// Returns the number of known nodes in `state`.
    fn count(&self, state: State) -> usize;
}
