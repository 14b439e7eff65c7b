//! What a node reports about itself to operators.

use model::{config::Version, fault::Fault, profile::Profile};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

use crate::{clock::Stamp, member::State};

/// Status of one node.
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
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Product version.
    pub product: String,
    /// Its state.
    pub state: State,
    /// Configuration version in force.
    pub version: Version,
    /// Timestamp of its clock.
    pub stamp: Stamp,
    /// Configuration versions that it rejected, oldest first.
    pub rejected: Vec<Rejected>,
    /// Routes in force whose calls are refused, with the reason.
    #[serde(default)]
    pub refusing: Vec<Fault>,
    /// Rank among the readers of its data centre; the first two read the platform.
    pub reader_rank: usize,
    /// Age of the latest platform contact known in its data centre, in ms.
    pub source_age_ms: Option<u64>,
    /// Last revision that the platform served to this node, if it is below the one in force.
    pub stale_source: Option<u64>,
    /// The members it knows, including itself.
    pub members: Vec<Member>,
    /// Requests in quarantine.
    #[serde(default)]
    pub quarantined: Vec<Quarantined>,
    /// Evacuated data centres, which get no work from it.
    #[serde(default)]
    pub evacuated: Vec<Evacuation>,
}

/// An evacuated data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: String,
    /// The platform's revision of the order, packed as in [`model::revision`].
    pub revision: u64,
}

/// A request in quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantined {
    /// Its fingerprint, as in the events about it.
    pub request: String,
    /// Upstreams that crashed while running it.
    pub ends: usize,
    /// Remaining time, in s.
    pub seconds: u64,
}

/// A rejected configuration version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rejected {
    /// The version.
    pub version: Version,
    /// Validation errors.
    pub faults: Vec<Fault>,
}

/// A node as another node sees it.
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
    /// Its state.
    pub state: State,
}

/// Status of the fleet as collected by one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fleet {
    /// The queried node.
    pub node: Node,
    /// Status of the nodes that responded, including the queried one.
    pub answered: Vec<Node>,
    /// Known nodes that did not respond.
    pub silent: Vec<Member>,
}

/// How a node currently routes calls to a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: String,
    /// Whether the configuration in force contains it.
    pub known: bool,
    /// Configuration revision in force.
    pub revision: u64,
    /// The profile that applies to it.
    pub profile: Option<Profile>,
    /// Its upstreams, including those that take no work.
    pub upstreams: Vec<Candidate>,
}

/// An upstream and whether it is eligible.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Candidate {
    /// The platform's name of the instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it can be selected.
    pub eligible: bool,
    /// Why it is or is not eligible.
    pub reason: String,
    /// Calls of this node in flight to it.
    pub in_flight: usize,
    /// Mean latency of this node's calls, in ms, if any.
    pub latency_ms: Option<f64>,
}

/// Calls that a node handles and refuses, and the load of its upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Load {
    /// The platform's name of the instance.
    pub instance: String,
    /// Services that it had calls of as entry node, by name.
    pub entry: Vec<EntryLoad>,
    /// What it does as serving node.
    pub serving: ServingLoad,
}

/// Calls of one service at an entry node since its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryLoad {
    /// The service.
    pub service: String,
    /// Calls with an answer of an upstream.
    pub answered: u64,
    /// Calls that were answered as not run, by cause.
    pub refused: BTreeMap<String, u64>,
    /// Retries that the fleet's budget did not allow.
    pub retries_denied: u64,
    /// Recent share of offers of callers' calls to other data centres that were not refused for lack of capacity;
    /// 1 while `overload.overflow` is off.
    pub acceptance: f64,
    /// The same for nested calls.
    pub nested_acceptance: f64,
}

/// Load of the upstream of a serving node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServingLoad {
    /// Service of the upstream.
    pub service: String,
    /// Calls that it may run at the same time.
    pub slots: usize,
    /// Calls that it runs.
    pub busy: usize,
    /// Calls that wait for it.
    pub waiting: usize,
    /// Use of the calls that it may get while it is cold; `None` while it is warm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub starts: Option<Starts>,
    /// What the node knows of its warm-up; `None` without a report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUp>,
    /// Services that it calls for which calls are refused before they run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub nested: Vec<NestedLoad>,
}

/// The report in force on the warm-up of an upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WarmUp {
    /// Its source: `list`, `evacuation` or `probe`.
    pub source: String,
    /// Its age, in ms.
    pub age_ms: u64,
    /// Time for which the upstream is still cold, in ms; 0 if it is warm.
    pub cold_ms: u64,
}

/// Calls passed to a cold upstream.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Starts {
    /// Calls of the last second.
    pub used: usize,
    /// Limit in any second.
    pub limit: usize,
}

/// A service that an upstream calls and that is short of capacity.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NestedLoad {
    /// Name of the service.
    pub service: String,
    /// Share of the calls that need it and are refused.
    pub refused_share: f64,
}
