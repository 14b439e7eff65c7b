//! Calls that reach cold upstreams, with real nodes in list mode.

use fleet::directory::{Entry, Standing};
use rustix::process::Signal;
use standins::{
    caller::{Call, Caller},
    mesh,
    platform::{Mode, Platform},
    upstream::{self, COLD_HEADER, Upstream},
};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::Child,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tempfile::TempDir;
use tokio::{
    runtime::{Builder, Runtime},
    time::sleep,
};

/// Instances of each test.
const NODES: usize = 4;

/// Callers of each node.
const CALLERS: usize = 12;

/// Pause of a caller between two calls; all callers together make some 60 calls a second per upstream.
const PAUSE: Duration = Duration::from_millis(180);

/// Time to run one request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Concurrency limit of an upstream.
const SLOTS: usize = 12;

/// Time for which an upstream is cold.
const COLD: Duration = Duration::from_secs(3);

/// Largest number of calls that may reach a cold upstream in any second: 11 a second, times 1.5, and 8.
const BOUND: usize = 24;

/// Period in which the calls are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Interval at which upstreams write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time limit of a waiting test.
const TIMEOUT: Duration = Duration::from_secs(30);

const SERVICE: &str = r#"{
    "profile": "p",
    "warm_up": { "calls_per_min": 660, "length_ms": 3000, "health_path": "/health" }
}"#;

/// Makes the addresses of the tests of this file distinct.
static NETWORKS: AtomicU8 = AtomicU8::new(0);

/// An upstream and its node.
struct Instance {
    id: String,
    upstream: Upstream,
    started_ms: u64,
    callers: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Instance {
    fn entry(&self) -> Entry {
        Entry {
            id: self.id.clone(),
            service: "stock".to_owned(),
            address: self.upstream.address(),
            data_centre: "a".to_owned(),
            slots: SLOTS,
            standing: Standing::Ready,
            cold_ms: self.upstream.cold_left().as_millis() as u64,
            started_ms: Some(self.started_ms),
            revision: 0,
        }
    }

    fn start_node(&mut self) {
        let daemon = PathBuf::from(env!("CARGO_BIN_EXE_baobabrelayd"));
        let process = mesh::spawn(&daemon, &self.settings, &self.log);
        self.process = Some(process.expect("the node starts"));
    }

    fn members(&self) -> usize {
        let status = mesh::page(self.operators, "/status");
        let status =
            status.and_then(|text| serde_json::from_str::<fleet::status::Node>(&text).ok());
        status.filter(|status| status.version.revision > 0).map_or(0, |status| status.members.len())
    }

    /// Replaces the upstream's process by a new one, which is cold, at the same address and with the same identity.
    fn restart_upstream(&mut self, runtime: &Runtime) {
        self.upstream.kill();
        let started = Instant::now();
        let restarted = loop {
            match start_upstream(self.upstream.address(), &self.id, runtime) {
                Ok(upstream) => break upstream,
                // The previous process closes its socket asynchronously.
                Err(error) => assert!(started.elapsed() < TIMEOUT, "cannot bind: {error}"),
            }
            thread::sleep(Duration::from_millis(1));
        };
        restarted.become_cold(COLD);
        self.started_ms = wall_ms().max(self.started_ms + 1);
        self.upstream = restarted;
    }
}

/// Instances of one service, their platform and their callers.
struct Cluster {
    platform: Platform,
    instances: Vec<Instance>,
    running: Arc<AtomicBool>,
    runtime: Runtime,
    _folder: TempDir,
}

impl Cluster {
    /// Starts all nodes and the callers, and waits until every upstream is under load.
    fn start() -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build();
        let runtime = runtime.expect("a runtime can be started");
        let platform = Platform::start().expect("the platform starts");
        let folder = tempfile::tempdir().expect("a folder can be created");
        let network = NETWORKS.fetch_add(1, Ordering::Relaxed) + 10;
        let ports = free_ports();
        let instances = (0..NODES).map(|number| {
            let at = |port: u16| {
                SocketAddr::from((Ipv4Addr::new(127, network, 0, number as u8 + 1), port))
            };
            let id = format!("i-{number}");
            let upstream =
                start_upstream(at(ports[4]), &id, &runtime).expect("the upstream starts");
            let settings = folder.path().join(format!("{id}.json"));
            let text = serde_json::json!({
                "instance": id,
                "service": "stock",
                "data_centre": "a",
                "listen": {
                    "traffic": at(ports[0]).to_string(),
                    "nodes": at(ports[1]).to_string(),
                    "peers": at(ports[2]).to_string(),
                    "operators": at(ports[3]).to_string(),
                },
                "upstream": { "address": upstream.address().to_string(), "slots": SLOTS },
                "platform": platform.address().to_string(),
                "discovery": "list",
                "traffic_threads": 1,
                "headers": { "cold": COLD_HEADER },
                "repeats": { "percent": 20, "slack": 60 },
                "cold_excess": { "percent": 150, "slack": 8 },
                "overload": { "cold_window": true },
            });
            std::fs::write(&settings, text.to_string()).expect("the settings can be written");
            Instance {
                upstream,
                started_ms: wall_ms(),
                callers: at(ports[0]),
                operators: at(ports[3]),
                settings,
                log: std::env::var("COLD_LOGS")
                    .map_or(folder.path().to_owned(), PathBuf::from)
                    .join(format!("{network}-{id}.log")),
                process: None,
                id,
            }
        });
        let mut cluster = Cluster {
            instances: instances.collect(),
            platform,
            running: Arc::new(AtomicBool::new(true)),
            runtime,
            _folder: folder,
        };
        cluster.platform.publish(&[
            (
                "profiles/p",
                Some(r#"{"deadline_ms": 1500, "refused_status": 503, "idle_ms": 1000}"#),
            ),
            ("services/stock", Some(SERVICE)),
        ]);
        (0..NODES).for_each(|number| cluster.register(number));
        cluster.instances.iter_mut().for_each(Instance::start_node);
        let started = Instant::now();
        while cluster.instances.iter().any(|instance| instance.members() < NODES) {
            assert!(started.elapsed() < TIMEOUT, "the nodes are not ready: {}", cluster.logs());
            thread::sleep(Duration::from_millis(10));
        }
        cluster.start_callers();
        thread::sleep(PERIOD * 2);
        cluster
    }

