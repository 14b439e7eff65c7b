//! Deterministic simulation of [`fleet::control::Control`] nodes, their network and the platform.
//!
//! Time is virtual and all randomness is seeded. The network has a fixed latency and configurable
//! loss, duplication and partitions. Messages and bytes are counted, and invariants are checked
//! whenever a version comes into force.

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

/// Interval between ticks of a node.
const TICK: Duration = Duration::from_millis(50);

/// Wall clock at virtual time zero, in ms since the Unix epoch.
const EPOCH_MS: u64 = 1_800_000_000_000;

/// Minimum wall-clock difference between incarnations at one address, which keeps them distinct.
const INCARNATION_GAP: Duration = Duration::from_millis(2);

/// State of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Answers.
    Up,
    /// Unreachable.
    Down,
    /// Serves the revision that was newest when this state was set.
    Stale,
    /// Answers after this delay.
    Slow(Duration),
}

/// Settings of a [`Net`].
pub struct Options {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of data centres; nodes are assigned round-robin.
    pub data_centres: usize,
    /// Number of services; nodes are assigned round-robin.
    pub services: usize,
    /// One-way delay of every message.
    pub latency: Duration,
    /// Creates the dissemination strategy of each node.
    pub dissemination: fn() -> Box<dyn dissemination::Strategy>,
    /// Number of seed nodes in each node's settings; with 0, nodes find peers only by the platform's
    /// list.
    pub seeds: usize,
    /// Seed of the random number generator.
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

/// State of one simulated node; `control` is `None` while it is dead.
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

/// Counters of traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Messages between nodes, including responses.
    pub messages: u64,
    /// Bytes of these messages, with estimated HTTP headers.
    pub bytes: u64,
    /// Reads of the platform, including those that fail.
    pub reads: u64,
}

/// The simulated nodes, network and platform.
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
    /// Peak of reads of the platform within one second.
    pub peak_reads: usize,
    /// Share of messages lost, in %.
    pub loss: u32,
    /// Share of requests delivered a second time, up to ten seconds later, in %.
    pub duplication: u32,
    partitions: Vec<u32>,
    blocked: HashSet<usize>,
    /// Calls between nodes without a response or timeout so far.
    pending_calls: HashSet<u64>,
    /// Counters since the last call of [`Net::take_counts`].
    counts: Counts,
    /// Descriptions of violated invariants, oldest first.
    pub violations: Vec<String>,
}

impl Net {
    /// Creates the platform and starts every node.
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

    /// Returns the number of nodes, dead ones included.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns a node's state machine, or `None` while it is dead.
    pub fn control(&self, node: usize) -> Option<&Control> {
        self.nodes[node].control.as_ref()
    }

    /// Returns the version in force at a node.
    pub fn version(&self, node: usize) -> Version {
        self.nodes[node].in_force
    }

    /// Returns whether a node runs and has not been drained.
    pub fn is_working(&self, node: usize) -> bool {
        self.nodes[node].control.is_some() && !self.nodes[node].drained
    }

    /// Returns the counters since the last call and resets them.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Kills a node, if it runs, and starts a new incarnation.
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
        // A node's monotonic clock starts at zero with each incarnation.
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

    /// Kills a node without notice to its peers.
    pub fn kill(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.control = None;
        state.incarnation += 1;
        state.paused_until = None;
        state.deferred.clear();
    }

    /// Makes a node announce that it leaves, as in a graceful stop.
    pub fn leave(&mut self, node: usize) {
        self.apply(node, Event::Leave);
    }

    /// Stops a node gracefully; takes two seconds of virtual time.
    pub fn stop(&mut self, node: usize) {
        self.leave(node);
        self.run(Duration::from_secs(2));
        self.apply(node, Event::Stop);
        self.run(Duration::from_millis(20));
        self.kill(node);
    }

    /// Pauses a node's process; messages that arrive meanwhile are delivered on resumption.
    pub fn pause(&mut self, node: usize, span: Duration) {
        let (now, state) = (self.now, &mut self.nodes[node]);
        if state.control.is_some() && state.paused_until.is_none() {
            state.paused_until = Some(now + span);
            state.paused_at = now;
        }
    }

    /// Assigns a node to a network partition; messages pass only within a partition.
    pub fn set_partition(&mut self, node: usize, partition: u32) {
        self.partitions[node] = partition;
    }

