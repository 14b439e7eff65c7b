//! One instance of a run: an upstream, a node process and the proxies in front of them.

use fleet::directory::{Entry, Standing};
use rustix::process::Signal;
use standins::{
    mesh,
    upstream::{self, COLD_HEADER, LEAVING_HEADER, LIMIT_HEADER, Upstream},
};
use std::{
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::Child,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::runtime::Handle;

use crate::soak::{
    content::SERVICES,
    history::{Condition, History},
    port,
    proxy::{Bandwidth, Proxy},
    warm_ups::{self, WarmUps},
};

/// Service time of a request at an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// Concurrency limit of an upstream.
pub(crate) const SLOTS: usize = 8;

/// Time limit for a node to start.
const START_LIMIT: Duration = Duration::from_secs(2);

/// Time limit for the address of a killed upstream to become free.
const REBIND_LIMIT: Duration = Duration::from_secs(2);

/// Bandwidth of slow links, in Mbit/s.
const SLOW_MBPS: u32 = 5;

/// One in this many instances has a slow link.
const SLOW_EVERY: usize = 4;

/// Ports that all instances share, each at its own address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ports {
    pub(crate) nodes: u16,
    pub(crate) peers: u16,
}

/// Location and addresses that an instance is created with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) number: usize,
    pub(crate) data_centre: &'static str,
    pub(crate) ports: Ports,
    pub(crate) platform: SocketAddr,
    pub(crate) warm_ups: WarmUps,
}

/// An upstream, its node and the proxies in front of them.
pub(crate) struct Instance {
    /// Current identity of its upstream.
    pub(crate) id: String,
    service: &'static str,
    pub(crate) data_centre: &'static str,
    pub(crate) upstream: Upstream,
    /// Previous processes of its upstream.
    previous: Vec<Upstream>,
    /// Start of its upstream's current incarnation, in ms of Unix time.
    started_ms: u64,
    /// Proxy from the other nodes to this one's listener for their calls.
    pub(crate) nodes: Proxy,
    /// Proxy from this node to the platform.
    pub(crate) platform: Proxy,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) process: Option<Child>,
    /// Conditions of this instance.
    pub(crate) history: History,
    /// Number of new identities of its upstream.
    identities: u32,
    warm_ups: WarmUps,
}

impl Instance {
    /// Starts the upstream and the proxies and writes the node's settings.
    pub(crate) fn prepare(
        placement: Placement,
        folder: &Path,
        handle: &Handle,
    ) -> io::Result<Self> {
        let Placement { number, data_centre, ports, platform, warm_ups } = placement;
        let mbps = if number % SLOW_EVERY == SLOW_EVERY - 1 { SLOW_MBPS } else { 0 };
        let bandwidth: Bandwidth = (mbps > 0).then_some(mbps * 1_000_000 / 8);
        let (proxy_side, node_side) = (address(1, number, 0), address(2, number, 0));
        let upstream = start_upstream(proxy_side, warm_ups, handle)?;
        let node_listener = address(2, number, ports.nodes);
        let proxy_listener = address(1, number, ports.nodes);
        let (nodes, _) = Proxy::start(proxy_listener, node_listener, bandwidth, handle)?;
        let (platform, to_platform) = Proxy::start(node_side, platform, bandwidth, handle)?;
        let [callers, operators] = port::free()?.map(|port| address(2, number, port));
        let service = SERVICES[number / 3 % SERVICES.len()];
        let settings = folder.join(format!("node-{number}.json"));
        let text = serde_json::json!({
            "instance": format!("node-{number}"),
            "service": service,
            "data_centre": data_centre,
            "listen": {
                "traffic": callers.to_string(),
                "nodes": node_listener.to_string(),
                "peers": address(1, number, ports.peers).to_string(),
                "operators": operators.to_string(),
            },
            "upstream": { "address": upstream.address().to_string(), "slots": SLOTS },
            "platform": to_platform.to_string(),
            "discovery": "list",
            "link_mbps": mbps,
            "traffic_threads": 1,
            "headers": {
                "limit": LIMIT_HEADER,
                "leaving": LEAVING_HEADER,
                "cold": COLD_HEADER,
            },
            "cold_excess": { "percent": warm_ups::EXCESS.0, "slack": warm_ups::EXCESS.1 },
            "repeats": { "percent": 20, "slack": 60 },
            "stop": { "linger_ms": 300, "finish_ms": 1_500, "limit_ms": 4_000 },
        });
        std::fs::write(&settings, text.to_string())?;
        Ok(Instance {
            id: format!("i-{number}-0"),
            service,
            data_centre,
            upstream,
            previous: Vec::new(),
            started_ms: 0,
            nodes,
            platform,
            callers,
            operators,
            settings,
            log: folder.join(format!("node-{number}.log")),
            process: None,
            history: History::default(),
            identities: 0,
            warm_ups,
        })
    }

    /// Returns the directory entry of its upstream.
    pub(crate) fn entry(&self, standing: Standing) -> Entry {
        Entry {
            id: self.id.clone(),
            service: self.service.to_owned(),
            address: self.upstream.address(),
            data_centre: self.data_centre.to_owned(),
            slots: SLOTS,
            standing,
            cold_ms: self.upstream.cold_left().as_millis() as u64,
            started_ms: Some(self.started_ms),
            revision: 0,
        }
    }

