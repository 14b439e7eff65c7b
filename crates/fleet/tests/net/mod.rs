//! Simulated cluster of nodes in list mode: network and platform store in memory, on a virtual clock.

// Every test file uses only a part of this module.
#![allow(dead_code)]

mod store;

use fleet::{
    clock::Now,
    control::{Effect, Error, Event, Method},
    directory::{Entry, Standing},
    listed::{Control, Settings, joining::Occasion, rounds, watch},
    message::{Digest, Piggyback, Request, Response},
    quarantine::Quarantine,
    source::{Answer, Failure, Query, Topic},
    view::View,
};
use model::{config::Snapshot, time::Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use self::store::{Content, Store, Value};

/// Network delay of every message, in ms.
const DELAY_MS: u64 = 2;

/// Bits per millisecond on a link of 1 Mbit/s.
const BITS_PER_MS: u64 = 1_000;

/// Time after which a call to an unresponsive store fails, in ms.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// How the store answers the calls of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Treatment {
    Serve,
    Refuse,
    Silent,
}

/// A message or call in transit.
enum Delivery {
    Event(usize, u64, Event),
    Request { from: usize, incarnation: u64, to: usize, request: Request, until: u64 },
    Read { node: usize, incarnation: u64, query: Query, until: u64 },
}

pub(crate) struct Node {
    control: Option<Control>,
    incarnation: u64,
    pub(crate) in_force: u64,
    /// Number of the configuration in force.
    pub(crate) number: u64,
    /// Expected revision, as the node last announced it.
    pub(crate) expected: u64,
    pub(crate) view: Arc<View>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) open: bool,
}

pub(crate) struct Net {
    pub(crate) now: u64,
    nodes: Vec<Node>,
    data_centres: Vec<&'static str>,
    /// Link speed of each node, in Mbit/s.
    pub(crate) links: Vec<u32>,
    /// When each link is free again, in ms; answers are serialised on a link.
    busy_until: Vec<u64>,
    /// Messages in transit, by arrival time in ms and by order of sending.
    queue: BTreeMap<(u64, u64), Delivery>,
    next_order: u64,
    pub(crate) store: Store,
    treatment: Vec<Treatment>,
    /// On which occasion nodes start.
    pub(crate) occasion: Occasion,
    cut: BTreeSet<(usize, usize)>,
    pub(crate) reads: u64,
    /// Calls to the store: one for each read, and for each further page of a full copy.
    pub(crate) store_calls: u64,
    /// Loses every n-th configuration pull; 0 loses none.
    pub(crate) pull_loss: u64,
    /// Largest number of peers that all gossip with each other.
    pub(crate) full_mesh: usize,
    /// Nodes of an older product version, without rumours, contact ages and piggybacked changes.
    pub(crate) old_version: BTreeSet<usize>,
    /// Loses every n-th digest; 0 loses none.
    pub(crate) digest_loss: u64,
    /// Configuration pulls sent by each node.
    pub(crate) pulls_sent: Vec<u64>,
    /// Digests sent by each node.
    pub(crate) digests_sent: Vec<u64>,
    /// Digests sent by each node to other data centres.
    pub(crate) far_digests_sent: Vec<u64>,
    /// Bytes of digests received by each node, without network headers.
    pub(crate) bytes_received: Vec<u64>,
    /// Revisions put into force that were not higher than before: node, previous revision, new revision.
    pub(crate) regressions: Vec<(usize, u64, u64)>,
}

/// Entries on a page of a full copy.
const PAGE_ENTRIES: usize = 500;

/// Nodes per /24 address block.
const NODES_PER_BLOCK: usize = 250;

fn host(node: usize) -> [u8; 4] {
    [10, 0, (node / NODES_PER_BLOCK) as u8, (node % NODES_PER_BLOCK) as u8 + 1]
}

pub(crate) fn address(node: usize) -> SocketAddr {
    SocketAddr::from((host(node), 7_000))
}

fn upstream(node: usize) -> SocketAddr {
    SocketAddr::from((host(node), 80))
}

