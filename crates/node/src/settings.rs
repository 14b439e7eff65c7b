//! Settings of a node, read from a JSON file and checked as a whole.

mod fields;

use model::{fault::Fault, json, read::Object};
use policy::{budget, share::Capacity, warmup::Excess};
use std::{net::SocketAddr, time::Duration};
use traffic::wire::{HeaderName, Names, Precision};

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The platform's name of the instance.
    pub instance: String,
    /// Service of its upstream.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Addresses it listens at.
    pub listen: Listen,
    /// The upstream beside it.
    pub upstream: Upstream,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Nodes to ask first when starting.
    pub seeds: Vec<SocketAddr>,
    /// Threads that carry calls.
    pub traffic_threads: usize,
    /// Room for calls in hand.
    pub capacity: Capacity,
    /// Most connections from callers and other nodes.
    pub max_connections: usize,
    /// Longest time for opening a connection.
    pub connect_timeout: Duration,
    /// How new versions are passed on.
    pub dissemination: Dissemination,
    /// Whether events are logged as JSON lines.
    pub log: bool,
    /// How upstreams and other nodes are found.
    pub discovery: Discovery,
    /// Names of headers towards callers and upstreams.
    pub names: Names,
    /// Bound on repeated calls of the whole fleet, if there is one.
    pub retry_budget: Option<budget::Settings>,
    /// How far calls to a cold upstream may exceed what its service's configuration says it bears.
    pub cold_excess: Excess,
    /// How a planned stop goes.
    pub stop: Stop,
    /// Speed of the instance's link, in Mbit/s; 0 where it is not known.
    pub link_mbps: u32,
}

/// How upstreams and other nodes are found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Discovery {
    /// By the nodes' own word.
    Gossip,
    /// By the platform's list of upstreams; a node listens at the IP address of its upstream.
    List,
}

/// How a planned stop goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// For how long a node that tells callers that it takes no new work still takes it. Callers
    /// that ask once a second leave after two refusals.
    pub linger: Duration,
    /// Time kept at the end of the stop for calls in hand: callers that still come then are
    /// refused.
    pub finish: Duration,
    /// Longest time of the whole stop.
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

/// Addresses a node listens at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For calls; of callers only where `nodes` is given.
    pub traffic: SocketAddr,
    /// For calls of other nodes, if they have an address of their own.
    pub nodes: Option<SocketAddr>,
    /// For the question whether this node takes new work, if anybody asks it.
    pub ready: Option<SocketAddr>,
    /// For messages between nodes.
    pub peers: SocketAddr,
    /// For the operators' page.
    pub operators: SocketAddr,
}

/// The upstream beside a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Its address.
    pub address: SocketAddr,
    /// Calls that it can work on at once.
    pub slots: usize,
}

/// How new versions are passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dissemination {
    /// To random nodes.
    Epidemic,
    /// Along a tree.
    Tree,
    /// Not at all; others ask.
    Pull,
}

pub use self::fields::{FIELDS, Field};

const DISSEMINATIONS: [(&str, Dissemination); 3] = [
    ("epidemic", Dissemination::Epidemic),
    ("tree", Dissemination::Tree),
    ("pull", Dissemination::Pull),
];

/// An address no node can have, in the place of one that could not be read.
const NOWHERE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instance: String::new(),
            service: String::new(),
            data_centre: String::new(),
            listen: Listen {
                traffic: NOWHERE,
                nodes: None,
                ready: None,
                peers: NOWHERE,
                operators: NOWHERE,
            },
            upstream: Upstream { address: NOWHERE, slots: 10 },
            platform: NOWHERE,
            seeds: Vec::new(),
            traffic_threads: 2,
            capacity: Capacity::default(),
            max_connections: 1_024,
            connect_timeout: Duration::from_millis(250),
            dissemination: Dissemination::Epidemic,
            log: true,
            discovery: Discovery::Gossip,
            names: Names::default(),
            retry_budget: None,
            cold_excess: Excess::default(),
            stop: Stop::default(),
            link_mbps: 0,
        }
    }
}

/// Reads settings from `text`; `file` names their place in faults. Returns every fault at once.
///
/// ```
/// let faults = node::settings::read("node.json", "{}").unwrap_err();
/// assert!(faults.iter().any(|f| f.pointer == "/instance"));
/// ```
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let value = json::parse(file, text).map_err(|fault| vec![fault])?;
    read_value(file, value)
}

/// Reads settings from a parsed value; see [`read`].
pub fn read_value(file: &str, value: serde_json::Value) -> Result<Settings, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut object = Object::new(file, "", value, &mut faults);
    let settings = read_object(&mut object);
    object.finish();
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

