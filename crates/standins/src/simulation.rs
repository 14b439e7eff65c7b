//! In-memory ports for [`fleet::control::Control`]: messages and platform on a virtual clock.
//!
//! It counts messages and bytes and checks, at every step, what must always hold. It knows no
//! machines: a node is a state machine, a message takes a fixed time and is lost or duplicated as
//! told.

mod delivery;
mod queue;

use fleet::{
    clock::Now,
    control::{Control, Event, Settings},
    dissemination,
    member::{Record, State},
    source::{Instance, Listing},
};
use model::{
    config::{self, Version},
    document::{Delta, Document, Removal, Set},
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use self::queue::{Item, Queue};

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(50);

/// Virtual wall clock at the start, in ms since the Unix epoch.
const EPOCH_MS: u64 = 1_800_000_000_000;

/// Time from a node's death to the next incarnation at its address, at least; lives differ by wall clock.
const INCARNATION_GAP: Duration = Duration::from_millis(2);

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// It answers.
    Up,
    /// It does not.
    Down,
    /// It serves the revision that was newest when it became stale.
    Stale,
    /// It answers after this time.
    Slow(Duration),
}

/// Settings of a [`Net`].
pub struct Options {
    /// Nodes.
    pub nodes: usize,
    /// Data centres, over which the nodes are spread evenly.
    pub data_centres: usize,
    /// Services, over which the nodes are spread evenly.
    pub services: usize,
    /// Time that a message takes.
    pub latency: Duration,
    /// Creates the plan of each node.
    pub dissemination: fn() -> Box<dyn dissemination::Strategy>,
    /// Nodes that each node is told of when it starts; 0 leaves only the platform's list.
    pub seeds: usize,
    /// Seed of everything random.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            nodes: 6,
            data_centres: 2,
            services: 2,
            latency: Duration::from_millis(1),
            dissemination: || Box::new(dissemination::Epidemic::default()),
            seeds: 4,
            seed: 1,
        }
    }
}

/// One node.
struct Node {
    control: Option<Control>,
    incarnation: u64,
    started: Time,
    in_force: Version,
    drained: bool,
    paused_until: Option<Time>,
    paused_at: Time,
    deferred: Vec<Item>,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Messages between nodes, answers included.
    pub messages: u64,
    /// Bytes of those.
    pub bytes: u64,
    /// Reads of the platform.
    pub reads: u64,
}

/// Nodes, messages between them, and the platform.
pub struct Net {
    options: Options,
    now: Time,
    calls: u64,
    queue: Queue,
    nodes: Vec<Node>,
    random: SmallRng,
    set: Set,
    history: BTreeMap<u64, Set>,
    served: Set,
    listing: Listing,
    source: Source,
    reads: VecDeque<Time>,
    /// Most reads within one second.
    pub peak_reads: usize,
    /// Share of messages that are lost, in %.
    pub loss: u32,
    /// Share of messages that arrive a second time, up to ten seconds later, in %.
    pub duplication: u32,
    partitions: Vec<u32>,
    blocked: HashSet<usize>,
    /// Calls between nodes that have neither been answered nor given up.
    pending_calls: HashSet<u64>,
    /// What was counted since the last call of [`Net::take_counts`].
    counts: Counts,
    /// What did not hold, if anything.
    pub violations: Vec<String>,
}

impl Net {
    /// Creates a platform and starts all nodes.
    pub fn new(options: Options) -> Self {
        let random = SmallRng::seed_from_u64(options.seed);
        let nodes = options.nodes;
        let mut net = Net {
            now: Time::from_millis(1_000),
            calls: 0,
            queue: Queue::default(),
            nodes: Vec::new(),
            random,
            set: Set::default(),
            history: BTreeMap::new(),
            served: Set::default(),
            listing: Listing::default(),
            source: Source::Up,
            reads: VecDeque::new(),
            peak_reads: 0,
            loss: 0,
            duplication: 0,
            partitions: vec![0; nodes],
            blocked: HashSet::new(),
            pending_calls: HashSet::new(),
            counts: Counts::default(),
            violations: Vec::new(),
            options,
        };
        let instances: Vec<Instance> = (0..nodes).map(|i| net.instance(i)).collect();
        net.listing = Listing { revision: 1, instances };
        for _ in 0..nodes {
            net.nodes.push(Node {
                control: None,
                incarnation: 0,
                started: net.now,
                in_force: Version::default(),
                drained: false,
                paused_until: None,
                paused_at: net.now,
                deferred: Vec::new(),
            });
        }
        for node in 0..nodes {
            net.start(node);
        }
        net
    }

