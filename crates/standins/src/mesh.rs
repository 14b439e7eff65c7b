//! A mesh on loopback: one platform, upstreams, and a node process for each upstream.

use fleet::source;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
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

/// Interval at which `wait` functions check their condition.
const POLL: Duration = Duration::from_millis(5);

/// Seed nodes per data centre in every node's settings.
const SEEDS_PER_DATA_CENTRE: usize = 2;

/// Settings of a [`Mesh`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the node's executable.
    pub daemon: PathBuf,
    /// Service and data centre of each instance, by instance number.
    pub instances: Vec<Place>,
    /// Settings of every upstream.
    pub upstream: upstream::Settings,
    /// Value of `traffic_threads` in every node's settings.
    pub traffic_threads: usize,
    /// Value of `plan` in every node's settings: how versions are disseminated.
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

/// Service and data centre of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Service name.
    pub service: String,
    /// Data centre name.
    pub data_centre: String,
}

/// Returns `count` places for each service in each data centre.
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

/// One instance: an upstream and its colocated node.
pub struct Instance {
    /// Instance name, as the platform lists it.
    pub name: String,
    /// Service and data centre.
    pub place: Place,
    /// Node's listen address for callers.
    pub traffic: SocketAddr,
    /// Node's listen address for other nodes.
    pub peers: SocketAddr,
    /// Listen address of the node's operators' HTTP endpoint.
    pub operators: SocketAddr,
    /// Upstream, which runs in this process.
    pub upstream: Upstream,
    settings: PathBuf,
    process: Option<Child>,
    _reserved: Vec<Socket>,
}

/// A running mesh; dropping it kills the node processes and stops the upstreams.
pub struct Mesh {
    /// Platform that all nodes read.
    pub platform: Platform,
    /// Instances, in the order of [`Settings::instances`].
    pub instances: Vec<Instance>,
    daemon: PathBuf,
    folder: TempDir,
    runtime: Runtime,
}

impl Mesh {
    /// Starts the platform and the upstreams and writes the nodes' settings, but starts no node.
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

    /// Prepares a mesh and starts every node.
    pub fn start(settings: &Settings) -> io::Result<Self> {
        let mut mesh = Mesh::prepare(settings)?;
        for number in 0..mesh.instances.len() {
            mesh.start_node(number)?;
        }
        Ok(mesh)
    }

    /// Returns the platform's list of all instances, none of them leaving.
    pub fn listing(&self) -> Vec<source::Instance> {
        let entry = |instance: &Instance| source::Instance {
            instance: instance.name.clone(),
            address: instance.peers,
            leaving: false,
        };
        self.instances.iter().map(entry).collect()
    }

    /// Returns the runtime of the upstreams.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Returns the directory with the nodes' settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Starts a node's process; its output goes to `<name>.log` in [`Mesh::folder`].
    pub fn start_node(&mut self, number: usize) -> io::Result<()> {
        let instance = &mut self.instances[number];
        let log = self.folder.path().join(format!("{}.log", instance.name));
        instance.process = Some(spawn(&self.daemon, &instance.settings, &log)?);
        Ok(())
    }

    /// Kills a node's process with SIGKILL.
    pub fn kill_node(&mut self, number: usize) -> io::Result<()> {
        kill(&mut self.instances[number].process)
    }

    /// Sends a signal to a node's process.
    pub fn signal_node(&self, number: usize, signal: Signal) -> io::Result<()> {
        send_signal(self.instances[number].process.as_ref(), signal)
    }

    /// Stops a node with SIGTERM and returns its exit code, `None` if it did not run or was killed
    /// by a signal.
    pub fn stop_node(&mut self, number: usize) -> io::Result<Option<i32>> {
        self.signal_node(number, Signal::TERM)?;
        match self.instances[number].process.take() {
            Some(mut child) => Ok(child.wait()?.code()),
            None => Ok(None),
        }
    }

    /// Returns a node's process id, if it was started and neither stopped nor killed.
    pub fn pid(&self, number: usize) -> Option<u32> {
        self.instances[number].process.as_ref().map(Child::id)
    }

    /// Returns the body of a page of a node's operators' HTTP endpoint, or `None` unless its status is
    /// 200.
    pub fn page(&self, number: usize, path: &str) -> Option<String> {
        page(self.instances[number].operators, path)
    }

    /// Returns the revision in force at a node, `None` if it does not answer.
    pub fn revision(&self, number: usize) -> Option<u64> {
        let status: fleet::status::Node =
            serde_json::from_str(&self.page(number, "/status")?).ok()?;
        Some(status.version.revision)
    }

    /// Waits until `done` returns true, and returns the time this took, or `None` after `limit`.
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

    /// Waits until `revision` or a later one is in force at every started node.
    pub fn wait_in_force(&self, revision: u64, limit: Duration) -> Option<Duration> {
        self.wait(limit, |mesh| {
            (0..mesh.instances.len())
                .filter(|&i| mesh.instances[i].process.is_some())
                .all(|i| mesh.revision(i) >= Some(revision))
        })
    }

    /// Waits until every started node knows exactly `count` upstreams of `service` that accept
    /// calls.
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
            let is_same_data_centre =
                |other: &&&Instance| other.place.data_centre == instance.place.data_centre;
            let previous = self.instances.iter().take_while(|other| other.peers != instance.peers);
            if previous.collect::<Vec<_>>().iter().filter(is_same_data_centre).count()
                < SEEDS_PER_DATA_CENTRE
            {
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
            // The process may have exited already.
            let _ = self.kill_node(number);
        }
    }
}

/// Starts the executable `daemon` as a node whose output is appended to the file `log`.
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

/// Kills a process with SIGKILL, if there is one, and reaps it.
pub fn kill(process: &mut Option<Child>) -> io::Result<()> {
    if let Some(mut child) = process.take() {
        child.kill()?;
        child.wait()?;
    }
    Ok(())
}

/// Sends a signal to a process, if there is one; after SIGSTOP, waits until the process has stopped.
pub fn send_signal(process: Option<&Child>, signal: Signal) -> io::Result<()> {
    let Some(child) = process else { return Ok(()) };
    let pid = Pid::from_child(child);
    kill_process(pid, signal)?;
    if signal == Signal::STOP {
        // On a busy machine, threads of the process still run for a while after `kill` has returned. The
        // process may also exit instead, and its status is left to `Child::wait`.
        let stopped_or_exited =
            WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        waitid(WaitId::Pid(pid), stopped_or_exited)?;
    }
    Ok(())
}

/// Returns the body of a page at `address`, or `None` unless its status is 200.
pub fn page(address: SocketAddr, path: &str) -> Option<String> {
    use io::{Read, Write};
    let mut stream = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    write!(stream, "GET {path} HTTP/1.0\r\nhost: {address}\r\n\r\n").ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    head.split(' ').nth(1).filter(|status| *status == "200")?;
    Some(body.to_owned())
}

/// Reserves a free port for a process that is started later.
///
/// The socket is bound but never listens: the process can bind the same address, since both set
/// `SO_REUSEADDR`, and the kernel doesn't assign the port to an outgoing connection.
fn reserve() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket();
    let address = address.ok_or_else(|| io::Error::other("reserved socket has no IP address"))?;
    Ok((socket, address))
}
