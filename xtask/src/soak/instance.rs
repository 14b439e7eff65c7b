//! One instance of a soak: an upstream, a node process and the proxies around it.

use fleet::directory::{Entry, Standing};
use rustix::process::Signal;
use standins::{
    mesh,
    upstream::{self, Upstream},
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
};

/// What an upstream's requests take.
const WORK: Duration = Duration::from_millis(15);

/// Requests that an upstream works on at once.
pub(crate) const SLOTS: usize = 8;

/// Longest wait for a node to take signals; it takes some 2 ms on an idle machine.
const START_LIMIT: Duration = Duration::from_secs(2);

/// Longest wait for the address of an upstream that was killed.
const REBIND_LIMIT: Duration = Duration::from_secs(2);

/// Links of every fourth instance, the last of each four: 5 Mbit/s, as the slowest customers' are.
const SLOW_MBPS: u32 = 5;
const SLOW_EVERY: usize = 4;

/// Ports that are the same on all instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ports {
    pub(crate) nodes: u16,
    pub(crate) peers: u16,
}

/// Where an instance stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) number: usize,
    pub(crate) data_centre: &'static str,
    pub(crate) ports: Ports,
    pub(crate) platform: SocketAddr,
}

/// One instance.
pub(crate) struct Instance {
    /// Identity of its upstream's present life.
    pub(crate) id: String,
    service: &'static str,
    pub(crate) data_centre: &'static str,
    pub(crate) upstream: Upstream,
    /// Its upstream's previous processes.
    previous: Vec<Upstream>,
    /// When its upstream's present life began, in ms of Unix time.
    started_ms: u64,
    /// Between other nodes and this one's address for their calls.
    pub(crate) nodes: Proxy,
    /// Between this node and the platform.
    pub(crate) platform: Proxy,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) process: Option<Child>,
    /// What was out of order here.
    pub(crate) history: History,
    renames: u32,
}

impl Instance {
    /// Starts upstream and proxies and writes the node's settings.
    pub(crate) fn prepare(place: Placement, folder: &Path, handle: &Handle) -> io::Result<Self> {
        let Placement { number, data_centre, ports, platform } = place;
        let mbps = if number % SLOW_EVERY == SLOW_EVERY - 1 { SLOW_MBPS } else { 0 };
        let bandwidth: Bandwidth = (mbps > 0).then_some(mbps * 1_000_000 / 8);
        let (public, inner) = (address(1, number, 0), address(2, number, 0));
        let upstream = start_upstream(public, handle)?;
        let inner_nodes = address(2, number, ports.nodes);
        let outer_nodes = address(1, number, ports.nodes);
        let (nodes, _) = Proxy::start(outer_nodes, inner_nodes, bandwidth, handle)?;
        let (platform, to_platform) = Proxy::start(inner, platform, bandwidth, handle)?;
        let callers = address(2, number, port::free()?);
        let operators = address(2, number, port::free()?);
        let service = SERVICES[number / 3 % SERVICES.len()];
        let settings = folder.join(format!("node-{number}.json"));
        let text = serde_json::json!({
            "instance": format!("node-{number}"),
            "service": service,
            "data_centre": data_centre,
            "listen": {
                "traffic": callers.to_string(),
                "nodes": inner_nodes.to_string(),
                "peers": address(1, number, ports.peers).to_string(),
                "operators": operators.to_string(),
            },
            "upstream": { "address": upstream.address().to_string(), "slots": SLOTS },
            "platform": to_platform.to_string(),
            "discovery": "list",
            "link_mbps": mbps,
            "traffic_threads": 1,
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
            renames: 0,
        })
    }

    /// Returns the entry of its upstream.
    pub(crate) fn entry(&self, standing: Standing) -> Entry {
        Entry {
            id: self.id.clone(),
            service: self.service.to_owned(),
            address: self.upstream.address(),
            data_centre: self.data_centre.to_owned(),
            slots: SLOTS,
            standing,
            cold_ms: 0,
            started_ms: Some(self.started_ms),
            revision: 0,
        }
    }

