//! Nodes in listed mode, their datagrams and pulls, and a store, in memory on a virtual clock.

// Each test file uses its own part of this module.
#![allow(dead_code)]

mod store;

use fleet::{
    clock::Now,
    control::{Effect, Error, Event, Method},
    directory::{Entry, Standing},
    listed::{Control, Settings, watch},
    message::{Digest, Piggyback, Request, Response},
    quarantine::Quarantine,
    source::{Answer, Failure, Query, Topic},
    view::View,
};
use model::time::Time;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use self::store::{Content, Store, Value};

/// Delay of every message, in ms.
const DELAY: u64 = 2;

/// Bits that a link of 1 Mbit/s carries in a millisecond.
const BITS_PER_MS: u64 = 1_000;

/// How long a store that is silent keeps a call, in ms: the adapter's patience.
const SILENCE: u64 = 1_500;

/// How the store treats a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Treatment {
    Serve,
    Refuse,
    Silent,
}

/// Something on its way.
enum Due {
    Event(usize, u64, Event),
    Ask { from: usize, life: u64, to: usize, request: Request, until: u64 },
    Read { node: usize, life: u64, query: Query, until: u64 },
}

pub(crate) struct Node {
    control: Option<Control>,
    life: u64,
    pub(crate) in_force: u64,
    /// Highest revision that the node is to hold, as it says.
    pub(crate) expected: u64,
    pub(crate) view: Arc<View>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) open: bool,
}

pub(crate) struct Net {
    pub(crate) now: u64,
    nodes: Vec<Node>,
    zones: Vec<&'static str>,
    /// Speeds of the nodes' links, in Mbit/s.
    pub(crate) links: Vec<u32>,
    /// When each link has carried all that is on its way; answers follow one after the other.
    busy: Vec<u64>,
    /// What is on its way, by the time at which it arrives and the order in which it was sent.
    queue: BTreeMap<(u64, u64), Due>,
    order: u64,
    pub(crate) store: Store,
    treatment: Vec<Treatment>,
    cut: BTreeSet<(usize, usize)>,
    pub(crate) reads: u64,
    /// Every how many questions for the configuration one is lost; 0 for none.
    pub(crate) pull_loss: u64,
    /// Nodes of a product version whose summaries say nothing of other nodes and carry no changes.
    pub(crate) old_version: BTreeSet<usize>,
    /// Every how many summaries one is lost; 0 for none.
    pub(crate) digest_loss: u64,
    /// Questions for the configuration that a node sent.
    pub(crate) pulls_sent: Vec<u64>,
    /// Summaries that a node sent.
    pub(crate) digests_sent: Vec<u64>,
    /// Summaries that a node sent to other data centres.
    pub(crate) far_digests_sent: Vec<u64>,
    /// Bytes of summaries that arrived at a node, without those of the network's own headers.
    pub(crate) bytes_received: Vec<u64>,
    /// Revisions that a node put into force after a higher one.
    pub(crate) regressions: Vec<(usize, u64, u64)>,
}

/// Nodes that share the first three parts of their addresses.
const NODES_A_BLOCK: usize = 250;

fn host(node: usize) -> [u8; 4] {
    [10, 0, (node / NODES_A_BLOCK) as u8, (node % NODES_A_BLOCK) as u8 + 1]
}

pub(crate) fn address(node: usize) -> SocketAddr {
    SocketAddr::from((host(node), 7_000))
}

fn upstream(node: usize) -> SocketAddr {
    SocketAddr::from((host(node), 80))
}