    /// Returns the number of members that each node knows, and its log.
    fn logs(&self) -> String {
        let log = |instance: &Instance| {
            let text = std::fs::read_to_string(&instance.log).unwrap_or_default();
            format!("{}, {} members: {text}", instance.id, instance.members())
        };
        self.instances.iter().map(log).collect::<Vec<_>>().join("\n")
    }

    fn start_callers(&self) {
        for instance in &self.instances {
            for number in 0..CALLERS {
                let (address, running) = (instance.callers, self.running.clone());
                let offset = PAUSE * number as u32 / CALLERS as u32;
                self.runtime.spawn(async move {
                    sleep(offset).await;
                    let mut caller = Caller::new(address);
                    let call = Call { deadline_ms: Some(1_200), ..Call::get("/stock/a") };
                    while running.load(Ordering::Relaxed) {
                        // A refused call or a lost connection is of no interest here.
                        let _ = caller.call(&call).await;
                        sleep(PAUSE).await;
                    }
                });
            }
        }
    }

    /// Writes the present entry of an upstream.
    fn register(&self, number: usize) {
        let instance = &self.instances[number];
        self.platform.register(&instance.id, Some(instance.entry()));
    }

    fn register_all(&self) {
        (0..NODES).for_each(|number| self.register(number));
    }

    fn become_cold(&self) {
        self.instances.iter().for_each(|instance| instance.upstream.become_cold(COLD));
    }

    fn restart_upstreams(&mut self) {
        for instance in &mut self.instances {
            instance.restart_upstream(&self.runtime);
        }
    }

    fn signal_nodes(&self, signal: Signal) {
        for instance in &self.instances {
            mesh::send_signal(instance.process.as_ref(), signal).expect("the node runs");
        }
    }

    fn restart_nodes(&mut self) {
        for instance in &mut self.instances {
            mesh::kill(&mut instance.process).expect("the node can be killed");
            instance.start_node();
        }
    }