impl Net {
    /// Starts one node per element of `data_centres`, each with an upstream that registers.
    pub(crate) fn new(data_centres: &[&'static str]) -> Net {
        let mut net = Net::stopped(data_centres);
        net.publish();
        for node in 0..data_centres.len() {
            net.start(node);
            net.register(node, &format!("i-{node}"), Standing::Ready);
        }
        net
    }

    /// Returns a cluster whose nodes are not started, with an empty store.
    pub(crate) fn stopped(data_centres: &[&'static str]) -> Net {
        let node = || Node {
            control: None,
            incarnation: 0,
            in_force: 0,
            number: 0,
            expected: 0,
            view: Arc::default(),
            quarantine: Arc::default(),
            open: false,
        };
        Net {
            now: 1_000,
            nodes: data_centres.iter().map(|_| node()).collect(),
            data_centres: data_centres.to_vec(),
            links: vec![1_000; data_centres.len()],
            busy_until: vec![0; data_centres.len()],
            queue: BTreeMap::new(),
            next_order: 0,
            store: Store::default(),
            treatment: vec![Treatment::Serve; data_centres.len()],
            occasion: Occasion::default(),
            cut: BTreeSet::new(),
            reads: 0,
            store_calls: 0,
            pull_loss: 0,
            full_mesh: rounds::MAX_FULL_MESH,
            old_version: BTreeSet::new(),
            digest_loss: 0,
            pulls_sent: vec![0; data_centres.len()],
            digests_sent: vec![0; data_centres.len()],
            far_digests_sent: vec![0; data_centres.len()],
            bytes_received: vec![0; data_centres.len()],
            regressions: Vec::new(),
        }
    }

    pub(crate) fn start(&mut self, node: usize) {
        self.nodes[node].incarnation += 1;
        let settings = Settings {
            instance: format!("n-{node}"),
            service: "shelfview".to_owned(),
            data_centre: self.data_centres[node].to_owned(),
            address: address(node),
            traffic_port: 8_000,
            upstream: upstream(node),
            incarnation: self.nodes[node].incarnation,
            link_mbps: self.links[node],
            full_mesh: self.full_mesh,
            occasion: self.occasion,
            join_wait: Duration::from_millis(20),
            watch: watch::Settings::default(),
            seed: node as u64 * 1_000 + self.nodes[node].incarnation,
            product: String::new(),
        };
        self.nodes[node].control = Some(Control::new(settings, self.timestamp()));
        self.nodes[node].in_force = 0;
        self.nodes[node].number = 0;
        self.nodes[node].expected = 0;
        self.nodes[node].open = false;
        self.nodes[node].view = Arc::default();
        self.nodes[node].quarantine = Arc::default();
    }

    /// Takes the store away for `away_ms` and brings it back from its copy of `revision`.
    pub(crate) fn restore(&mut self, revision: u64, away_ms: u64) {
        let treatment = self.treatment.clone();
        self.treat_all(Treatment::Silent);
        self.run(away_ms);
        self.store.restore(revision);
        self.treatment = treatment;
    }

    /// Crashes a process without any announcement.
    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].control = None;
        self.nodes[node].incarnation += 1;
    }

    pub(crate) fn inject(&mut self, node: usize, event: Event) {
        self.apply(node, event);
    }

    pub(crate) fn treat(&mut self, node: usize, treatment: Treatment) {
        self.treatment[node] = treatment;
    }

    pub(crate) fn treat_all(&mut self, treatment: Treatment) {
        self.treatment.iter_mut().for_each(|t| *t = treatment);
    }