    /// Returns the sequence of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Tells whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns a node's state machine, if it runs.
    pub fn control(&self, node: usize) -> Option<&Control> {
        self.nodes[node].control.as_ref()
    }

    /// Returns the version in force at a node.
    pub fn version(&self, node: usize) -> Version {
        self.nodes[node].in_force
    }

    /// Tells whether a node runs and is not told to leave.
    pub fn is_working(&self, node: usize) -> bool {
        self.nodes[node].control.is_some() && !self.nodes[node].drained
    }

    /// Returns what was counted since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Starts a new incarnation of a node, ending the present one.
    pub fn start(&mut self, node: usize) {
        self.kill(node);
        let count = self.options.seeds.min(self.len());
        let stride = self.len().div_ceil(count.max(1));
        let seeds = (0..count).map(|i| address(i * stride % self.len()));
        let own = self.record(node);
        let settings = Settings {
            seeds: seeds.collect(),
            dissemination: (self.options.dissemination)(),
            seed: self.random.random(),
            ..Settings::new(own)
        };
        // A node's own monotonic clock starts with its incarnation.
        let now = Now { time: Time::default(), ..self.clock() };
        let state = &mut self.nodes[node];
        state.control = Some(Control::new(settings, now));
        state.started = self.now;
        state.in_force = Version::default();
        state.drained = false;
        let incarnation = state.incarnation;
        let first = Duration::from_micros(self.random.random_range(0..TICK.as_micros() as u64));
        self.schedule(first, Item::Tick(node, incarnation));
    }

    /// Ends a node's incarnation without a word.
    pub fn kill(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.control = None;
        state.incarnation += 1;
        state.paused_until = None;
        state.deferred.clear();
    }

    /// Has a node leave as by a planned stop.
    pub fn leave(&mut self, node: usize) {
        self.apply(node, Event::Leave);
    }

    /// Has a node leave, and ends its incarnation after two seconds.
    pub fn stop(&mut self, node: usize) {
        self.leave(node);
        self.run(Duration::from_secs(2));
        self.apply(node, Event::Stop);
        self.run(Duration::from_millis(20));
        self.kill(node);
    }

    /// Stops a node's clock for a while; what arrives meanwhile waits.
    pub fn pause(&mut self, node: usize, span: Duration) {
        let (now, state) = (self.now, &mut self.nodes[node]);
        if state.control.is_some() && state.paused_until.is_none() {
            state.paused_until = Some(now + span);
            state.paused_at = now;
        }
    }

    /// Puts a node into a group; messages pass only within a group.
    pub fn set_partition(&mut self, node: usize, partition: u32) {
        self.partitions[node] = partition;
    }

    /// Ends every separation.
    pub fn heal_partitions(&mut self) {
        self.partitions.fill(0);
    }

    /// Cuts a node off from the platform, or lets it in again.
    pub fn block_source(&mut self, node: usize) {
        self.blocked.insert(node);
    }

    /// Ends every cut from the platform.
    pub fn unblock_sources(&mut self) {
        self.blocked.clear();
    }

    /// Changes how the platform behaves.
    pub fn set_source(&mut self, source: Source) {
        self.source = source;
        if source != Source::Stale {
            self.served = self.set.clone();
        }
    }

    /// Has the platform serve `revision` as its newest.
    pub fn set_stale_at(&mut self, revision: u64) {
        self.source = Source::Stale;
        self.served = self.history.get(&revision).cloned().unwrap_or_default();
    }

