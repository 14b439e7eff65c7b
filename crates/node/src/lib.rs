//! Runs a node: connects the state machines of `fleet` and the proxy of `traffic` to threads,
//! sockets and the platform. It makes no decisions about configuration, membership or calls.
//!
//! | thread | work |
//! |---|---|
//! | `control` | drives [`fleet::control::Machine`]: applies events and executes effects |
//! | `peers` | JSON-RPC server and client |
//! | `digests` | receives gossip digests, with [`settings::Discovery::List`] only |
//! | `source-0`, `source-1` | blocking calls to the platform |
//! | `pause-monitor` | detects pauses of the process |
//! | `operators` | operators' HTTP endpoint |
//! | `signals` | waits for signals, in [`reload::run`] only |
//! | `traffic` | worker threads that proxy calls |

mod control;
mod listeners;
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
use traffic::{Audience, Clock, Listener, Proxy, Tuning};

use crate::{
    control::Client,
    settings::{Discovery, Settings},
};

/// Product version, as nodes report it to operators and other nodes.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Interval between two checks for a pause of the process.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Failure to start a node.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A thread or its runtime could not be created.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The UDP socket for digests could not be bound.
    #[snafu(display("{source}"))]
    Digests {
        /// Error of the socket, with its address.
        source: peer::datagram::Error,
    },
    /// A listener for calls could not be bound.
    #[snafu(display("{source}"))]
    Traffic {
        /// Error of the listener.
        source: traffic::Error,
    },
    /// The RPC server for messages between nodes could not be started.
    #[snafu(display("cannot serve messages between nodes: {source}"))]
    Peers {
        /// Error of the server.
        source: peer::Error,
    },
    /// The operators' HTTP endpoint could not be started.
    #[snafu(display("cannot serve the operators' HTTP endpoint at {address}: {reason}"))]
    Operators {
        /// Address of the endpoint, from the settings.
        address: SocketAddr,
        /// Error of the server, as text.
        reason: String,
    },
    /// The metrics registry could not be created.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the metrics library.
        source: metric::Error,
    },
}

/// A running node; dropping it ends its network threads without draining calls, see [`Node::stop`].
pub struct Node {
    proxy: Arc<Proxy>,
    control: Client,
    settings: Settings,
    _peers: Runtime,
    _traffic: Runtime,
}

impl Node {
    /// Starts a node that reads the platform over HTTP, at the address in `settings`.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        let source = source::Http::new(settings.platform, &settings.instance);
        Node::start_with(settings, Arc::new(source))
    }

    /// Starts a node that reads the platform through `source`.
    pub fn start_with(settings: &Settings, source: Arc<dyn Source>) -> Result<Self, Error> {
        if settings.log {
            // Fails if another node of this process has installed the logger, which both then share.
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
        let dependencies = control::Dependencies {
            own,
            source,
            proxy: proxy.clone(),
            clock,
            meter: meter.clone(),
            peers: peers.handle().clone(),
        };
        let control = control::start(settings, dependencies)?;
        let handler = Arc::new(control.clone());
        let server = peer::Server {
            context: Arc::default(),
            policy: Arc::new(listeners::Rules::peers(proxy.clone(), meter.clone())),
            max_connections: settings.max_peer_connections,
        };
        // The server runs until the runtime is dropped.
        peers.block_on(peer::serve(settings.listen.peers, handler, server)).context(PeersSnafu)?;
        let rules = Arc::new(listeners::Rules::operators(proxy.clone(), meter.clone()));
        let runtime = peers.handle().clone();
        operators::start(settings, control.clone(), proxy.clone(), meter, runtime, rules)?;
        start_pause_monitor(proxy.clone(), control.clone()).context(ThreadSnafu)?;
        for listener in listeners {
            traffic.spawn(listener.serve(proxy.clone()));
        }
        Ok(Node { proxy, control, settings: settings.clone(), _peers: peers, _traffic: traffic })
    }

    /// Applies those of the `new` settings that can change at run time, and logs whether the others
    /// need a restart.
    pub fn reload(&mut self, new: &Settings) {
        let mut reloaded = self.settings.clone();
        reloaded.capacity = new.capacity;
        reloaded.connect_timeout = new.connect_timeout;
        reloaded.retry_budget = new.retry_budget;
        reloaded.cold_excess = new.cold_excess;
        reloaded.overload = new.overload;
        reloaded.stop = new.stop;
        let needs_restart = reloaded != *new;
        self.proxy.set_tuning(tuning(&reloaded));
        self.settings = reloaded;
        self.control.send(Event::Record(Kind::Reloaded { needs_restart }));
    }

    /// Logs the `faults` of invalid new settings; the current settings stay in force.
    pub fn refuse_reload(&self, faults: &[String]) {
        self.control.send(Event::Record(Kind::ReloadRefused { faults: faults.to_vec() }));
    }
}

/// Binds every listener for calls.
async fn bind(settings: &Settings) -> Result<Vec<Listener>, traffic::Error> {
    let listen = settings.listen;
    let callers = if listen.nodes.is_some() { Audience::Callers } else { Audience::All };
    let mut listeners = vec![Listener::bind_for(listen.traffic, callers).await?];
    for (address, audience) in [(listen.nodes, Audience::Nodes), (listen.ready, Audience::Probes)] {
        if let Some(address) = address {
            listeners.push(Listener::bind_for(address, audience).await?);
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
        overload: settings.overload,
    }
}

fn proxy_settings(settings: &Settings, incarnation: u64) -> traffic::Settings {
    traffic::Settings {
        address: settings.listen.peers,
        incarnation: match settings.discovery {
            Discovery::Gossip => Some(incarnation),
            // Upstreams are identified by the platform's list, not by their node's incarnation.
            Discovery::List => None,
        },
        service: settings.service.clone(),
        upstream: settings.upstream.address,
        addressing: settings.addressing,
        slots: settings.upstream.slots,
        split_offset: rand::random(),
        tuning: tuning(settings),
        max_connections: settings.max_connections,
        max_node_connections: settings.max_node_connections,
        max_probe_connections: settings.max_probe_connections,
        max_outgoing_connections: settings.max_outgoing_connections,
        answer_timeout: settings.answer_timeout,
        pause: policy::pause::Settings::default(),
        instance: settings.instance.clone(),
        log: settings.log,
        link_mbps: settings.link_mbps,
        names: settings.names.clone(),
    }
}

fn start_pause_monitor(proxy: Arc<Proxy>, control: Client) -> io::Result<()> {
    let work = move || {
        while control.is_open() {
            if let Some(pause) = proxy.tick_pause_detector() {
                control.send(Event::Resumed(pause));
            }
            thread::sleep(PAUSE_CHECK_INTERVAL);
        }
    };
    thread::Builder::new().name("pause-monitor".to_owned()).spawn(work).map(drop)
}

/// Returns the wall clock in ms since the Unix epoch; 0 if the clock is set before the epoch.
fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Reads the monotonic and the wall clock.
fn now(clock: &Clock) -> Now {
    Now { time: clock.now(), wall_ms: wall_ms() }
}
