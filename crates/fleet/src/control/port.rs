//! Inputs and outputs of the control state machine.

use model::{config::Snapshot, request::Fingerprint, time::Time};
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

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent every 50 to 100 ms.
    Tick,
    /// The process resumed after it did not run for the given time.
    Resumed(Duration),
    /// A request from another node; the response is among the effects.
    Request(Request),
    /// A response of the node at this address to a request of this node.
    Response(SocketAddr, Response),
    /// A request to the node at this address failed.
    Failed(SocketAddr, Error),
    /// A gossip digest from another node.
    Digest(Digest),
    /// A response of the platform.
    Source(Answer),
    /// An event of the traffic path to record in the timeline.
    Record(Kind),
    /// The process of this node's upstream crashed.
    UpstreamCrashed(Crash),
    /// This node's upstream answered a request that is suspected of crashing upstreams.
    Cleared(Fingerprint),
    /// The node is to drain: it takes no more work.
    Leave,
    /// The node has drained and stops.
    Stop,
}

/// A peer request without a usable response.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// Kind of the request.
    pub method: Method,
    /// What was wrong with the response, if there was one.
    pub malformed: Option<String>,
}

/// Kinds of peer requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Probe or announcement.
    Heartbeat,
    /// Request for the configuration.
    Pull,
    /// Anti-entropy exchange of member records.
    Sync,
    /// Request for the list of upstreams.
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

/// An output of the state machine.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request and report the response or the failure; the duration is the timeout.
    Send(SocketAddr, Request, Duration),
    /// Send a digest to these nodes, without a response.
    Gossip(Vec<SocketAddr>, Digest),
    /// Respond to the request that this call of `apply` processed.
    Reply(Response),
    /// The highest revision that this node holds or expects to hold has changed.
    Expected(u64),
    /// Call the platform and report the response.
    Read(Query),
    /// Route by this configuration.
    InForce(Arc<Snapshot>),
    /// Route to these upstreams.
    View(Arc<View>),
    /// Reject the requests in this quarantine.
    Quarantine(Arc<Quarantine>),
    /// Report this node as ready to callers.
    Open,
    /// Accept no more work.
    Drain,
}

/// The control state machine of a node, whichever way it discovers its peers.
pub trait Machine: Send {
    /// Processes one event and returns the effects to carry out, in order.
    fn apply(&mut self, event: Event, now: Now) -> Vec<Effect>;
    /// Returns the state shown to operators.
    fn status(&mut self, now: Now) -> status::Node;
    /// Returns the recorded events after `stamp`, oldest first.
    fn events_after(&self, stamp: Stamp) -> Vec<timeline::Event>;
    /// Returns the highest configuration revision known to be held by any node.
    fn known_revision(&self) -> u64;
    /// Returns the age of the platform's last answer to any node, as far as is known.
    fn contact_age(&self, now: Time) -> Option<Duration>;
    /// Returns the number of known nodes in `state`.
    fn count(&self, state: State) -> usize;
}