    /// Gives its upstream another identity.
    pub(crate) fn rename_upstream(&mut self) {
        self.renames += 1;
        let (name, _) = self.id.rsplit_once('-').unwrap_or((&self.id, ""));
        self.id = format!("{name}-{}", self.renames);
    }

    /// Notes that a life of its upstream begins.
    pub(crate) fn begin_incarnation(&mut self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.started_ms = now.max(self.started_ms + 1);
    }

    /// Starts another process of its upstream at the address of the one that was killed.
    pub(crate) fn restart_upstream(&mut self, handle: &Handle) -> io::Result<()> {
        // It may have been started again meanwhile.
        self.upstream.kill();
        let address = self.upstream.address();
        let begun = Instant::now();
        let upstream = loop {
            match start_upstream(address, handle) {
                // The previous one's socket is closed by its own thread, a moment later.
                Err(_) if begun.elapsed() < REBIND_LIMIT => thread::sleep(Duration::from_millis(2)),
                started => break started?,
            }
        };
        self.previous.push(std::mem::replace(&mut self.upstream, upstream));
        Ok(())
    }

    /// Returns when each named piece of work was begun at its upstream.
    pub(crate) fn starts(&self) -> Vec<(Instant, String)> {
        self.processes().flat_map(|upstream| upstream.ledger().starts).collect()
    }

    /// Returns the requests that end upstreams, as they came to its upstream: when they were begun, and what
    /// tells them apart.
    pub(crate) fn poison_requests(&self) -> Vec<(Instant, String)> {
        let runs = self.processes().flat_map(|upstream| upstream.ledger().poison_requests);
        runs.map(|(at, path)| (at, format!("{} {path}", self.service))).collect()
    }

    /// Tells whether its upstream ended under a request within the time given.
    pub(crate) fn crashed_between(&self, from: Instant, until: Instant) -> bool {
        let mut crashes = self.processes().flat_map(|upstream| upstream.ledger().crashes);
        crashes.any(|at| (from..=until).contains(&at))
    }

    /// Returns every process of its upstream, the present one last.
    fn processes(&self) -> impl Iterator<Item = &Upstream> {
        self.previous.iter().chain([&self.upstream])
    }

    /// Returns how often each named piece of work was begun at its upstream.
    pub(crate) fn runs_by_work(&self) -> HashMap<String, u32> {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for (_, work) in self.starts() {
            *runs.entry(work).or_default() += 1;
        }
        runs
    }

    /// Starts the node and waits until it serves its operators' page, or has had the time for it.
    ///
    /// A signal in the first two milliseconds of a process, before its own code runs, ends it without
    /// a word; a reload would then leave the node dead until the end of the soak.
    pub(crate) fn start_node(&mut self, daemon: &Path) -> io::Result<()> {
        self.process = Some(mesh::spawn(daemon, &self.settings, &self.log)?);
        let begun = Instant::now();
        while TcpStream::connect(self.operators).is_err() && begun.elapsed() < START_LIMIT {
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

    /// Takes note if the node has ended by itself; tells whether it runs.
    pub(crate) fn poll_process(&mut self) -> io::Result<bool> {
        let Some(process) = &mut self.process else { return Ok(false) };
        if process.try_wait()?.is_none() {
            self.history.confirm(Condition::Stopping);
            return Ok(true);
        }
        self.process = None;
        let asked = self.history.is_active(Condition::Stopping);
        self.history.begin(if asked { Condition::Stopped } else { Condition::Crashed });
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

fn start_upstream(listen: SocketAddr, handle: &Handle) -> io::Result<Upstream> {
    let settings = upstream::Settings {
        listen,
        service_time: WORK,
        slots: SLOTS,
        ..upstream::Settings::default()
    };
    Upstream::start(settings, handle)
}

/// Returns an address of instance `number` in one of its two networks.
fn address(network: u8, number: usize, port: u16) -> SocketAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, network, high, low), port))
}
