//! Settings of a node, read from a JSON file and validated as a whole.

mod fields;

use fleet::listed::{joining::Occasion, rounds::MAX_FULL_MESH};
use model::{
    fault::Fault,
    json,
    read::{self, Object},
};
use policy::{budget, overload, share::Capacity, warmup::Excess};
use std::{net::SocketAddr, time::Duration};
use traffic::{
    Addressing,
    wire::{HeaderName, Names, Precision},
};

/// Settings of a node, with defaults for the optional ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The platform's name of the instance.
    pub instance: String,
    /// Service of this node's upstream.
    pub service: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// This node's upstream.
    pub upstream: Upstream,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Seed nodes that a starting node contacts first; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Worker threads that proxy calls.
    pub traffic_threads: usize,
    /// Limits on calls in flight and their body bytes.
    pub capacity: Capacity,
    /// Limit on connections of callers, and of other nodes where they share a listener.
    pub max_connections: usize,
    /// Limit on connections to the listener of other nodes.
    pub max_node_connections: usize,
    /// Limit on connections to the listener of readiness probes.
    pub max_probe_connections: usize,
    /// Limit on connections of other nodes to the address for messages between nodes.
    pub max_peer_connections: usize,
    /// Limit on connections to the operators' HTTP endpoint.
    pub max_operator_connections: usize,
    /// Limit on connections to other nodes and to the upstream.
    pub max_outgoing_connections: usize,
    /// Time limit for callers and other nodes to read an answer.
    pub answer_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How new versions of the configuration are disseminated.
    pub dissemination: Dissemination,
    /// Whether events are logged, as JSON lines on standard output.
    pub log: bool,
    /// How upstreams and other nodes are discovered.
    pub discovery: Discovery,
    /// How requests of callers name what they are for.
    pub addressing: Addressing,
    /// Names of the headers exchanged with callers and upstreams.
    pub names: Names,
    /// Retry budget of the whole fleet; `None` leaves it to the profiles.
    pub retry_budget: Option<budget::Settings>,
    /// How far calls to a cold upstream may exceed the rate in its service's configuration.
    pub cold_excess: Excess,
    /// Mechanisms for lasting overload.
    pub overload: overload::Settings,
    /// Largest number of other nodes that all gossip with each other, in list mode.
    pub full_mesh: usize,
    /// Whether the whole fleet starts for the first time.
    pub occasion: Occasion,
    /// Durations of a planned stop.
    pub stop: Stop,
    /// Speed of the instance's network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

/// How upstreams and other nodes are discovered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Discovery {
    /// From the records that nodes gossip about themselves.
    Gossip,
    /// From the platform's list of upstreams; a node listens on the IP address of its upstream.
    List,
}

/// Durations of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// How long a stopping node still accepts calls while its readiness probe already fails; callers
    /// stop sending calls only after failed probes.
    pub linger: Duration,
    /// Time at the end of the stop that is reserved for calls in flight; new calls are refused.
    pub finish: Duration,
    /// Upper bound of the whole stop, from its signal to the end of the process.
    pub limit: Duration,
}

impl Default for Stop {
    fn default() -> Self {
        Stop {
            linger: Duration::ZERO,
            finish: Duration::from_secs(2),
            limit: Duration::from_secs(600),
        }
    }
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For calls; only for those of callers if `nodes` is set.
    pub traffic: SocketAddr,
    /// For calls of other nodes, if separate from `traffic`.
    pub nodes: Option<SocketAddr>,
    /// For readiness probes, if enabled.
    pub ready: Option<SocketAddr>,
    /// For messages between nodes.
    pub peers: SocketAddr,
    /// For the operators' HTTP endpoint.
    pub operators: SocketAddr,
}

/// The upstream that a node serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Concurrency limit, in calls.
    pub slots: usize,
}

/// How new versions of the configuration are disseminated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dissemination {
    /// Announced to random nodes.
    Epidemic,
    /// Announced along a tree of nodes.
    Tree,
    /// Not announced; other nodes pull.
    Pull,
}

pub use self::fields::{FIELDS, Field};

const DISSEMINATIONS: [(&str, Dissemination); 3] = [
    ("epidemic", Dissemination::Epidemic),
    ("tree", Dissemination::Tree),
    ("pull", Dissemination::Pull),
];