    /// Partitions two nodes from each other, or reconnects them.
    pub(crate) fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cut.insert(pair);
            } else {
                self.cut.remove(&pair);
            }
        }
    }

    /// Publishes a new configuration; returns its revision.
    pub(crate) fn publish(&mut self) -> u64 {
        self.store.publish(Content::Valid)
    }

    /// Publishes an invalid configuration; returns its revision.
    pub(crate) fn publish_invalid(&mut self) -> u64 {
        self.store.publish(Content::Invalid)
    }

    pub(crate) fn register(&mut self, node: usize, id: &str, standing: Standing) -> u64 {
        let entry = self.entry(node, id, standing);
        self.store.write(id, Value::Entry(entry))
    }

    fn entry(&self, node: usize, id: &str, standing: Standing) -> Entry {
        Entry {
            id: id.to_owned(),
            service: "shelfview".to_owned(),
            address: upstream(node),
            data_centre: self.data_centres[node].to_owned(),
            slots: 9,
            standing,
            cold_ms: 0,
            started_ms: None,
            revision: self.store.next(),
        }
    }

    /// Writes an entry of a process that started at `started_ms`.
    pub(crate) fn register_started(
        &mut self,
        node: usize,
        id: &str,
        standing: Standing,
        started_ms: u64,
    ) -> u64 {
        let entry = Entry { started_ms: Some(started_ms), ..self.entry(node, id, standing) };
        self.store.write(id, Value::Entry(entry))
    }

    /// Writes a value that does not parse as an entry.
    pub(crate) fn write_malformed(&mut self, id: &str) -> u64 {
        self.store.write(id, Value::Malformed)
    }

    pub(crate) fn unregister(&mut self, id: &str) -> u64 {
        self.store.write(id, Value::Deleted)
    }

    /// Orders the evacuation of `data_centre`.
    pub(crate) fn evacuate(&mut self, data_centre: &str) -> u64 {
        self.store.write_order(data_centre, Value::Evacuation)
    }

    /// Withdraws the evacuation of `data_centre`.
    pub(crate) fn withdraw(&mut self, data_centre: &str) -> u64 {
        self.store.write_order(data_centre, Value::Deleted)
    }

    /// Writes an entry of an upstream that stays cold for `cold_ms`.
    pub(crate) fn register_cold(&mut self, node: usize, id: &str, cold_ms: u64) -> u64 {
        let entry = Entry { cold_ms, ..self.entry(node, id, Standing::Ready) };
        self.store.write(id, Value::Entry(entry))
    }

    /// Compacts the store's history.
    pub(crate) fn compact(&mut self) {
        self.store.compact();
    }

    pub(crate) fn node(&self, node: usize) -> &Node {
        &self.nodes[node]
    }

    /// Returns the ids of the upstreams to which a node routes calls.
    pub(crate) fn targets(&self, node: usize) -> Vec<String> {
        let upstreams = self.nodes[node].view.upstreams("shelfview").iter();
        let available = upstreams.filter(|u| u.state.takes_work());
        available.map(|u| u.instance.clone()).collect()
    }

    /// Returns whether a node routes calls to the upstream `id`.
    pub(crate) fn is_target(&self, node: usize, id: &str) -> bool {
        let upstreams = self.nodes[node].view.upstreams("shelfview");
        upstreams.iter().any(|u| u.instance == id && u.state.takes_work())
    }

    /// Returns the number of upstreams to which a node routes calls.
    pub(crate) fn target_count(&self, node: usize) -> usize {
        let upstreams = self.nodes[node].view.upstreams("shelfview");
        upstreams.iter().filter(|u| u.state.takes_work()).count()
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            while let Some(first) = self.queue.first_entry()
                && first.key().0 <= self.now
            {
                let delivery = first.remove();
                self.deliver(delivery);
            }
            if self.now.is_multiple_of(50) {
                for node in 0..self.nodes.len() {
                    self.apply(node, Event::Tick);
                }
            }
        }
    }

    /// Runs until `holds`; returns the elapsed time in ms, and panics after `limit` ms.
    #[track_caller]
    pub(crate) fn until(&mut self, limit: u64, holds: impl Fn(&Net) -> bool) -> u64 {
        let begin = self.now;
        while !holds(self) {
            assert!(self.now - begin < limit, "not within {limit} ms");
            self.run(1);
        }
        self.now - begin
    }

    pub(crate) fn all(&self, holds: impl Fn(&Node) -> bool) -> bool {
        self.nodes.iter().filter(|n| n.control.is_some()).all(holds)
    }

    fn timestamp(&self) -> Now {
        Now { time: Time::from_millis(self.now), wall_ms: self.now }
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        self.next_order += 1;
        self.queue.insert((self.now + delay, self.next_order), delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(node, incarnation, event) => {
                if self.nodes[node].incarnation == incarnation {
                    self.apply(node, event);
                }
            }
            Delivery::Request { from, incarnation, to, request, until } => {
                let method = method(&request);
                let Some(response) = self.handle_request(to, request) else {
                    let failed = Event::Failed(address(to), Error { method, malformed: None });
                    return self.schedule(DELAY_MS, Delivery::Event(from, incarnation, failed));
                };
                let arrival = self.transmit(from, to, until, &response);
                let event = if arrival <= until {
                    Event::Response(address(to), response)
                } else {
                    Event::Failed(address(to), Error { method, malformed: None })
                };
                self.schedule(
                    arrival.min(until) - self.now,
                    Delivery::Event(from, incarnation, event),
                );
            }
            Delivery::Read { node, incarnation, query, until } => {
                self.poll_store(node, incarnation, query, until)
            }
        }
    }

    /// Queues an answer on both links; returns when it arrives, in ms.
    ///
    /// The receiver closes the connection at `until`, which frees the links.
    fn transmit(&mut self, from: usize, to: usize, until: u64, response: &Response) -> u64 {
        let bits = bits(response);
        let begin = self.now.max(self.busy_until[from]).max(self.busy_until[to]);
        for node in [from, to] {
            let free = self.now.max(self.busy_until[node]);
            let end = free + bits / (BITS_PER_MS * u64::from(self.links[node]));
            self.busy_until[node] = end.min(until.max(self.busy_until[node]));
        }
        let slower = self.links[from].min(self.links[to]);
        begin + DELAY_MS + bits / (BITS_PER_MS * u64::from(slower))
    }

    fn handle_request(&mut self, to: usize, request: Request) -> Option<Response> {
        let now = self.timestamp();
        let effects = self.nodes[to].control.as_mut()?.apply(Event::Request(request), now);
        let mut reply = None;
        for effect in effects {
            match effect {
                Effect::Reply(response) => reply = Some(response),
                other => self.execute(to, other),
            }
        }
        reply
    }

    fn apply(&mut self, node: usize, event: Event) {
        let now = self.timestamp();
        let Some(control) = self.nodes[node].control.as_mut() else { return };
        for effect in control.apply(event, now) {
            self.execute(node, effect);
        }
    }

    fn execute(&mut self, node: usize, effect: Effect) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            Effect::Gossip(targets, digest) => {
                let bytes = serde_json::to_vec(&digest).expect("messages serialize to JSON").len();
                let targets: Vec<usize> =
                    targets.into_iter().filter_map(|t| self.index(t)).collect();
                for to in targets {
                    self.digests_sent[node] += 1;
                    self.far_digests_sent[node] +=
                        u64::from(self.data_centres[node] != self.data_centres[to]);
                    let is_lost = self.digest_loss > 0
                        && self.digests_sent[node].is_multiple_of(self.digest_loss);
                    if is_lost || self.cut.contains(&(node, to)) {
                        continue;
                    }
                    self.bytes_received[to] += bytes as u64;
                    let incarnation = self.nodes[to].incarnation;
                    let is_old_version =
                        self.old_version.contains(&node) || self.old_version.contains(&to);
                    let digest =
                        if is_old_version { without_extensions(&digest) } else { digest.clone() };
                    self.schedule(
                        DELAY_MS,
                        Delivery::Event(to, incarnation, Event::Digest(digest)),
                    );
                }
            }
            Effect::Send(peer, request, timeout) => {
                self.send(node, incarnation, peer, request, timeout)
            }
            Effect::Read(query) => self.read(node, incarnation, query),
            Effect::InForce(snapshot) => {
                let revision = snapshot.version.revision;
                let before = self.nodes[node].in_force;
                if revision <= before {
                    self.regressions.push((node, before, revision));
                }
                self.nodes[node].in_force = revision;
                let number = number(&snapshot);
                let before = std::mem::replace(&mut self.nodes[node].number, number);
                if number < before {
                    self.regressions.push((node, before, number));
                }
            }
            Effect::View(view) => self.nodes[node].view = view,
            Effect::Open => self.nodes[node].open = true,
            Effect::Expected(revision) => self.nodes[node].expected = revision,
            Effect::Quarantine(quarantine) => self.nodes[node].quarantine = quarantine,
            Effect::Reply(_) | Effect::Drain => {}
        }
    }

    fn index(&self, peer: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = peer.ip() else { return None };
        let [_, _, block, last] = ip.octets();
        let node = usize::from(block) * NODES_PER_BLOCK + usize::from(last) - 1;
        (node < self.nodes.len()).then_some(node)
    }

    fn send(
        &mut self,
        node: usize,
        incarnation: u64,
        peer: SocketAddr,
        request: Request,
        timeout: Duration,
    ) {
        let method = method(&request);
        self.pulls_sent[node] += u64::from(method == Method::Pull);
        let until = self.now + timeout.as_millis() as u64;
        let is_lost = self.pull_loss > 0 && self.pulls_sent[node].is_multiple_of(self.pull_loss);
        let reachable = self
            .index(peer)
            .filter(|_| !(is_lost && method == Method::Pull))
            .filter(|&to| !self.cut.contains(&(node, to)) && self.nodes[to].control.is_some());
        match reachable {
            Some(to) => self.schedule(
                DELAY_MS,
                Delivery::Request { from: node, incarnation, to, request, until },
            ),
            None => {
                let failed = Event::Failed(peer, Error { method, malformed: None });
                self.schedule(
                    timeout.as_millis() as u64,
                    Delivery::Event(node, incarnation, failed),
                );
            }
        }
    }

    fn read(&mut self, node: usize, incarnation: u64, query: Query) {
        self.reads += 1;
        self.store_calls += 1;
        let Query::Changes { wait, .. } = query else { return };
        let until = self.now + wait.as_millis() as u64;
        match self.treatment[node] {
            Treatment::Serve => {
                self.schedule(4, Delivery::Read { node, incarnation, query, until })
            }
            Treatment::Refuse => self.fail(node, incarnation, 4, Failure::RateLimited),
            Treatment::Silent => {
                self.fail(
                    node,
                    incarnation,
                    CALL_TIMEOUT_MS,
                    Failure::Unreachable("silent".to_owned()),
                );
            }
        }
    }

    fn fail(&mut self, node: usize, incarnation: u64, delay: u64, failure: Failure) {
        let answer = Answer::Failed(Topic::Changes, failure);
        self.schedule(delay, Delivery::Event(node, incarnation, Event::Source(answer)));
    }

    fn poll_store(&mut self, node: usize, incarnation: u64, query: Query, until: u64) {
        if self.treatment[node] != Treatment::Serve {
            let failure = Failure::Unreachable("the store stopped serving".to_owned());
            return self.fail(node, incarnation, CALL_TIMEOUT_MS, failure);
        }
        let Query::Changes { after, .. } = query else { return };
        let compacted = after.is_some_and(|after| self.store.lacks_history(after));
        if compacted {
            return self.fail(node, incarnation, 1, Failure::Compacted);
        }
        let changeset = self.store.changeset(after);
        if after.is_none() {
            self.store_calls += (changeset.list.entries.len() / PAGE_ENTRIES) as u64;
        }
        let has_news = changeset.config.is_some() || !changeset.list.is_empty();
        if has_news || after.is_none() || self.now >= until {
            let event = Event::Source(Answer::Changes(changeset));
            self.schedule(4, Delivery::Event(node, incarnation, event));
        } else {
            self.schedule(10, Delivery::Read { node, incarnation, query, until });
        }
    }
}