    /// Gives its upstream a new identity.
    pub(crate) fn rename_upstream(&mut self) {
        self.identities += 1;
        let (name, _) = self.id.rsplit_once('-').unwrap_or((&self.id, ""));
        self.id = format!("{name}-{}", self.identities);
    }

    /// Begins a new incarnation of its upstream.
    pub(crate) fn begin_incarnation(&mut self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.started_ms = now.max(self.started_ms + 1);
    }

    /// Replaces its upstream's process by a new one at the same address.
    pub(crate) fn restart_upstream(&mut self, handle: &Handle) -> io::Result<()> {
        // An earlier repair may already have restarted it.
        self.upstream.kill();
        let address = self.upstream.address();
        let started = Instant::now();
        let upstream = loop {
            match start_upstream(address, self.warm_ups, handle) {
                // The thread of the previous process closes its socket asynchronously.
                Err(_) if started.elapsed() < REBIND_LIMIT => {
                    thread::sleep(Duration::from_millis(2))
                }
                result => break result?,
            }
        };
        upstream.become_cold(warm_up(self.warm_ups));
        self.previous.push(std::mem::replace(&mut self.upstream, upstream));
        Ok(())
    }

    /// Returns the start times and names of all calls that its upstream ran.
    pub(crate) fn starts(&self) -> Vec<(Instant, String)> {
        self.processes().flat_map(|upstream| upstream.ledger().starts).collect()
    }

    /// Returns the start times and identities of the poison requests that its upstream ran.
    pub(crate) fn poison_requests(&self) -> Vec<(Instant, String)> {
        let runs = self.processes().flat_map(|upstream| upstream.ledger().poison_requests);
        runs.map(|(at, path)| (at, format!("{} {path}", self.service))).collect()
    }

    /// Tells whether its upstream crashed under a request within the given period.
    pub(crate) fn crashed_between(&self, from: Instant, until: Instant) -> bool {
        let mut crashes = self.processes().flat_map(|upstream| upstream.ledger().crashes);
        crashes.any(|at| (from..=until).contains(&at))
    }

    /// Returns all processes of its upstream, the current one last.
    pub(crate) fn processes(&self) -> impl Iterator<Item = &Upstream> {
        self.previous.iter().chain([&self.upstream])
    }

    /// Returns the number of runs of each call at its upstream.
    pub(crate) fn runs_by_work(&self) -> HashMap<String, u32> {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for (_, work) in self.starts() {
            *runs.entry(work).or_default() += 1;
        }
        runs
    }

    /// Starts the node and waits until it accepts operators' requests, at most [`START_LIMIT`].
    ///
    /// A reload signal before the process has installed its handlers would terminate it.
    pub(crate) fn start_node(&mut self, daemon: &Path) -> io::Result<()> {
        self.process = Some(mesh::spawn(daemon, &self.settings, &self.log)?);
        let started = Instant::now();
        while TcpStream::connect(self.operators).is_err() && started.elapsed() < START_LIMIT {
            thread::sleep(Duration::from_millis(1));
        }
        for condition in [Condition::Killed, Condition::Stopped, Condition::Crashed] {
            self.history.end(condition);
        }
        Ok(())
    }

    /// Kills the node, if it runs.
    pub(crate) fn kill_node(&mut self) -> io::Result<()> {
        if self.process.is_none() {
            return Ok(());
        }
        self.history.begin(Condition::Killed);
        mesh::kill(&mut self.process)?;
        self.history.end(Condition::Paused);
        self.history.end(Condition::Stopping);
        Ok(())
    }

    /// Records the exit of the node's process, if any; tells whether it still runs.
    pub(crate) fn poll_process(&mut self) -> io::Result<bool> {
        let Some(process) = &mut self.process else { return Ok(false) };
        if process.try_wait()?.is_none() {
            self.history.confirm(Condition::Stopping);
            return Ok(true);
        }
        self.process = None;
        let was_planned = self.history.is_active(Condition::Stopping);
        self.history.begin(if was_planned { Condition::Stopped } else { Condition::Crashed });
        self.history.end(Condition::Stopping);
        Ok(false)
    }

    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        mesh::send_signal(self.process.as_ref(), signal)
    }

    pub(crate) fn status(&self) -> Option<fleet::status::Node> {
        self.process.as_ref()?;
        serde_json::from_str(&mesh::page(self.operators, "/status")?).ok()
    }
}

/// Returns the time for which an upstream is cold after a start.
fn warm_up(warm_ups: WarmUps) -> Duration {
    match warm_ups {
        WarmUps::Absent => Duration::ZERO,
        WarmUps::Random => warm_ups::LENGTH,
    }
}

fn start_upstream(listen: SocketAddr, warm_ups: WarmUps, handle: &Handle) -> io::Result<Upstream> {
    let settings = upstream::Settings {
        listen,
        service_time: SERVICE_TIME,
        slots: SLOTS,
        warm_up: warm_up(warm_ups),
        ..upstream::Settings::default()
    };
    Upstream::start(settings, handle)
}

/// Returns an address of instance `number` in one of its two networks.
fn address(network: u8, number: usize, port: u16) -> SocketAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, network, high, low), port))
}
