//! Entry and serving nodes in one process, with fake upstreams and without control threads.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use fleet::{
    member::{Record, State},
    view::View,
};
use model::{
    config::build,
    document::{Delta, Document, Set},
};
use standins::{
    caller::{Answer, Call, Caller},
    upstream::{self, Upstream},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use telemetry::metric::Meter;
use tokio::runtime::{Builder, Runtime};
use traffic::{Clock, Listener, Proxy, Settings, Tuning};

/// Time limit of a waiting test; results don't depend on it otherwise.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Incarnation of every node.
pub(crate) const INCARNATION: u64 = 7;

/// A node without a control thread.
pub(crate) struct Node {
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) traffic: SocketAddr,
}

/// Nodes, each with a colocated upstream of service "paydesk", and an entry node without one.
pub(crate) struct Rig {
    pub(crate) runtime: Runtime,
    pub(crate) entry: Node,
    pub(crate) nodes: Vec<Node>,
    pub(crate) upstreams: Vec<Upstream>,
    ticking: Arc<AtomicBool>,
}

impl Rig {
    /// Starts one node per upstream, all configured with `profile`.
    pub(crate) fn new(upstreams: Vec<upstream::Settings>, profile: &str) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()
            .expect("threads can be started");
        let upstreams: Vec<(usize, Upstream)> = upstreams
            .into_iter()
            .map(|s| (s.slots, Upstream::start(s, runtime.handle()).expect("a port is free")))
            .collect();
        let nodes: Vec<Node> = upstreams
            .iter()
            .enumerate()
            .map(|(i, (slots, upstream))| start(&runtime, i, upstream.address(), *slots))
            .collect();
        let no_upstream = SocketAddr::from(([127, 0, 0, 1], 1));
        let entry = start(&runtime, 99, no_upstream, 1);
        let rig = Rig {
            entry,
            nodes,
            upstreams: upstreams.into_iter().map(|(_, upstream)| upstream).collect(),
            ticking: Arc::new(AtomicBool::new(true)),
            runtime,
        };
        rig.set_profile(profile);
        let records: Vec<Record> = rig
            .nodes
            .iter()
            .enumerate()
            .map(|(i, node)| record(i, node.traffic, State::Live))
            .collect();
        rig.set_view(&records);
        rig.start_ticks();
        rig
    }

    /// Configures every node with a profile.
    pub(crate) fn set_profile(&self, profile: &str) {
        let document = |key: &str, text: &str| Document {
            key: key.to_owned(),
            modified: 1,
            text: text.into(),
        };
        let documents = vec![
            document("profiles/p", profile),
            document("services/paydesk", r#"{"profile": "p"}"#),
        ];
        let delta = Delta { revision: 1, full: true, documents, ..Delta::default() };
        let snapshot = Arc::new(build(&Set::default().with(delta)).expect("the profile is valid"));
        for proxy in self.proxies() {
            proxy.set_config(snapshot.clone());
        }
    }

    /// Sets the view of the entry node.
    pub(crate) fn set_view(&self, records: &[Record]) {
        self.entry.proxy.set_view(Arc::new(View::new(records.iter(), "ktm-a")));
    }

    /// Stops the ticks of the pause detectors, as a pause of the process would.
    pub(crate) fn stop_ticks(&self) {
        self.ticking.store(false, Ordering::SeqCst);
    }

    /// Makes one call through the entry node.
    pub(crate) fn call(&self, call: &Call) -> Answer {
        self.runtime
            .block_on(Caller::new(self.entry.traffic).call(call))
            .expect("a node answers every whole request")
    }

    /// Returns how often `work` was started, over all upstreams.
    pub(crate) fn runs(&self, work: &str) -> u32 {
        self.upstreams.iter().filter_map(|u| u.ledger().runs_by_work.get(work).copied()).sum()
    }

    /// Waits until `done` returns `true`.
    pub(crate) fn wait(&self, done: impl Fn() -> bool) {
        let started = Instant::now();
        while !done() {
            assert!(started.elapsed() < TIMEOUT, "condition not met in time");
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn proxies(&self) -> Vec<Arc<Proxy>> {
        let nodes = self.nodes.iter().chain([&self.entry]);
        nodes.map(|node| node.proxy.clone()).collect()
    }

    fn start_ticks(&self) {
        let (proxies, ticking) = (self.proxies(), self.ticking.clone());
        self.runtime.spawn(async move {
            loop {
                if ticking.load(Ordering::SeqCst) {
                    for proxy in &proxies {
                        proxy.tick_pause_detector();
                    }
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }
}

/// Returns the membership record of a node of "paydesk".
pub(crate) fn record(number: usize, traffic: SocketAddr, state: State) -> Record {
    Record {
        address: node_address(number),
        traffic,
        instance: format!("paydesk-{number}"),
        service: "paydesk".to_owned(),
        data_centre: "ktm-a".to_owned(),
        incarnation: INCARNATION,
        sequence: 0,
        state,
    }
}

fn node_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 7_000 + number as u16))
}

fn start(runtime: &Runtime, number: usize, upstream: SocketAddr, slots: usize) -> Node {
    let settings = Settings {
        address: node_address(number),
        incarnation: Some(INCARNATION),
        service: "paydesk".to_owned(),
        upstream,
        slots,
        tuning: Tuning { connect_timeout: Duration::from_secs(2), ..Tuning::default() },
        max_connections: 256,
        // Long enough that load on the machine isn't detected as a pause.
        pause: policy::pause::Settings {
            gap: Duration::from_secs(3),
            ..policy::pause::Settings::default()
        },
        ..Settings::default()
    };
    let meter = Arc::new(Meter::new().expect("metrics can be set up"));
    let proxy = Proxy::new(settings, Clock::default(), meter);
    let listener = runtime
        .block_on(Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))))
        .expect("a port is free");
    let traffic = listener.address().expect("the listener has an address");
    runtime.spawn(listener.serve(proxy.clone()));
    Node { proxy, traffic }
}