/// Returns the part of a digest that nodes of the older product version send and understand.
fn without_extensions(digest: &Digest) -> Digest {
    let Digest { from, config, list, contact_ms, link_mbps, failing, leaving, .. } = *digest;
    Digest {
        from,
        data_centre: digest.data_centre.clone(),
        config,
        list,
        config_is_newest: false,
        contact_ms,
        link_mbps,
        failing,
        leaving,
        contact_ages_ms: BTreeMap::new(),
        rumours: Vec::new(),
        piggyback: Piggyback::default(),
        reports: Vec::new(),
    }
}

/// Returns the number of a configuration of [`Store`].
fn number(snapshot: &Snapshot) -> u64 {
    let service = snapshot.service("shelfview").expect("every configuration has the service");
    snapshot.profile(service).deadline_ms - store::FIRST_DEADLINE_MS
}

fn method(request: &Request) -> Method {
    match request {
        Request::Fetch(_) => Method::Fetch,
        _ => Method::Pull,
    }
}

/// Returns the size of an answer as uncompressed JSON, in bits.
fn bits(response: &Response) -> u64 {
    let bytes = match response {
        Response::Pull(bundle) => serde_json::to_vec(bundle),
        Response::Fetch(update) => serde_json::to_vec(update),
        Response::Heartbeat(_) | Response::Sync(_) => return 0,
    };
    8 * bytes.expect("messages serialize to JSON").len() as u64
}
