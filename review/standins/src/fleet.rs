//! Starts nodes as the deploy file says, and asks for their readiness as the platform does.

use crate::{http, record::Record};
use std::{
    collections::BTreeMap,
    env, fs,
    io::BufReader,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    thread,
    time::Duration,
};

/// Names of a node's ports in the settings.
const PORTS: [&str; 6] = ["outbound", "inbound", "ready", "app", "peers", "store"];

/// Port of the metrics in the settings template.
const METRICS_PORT: u16 = 9464;

/// Addresses of a deployment: one loopback address a machine, the same ports on all.
#[derive(Clone)]
pub struct Addresses {
    block: (u8, u8),
    first_port: u16,
}

impl Addresses {
    /// Finds a block of loopback addresses whose ports are free.
    pub fn find(machines: u8) -> Addresses {
        let seed = process::id();
        for attempt in 0..200u32 {
            let number = seed.wrapping_mul(2_654_435_761).wrapping_add(attempt * 40_503);
            let block = (16 + (number >> 8) as u8 % 200, 1 + (number >> 16) as u8 % 250);
            let first_port = 21_000 + (number >> 4) as u16 % 9_000;
            let found = Addresses { block, first_port };
            let is_free = (1..=machines).all(|machine| {
                let ports = (0..PORTS.len() as u16).map(|i| first_port + i).chain([METRICS_PORT]);
                ports.into_iter().all(|port| TcpListener::bind((found.ip(machine), port)).is_ok())
            });
            if is_free {
                return found;
            }
        }
        panic!("no block of loopback addresses is free");
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.block.0, self.block.1, machine))
    }

    pub fn at(&self, machine: u8, port: &str) -> SocketAddr {
        let index = PORTS.iter().position(|name| *name == port).expect("a known port");
        SocketAddr::new(self.ip(machine), self.first_port + index as u16)
    }
}

/// A machine of the deployment.
#[derive(Clone)]
pub struct Machine {
    pub number: u8,
    pub zone: String,
    pub service: String,
    pub addresses: Addresses,
}

impl Machine {
    pub fn at(&self, port: &str) -> SocketAddr {
        self.addresses.at(self.number, port)
    }
}

/// A running node; killed on drop.
pub struct Node {
    pub child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts nodes with rendered settings in a temporary folder, which is removed on drop.
pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    bounds: &'static str,
    store: SocketAddr,
}

impl Deployment {
    pub fn new(root: &Path, store: SocketAddr, bounds: &'static str) -> Deployment {
        let folder = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Deployment { root: root.to_owned(), folder, bounds, store }
    }

    /// Starts the node of `machine` with the command of the deploy file.
    pub fn start(&self, machine: &Machine, is_first_start: bool) -> Node {
        let settings = self.folder.join(format!("node-{}.json", machine.number));
        fs::write(&settings, self.render(machine, is_first_start)).expect("a settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{}.log", machine.number)))
            .expect("a log file");
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml")).expect("deploy file");
        let command = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .expect("the deploy file has a command");
        let mut words = command.split(' ');
        let child = Command::new(self.root.join(words.next().expect("a program")))
            .args(words)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .env("BAOBABRELAY_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        Node { child: child.expect("the node's program is built") }
    }

    /// Fills in the settings template of the deploy file.
    fn render(&self, machine: &Machine, is_first_start: bool) -> String {
        let text = |value: &str| format!("\"{value}\"");
        let peers = machine.at("peers");
        let fields: BTreeMap<&str, String> = [
            ("bounds|json", self.bounds.to_owned()),
            ("platform.addr|json", text(&self.store.to_string())),
            ("limits.memory_mb|json", "260".to_owned()),
            ("limits.link_mbps|json", "1000.0".to_owned()),
            ("node_name|json", text(&format!("sidecar-{}-{}", machine.zone, machine.number))),
            ("service|json", text(&machine.service)),
            ("zone|json", text(&machine.zone)),
            ("listen.outbound|json", text(&machine.at("outbound").to_string())),
            ("listen.inbound|json", text(&machine.at("inbound").to_string())),
            ("listen.ready|json", text(&machine.at("ready").to_string())),
            ("ip", peers.ip().to_string()),
            ("port_range.0", peers.port().to_string()),
            ("app_addr|json", text(&machine.at("app").to_string())),
            ("bootstrap|json", is_first_start.to_string()),
        ]
        .into();
        let mut settings =
            fs::read_to_string(self.root.join("deploy/node.json")).expect("the settings template");
        for (name, value) in fields {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!settings.contains("{{"), "a field of the template is not known here");
        settings
    }

    /// Copies the nodes' logs into `folder`, for a look at a failure.
    pub fn keep_logs(&self, folder: &Path) {
        let _ = fs::create_dir_all(folder);
        for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let _ = fs::copy(entry.path(), folder.join(entry.file_name()));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Asks a node once whether it is ready.
pub fn is_ready(machine: &Machine) -> bool {
    let ask = || {
        let timeout = Duration::from_millis(500);
        let mut stream = TcpStream::connect_timeout(&machine.at("ready"), timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        let headers = [("Host", "ready"), ("Connection", "close")];
        http::write(&mut stream, "GET /-/ready HTTP/1.1", &headers, b"").ok()?;
        http::read(&mut BufReader::new(stream)).ok()?
    };
    ask().is_some_and(|answer| answer.second() == "200")
}

/// Asks every machine once a second, as the platform does, and records what changes.
pub fn probe(machines: Vec<Machine>, record: Record) {
    thread::spawn(move || {
        let mut known: BTreeMap<u8, bool> = BTreeMap::new();
        loop {
            for machine in &machines {
                let ready = is_ready(machine);
                if known.insert(machine.number, ready) != Some(ready) {
                    let answer = if ready { "200" } else { "no 200" };
                    record.note(format!("readiness of machine {}: {answer}", machine.number));
                }
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
}

/// Sends a signal to a process that this test started.
pub fn signal(child: &Child, name: &str) {
    let command = format!("kill -{name} {}", child.id());
    let status = Command::new("sh").args(["-c", &command]).status();
    assert!(status.is_ok_and(|status| status.success()), "the signal is sent");
}