fn read_object(object: &mut Object<'_>) -> Settings {
    let usual = Settings::default();
    let capacity = Capacity {
        calls: object.number("calls", 1..=1_000_000, usual.capacity.calls as u64) as usize,
        bytes: object.number("body_bytes", 1_024..=1 << 34, usual.capacity.bytes as u64) as usize,
    };
    Settings {
        instance: object.name("instance"),
        service: object.name("service"),
        data_centre: object.name("data_centre"),
        listen: object.object("listen", |listen| Listen {
            traffic: address(listen, "traffic"),
            nodes: optional_address(listen, "nodes"),
            ready: optional_address(listen, "ready"),
            peers: address(listen, "peers"),
            operators: address(listen, "operators"),
        }),
        upstream: object.object("upstream", |upstream| Upstream {
            address: address(upstream, "address"),
            slots: upstream.number("slots", 1..=10_000, usual.upstream.slots as u64) as usize,
        }),
        platform: address(object, "platform"),
        seeds: seeds(object),
        traffic_threads: object.number("traffic_threads", 1..=64, usual.traffic_threads as u64)
            as usize,
        max_connections: object.number("connections", 1..=65_536, usual.max_connections as u64)
            as usize,
        connect_timeout: Duration::from_millis(object.number(
            "connect_ms",
            1..=60_000,
            usual.connect_timeout.as_millis() as u64,
        )),
        dissemination: dissemination(object),
        log: object.flag("log", usual.log),
        discovery: discovery(object),
        names: names(object),
        retry_budget: retry_budget(object),
        cold_excess: cold_excess(object),
        stop: object.object("stop", |stop| Stop {
            linger: millis(stop, "linger_ms", 0..=600_000, usual.stop.linger),
            finish: millis(stop, "finish_ms", 0..=600_000, usual.stop.finish),
            limit: millis(stop, "limit_ms", 100..=3_600_000, usual.stop.limit),
        }),
        link_mbps: object.number("link_mbps", 0..=1_000_000, 0) as u32,
        capacity,
    }
}

fn millis(
    object: &mut Object<'_>,
    name: &str,
    range: std::ops::RangeInclusive<u64>,
    usual: Duration,
) -> Duration {
    Duration::from_millis(object.number(name, range, usual.as_millis() as u64))
}

fn discovery(object: &mut Object<'_>) -> Discovery {
    let known = |text: &str| matches!(text, "gossip" | "list");
    match object.optional_text("discovery", "\"gossip\" or \"list\"", known).as_deref() {
        Some("list") => Discovery::List,
        _ => Discovery::Gossip,
    }
}

fn names(object: &mut Object<'_>) -> Names {
    let usual = Names::default();
    let names = object.object("headers", |headers| Names {
        deadline: header(headers, "deadline").unwrap_or(usual.deadline),
        request: header(headers, "request"),
        caller: header(headers, "caller"),
        identity: header(headers, "identity"),
        refused: header(headers, "refused"),
        stamp: header(headers, "stamp"),
        precision: usual.precision,
    });
    let known = |text: &str| matches!(text, "seconds" | "milliseconds");
    let shape = "\"seconds\" or \"milliseconds\"";
    match object.optional_text("retry_after", shape, known).as_deref() {
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
    let usual = budget::Settings::default();
    let given = object.has("repeats");
    let settings = object.object("repeats", |repeats| budget::Settings {
        ratio: repeats.number("percent", 0..=1_000, 0) as f64 / 100.0,
        slack: repeats.number("slack", 0..=1_000_000, 0) as f64,
        window: millis(repeats, "window_ms", 1_000..=600_000, usual.window),
        ..usual
    });
    given.then_some(settings)
}

fn cold_excess(object: &mut Object<'_>) -> Excess {
    let usual = Excess::default();
    object.object("cold_excess", |excess| Excess {
        factor: excess.number("percent", 100..=1_000, (usual.factor * 100.0) as u64) as f64 / 100.0,
        slack: excess.number("slack", 1..=1_000_000, usual.slack as u64) as f64,
    })
}

fn optional_address(object: &mut Object<'_>, name: &str) -> Option<SocketAddr> {
    let valid = |text: &str| text.parse::<SocketAddr>().is_ok();
    object.optional_text(name, ADDRESS_SHAPE, valid)?.parse().ok()
}

fn address(object: &mut Object<'_>, name: &str) -> SocketAddr {
    let text = object.text(name, ADDRESS_SHAPE, |text| text.parse::<SocketAddr>().is_ok());
    text.parse().unwrap_or(NOWHERE)
}

fn seeds(object: &mut Object<'_>) -> Vec<SocketAddr> {
    let valid = |text: &str| text.parse::<SocketAddr>().is_ok();
    let texts = object.texts("contacts", ADDRESS_SHAPE, valid, &[]);
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

fn dissemination(object: &mut Object<'_>) -> Dissemination {
    let find =
        |text: &str| DISSEMINATIONS.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
    let shape = "\"epidemic\", \"tree\" or \"pull\"";
    let text = object.optional_text("plan", shape, |text| find(text).is_some());
    text.and_then(|text| find(&text)).unwrap_or(Dissemination::Epidemic)
}

const ADDRESS_SHAPE: &str = "an address such as \"127.0.0.1:7000\"";
