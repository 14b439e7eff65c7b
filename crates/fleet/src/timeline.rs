//! Events of one node, kept in a bounded in-memory ring buffer.
//!
//! Operators read them merged over all nodes in the order of their stamps. Frequent traffic events are
//! aggregated per second, so that the buffer covers many hours.

use model::{config::Version, fault::Fault};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, net::SocketAddr};

use crate::clock::Stamp;

/// Events that a node keeps.
pub const MAX_EVENTS: usize = 2_000;

/// An event on a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// Its position in the causal order of all nodes' events.
    pub stamp: Stamp,
    /// The platform's name of the instance on which it happened.
    pub node: String,
    /// What happened.
    #[serde(flatten)]
    pub kind: Kind,
}

/// Kinds of events and their details.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Kind {
    /// The process started.
    Started {
        /// Its incarnation.
        incarnation: u64,
    },
    /// A configuration version was read from the platform.
    Read {
        /// Its revision.
        revision: u64,
    },
    /// A configuration version came into force.
    InForce {
        /// The version.
        version: Version,
        /// The peer it was pulled from; none if it came from the platform.
        from: Option<SocketAddr>,
    },
    /// A configuration version was announced to other nodes.
    Announced {
        /// Its revision.
        revision: u64,
        /// Number of nodes.
        peers: usize,
    },
    /// A configuration version failed validation; the previous one stays in force.
    Rejected {
        /// The version.
        version: Version,
        /// Validation errors.
        faults: Vec<Fault>,
    },
    /// Two versions have the same revision but different digests.
    Conflict {
        /// The version in force.
        held: Version,
        /// The other version.
        offered: Version,
    },
    /// The platform serves a revision below the one that this node holds.
    SourceStale {
        /// Its revision.
        revision: u64,
    },
    /// The platform holds an invalid value, which is skipped.
    SourceFault {
        /// The value and what is invalid about it.
        fault: Fault,
    },
    /// Calls of this node to the platform fail.
    SourceLost {
        /// The first error.
        reason: String,
    },
    /// Calls of this node to the platform succeed again.
    SourceBack,
    /// The platform's store came back from an older copy; what it lost has to be written again.
    SourceRestored {
        /// The store's era.
        era: u64,
    },
    /// A node joined, or restarted with a new incarnation.
    Joined {
        /// Its address.
        peer: SocketAddr,
    },
    /// A node did not answer a probe.
    Suspected {
        /// Its address.
        peer: SocketAddr,
    },
    /// A suspicion timed out; the node gets no work.
    Unreachable {
        /// Its address.
        peer: SocketAddr,
    },
    /// A node refuted that it is suspect or unreachable.
    Returned {
        /// Its address.
        peer: SocketAddr,
    },
    /// A node is draining.
    Leaving {
        /// Its address.
        peer: SocketAddr,
    },
    /// A node has stopped.
    Gone {
        /// Its address.
        peer: SocketAddr,
    },
    /// This process did not run for a while.
    Paused {
        /// Length of the pause, in ms.
        ms: u64,
    },
    /// A message from another node was invalid.
    BadMessage {
        /// The sender.
        peer: SocketAddr,
        /// What is invalid about it.
        reason: String,
    },
    /// Requests to a node timed out or failed. Recorded for the first, second, fourth, eighth and
    /// so on failure in a row.
    PullLost {
        /// The node.
        peer: SocketAddr,
        /// Kind of request: `pull` for the configuration, `fetch` for the list of upstreams.
        asked: String,
        /// Number of consecutive failures.
        failures: u32,
    },
    /// The platform's entry for an upstream changed.
    Upstream {
        /// Its identity.
        id: String,
        /// Its service.
        service: String,
        /// Its address.
        address: SocketAddr,
        /// What changed: `listed`, `restarted`, `leaving`, `doubted` (removal pending) or `gone`.
        change: String,
        /// Revision up to which the list is held now, within the store's era.
        revision: u64,
        /// The peer that sent the change; none if it came from the platform.
        from: Option<SocketAddr>,
    },
    /// A data centre was evacuated, or the order was withdrawn.
    Evacuation {
        /// The data centre.
        data_centre: String,
        /// Whether the order was withdrawn.
        withdrawn: bool,
        /// Revision of the order, within the store's era.
        revision: u64,
        /// The peer that sent the order; none if it came from the platform.
        from: Option<SocketAddr>,
    },
    /// The settings were reloaded.
    Reloaded {
        /// Whether a changed setting takes effect only after a restart.
        needs_restart: bool,
    },
    /// The reloaded settings are invalid; the previous ones stay in force.
    ReloadRefused {
        /// All errors with their positions.
        faults: Vec<String>,
    },
    /// Request log lines were dropped at the rate limit.
    LinesLeftOut {
        /// Number of lines.
        count: u64,
    },
    /// The node became ready to callers, or ceased to be.
    Ready {
        /// Whether it is ready.
        ready: bool,
    },
    /// Connections were closed within one second, since their clients passed a limit or places were short.
    ConnectionsClosed {
        /// The listener: `callers`, `nodes`, `calls` (of both), `ready`, `peers` or `operators`.
        listener: String,
        /// Why: `slow-head`, `empty-lines`, `framing`, `unread-answer`, `replaced` or `memory`.
        reason: String,
        /// Number of connections.
        count: u64,
    },
    /// Calls got the outcome "not run" within one second.
    NotRun {
        /// The called service.
        service: String,
        /// The cause.
        cause: String,
        /// Number of calls.
        count: u64,
    },
    /// Calls got the outcome "unknown" within one second.
    Unknown {
        /// The called service.
        service: String,
        /// Why the outcome is unknown.
        doubt: String,
        /// Number of calls.
        count: u64,
    },
    /// Calls were retried at another upstream within one second.
    Retried {
        /// The called service.
        service: String,
        /// The node of the upstream that failed.
        peer: SocketAddr,
        /// How it failed.
        reason: String,
        /// Number of calls.
        count: u64,
    },
    /// Attempts and calls counted towards a service's retry budget within one second.
    RetryBudget {
        /// The called service.
        service: String,
        /// How they counted: `granted`, `refused`, `reserved`, `returned`, `nested` or `delivered`.
        #[serde(rename = "use")]
        how: String,
        /// Number of attempts or calls.
        count: u64,
    },
    /// This node began to refuse calls whose nested calls would find no capacity, or stopped.
    NestedOverload {
        /// The service that the nested calls go to.
        service: String,
        /// Share of the calls with such nested calls that is refused; 0 if none are refused any more.
        share: f64,
    },
    /// Calls took more than half of their deadline within one second.
    Slow {
        /// The called service.
        service: String,
        /// The node of the upstream that answered.
        peer: SocketAddr,
        /// Number of calls.
        count: u64,
    },
    /// This node's upstream crashed while it ran requests.
    UpstreamEnded {
        /// The requests: fingerprint, method, host and path.
        requests: Vec<String>,
    },
    /// A report on the warm-up of this node's upstream came into force.
    UpstreamWarmUp {
        /// Its source: `list`, `evacuation` or `probe`.
        source: String,
        /// Time for which the upstream is cold by this report, in ms; 0 if it is warm.
        cold_ms: u64,
        /// Time since the previous report, in ms; none for the first one.
        since_ms: Option<u64>,
        /// Calls that this node passed to it in the last second.
        starts: usize,
    },
    /// Health probes of this node's upstream failed. Recorded for the first, second, fourth, eighth and so on
    /// failure in a row.
    UpstreamProbeFailed {
        /// Why the latest one failed.
        reason: String,
        /// Number of consecutive failures.
        failures: u32,
    },
    /// This node's upstream named a limit on its calls, changed it, or lifted it.
    UpstreamLimit {
        /// Calls per second from all nodes together; none if the limit was lifted.
        calls_per_s: Option<f64>,
    },
    /// This node's upstream said in an answer that it is leaving.
    UpstreamLeaving {
        /// Its identity.
        id: String,
    },
    /// A limit that this node's upstream named could not be parsed; the previous one stays in force.
    UpstreamLimitRefused {
        /// The value.
        value: String,
    },
    /// A request was quarantined.
    Quarantined {
        /// Its fingerprint.
        request: String,
        /// Upstreams that crashed while running it.
        ends: usize,
        /// Length of the quarantine, in s.
        seconds: u64,
    },
    /// A request was released from quarantine: an upstream answered it, or the time is over.
    Released {
        /// Its fingerprint.
        request: String,
    },
    /// Outlier ejection: an upstream gets no calls from this node for a while.
    Ejected {
        /// Its service.
        service: String,
        /// The upstream's node.
        peer: SocketAddr,
    },
}

/// The latest events of a node.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    events: VecDeque<Event>,
}

impl Ring {
    /// Adds an event; drops the oldest one at capacity.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the events after `stamp`, oldest first.
    ///
    /// ```
    /// use fleet::{clock::Stamp, timeline::Ring};
    /// assert!(Ring::default().after(Stamp::default()).is_empty());
    /// ```
    pub fn after(&self, stamp: Stamp) -> Vec<Event> {
        self.events.iter().filter(|e| e.stamp > stamp).cloned().collect()
    }
}