    /// Returns what a node tells operators, if it runs.
    pub fn status(&mut self, node: usize) -> Option<fleet::status::Node> {
        let now = self.clock_of(node);
        self.nodes[node].control.as_mut().map(|control| control.status(now))
    }

    /// Separates a data centre from the others.
    pub fn partition_data_centre(&mut self, data_centre: usize) {
        for node in (0..self.len()).filter(|n| n % self.options.data_centres == data_centre) {
            self.partitions[node] = 1;
        }
    }

    /// Publishes one document, or removes it, and returns the new revision.
    pub fn publish(&mut self, key: &str, text: Option<&str>) -> u64 {
        let revision = self.set.version().revision + 1;
        let mut delta = Delta { revision, ..Delta::default() };
        match text {
            Some(text) => delta.documents.push(Document {
                key: key.to_owned(),
                modified: revision,
                text: text.into(),
            }),
            None => delta.removed.push(Removal { key: key.to_owned(), revision }),
        }
        self.set = self.set.with(delta);
        self.history.insert(revision, self.set.clone());
        if self.source != Source::Stale {
            self.served = self.set.clone();
        }
        revision
    }

    /// Lists a node as leaving.
    pub fn list_leaving(&mut self, node: usize) {
        self.listing.revision += 1;
        self.listing.instances[node].leaving = true;
    }

    /// Lists just these nodes, as live.
    pub fn list_only(&mut self, nodes: &[usize]) {
        self.listing.revision += 1;
        self.listing.instances = nodes.iter().map(|&node| self.instance(node)).collect();
    }

    /// Lists every node as live again, as a platform does for new instances at old addresses.
    pub fn list_all(&mut self) {
        self.listing.revision += 1;
        self.listing.instances.iter_mut().for_each(|i| i.leaving = false);
    }

    /// Returns the newest revision that is acceptable, 0 if there is none.
    pub fn newest_valid(&self) -> u64 {
        let valid = |(_, set): &(&u64, &Set)| config::build(set).is_ok();
        self.history.iter().rev().find(valid).map_or(0, |(&revision, _)| revision)
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, due)) = self.queue.pop(until) {
            self.now = self.now.max(at);
            self.dispatch(due);
        }
        self.now = until;
    }

    /// Lets time pass until every running node has `revision` in force; returns how long it took.
    pub fn run_until_in_force(&mut self, revision: u64, limit: Duration) -> Option<Duration> {
        let started = self.now;
        while self.now.since(started) < limit {
            let settled =
                self.nodes.iter().all(|s| s.control.is_none() || s.in_force.revision >= revision);
            if settled {
                return Some(self.now.since(started));
            }
            self.run(Duration::from_millis(1));
        }
        None
    }

    fn schedule(&mut self, after: Duration, due: Item) {
        self.queue.schedule(self.now + after, due);
    }

    fn clock(&self) -> Now {
        Now { time: self.now, wall_ms: EPOCH_MS + self.now.millis() }
    }

    /// Returns the clock by a node's own clock, which starts with its incarnation.
    fn clock_of(&self, node: usize) -> Now {
        Now { time: Time::at(self.now.since(self.nodes[node].started)), ..self.clock() }
    }

    fn instance(&self, node: usize) -> Instance {
        Instance { instance: format!("node-{node}"), address: address(node), leaving: false }
    }

    fn record(&self, node: usize) -> Record {
        let incarnation = self.nodes[node].incarnation;
        let lives = INCARNATION_GAP * u32::try_from(incarnation).unwrap_or(u32::MAX);
        Record {
            address: address(node),
            traffic: address(node),
            instance: format!("node-{node}"),
            service: format!("service-{}", node % self.options.services),
            data_centre: format!("dc-{}", node % self.options.data_centres),
            incarnation: self.clock().wall_ms + lives.as_millis() as u64,
            sequence: 0,
            state: State::Live,
        }
    }
}

/// Returns the address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000))
}

fn index_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            Some(usize::from(high) * 250 + usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}
