//! Instances of a soak: an upstream, a node process and the proxies around it.

use fleet::directory::{Entry, Standing};
use rustix::process::Signal;
use standins::{
    mesh,
    platform::Platform,
    upstream::{self, Upstream},
};
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::Child,
    thread,
    time::{Duration, Instant},
};
use tokio::runtime::{Builder, Runtime};

use crate::soak::proxy::Proxy;

/// Services of the mesh, one after the other.
const SERVICES: [&str; 2] = ["stock", "pay"];

/// What an upstream's requests take.
const WORK: Duration = Duration::from_millis(15);

/// Requests that an upstream works on at once.
const SLOTS: usize = 8;

/// Longest wait for a node to take signals; it takes some 2 ms on an idle machine.
const START: Duration = Duration::from_secs(2);

/// One instance.
pub(crate) struct Spot {
    /// Identity of its upstream's present life.
    pub(crate) id: String,
    pub(crate) service: &'static str,
    data_centre: &'static str,
    pub(crate) upstream: Upstream,
    /// Between other nodes and this one's address for their calls.
    pub(crate) nodes: Proxy,
    /// Between this node and the platform.
    pub(crate) platform: Proxy,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
    pub(crate) process: Option<Child>,
    /// Until when the latest fault that touches it lasts.
    pub(crate) touched: Instant,
    /// Whether its node was never killed, paused or stopped.
    pub(crate) is_steady: bool,
    lives: u32,
}

impl Spot {
    /// Tells whether no fault touches it.
    pub(crate) fn is_calm(&self) -> bool {
        self.touched < Instant::now()
    }
}

/// All instances and the platform.
pub(crate) struct Site {
    pub(crate) platform: Platform,
    pub(crate) spots: Vec<Spot>,
    pub(crate) runtime: Runtime,
    daemon: PathBuf,
    folder: PathBuf,
    published: u64,
    versions: u64,
}

/// Ports that are the same on all instances.
#[derive(Clone, Copy, Debug)]
struct Ports {
    nodes: u16,
    peers: u16,
}

