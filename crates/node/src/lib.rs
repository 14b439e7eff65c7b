//! A node: the decisions of `fleet` and `policy` wired to threads, sockets and the platform.
//!
//! This crate exists so that the daemon stays thin and tests can run a node in their own process.
//! [`settings::Settings`] and [`Node`] are an API border. It decides nothing about configuration,
//! members or calls itself; it must not interpret the platform's documents.
//!
//! | thread | work |
//! |---|---|
//! | `control` | owns [`fleet::control::Control`], takes events, carries out effects |
//! | `peers` | JSON-RPC server and client |
//! | `source-0`, `source-1` | blocking calls to the platform |
//! | `pulse` | finds pauses of the process |
//! | `operators` | operators' page |
//! | `traffic-*` | calls |

mod control;
mod operators;
mod process;
pub mod reload;
pub mod settings;
mod stop;

use fleet::{
    clock::Now,
    control::Event,
    member::{Record, State},
    timeline::Kind,
};
use snafu::{ResultExt, Snafu};
use source::Source;
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use telemetry::metric;
use tokio::runtime::{Builder, Runtime};
use traffic::{Clock, Door, Listener, Proxy, Tuning};

use crate::{
    control::Link,
    settings::{Discovery, Settings},
};

/// Version of the product.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Time between two beats of the pulse thread.
const PULSE: Duration = Duration::from_millis(50);

/// Failure to start a node.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A thread or its runtime could not be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// What the system says.
        source: io::Error,
    },
    /// The address for calls is not available.
    #[snafu(display("{source}"))]
    Traffic {
        /// What the listener says.
        source: traffic::Error,
    },
    /// The address for messages between nodes is not available.
    #[snafu(display("messages between nodes: {source}"))]
    Peers {
        /// What the server says.
        source: peer::Error,
    },
    /// The operators' page is not available.
    #[snafu(display("cannot serve the operators' page at {address}: {reason}"))]
    Operators {
        /// Its address.
        address: SocketAddr,
        /// What the server says.
        reason: String,
    },
    /// Metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// What the library says.
        source: metric::Error,
    },
}

/// A running node.
pub struct Node {
    proxy: Arc<Proxy>,
    link: Link,
    settings: Settings,
    _peers: Runtime,
    _traffic: Runtime,
}

impl Node {
    /// Starts a node that reads the platform at the address of its settings.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        let source = source::Http::new(settings.platform, &settings.instance);
        Node::start_with(settings, Arc::new(source))
    }

    /// Starts a node that reads the platform through `source`.
    pub fn start_with(settings: &Settings, source: Arc<dyn Source>) -> Result<Self, Error> {
        if settings.log {
            // A second node in the same process shares the logger of the first.
            let _ = telemetry::log::init(log::LevelFilter::Info);
        }
        let clock = Clock::default();
        let meter = Arc::new(metric::Meter::new().context(MetricsSnafu)?);
        let incarnation = wall_ms();
        let proxy = Proxy::new(proxy_settings(settings, incarnation), clock, meter.clone());
        let traffic = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let peers = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("peers")
            .max_blocking_threads(1)
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let listeners = traffic.block_on(bind(settings)).context(TrafficSnafu)?;
        let own = own_record(settings, incarnation);
        let parts = control::Parts {
            own,
            source,
            proxy: proxy.clone(),
            clock,
            meter: meter.clone(),
            peers: peers.handle().clone(),
        };
        let link = control::start(settings, parts).context(ThreadSnafu)?;
        let handler = Arc::new(link.clone());
        let served = peers.block_on(peer::serve(settings.listen.peers, handler));
        let (_, handle) = served.context(PeersSnafu)?;
        // The server lives as long as its runtime.
        peers.spawn(handle.stopped());
        operators::start(settings, link.clone(), proxy.clone(), meter, peers.handle().clone())?;
        start_pulse(proxy.clone(), link.clone()).context(ThreadSnafu)?;
        for listener in listeners {
            traffic.spawn(listener.serve(proxy.clone()));
        }
        Ok(Node { proxy, link, settings: settings.clone(), _peers: peers, _traffic: traffic })
    }

    /// Works under new settings as far as they can change while the process runs; the time line
    /// tells whether the rest needs a restart.
    pub fn reload(&mut self, new: &Settings) {
        let mut reloaded = self.settings.clone();
        reloaded.capacity = new.capacity;
        reloaded.connect_timeout = new.connect_timeout;
        reloaded.retry_budget = new.retry_budget;
        reloaded.cold_excess = new.cold_excess;
        reloaded.stop = new.stop;
        let needs_restart = reloaded != *new;
        self.proxy.set_tuning(tuning(&reloaded));
        self.settings = reloaded;
        self.link.send(Event::Note(Kind::Reloaded { needs_restart }));
    }

    /// Notes that new settings cannot be used; the former ones stay in force.
    pub fn refuse_reload(&self, faults: &[String]) {
        self.link.send(Event::Note(Kind::ReloadRefused { faults: faults.to_vec() }));
    }
}

/// Opens every address at which calls are taken.
async fn bind(settings: &Settings) -> Result<Vec<Listener>, traffic::Error> {
    let listen = settings.listen;
    let callers = if listen.nodes.is_some() { Door::Callers } else { Door::All };
    let mut listeners = vec![Listener::bind_door(listen.traffic, callers).await?];
    for (address, door) in [(listen.nodes, Door::Nodes), (listen.ready, Door::Ready)] {
        if let Some(address) = address {
            listeners.push(Listener::bind_door(address, door).await?);
        }
    }
    Ok(listeners)
}

fn own_record(settings: &Settings, incarnation: u64) -> Record {
    Record {
        address: settings.listen.peers,
        traffic: settings.listen.traffic,
        instance: settings.instance.clone(),
        service: settings.service.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        sequence: 0,
        state: State::Live,
    }
}

fn tuning(settings: &Settings) -> Tuning {
    Tuning {
        capacity: settings.capacity,
        connect_timeout: settings.connect_timeout,
        budget: settings.retry_budget,
        cold_excess: settings.cold_excess,
    }
}

fn proxy_settings(settings: &Settings, incarnation: u64) -> traffic::Settings {
    traffic::Settings {
        address: settings.listen.peers,
        incarnation: match settings.discovery {
            Discovery::Gossip => Some(incarnation),
            // Upstreams are named by identities of their own.
            Discovery::List => None,
        },
        service: settings.service.clone(),
        upstream: settings.upstream.address,
        slots: settings.upstream.slots,
        split_offset: rand::random(),
        tuning: tuning(settings),
        max_connections: settings.max_connections,
        pause: policy::pause::Settings::default(),
        instance: settings.instance.clone(),
        log: settings.log,
        link_mbps: settings.link_mbps,
        names: settings.names.clone(),
    }
}

fn start_pulse(proxy: Arc<Proxy>, link: Link) -> io::Result<()> {
    let pulse = move || {
        while link.is_open() {
            if let Some(pause) = proxy.tick_pause_detector() {
                link.send(Event::Resumed(pause));
            }
            thread::sleep(PULSE);
        }
    };
    thread::Builder::new().name("pulse".to_owned()).spawn(pulse).map(drop)
}

/// Returns the wall clock in ms since the Unix epoch; 0 if it is set before that.
fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Returns the present moment on both clocks.
fn now(clock: &Clock) -> Now {
    Now { time: clock.now(), wall_ms: wall_ms() }
}
