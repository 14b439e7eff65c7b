//! A whole mesh on loopback: one platform, upstreams, and a real node process beside each.

use fleet::source;
use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, Socket, Type};
use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};

use crate::{
    platform::Platform,
    upstream::{self, Upstream},
};

/// Time between two looks at something that is waited for.
const POLL: Duration = Duration::from_millis(5);

/// Nodes per data centre that every node is told of in its settings.
const SEEDS_PER_DATA_CENTRE: usize = 2;

/// What a mesh consists of.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Instances, in order.
    pub instances: Vec<Place>,
    /// How each upstream begins; its address is chosen here.
    pub upstream: upstream::Settings,
    /// Threads of each node that carry calls.
    pub traffic_threads: usize,
    /// How nodes pass on versions, as their settings name it.
    pub plan: &'static str,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            daemon: PathBuf::new(),
            instances: Vec::new(),
            upstream: upstream::Settings::default(),
            traffic_threads: 1,
            plan: "epidemic",
        }
    }
}

/// Where an instance runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
}

/// Lists `count` instances of each service in each data centre.
pub fn places(services: &[&str], data_centres: &[&str], count: usize) -> Vec<Place> {
    let mut places = Vec::new();
    for data_centre in data_centres {
        for service in services {
            let place =
                Place { service: (*service).to_owned(), data_centre: (*data_centre).to_owned() };
            places.extend(std::iter::repeat_n(place, count));
        }
    }
    places
}

/// One instance: an upstream and the node beside it.
pub struct Instance {
    /// The platform's name of it.
    pub name: String,
    /// Where it runs.
    pub place: Place,
    /// Address for calls.
    pub traffic: SocketAddr,
    /// Address for messages between nodes.
    pub peers: SocketAddr,
    /// Address of the operators' page.
    pub operators: SocketAddr,
    /// The upstream.
    pub upstream: Upstream,
    settings: PathBuf,
    process: Option<Child>,
    _reserved: Vec<Socket>,
}

/// A running mesh; everything ends when it is dropped.
pub struct Mesh {
    /// The platform.
    pub platform: Platform,
    /// The instances.
    pub instances: Vec<Instance>,
    daemon: PathBuf,
    folder: TempDir,
    runtime: Runtime,
}