    /// Heals all network partitions.
    pub fn heal_partitions(&mut self) {
        self.partitions.fill(0);
    }

    /// Blocks a node's access to the platform.
    pub fn block_source(&mut self, node: usize) {
        self.blocked.insert(node);
    }

    /// Restores every node's access to the platform.
    pub fn unblock_sources(&mut self) {
        self.blocked.clear();
    }

    /// Sets the state of the platform.
    pub fn set_source(&mut self, source: Source) {
        self.source = source;
        if source != Source::Stale {
            self.served = self.set.clone();
        }
    }

    /// Makes the platform serve `revision` as its newest; an unknown revision is empty.
    pub fn set_stale_at(&mut self, revision: u64) {
        self.source = Source::Stale;
        self.served = self.history.get(&revision).cloned().unwrap_or_default();
    }

    /// Returns a node's status as operators see it, or `None` while it is dead.
    pub fn status(&mut self, node: usize) -> Option<fleet::status::Node> {
        let now = self.clock_of(node);
        self.nodes[node].control.as_mut().map(|control| control.status(now))
    }

    /// Partitions a data centre from the others.
    pub fn partition_data_centre(&mut self, data_centre: usize) {
        for node in (0..self.len()).filter(|n| n % self.options.data_centres == data_centre) {
            self.partitions[node] = 1;
        }
    }

    /// Writes a document, or removes it if `None`, and returns the new revision.
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

    /// Marks a node as leaving in the platform's list.
    pub fn list_leaving(&mut self, node: usize) {
        self.listing.revision += 1;
        self.listing.instances[node].leaving = true;
    }

    /// Replaces the platform's list by these nodes, none of them leaving.
    pub fn list_only(&mut self, nodes: &[usize]) {
        self.listing.revision += 1;
        self.listing.instances = nodes.iter().map(|&node| self.instance(node)).collect();
    }

    /// Clears every node's leaving mark in the platform's list.
    pub fn list_all(&mut self) {
        self.listing.revision += 1;
        self.listing.instances.iter_mut().for_each(|i| i.leaving = false);
    }

    /// Returns the newest published revision that is valid, or 0.
    pub fn newest_valid(&self) -> u64 {
        let valid = |(_, set): &(&u64, &Set)| config::build(set).is_ok();
        self.history.iter().rev().find(valid).map_or(0, |(&revision, _)| revision)
    }

    /// Runs the simulation for `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, item)) = self.queue.pop(until) {
            self.now = self.now.max(at);
            self.dispatch(item);
        }
        self.now = until;
    }

    /// Runs until every running node has `revision` or a later one in force; returns the time this
    /// took, or `None` after `limit`.
    pub fn run_until_in_force(&mut self, revision: u64, limit: Duration) -> Option<Duration> {
        let started = self.now;
        while self.now.since(started) < limit {
            let is_converged = self
                .nodes
                .iter()
                .all(|node| node.control.is_none() || node.in_force.revision >= revision);
            if is_converged {
                return Some(self.now.since(started));
            }
            self.run(Duration::from_millis(1));
        }
        None
    }

    fn schedule(&mut self, after: Duration, item: Item) {
        self.queue.schedule(self.now + after, item);
    }

    fn clock(&self) -> Now {
        Now { time: self.now, wall_ms: EPOCH_MS + self.now.millis() }
    }

    /// Returns the clocks as a node reads them; its monotonic clock starts with its incarnation.
    fn clock_of(&self, node: usize) -> Now {
        Now { time: Time::at(self.now.since(self.nodes[node].started)), ..self.clock() }
    }

    fn instance(&self, node: usize) -> Instance {
        Instance { instance: format!("node-{node}"), address: address(node), leaving: false }
    }

    fn record(&self, node: usize) -> Record {
        let incarnation = self.nodes[node].incarnation;
        let offset = INCARNATION_GAP * u32::try_from(incarnation).unwrap_or(u32::MAX);
        Record {
            address: address(node),
            traffic: address(node),
            instance: format!("node-{node}"),
            service: format!("service-{}", node % self.options.services),
            data_centre: format!("dc-{}", node % self.options.data_centres),
            incarnation: self.clock().wall_ms + offset.as_millis() as u64,
            sequence: 0,
            state: State::Live,
        }
    }
}

/// Returns the address of node number `node`, for callers and peers alike.
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