/// Stands for a missing or malformed address, which is reported as a fault.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instance: String::new(),
            service: String::new(),
            data_centre: String::new(),
            listen: Listen {
                traffic: PLACEHOLDER_ADDRESS,
                nodes: None,
                ready: None,
                peers: PLACEHOLDER_ADDRESS,
                operators: PLACEHOLDER_ADDRESS,
            },
            upstream: Upstream { address: PLACEHOLDER_ADDRESS, slots: 10 },
            platform: PLACEHOLDER_ADDRESS,
            seeds: Vec::new(),
            traffic_threads: 2,
            capacity: Capacity::default(),
            max_connections: 1_024,
            max_node_connections: 1_024,
            max_probe_connections: 64,
            max_peer_connections: 128,
            max_operator_connections: 32,
            max_outgoing_connections: 2_048,
            answer_timeout: Duration::from_secs(60),
            connect_timeout: Duration::from_millis(250),
            dissemination: Dissemination::Epidemic,
            log: true,
            discovery: Discovery::Gossip,
            addressing: Addressing::default(),
            names: Names::default(),
            retry_budget: None,
            cold_excess: Excess::default(),
            overload: overload::Settings::default(),
            full_mesh: MAX_FULL_MESH,
            occasion: Occasion::Restart,
            stop: Stop::default(),
            link_mbps: 0,
        }
    }
}

/// Parses settings from `text`, and returns all faults on failure; `file` is the name used in faults.
///
/// ```
/// let faults = node::settings::read("node.json", "{}").unwrap_err();
/// assert!(faults.iter().any(|f| f.pointer == "/instance"));
/// ```
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let value = json::parse(file, text).map_err(|fault| vec![fault])?;
    read_value(file, value)
}

/// Reads settings from a parsed JSON value; see [`read()`].
pub fn read_value(file: &str, value: serde_json::Value) -> Result<Settings, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut object = Object::new(file, "", value, &mut faults);
    let settings = read_object(&mut object);
    object.finish();
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

fn read_object(object: &mut Object<'_>) -> Settings {
    let default = Settings::default();
    let capacity = Capacity {
        calls: object.number("calls", 1..=1_000_000, default.capacity.calls as u64) as usize,
        bytes: object.number("body_bytes", 1_024..=1 << 34, default.capacity.bytes as u64) as usize,
    };
    Settings {
        instance: object.label("instance"),
        service: object.text("service", read::SERVICE, read::is_service),
        data_centre: object.label("data_centre"),
        listen: object.object("listen", |listen| Listen {
            traffic: address(listen, "traffic"),
            nodes: optional_address(listen, "nodes"),
            ready: optional_address(listen, "ready"),
            peers: address(listen, "peers"),
            operators: address(listen, "operators"),
        }),
        upstream: object.object("upstream", |upstream| Upstream {
            address: address(upstream, "address"),
            slots: upstream.number("slots", 1..=10_000, default.upstream.slots as u64) as usize,
        }),
        platform: address(object, "platform"),
        seeds: seeds(object),
        traffic_threads: object.number("traffic_threads", 1..=64, default.traffic_threads as u64)
            as usize,
        max_connections: connections(object, "connections", default.max_connections),
        max_node_connections: connections(object, "node_connections", default.max_node_connections),
        max_probe_connections: connections(
            object,
            "ready_connections",
            default.max_probe_connections,
        ),
        max_peer_connections: connections(object, "peer_connections", default.max_peer_connections),
        max_operator_connections: connections(
            object,
            "operator_connections",
            default.max_operator_connections,
        ),
        max_outgoing_connections: connections(
            object,
            "outgoing_connections",
            default.max_outgoing_connections,
        ),
        answer_timeout: millis(object, "answer_ms", 1_000..=3_600_000, default.answer_timeout),
        connect_timeout: Duration::from_millis(object.number(
            "connect_ms",
            1..=60_000,
            default.connect_timeout.as_millis() as u64,
        )),
        dissemination: dissemination(object),
        log: object.flag("log", default.log),
        discovery: discovery(object),
        addressing: addressing(object),
        names: names(object),
        retry_budget: retry_budget(object),
        cold_excess: cold_excess(object),
        overload: overload(object),
        full_mesh: object.number("full_mesh", 0..=MAX_FULL_MESH as u64, MAX_FULL_MESH as u64)
            as usize,
        occasion: match object.flag("first_start", false) {
            true => Occasion::FirstStart,
            false => Occasion::Restart,
        },
        stop: object.object("stop", |stop| Stop {
            linger: millis(stop, "linger_ms", 0..=600_000, default.stop.linger),
            finish: millis(stop, "finish_ms", 0..=600_000, default.stop.finish),
            limit: millis(stop, "limit_ms", 100..=3_600_000, default.stop.limit),
        }),
        link_mbps: object.number("link_mbps", 0..=1_000_000, 0) as u32,
        capacity,
    }
}

fn connections(object: &mut Object<'_>, name: &str, default: usize) -> usize {
    object.number(name, 1..=65_536, default as u64) as usize
}