impl Mesh {
    /// Starts platform and upstreams and writes the nodes' settings; no node runs yet.
    pub fn prepare(settings: &Settings) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(4)
            .thread_name("standins")
            .enable_all()
            .build()?;
        let platform = Platform::start()?;
        let folder = tempfile::tempdir()?;
        let mut instances = Vec::new();
        for (number, place) in settings.instances.iter().enumerate() {
            let upstream = Upstream::start(settings.upstream.clone(), runtime.handle())?;
            let reserved = [reserve()?, reserve()?, reserve()?];
            let [traffic, peers, operators] = [0, 1, 2].map(|i: usize| reserved[i].1);
            let name = format!("{}-{}-{number}", place.service, place.data_centre);
            let path = folder.path().join(format!("{name}.json"));
            instances.push(Instance {
                name,
                place: place.clone(),
                traffic,
                peers,
                operators,
                upstream,
                settings: path,
                process: None,
                _reserved: reserved.into_iter().map(|(socket, _)| socket).collect(),
            });
        }
        let daemon = settings.daemon.clone();
        let mesh = Mesh { platform, instances, daemon, folder, runtime };
        mesh.write_settings(settings)?;
        mesh.platform.set_instances(mesh.listing());
        Ok(mesh)
    }

    /// Starts everything.
    pub fn start(settings: &Settings) -> io::Result<Self> {
        let mut mesh = Mesh::prepare(settings)?;
        for number in 0..mesh.instances.len() {
            mesh.start_node(number)?;
        }
        Ok(mesh)
    }

    /// Returns the list of all instances as live.
    pub fn listing(&self) -> Vec<source::Instance> {
        let entry = |instance: &Instance| source::Instance {
            instance: instance.name.clone(),
            address: instance.peers,
            leaving: false,
        };
        self.instances.iter().map(entry).collect()
    }

    /// Returns a handle of the runtime on which the stand-ins run.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Returns the folder of the nodes' settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Starts the process of one node, which logs into the mesh's folder.
    pub fn start_node(&mut self, number: usize) -> io::Result<()> {
        let instance = &mut self.instances[number];
        let log = self.folder.path().join(format!("{}.log", instance.name));
        instance.process = Some(spawn(&self.daemon, &instance.settings, &log)?);
        Ok(())
    }

    /// Kills the process of one node without warning.
    pub fn kill_node(&mut self, number: usize) -> io::Result<()> {
        kill(&mut self.instances[number].process)
    }

    /// Sends a signal to the process of one node.
    pub fn signal_node(&self, number: usize, signal: Signal) -> io::Result<()> {
        send_signal(self.instances[number].process.as_ref(), signal)
    }

    /// Asks one node to stop in an orderly way and returns its exit status.
    pub fn stop_node(&mut self, number: usize) -> io::Result<Option<i32>> {
        self.signal_node(number, Signal::TERM)?;
        match self.instances[number].process.take() {
            Some(mut child) => Ok(child.wait()?.code()),
            None => Ok(None),
        }
    }

    /// Returns the process number of one node, if it runs.
    pub fn pid(&self, number: usize) -> Option<u32> {
        self.instances[number].process.as_ref().map(Child::id)
    }

    /// Returns the body of a page of one node's operators' server.
    pub fn page(&self, number: usize, path: &str) -> Option<String> {
        page(self.instances[number].operators, path)
    }

    /// Returns the revision in force at one node.
    pub fn revision(&self, number: usize) -> Option<u64> {
        let status: fleet::status::Node =
            serde_json::from_str(&self.page(number, "/status")?).ok()?;
        Some(status.version.revision)
    }

    /// Waits until `done`, and returns how long that took, or nothing after `limit`.
    pub fn wait(&self, limit: Duration, done: impl Fn(&Mesh) -> bool) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if done(self) {
                return Some(started.elapsed());
            }
            thread::sleep(POLL);
        }
        None
    }

    /// Waits until `revision` is in force at every running node that answers or should.
    pub fn wait_in_force(&self, revision: u64, limit: Duration) -> Option<Duration> {
        self.wait(limit, |mesh| {
            (0..mesh.instances.len())
                .filter(|&i| mesh.instances[i].process.is_some())
                .all(|i| mesh.revision(i) >= Some(revision))
        })
    }

    /// Waits until every running node knows `count` upstreams of `service` that take work.
    pub fn wait_upstreams(&self, service: &str, count: usize, limit: Duration) -> Option<Duration> {
        let knows = |mesh: &Mesh, number: usize| {
            let text = mesh.page(number, "/status")?;
            let status: fleet::status::Node = serde_json::from_str(&text).ok()?;
            let available =
                status.members.iter().filter(|m| m.service == service && m.state.takes_work());
            Some(available.count() == count)
        };
        self.wait(limit, |mesh| {
            (0..mesh.instances.len())
                .filter(|&i| mesh.instances[i].process.is_some())
                .all(|i| knows(mesh, i) == Some(true))
        })
    }

    fn write_settings(&self, settings: &Settings) -> io::Result<()> {
        let mut seeds = Vec::new();
        for instance in &self.instances {
            let same = |other: &&&Instance| other.place.data_centre == instance.place.data_centre;
            let first = self.instances.iter().take_while(|s| s.peers != instance.peers);
            if first.collect::<Vec<_>>().iter().filter(same).count() < SEEDS_PER_DATA_CENTRE {
                seeds.push(instance.peers.to_string());
            }
        }
        for instance in &self.instances {
            let text = serde_json::json!({
                "instance": instance.name,
                "service": instance.place.service,
                "data_centre": instance.place.data_centre,
                "listen": {
                    "traffic": instance.traffic.to_string(),
                    "peers": instance.peers.to_string(),
                    "operators": instance.operators.to_string(),
                },
                "upstream": {
                    "address": instance.upstream.address().to_string(),
                    "slots": settings.upstream.slots,
                },
                "platform": self.platform.address().to_string(),
                "contacts": seeds,
                "traffic_threads": settings.traffic_threads,
                "plan": settings.plan,
            });
            fs::write(&instance.settings, text.to_string())?;
        }
        Ok(())
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for number in 0..self.instances.len() {
            // The process may have ended by itself.
            let _ = self.kill_node(number);
        }
    }
}

/// Starts the program `daemon` as a node that adds all its output to the file `log`.
pub fn spawn(daemon: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(daemon)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Kills a process without warning, if there is one, and waits until it is gone.
pub fn kill(process: &mut Option<Child>) -> io::Result<()> {
    if let Some(mut child) = process.take() {
        child.kill()?;
        child.wait()?;
    }
    Ok(())
}

/// Sends a signal to a process, if there is one.
pub fn send_signal(process: Option<&Child>, signal: Signal) -> io::Result<()> {
    let Some(child) = process else { return Ok(()) };
    kill_process(Pid::from_child(child), signal).map_err(io::Error::from)
}

/// Returns the body of a page at `address`; nothing unless its status is 200.
pub fn page(address: SocketAddr, path: &str) -> Option<String> {
    use io::{Read, Write};
    let mut stream = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    write!(stream, "GET {path} HTTP/1.0\r\nhost: {address}\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    head.split(' ').nth(1).filter(|status| *status == "200")?;
    Some(body.to_owned())
}

/// Reserves a free address for a process that is started later.
///
/// The socket is bound and never listens: the process may bind the same address, since both allow
/// reuse, but the system gives it to nobody else. Without that, an outgoing connection of some
/// other process takes the port now and then, and the node cannot start.
fn reserve() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket();
    let address = address.ok_or_else(|| io::Error::other("the socket has no IP address"))?;
    Ok((socket, address))
}
