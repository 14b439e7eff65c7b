//! Settings of the data plane of a node.

use model::config::Snapshot;
use policy::{budget, overload, pause, share::Capacity, warmup::Excess};
use std::{net::SocketAddr, time::Duration};

use crate::wire;

/// Settings of the data plane of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's address for messages between peers, which identifies it in views.
    pub address: SocketAddr,
    /// Incarnation of the node, which offers must name; `None` if the platform's list identifies
    /// upstreams, which then confirm their identities themselves.
    pub incarnation: Option<u64>,
    /// Service of the colocated upstream.
    pub service: String,
    /// Address of the colocated upstream.
    pub upstream: SocketAddr,
    /// How requests of callers name what they are for.
    pub addressing: Addressing,
    /// Concurrency limit of the upstream, until the list gives one.
    pub slots: usize,
    /// Start of each route's split sequence; random, so that nodes start at different targets.
    pub split_offset: u64,
    /// Settings that may change at run time.
    pub tuning: Tuning,
    /// Maximum number of connections from callers, and from other nodes where they share a listener.
    pub max_connections: usize,
    /// Maximum number of connections to the listener of other nodes.
    pub max_node_connections: usize,
    /// Maximum number of connections to the listener of readiness probes.
    pub max_probe_connections: usize,
    /// Maximum number of connections to other nodes and to the upstream.
    pub max_outgoing_connections: usize,
    /// Time limit for callers and other nodes to read an answer.
    pub answer_timeout: Duration,
    /// Settings of the pause detector.
    pub pause: pause::Settings,
    /// The platform's name of the instance, for log lines.
    pub instance: String,
    /// Whether requests are logged.
    pub log: bool,
    /// Speed of the instance's link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Configurable header names.
    pub names: wire::Names,
}

/// How requests of callers name what they are for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Addressing {
    /// By the name of a service, in a header or the path; by route while the configuration has routes.
    #[default]
    Service,
    /// By route only, also in a configuration without routes, which then serves no request.
    Route,
}

impl Addressing {
    /// Returns whether requests are matched with the routes of `config`.
    pub(crate) fn uses_routes(self, config: &Snapshot) -> bool {
        match self {
            Addressing::Service => config.has_routes(),
            Addressing::Route => true,
        }
    }
}

/// Settings of the data plane that may change at run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Limits on calls and body bytes in flight.
    pub capacity: Capacity,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Retry budget of the whole fleet; `None` if profiles limit the retries of each node.
    pub budget: Option<budget::Settings>,
    /// Tolerated excess over the warm-up limit of a cold upstream.
    pub cold_excess: Excess,
    /// Mechanisms for lasting overload.
    pub overload: overload::Settings,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            capacity: Capacity::default(),
            connect_timeout: Duration::from_millis(250),
            budget: None,
            cold_excess: Excess::default(),
            overload: overload::Settings::default(),
        }
    }
}

impl Default for Settings {
    /// Returns settings for tests and tools, without addresses.
    fn default() -> Self {
        let nowhere = SocketAddr::new(std::net::Ipv4Addr::UNSPECIFIED.into(), 0);
        Settings {
            address: nowhere,
            incarnation: None,
            service: String::new(),
            upstream: nowhere,
            addressing: Addressing::default(),
            slots: 10,
            split_offset: 0,
            tuning: Tuning::default(),
            max_connections: 1_024,
            max_node_connections: 1_024,
            max_probe_connections: 64,
            max_outgoing_connections: 2_048,
            answer_timeout: Duration::from_secs(60),
            pause: pause::Settings::default(),
            instance: String::new(),
            log: false,
            link_mbps: 0,
            names: wire::Names::default(),
        }
    }
}