fn millis(
    object: &mut Object<'_>,
    name: &str,
    range: std::ops::RangeInclusive<u64>,
    default: Duration,
) -> Duration {
    Duration::from_millis(object.number(name, range, default.as_millis() as u64))
}

fn discovery(object: &mut Object<'_>) -> Discovery {
    let is_known = |text: &str| matches!(text, "gossip" | "list");
    match object.optional_text("discovery", "\"gossip\" or \"list\"", is_known).as_deref() {
        Some("list") => Discovery::List,
        _ => Discovery::Gossip,
    }
}

fn addressing(object: &mut Object<'_>) -> Addressing {
    let is_known = |text: &str| matches!(text, "service" | "route");
    match object.optional_text("addressing", "\"service\" or \"route\"", is_known).as_deref() {
        Some("route") => Addressing::Route,
        _ => Addressing::Service,
    }
}

fn names(object: &mut Object<'_>) -> Names {
    let default = Names::default();
    let names = object.object("headers", |headers| Names {
        deadline: header(headers, "deadline").unwrap_or(default.deadline),
        request: header(headers, "request"),
        caller: header(headers, "caller"),
        identity: header(headers, "identity"),
        refused: header(headers, "refused"),
        stamp: header(headers, "stamp"),
        leaving: header(headers, "leaving"),
        limit: header(headers, "limit"),
        cold: header(headers, "cold"),
        precision: default.precision,
    });
    let is_known = |text: &str| matches!(text, "seconds" | "milliseconds");
    let format = "\"seconds\" or \"milliseconds\"";
    match object.optional_text("retry_after", format, is_known).as_deref() {
        Some("milliseconds") => Names { precision: Precision::Millis, ..names },
        _ => names,
    }
}

fn header(object: &mut Object<'_>, name: &str) -> Option<HeaderName> {
    let parse = |text: &str| HeaderName::from_bytes(text.as_bytes()).ok();
    let text = object.optional_text(name, fields::HEADER, |text| parse(text).is_some())?;
    parse(&text)
}

fn retry_budget(object: &mut Object<'_>) -> Option<budget::Settings> {
    let default = budget::Settings::default();
    let given = object.has("repeats");
    let settings = object.object("repeats", |repeats| budget::Settings {
        ratio: repeats.number("percent", 0..=1_000, 0) as f64 / 100.0,
        slack: repeats.number("slack", 0..=1_000_000, 0) as f64,
        window: millis(repeats, "window_ms", 1_000..=600_000, default.window),
        ..default
    });
    given.then_some(settings)
}

fn cold_excess(object: &mut Object<'_>) -> Excess {
    let default = Excess::default();
    object.object("cold_excess", |excess| Excess {
        factor: excess.number("percent", 100..=1_000, (default.factor * 100.0) as u64) as f64
            / 100.0,
        slack: excess.number("slack", 1..=1_000_000, default.slack as u64) as f64,
    })
}

fn overload(object: &mut Object<'_>) -> overload::Settings {
    object.object("overload", |overload| overload::Settings {
        nested_admission: overload.flag("nested_admission", false),
        cold_window: overload.flag("cold_window", false),
        retry_priority: overload.flag("retry_priority", false),
        fair_shares: overload.flag("fair_shares", false),
        overflow: overload.flag("overflow", false),
        paced_returns: overload.flag("paced_returns", false),
    })
}

fn optional_address(object: &mut Object<'_>, name: &str) -> Option<SocketAddr> {
    let is_valid = |text: &str| text.parse::<SocketAddr>().is_ok();
    object.optional_text(name, ADDRESS_FORMAT, is_valid)?.parse().ok()
}

fn address(object: &mut Object<'_>, name: &str) -> SocketAddr {
    let text = object.text(name, ADDRESS_FORMAT, |text| text.parse::<SocketAddr>().is_ok());
    text.parse().unwrap_or(PLACEHOLDER_ADDRESS)
}

fn seeds(object: &mut Object<'_>) -> Vec<SocketAddr> {
    let is_valid = |text: &str| text.parse::<SocketAddr>().is_ok();
    let texts = object.texts("contacts", ADDRESS_FORMAT, is_valid, &[]);
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

fn dissemination(object: &mut Object<'_>) -> Dissemination {
    let find =
        |text: &str| DISSEMINATIONS.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
    let format = "\"epidemic\", \"tree\" or \"pull\"";
    let text = object.optional_text("plan", format, |text| find(text).is_some());
    text.and_then(|text| find(&text)).unwrap_or(Dissemination::Epidemic)
}

const ADDRESS_FORMAT: &str = "an address such as \"127.0.0.1:7000\"";