impl Net {
    /// Starts one node in each of the places `zones`, each beside an upstream that registers.
    pub(crate) fn new(zones: &[&'static str]) -> Net {
        let node = || Node {
            control: None,
            life: 0,
            in_force: 0,
            expected: 0,
            view: Arc::default(),
            quarantine: Arc::default(),
            open: false,
        };
        let mut net = Net {
            now: 1_000,
            nodes: zones.iter().map(|_| node()).collect(),
            zones: zones.to_vec(),
            links: vec![1_000; zones.len()],
            busy: vec![0; zones.len()],
            queue: BTreeMap::new(),
            order: 0,
            store: Store::default(),
            treatment: vec![Treatment::Serve; zones.len()],
            cut: BTreeSet::new(),
            reads: 0,
            pull_loss: 0,
            old_version: BTreeSet::new(),
            digest_loss: 0,
            pulls_sent: vec![0; zones.len()],
            digests_sent: vec![0; zones.len()],
            far_digests_sent: vec![0; zones.len()],
            bytes_received: vec![0; zones.len()],
            regressions: Vec::new(),
        };
        net.publish();
        for node in 0..zones.len() {
            net.start(node);
            net.register(node, &format!("i-{node}"), Standing::Ready);
        }
        net
    }

    pub(crate) fn start(&mut self, node: usize) {
        self.nodes[node].life += 1;
        let settings = Settings {
            instance: format!("n-{node}"),
            service: "shelfview".to_owned(),
            data_centre: self.zones[node].to_owned(),
            address: address(node),
            traffic_port: 8_000,
            upstream: upstream(node),
            incarnation: self.nodes[node].life,
            link_mbps: self.links[node],
            join_wait: Duration::from_millis(20),
            watch: watch::Settings::default(),
            seed: node as u64 * 1_000 + self.nodes[node].life,
            product: String::new(),
        };
        self.nodes[node].control = Some(Control::new(settings, self.moment()));
        self.nodes[node].in_force = 0;
        self.nodes[node].expected = 0;
        self.nodes[node].open = false;
        self.nodes[node].view = Arc::default();
        self.nodes[node].quarantine = Arc::default();
    }

    /// Ends a process without a word.
    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].control = None;
        self.nodes[node].life += 1;
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

