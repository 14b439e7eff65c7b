//! What a node tells operators about itself.

use model::{config::Version, fault::Fault, profile::Profile};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::{clock::Stamp, member::State};

/// State of one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Node {
    /// The platform's name of the instance.
    pub instance: String,
    /// Address for messages between nodes.
    pub address: SocketAddr,
    /// Service of its upstream.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Life of the process.
    pub incarnation: u64,
    /// Product version.
    pub product: String,
    /// Its own standing.
    pub state: State,
    /// Version in force.
    pub version: Version,
    /// Its clock.
    pub stamp: Stamp,
    /// Versions it refused, oldest first.
    pub rejected: Vec<Rejected>,
    /// Place in the order of the data centre's readers; the first two read the platform.
    pub reader_rank: usize,
    /// Age of the freshest contact with the platform known in its data centre, in ms.
    pub source_age_ms: Option<u64>,
    /// Revision that the platform served last to this node, if that was below the one in force.
    pub stale_source: Option<u64>,
    /// The nodes it knows, itself included.
    pub members: Vec<Member>,
    /// Requests that it does not run, since upstreams ended under them.
    #[serde(default)]
    pub quarantined: Vec<Quarantined>,
    /// Data centres to which it sends no work, since operators had them evacuated.
    #[serde(default)]
    pub evacuated: Vec<Evacuation>,
}

/// A data centre that operators had evacuated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Which.
    pub data_centre: String,
    /// The platform's revision of the order.
    pub revision: u64,
}

/// A request that is not run for a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantined {
    /// Its fingerprint, as in the events about it.
    pub request: String,
    /// Upstreams that ended under it.
    pub ends: usize,
    /// For how much longer, in s.
    pub seconds: u64,
}

/// A refused version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rejected {
    /// Which.
    pub version: Version,
    /// Why.
    pub faults: Vec<Fault>,
}

/// A node as another one sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    /// The platform's name of the instance.
    pub instance: String,
    /// Address for messages between nodes.
    pub address: SocketAddr,
    /// Service of its upstream.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its standing.
    pub state: State,
}

/// State of a fleet as one node could gather it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fleet {
    /// The asked node.
    pub node: Node,
    /// Nodes that answered, the asked one included.
    pub answered: Vec<Node>,
    /// Known nodes that did not answer.
    pub silent: Vec<Member>,
}

/// How a node would route calls to a service now.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: String,
    /// Whether it is in the version in force.
    pub known: bool,
    /// Revision in force.
    pub revision: u64,
    /// The profile it follows.
    pub profile: Option<Profile>,
    /// Its upstreams, those that take no work included.
    pub upstreams: Vec<Candidate>,
}

/// An upstream and why it is or is not eligible.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Candidate {
    /// The platform's name of the instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it may be chosen.
    pub eligible: bool,
    /// Why, or why not.
    pub reason: String,
    /// Own calls on their way to it.
    pub in_flight: usize,
    /// Average latency of own calls, in ms, if any.
    pub latency_ms: Option<f64>,
}
