//! Events of one node, kept in a bounded ring.
//!
//! Operators read them after the fact, merged over all nodes in the order of their stamps. Nothing
//! is written to disk, so the ring must hold the night: repeated events of traffic are counted
//! over a second before they get here.

use model::{config::Version, fault::Fault};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, net::SocketAddr};

use crate::clock::Stamp;

/// Events that a node keeps.
pub const RING_LIMIT: usize = 2_000;

/// Something that happened on a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// When, in the causal order of all nodes.
    pub stamp: Stamp,
    /// The platform's name of the instance it happened on.
    pub node: String,
    /// What.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Kind {
    /// The process began.
    Started {
        /// Its life.
        incarnation: u64,
    },
    /// A version was read from the platform.
    Read {
        /// Its revision.
        revision: u64,
    },
    /// A version came into force.
    InForce {
        /// Which.
        version: Version,
        /// The node it was pulled from; none for the platform.
        from: Option<SocketAddr>,
    },
    /// A version was announced to other nodes.
    Announced {
        /// Its revision.
        revision: u64,
        /// To how many.
        peers: usize,
    },
    /// A version was refused; the former one stays in force.
    Rejected {
        /// Which.
        version: Version,
        /// Why.
        faults: Vec<Fault>,
    },
    /// Two different contents were seen under one revision.
    Conflict {
        /// The version in force.
        held: Version,
        /// The other one.
        offered: Version,
    },
    /// The platform serves a revision older than the one in force.
    SourceStale {
        /// Its revision.
        revision: u64,
    },
    /// The platform holds a value that makes no sense; it is passed over.
    SourceFault {
        /// Which, and what is wrong with it.
        fault: Fault,
    },
    /// The platform does not answer this node.
    SourceLost {
        /// Why.
        reason: String,
    },
    /// The platform answers this node again.
    SourceBack,
    /// A node became known, or began a new life.
    Joined {
        /// Which.
        peer: SocketAddr,
    },
    /// A node did not answer a probe.
    Suspected {
        /// Which.
        peer: SocketAddr,
    },
    /// A node is out of reach and gets no work.
    Unreachable {
        /// Which.
        peer: SocketAddr,
    },
    /// A node that was out of reach speaks again.
    Returned {
        /// Which.
        peer: SocketAddr,
    },
    /// A node takes no more work.
    Leaving {
        /// Which.
        peer: SocketAddr,
    },
    /// A node has stopped.
    Gone {
        /// Which.
        peer: SocketAddr,
    },
    /// This process did not run for a while.
    Paused {
        /// For how long.
        ms: u64,
    },
    /// A message between nodes could not be used.
    BadMessage {
        /// Who sent it.
        peer: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// Another node did not answer a pull in time. In a row of failures the first, second, fourth,
    /// eighth and so on are told.
    PullLost {
        /// Who was asked.
        peer: SocketAddr,
        /// What it was asked: `pull` for the configuration, `fetch` for the list.
        asked: String,
        /// Failures in a row.
        failures: u32,
    },
    /// The platform's list changed about an upstream.
    Upstream {
        /// Its identity.
        id: String,
        /// Its service.
        service: String,
        /// Its address.
        address: SocketAddr,
        /// What changed: `listed`, `restarted`, `leaving`, `doubted` or `gone`.
        change: String,
        /// Revision up to which the list is held now.
        revision: u64,
        /// The node that told it; none for the platform.
        from: Option<SocketAddr>,
    },
    /// Operators had a data centre evacuated, or took it back.
    Evacuation {
        /// Which data centre.
        data_centre: String,
        /// Whether work may go there again.
        withdrawn: bool,
        /// Revision of the order.
        revision: u64,
        /// The node that told it; none for the platform.
        from: Option<SocketAddr>,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether something changed that only a restart brings into force.
        needs_restart: bool,
    },
    /// The settings were read again and cannot be used; the former ones stay in force.
    ReloadRefused {
        /// Every fault with its place.
        faults: Vec<String>,
    },
    /// Lines about requests were left out of the log, which was over its bound.
    LinesLeftOut {
        /// How many.
        count: u64,
    },
    /// The node began or ceased to tell callers that it takes work.
    Ready {
        /// Whether it takes work.
        ready: bool,
    },
    /// Calls were answered "not run" within the last second.
    NotRun {
        /// The called service.
        service: String,
        /// The cause.
        cause: String,
        /// How many.
        count: u64,
    },
    /// Calls were answered "unknown" within the last second.
    Unknown {
        /// The called service.
        service: String,
        /// The doubt.
        doubt: String,
        /// How many.
        count: u64,
    },
    /// Calls were offered to a further upstream within the last second.
    Retried {
        /// The called service.
        service: String,
        /// The node of the upstream that failed before.
        peer: SocketAddr,
        /// How it failed.
        reason: String,
        /// How many.
        count: u64,
    },
    /// Answers took more than half of the time for their calls within the last second.
    Slow {
        /// The called service.
        service: String,
        /// The node of the upstream that answered.
        peer: SocketAddr,
        /// How many.
        count: u64,
    },
    /// The own upstream's process ended while it ran requests.
    UpstreamEnded {
        /// What ran: the fingerprint of each request, method, host and path.
        requests: Vec<String>,
    },
    /// A request is not run for a while, since upstreams ended under it.
    Quarantined {
        /// Its fingerprint.
        request: String,
        /// How many upstreams.
        ends: usize,
        /// For how long, in s.
        seconds: u64,
    },
    /// A request may run again: an upstream answered it, or its time is over.
    Released {
        /// Its fingerprint.
        request: String,
    },
    /// An upstream gets no calls from this node for a while.
    Ejected {
        /// Its service.
        service: String,
        /// Its node.
        peer: SocketAddr,
    },
}

/// The latest events of a node.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    events: VecDeque<Event>,
}

impl Ring {
    /// Adds an event and drops the oldest one beyond the bound.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == RING_LIMIT {
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