    /// Cuts two nodes off from each other, or connects them again.
    pub(crate) fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cut.insert(pair);
            } else {
                self.cut.remove(&pair);
            }
        }
    }

    /// Publishes another configuration; returns its revision.
    pub(crate) fn publish(&mut self) -> u64 {
        self.store.publish(Content::Good)
    }

    /// Publishes a configuration that no node accepts; returns its revision.
    pub(crate) fn publish_bad(&mut self) -> u64 {
        self.store.publish(Content::Bad)
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
            data_centre: self.zones[node].to_owned(),
            slots: 9,
            standing,
            cold_ms: 0,
            started_ms: None,
            revision: self.store.next(),
        }
    }

    /// Writes an entry of a life that began at `started_ms`.
    pub(crate) fn register_life(
        &mut self,
        node: usize,
        id: &str,
        standing: Standing,
        started_ms: u64,
    ) -> u64 {
        let entry = Entry { started_ms: Some(started_ms), ..self.entry(node, id, standing) };
        self.store.write(id, Value::Entry(entry))
    }

    /// Writes a value that names no upstream.
    pub(crate) fn write_malformed(&mut self, id: &str) -> u64 {
        self.store.write(id, Value::Malformed)
    }

    pub(crate) fn unregister(&mut self, id: &str) -> u64 {
        self.store.write(id, Value::Deleted)
    }

    /// Has the data centre `zone` evacuated.
    pub(crate) fn evacuate(&mut self, zone: &str) -> u64 {
        self.store.write_order(zone, Value::Evacuation)
    }

    /// Takes the data centre `zone` back.
    pub(crate) fn take_back(&mut self, zone: &str) -> u64 {
        self.store.write_order(zone, Value::Deleted)
    }

    /// Writes an entry of an upstream that stays cold for `cold_ms`.
    pub(crate) fn register_cold(&mut self, node: usize, id: &str, cold_ms: u64) -> u64 {
        let entry = Entry { cold_ms, ..self.entry(node, id, Standing::Ready) };
        self.store.write(id, Value::Entry(entry))
    }

    /// Drops the store's history, as a compaction does.
    pub(crate) fn compact(&mut self) {
        self.store.compact();
    }

    pub(crate) fn node(&self, node: usize) -> &Node {
        &self.nodes[node]
    }

    /// Returns the ids that a node sends calls to.
    pub(crate) fn targets(&self, node: usize) -> Vec<String> {
        let upstreams = self.nodes[node].view.upstreams("shelfview").iter();
        let able = upstreams.filter(|u| u.state.takes_work());
        able.map(|u| u.instance.clone()).collect()
    }

    /// Tells whether a node sends calls to the upstream `id`.
    pub(crate) fn is_target(&self, node: usize, id: &str) -> bool {
        let upstreams = self.nodes[node].view.upstreams("shelfview");
        upstreams.iter().any(|u| u.instance == id && u.state.takes_work())
    }

    /// Returns to how many upstreams a node sends calls.
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
                let due = first.remove();
                self.deliver(due);
            }
            if self.now.is_multiple_of(50) {
                for node in 0..self.nodes.len() {
                    self.apply(node, Event::Tick);
                }
            }
        }
    }

    /// Runs until `holds`, and returns how long that took; fails after `limit` ms.
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

    fn moment(&self) -> Now {
        Now { time: Time::from_millis(self.now), wall_ms: self.now }
    }

    fn put(&mut self, delay: u64, due: Due) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), due);
    }

    fn deliver(&mut self, due: Due) {
        match due {
            Due::Event(node, life, event) => {
                if self.nodes[node].life == life {
                    self.apply(node, event);
                }
            }
            Due::Ask { from, life, to, request, until } => {
                let method = method(&request);
                let Some(response) = self.ask(to, request) else {
                    let lost = Event::Failed(address(to), Error { method, malformed: None });
                    return self.put(DELAY, Due::Event(from, life, lost));
                };
                let arrival = self.carry(from, to, until, &response);
                let event = if arrival <= until {
                    Event::Response(address(to), response)
                } else {
                    Event::Failed(address(to), Error { method, malformed: None })
                };
                self.put(arrival.min(until) - self.now, Due::Event(from, life, event));
            }
            Due::Read { node, life, query, until } => self.look(node, life, query, until),
        }
    }

    /// Puts an answer on both links, one after the other answers on each; returns when it arrives.
    ///
    /// Whoever waits no longer than `until` closes the connection then, which frees the links.
    fn carry(&mut self, from: usize, to: usize, until: u64, response: &Response) -> u64 {
        let bits = bits(response);
        let begin = self.now.max(self.busy[from]).max(self.busy[to]);
        for node in [from, to] {
            let free = self.now.max(self.busy[node]);
            let end = free + bits / (BITS_PER_MS * u64::from(self.links[node]));
            self.busy[node] = end.min(until.max(self.busy[node]));
        }
        let slower = self.links[from].min(self.links[to]);
        begin + DELAY + bits / (BITS_PER_MS * u64::from(slower))
    }

    fn ask(&mut self, to: usize, request: Request) -> Option<Response> {
        let now = self.moment();
        let effects = self.nodes[to].control.as_mut()?.apply(Event::Request(request), now);
        let mut reply = None;
        for effect in effects {
            match effect {
                Effect::Reply(response) => reply = Some(response),
                other => self.carry_out(to, other),
            }
        }
        reply
    }

    fn apply(&mut self, node: usize, event: Event) {
        let now = self.moment();
        let Some(control) = self.nodes[node].control.as_mut() else { return };
        for effect in control.apply(event, now) {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let life = self.nodes[node].life;
        match effect {
            Effect::Gossip(targets, digest) => {
                let bytes = serde_json::to_vec(&digest).expect("messages have a JSON form").len();
                let targets: Vec<usize> =
                    targets.into_iter().filter_map(|t| self.index(t)).collect();
                for to in targets {
                    self.digests_sent[node] += 1;
                    self.far_digests_sent[node] += u64::from(self.zones[node] != self.zones[to]);
                    let is_lost = self.digest_loss > 0
                        && self.digests_sent[node].is_multiple_of(self.digest_loss);
                    if is_lost || self.cut.contains(&(node, to)) {
                        continue;
                    }
                    self.bytes_received[to] += bytes as u64;
                    let life = self.nodes[to].life;
                    let is_plain =
                        self.old_version.contains(&node) || self.old_version.contains(&to);
                    let digest = if is_plain { plain(&digest) } else { digest.clone() };
                    self.put(DELAY, Due::Event(to, life, Event::Digest(digest)));
                }
            }
            Effect::Send(peer, request, timeout) => self.send(node, life, peer, request, timeout),
            Effect::Read(query) => self.read(node, life, query),
            Effect::InForce(snapshot) => {
                let revision = snapshot.version.revision;
                let before = self.nodes[node].in_force;
                if revision <= before {
                    self.regressions.push((node, before, revision));
                }
                self.nodes[node].in_force = revision;
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
        let node = usize::from(block) * NODES_A_BLOCK + usize::from(last) - 1;
        (node < self.nodes.len()).then_some(node)
    }

    fn send(
        &mut self,
        node: usize,
        life: u64,
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
            Some(to) => self.put(DELAY, Due::Ask { from: node, life, to, request, until }),
            None => {
                let lost = Event::Failed(peer, Error { method, malformed: None });
                self.put(timeout.as_millis() as u64, Due::Event(node, life, lost));
            }
        }
    }

    fn read(&mut self, node: usize, life: u64, query: Query) {
        self.reads += 1;
        let Query::Changes { wait, .. } = query else { return };
        let until = self.now + wait.as_millis() as u64;
        match self.treatment[node] {
            Treatment::Serve => self.put(4, Due::Read { node, life, query, until }),
            Treatment::Refuse => self.fail(node, life, 4, Failure::RateLimited),
            Treatment::Silent => {
                self.fail(node, life, SILENCE, Failure::Unreachable("silent".to_owned()));
            }
        }
    }

    fn fail(&mut self, node: usize, life: u64, delay: u64, failure: Failure) {
        let answer = Answer::Failed(Topic::Changes, failure);
        self.put(delay, Due::Event(node, life, Event::Source(answer)));
    }

    fn look(&mut self, node: usize, life: u64, query: Query, until: u64) {
        if self.treatment[node] != Treatment::Serve {
            let failure = Failure::Unreachable("the store went away".to_owned());
            return self.fail(node, life, SILENCE, failure);
        }
        let Query::Changes { after, .. } = query else { return };
        let forgotten = after.is_some_and(|after| self.store.is_compacted(after));
        if forgotten {
            return self.fail(node, life, 1, Failure::Compacted);
        }
        let changeset = self.store.changeset(after);
        let has_news = changeset.config.is_some() || !changeset.list.is_empty();
        if has_news || after.is_none() || self.now >= until {
            let event = Event::Source(Answer::Changes(changeset));
            self.put(4, Due::Event(node, life, event));
        } else {
            self.put(10, Due::Read { node, life, query, until });
        }
    }
}

/// Returns what a node of a product version without hearsay sends, or understands, of a summary.
fn plain(digest: &Digest) -> Digest {
    let Digest { from, config, list, contact_ms, link_mbps, failing, leaving, .. } = *digest;
    Digest {
        from,
        data_centre: digest.data_centre.clone(),
        config,
        list,
        contact_ms,
        link_mbps,
        failing,
        leaving,
        heard_ms: BTreeMap::new(),
        rumours: Vec::new(),
        piggyback: Piggyback::default(),
        reports: Vec::new(),
    }
}

fn method(request: &Request) -> Method {
    match request {
        Request::Fetch(_) => Method::Fetch,
        _ => Method::Pull,
    }
}

/// Returns the size of an answer as plain JSON.
fn bits(response: &Response) -> u64 {
    let bytes = match response {
        Response::Pull(bundle) => serde_json::to_vec(bundle),
        Response::Fetch(update) => serde_json::to_vec(update),
        Response::Heartbeat(_) | Response::Sync(_) => return 0,
    };
    8 * bytes.expect("messages have a JSON form").len() as u64
}