    /// Waits until all upstreams are warm, and returns the largest number of calls that reached each of them in a
    /// second while it was cold.
    fn finish(&self) -> Vec<usize> {
        let left = self.instances.iter().map(|instance| instance.upstream.cold_left()).max();
        thread::sleep(left.unwrap_or_default() + PERIOD / 2);
        self.running.store(false, Ordering::Relaxed);
        let peak = |instance: &Instance| instance.upstream.ledger().peak_while_cold(PERIOD);
        self.instances.iter().map(|instance| peak(instance).map_or(0, |(calls, _)| calls)).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            // The process may have exited already.
            let _ = mesh::kill(&mut instance.process);
        }
    }
}

fn start_upstream(listen: SocketAddr, id: &str, runtime: &Runtime) -> std::io::Result<Upstream> {
    let settings = upstream::Settings {
        listen,
        service_time: SERVICE_TIME,
        slots: SLOTS,
        ..upstream::Settings::default()
    };
    let upstream = Upstream::start(settings, runtime.handle())?;
    upstream.set_identity(id);
    Ok(upstream)
}

/// Returns different ports that are free at all addresses of the loopback network.
fn free_ports() -> [u16; 5] {
    let listeners = [(); 5].map(|()| TcpListener::bind("0.0.0.0:0").expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("the listener has an address").port())
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// How upstreams become cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Turn {
    /// While they run.
    Running,
    /// They restart at their addresses, under their identities.
    Restart,
}

/// When the platform lists the upstreams as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Listed {
    AtOnce,
    /// Once they write their next heartbeat.
    AtHeartbeat,
    /// Not while they are cold: the platform is down.
    Never,
}

/// What happens to the nodes when their upstreams become cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Nodes {
    Run,
    /// They are killed and start again.
    Restart,
    /// They stand still from shortly before to shortly after.
    Pause,
}

/// Plays a case; returns the largest number of calls that reached each upstream in a second while it was cold.
fn play(turn: Turn, listed: Listed, nodes: Nodes) -> Vec<usize> {
    let mut cluster = Cluster::start();
    if listed == Listed::Never {
        cluster.platform.set_mode(Mode::Down);
    }
    if nodes == Nodes::Pause {
        cluster.signal_nodes(Signal::STOP);
    }
    match turn {
        Turn::Running => cluster.become_cold(),
        Turn::Restart => cluster.restart_upstreams(),
    }
    match nodes {
        Nodes::Run => {}
        Nodes::Restart => cluster.restart_nodes(),
        Nodes::Pause => {
            thread::sleep(PERIOD / 2);
            cluster.signal_nodes(Signal::CONT);
        }
    }
    if listed == Listed::AtHeartbeat {
        thread::sleep(HEARTBEAT);
    }
    if listed != Listed::Never {
        cluster.register_all();
    }
    cluster.finish()
}

/// Plays cases and checks that no upstream gets more calls in a second than it bears while it is cold.
fn check(cases: &[(Turn, Listed, Nodes)]) {
    let mut failed = Vec::new();
    for case @ &(turn, listed, nodes) in cases {
        let peaks = play(turn, listed, nodes);
        println!("{case:?}: {peaks:?} calls in a second, {BOUND} allowed");
        if peaks.iter().any(|peak| *peak > BOUND) {
            failed.push((case, peaks));
        }
    }
    assert!(failed.is_empty(), "{failed:?}, {BOUND} calls allowed");
}

/// Guards against full load on an upstream that the list reports as cold.
#[test]
fn an_upstream_that_is_listed_as_cold_is_not_flooded() {
    check(&[
        (Turn::Running, Listed::AtOnce, Nodes::Run),
        (Turn::Restart, Listed::AtOnce, Nodes::Run),
    ]);
}

/// Guards against full load on an upstream that is cold before its node can learn it from the list.
#[test]
fn an_upstream_that_is_cold_before_it_is_listed_is_not_flooded() {
    check(&[
        (Turn::Running, Listed::AtHeartbeat, Nodes::Run),
        (Turn::Running, Listed::Never, Nodes::Run),
        (Turn::Restart, Listed::Never, Nodes::Run),
        (Turn::Running, Listed::AtHeartbeat, Nodes::Restart),
        (Turn::Running, Listed::AtHeartbeat, Nodes::Pause),
    ]);
}
