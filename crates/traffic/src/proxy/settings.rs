//! Settings of a node's traffic.

use policy::{budget, pause, share::Capacity, warmup::Excess};
use std::{net::SocketAddr, time::Duration};

use crate::wire;

/// Settings of a node's traffic.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's address for messages between nodes, by which views name it.
    pub address: SocketAddr,
    /// Incarnation of the node, which offers must name; none where the platform's list names upstreams
    /// by identities that they confirm themselves.
    pub incarnation: Option<u64>,
    /// Service of its upstream.
    pub service: String,
    /// Address of its upstream.
    pub upstream: SocketAddr,
    /// Calls that the upstream can work on at once, until the list tells it.
    pub slots: usize,
    /// Where the sequence of each split begins; random, so that nodes begin at different parts.
    pub split_offset: u64,
    /// What may change while the process runs.
    pub tuning: Tuning,
    /// Most connections from callers and other nodes.
    pub max_connections: usize,
    /// How pauses of the process are found.
    pub pause: pause::Settings,
    /// The platform's name of the instance, in log lines.
    pub instance: String,
    /// Whether requests are logged.
    pub log: bool,
    /// Speed of the instance's link, in Mbit/s; 0 where it is not known.
    pub link_mbps: u32,
    /// Names of headers.
    pub names: wire::Names,
}

/// Settings of a node's traffic that may change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Room for calls in hand.
    pub capacity: Capacity,
    /// Longest time for opening a connection.
    pub connect_timeout: Duration,
    /// Bound on repeated calls of the whole fleet; none where profiles bound each node's.
    pub budget: Option<budget::Settings>,
    /// How far calls to a cold upstream may exceed what it bears.
    pub cold_excess: Excess,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            capacity: Capacity::default(),
            connect_timeout: Duration::from_millis(250),
            budget: None,
            cold_excess: Excess::default(),
        }
    }
}

impl Default for Settings {
    /// Values for tests and tools; a node names its own addresses.
    fn default() -> Self {
        let nowhere = SocketAddr::new(std::net::Ipv4Addr::UNSPECIFIED.into(), 0);
        Settings {
            address: nowhere,
            incarnation: None,
            service: String::new(),
            upstream: nowhere,
            slots: 10,
            split_offset: 0,
            tuning: Tuning::default(),
            max_connections: 1_024,
            pause: pause::Settings::default(),
            instance: String::new(),
            log: false,
            link_mbps: 0,
            names: wire::Names::default(),
        }
    }
}