impl Site {
    /// Starts platform, upstreams, proxies and nodes, and publishes a first version.
    pub(crate) fn start(
        daemon: &Path,
        count: usize,
        data_centres: &[&'static str],
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
        let folder = std::env::temp_dir().join(format!("baobabrelay-soak-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut site = Site {
            platform: Platform::start()?,
            spots: Vec::new(),
            runtime,
            daemon: daemon.to_owned(),
            folder,
            published: 0,
            versions: 0,
        };
        let ports = Ports { nodes: free_port()?, peers: free_port()? };
        site.publish();
        for number in 0..count {
            let spot = site.prepare(number, data_centres[number % data_centres.len()], ports)?;
            site.spots.push(spot);
            site.register(number, Standing::Ready);
        }
        for number in 0..count {
            site.start_node(number)?;
        }
        Ok(site)
    }

    fn prepare(&self, number: usize, data_centre: &'static str, ports: Ports) -> io::Result<Spot> {
        let (public, inner) = (address(1, number, 0), address(2, number, 0));
        let upstream = upstream::Settings {
            listen: public,
            work: WORK,
            slots: SLOTS,
            ..upstream::Settings::default()
        };
        let upstream = Upstream::start(upstream, self.runtime.handle())?;
        let nodes_inner = address(2, number, ports.nodes);
        let (nodes, _) = Proxy::start(address(1, number, ports.nodes), nodes_inner)?;
        let (platform, to_platform) = Proxy::start(inner, self.platform.address())?;
        let callers = address(2, number, free_port()?);
        let operators = address(2, number, free_port()?);
        let service = SERVICES[number / 3 % SERVICES.len()];
        let settings = self.folder.join(format!("node-{number}.json"));
        let text = serde_json::json!({
            "instance": format!("node-{number}"),
            "service": service,
            "data_centre": data_centre,
            "listen": {
                "traffic": callers.to_string(),
                "nodes": nodes_inner.to_string(),
                "peers": address(1, number, ports.peers).to_string(),
                "operators": operators.to_string(),
            },
            "upstream": { "address": upstream.address().to_string(), "slots": SLOTS },
            "platform": to_platform.to_string(),
            "discovery": "list",
            "traffic_threads": 1,
            "repeats": { "percent": 20, "slack": 60 },
            "stop": { "linger_ms": 300, "finish_ms": 1_500, "limit_ms": 4_000 },
        });
        fs::write(&settings, text.to_string())?;
        Ok(Spot {
            id: format!("i-{number}-0"),
            service,
            data_centre,
            upstream,
            nodes,
            platform,
            callers,
            operators,
            settings,
            process: None,
            touched: Instant::now(),
            is_steady: true,
            lives: 0,
        })
    }

    /// Publishes another version.
    pub(crate) fn publish(&mut self) {
        self.versions += 1;
        let profile = format!(
            r#"{{"deadline_ms": 1500, "refused_status": 503, "idle_ms": 1000, "slow_start_ms": {}}}"#,
            1_000 + self.versions
        );
        let service = r#"{"profile": "p"}"#;
        let mut documents = vec![("profiles/p".to_owned(), profile)];
        documents.extend(SERVICES.map(|name| (format!("services/{name}"), service.to_owned())));
        let documents: Vec<(&str, Option<&str>)> =
            documents.iter().map(|(key, text)| (key.as_str(), Some(text.as_str()))).collect();
        self.published = self.platform.publish(&documents);
    }

    /// Returns the revision of the newest version.
    pub(crate) fn published(&self) -> u64 {
        self.published
    }

    /// Writes the entry of an instance's upstream.
    pub(crate) fn register(&self, number: usize, standing: Standing) {
        let spot = &self.spots[number];
        let entry = Entry {
            id: spot.id.clone(),
            service: spot.service.to_owned(),
            address: spot.upstream.address(),
            data_centre: spot.data_centre.to_owned(),
            slots: SLOTS,
            standing,
            cold_ms: 0,
            started_ms: None,
            revision: 0,
        };
        self.platform.register(&spot.id, Some(entry));
    }

    /// Replaces an upstream by another life at the same address.
    pub(crate) fn replace(&mut self, number: usize) {
        self.platform.register(&self.spots[number].id, None);
        let spot = &mut self.spots[number];
        spot.lives += 1;
        spot.id = format!("i-{number}-{}", spot.lives);
        self.register(number, Standing::Ready);
    }

    pub(crate) fn start_node(&mut self, number: usize) -> io::Result<()> {
        let log = self.log(number);
        let spot = &mut self.spots[number];
        spot.process = Some(mesh::spawn(&self.daemon, &spot.settings, &log)?);
        self.await_start(number);
        Ok(())
    }

    /// Waits until a node serves its operators' page, or has had the time for it.
    ///
    /// A signal in the first two milliseconds of a process, before its own code runs, ends it without
    /// a word; a reload would then leave the node dead until the end of the soak.
    fn await_start(&self, number: usize) {
        let operators = self.spots[number].operators;
        let begun = Instant::now();
        while TcpStream::connect(operators).is_err() && begun.elapsed() < START {
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub(crate) fn kill_node(&mut self, number: usize) -> io::Result<()> {
        mesh::kill(&mut self.spots[number].process)
    }

    pub(crate) fn signal(&self, number: usize, signal: Signal) -> io::Result<()> {
        mesh::send_signal(self.spots[number].process.as_ref(), signal)
    }

    /// Tells whether a node answers and holds a version and every upstream.
    pub(crate) fn is_ready(&self, number: usize) -> bool {
        let Some(status) = self.status(number) else { return false };
        status.version.revision > 0 && status.members.len() == self.spots.len()
    }

    /// Returns the revision in force at a node.
    pub(crate) fn revision(&self, number: usize) -> Option<u64> {
        // Versions count the platform's publications, and so does its configuration's revision.
        self.status(number).map(|status| status.version.revision)
    }

    pub(crate) fn status(&self, number: usize) -> Option<fleet::status::Node> {
        self.spots[number].process.as_ref()?;
        serde_json::from_str(&mesh::page(self.spots[number].operators, "/status")?).ok()
    }

    /// Describes every node, for a report.
    pub(crate) fn states(&self) -> String {
        let state = |number| match self.status(number) {
            Some(s) => format!("{number}: {} of {}, ", s.version.revision, s.members.len()),
            None => format!("{number}: silent, "),
        };
        (0..self.spots.len()).map(state).collect()
    }

    pub(crate) fn wait(&self, limit: Duration, done: impl Fn(&Site) -> bool) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if done(self) {
                return Some(begun.elapsed());
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Returns the folder with the nodes' logs, which is kept.
    pub(crate) fn keep_logs(&self) -> io::Result<PathBuf> {
        Ok(self.folder.clone())
    }

    fn log(&self, number: usize) -> PathBuf {
        self.folder.join(format!("node-{number}.log"))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for number in 0..self.spots.len() {
            // The process may have ended by itself.
            let _ = self.kill_node(number);
        }
    }
}

/// Returns an address of instance `number` in one of its two networks.
fn address(network: u8, number: usize, port: u16) -> SocketAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, network, high, low), port))
}

/// Returns a port that is free on every loopback address, as far as one can tell.
fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind(("0.0.0.0", 0))?.local_addr()?.port())
}
