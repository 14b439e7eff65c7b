//! In-process platform over HTTP: versioned documents, a delayed list of instances, a read limit.

use fleet::{
    directory::{Entry, Removal, Update},
    evacuation::Order,
    source::{Changeset, Instance, Listing},
};
use model::document::{Delta, Document, MAX_DOCUMENT_BYTES, Set};
use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use tiny_http::{Header, Request, Response, Server};

/// Reads per second that the platform answers; more are rejected with 429. A watch counts as one.
pub const READS_PER_SECOND: usize = 2_000;

/// Interval at which waiting watches are checked.
const POLL: Duration = Duration::from_millis(5);

/// Threads that handle requests.
const WORKERS: usize = 4;

/// Request header with the name of the reading node.
const READER: &str = "baobab-reader";

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Answers within milliseconds.
    #[default]
    Normal,
    /// Answers every request with status 500 at once.
    Down,
    /// Serves the configuration that was newest when this mode was set.
    Stale,
    /// Answers after this delay.
    Slow(Duration),
}

/// Handle to a running platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    mode: Mode,
    set: Set,
    stale: Set,
    history: Vec<Set>,
    /// Upstreams by id, with the revision of their last write; the entry is `None` after removal.
    upstreams: BTreeMap<String, (u64, Option<Entry>)>,
    /// Latest evacuation order by data centre.
    orders: BTreeMap<String, Order>,
    /// Revision shared by configuration, upstreams and orders.
    revision: u64,
    /// Value of `revision` at the last write of the configuration.
    config_revision: u64,
    listing: Listing,
    visible: Listing,
    list_lag: Duration,
    pending_listings: VecDeque<(Instant, Listing)>,
    blocked: HashSet<String>,
    reads: VecDeque<Instant>,
    reads_total: u64,
    reads_peak: usize,
    refused: u64,
    waiting: Vec<Watch>,
}

/// A long poll that waits for a change or its timeout.
struct Watch {
    request: Request,
    query: Query,
    until: Instant,
}

/// A parsed request.
#[derive(Clone, Copy, Debug)]
struct Query {
    topic: Topic,
    base: Option<u64>,
    after: u64,
}

/// The resource that a request reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Topic {
    Config,
    Instances,
    Changes,
}

impl Platform {
    /// Starts a platform with no documents and no instances on a free loopback port.
    pub fn start() -> io::Result<Self> {
        let server = Server::http("127.0.0.1:0").map_err(io::Error::other)?;
        let address = server.server_addr().to_ip().expect("the server listens on an IP address");
        let state = State {
            mode: Mode::Normal,
            set: Set::default(),
            stale: Set::default(),
            history: Vec::new(),
            upstreams: BTreeMap::new(),
            orders: BTreeMap::new(),
            revision: 1,
            config_revision: 0,
            listing: Listing::default(),
            visible: Listing::default(),
            list_lag: Duration::ZERO,
            pending_listings: VecDeque::new(),
            blocked: HashSet::new(),
            reads: VecDeque::new(),
            reads_total: 0,
            reads_peak: 0,
            refused: 0,
            waiting: Vec::new(),
        };
        let platform = Platform { address, state: Arc::new(Mutex::new(state)) };
        let server = Arc::new(server);
        for _ in 0..WORKERS {
            let (platform, server) = (platform.clone(), server.clone());
            thread::spawn(move || {
                for request in server.incoming_requests() {
                    platform.handle(request);
                }
            });
        }
        let poller = platform.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(POLL);
                poller.answer_due();
            }
        });
        Ok(platform)
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes documents in one new revision, which is returned; a text of `None` removes a document.
    pub fn publish(&self, documents: &[(&str, Option<&str>)]) -> u64 {
        let mut state = self.lock();
        let revision = state.set.version().revision + 1;
        let mut delta = Delta { revision, ..Delta::default() };
        for (key, text) in documents {
            match text {
                Some(text) => {
                    assert!(
                        text.len() <= MAX_DOCUMENT_BYTES,
                        "document {key:?} exceeds {MAX_DOCUMENT_BYTES} bytes"
                    );
                    let key = (*key).to_owned();
                    delta.documents.push(Document {
                        key,
                        modified: revision,
                        text: (*text).into(),
                    });
                }
                None => delta
                    .removed
                    .push(model::document::Removal { key: (*key).to_owned(), revision }),
            }
        }
        state.set = state.set.with(delta);
        let set = state.set.clone();
        state.history.push(set);
        state.revision += 1;
        state.config_revision = state.revision;
        revision
    }

    /// Writes an upstream's entry, or removes it if `None`; returns the new shared revision of
    /// configuration and upstreams.
    pub fn register(&self, id: &str, entry: Option<Entry>) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let entry = entry.map(|entry| Entry { revision, ..entry });
        state.upstreams.insert(id.to_owned(), (revision, entry));
        revision
    }

    /// Orders a data centre's evacuation, or withdraws the order.
    pub fn set_evacuation(&self, data_centre: &str, evacuation: Evacuation) {
        let mut state = self.lock();
        state.revision += 1;
        let order = Order {
            data_centre: data_centre.to_owned(),
            revision: state.revision,
            withdrawn: evacuation == Evacuation::Withdrawn,
        };
        state.orders.insert(data_centre.to_owned(), order);
    }

    /// Sets how the platform answers from now on.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        if mode == Mode::Stale && state.mode != Mode::Stale {
            state.stale = state.set.clone();
        }
        state.mode = mode;
    }

    /// Serves `revision` as the newest, as a lagging replica would; an unknown revision is empty.
    pub fn set_stale_at(&self, revision: u64) {
        let mut state = self.lock();
        let old = state.history.iter().find(|s| s.version().revision == revision).cloned();
        state.stale = old.unwrap_or_default();
        state.mode = Mode::Stale;
    }

    /// Replaces the list of instances; readers see the change after the list's lag.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let mut state = self.lock();
        let revision = state.listing.revision + 1;
        state.listing = Listing { revision, instances };
        let visible_at = Instant::now() + state.list_lag;
        let listing = state.listing.clone();
        state.pending_listings.push_back((visible_at, listing));
    }

    /// Sets the delay until readers see changes of the list.
    pub fn set_list_lag(&self, lag: Duration) {
        self.lock().list_lag = lag;
    }

    /// Blocks or allows requests of the node `reader`.
    pub fn set_access(&self, reader: &str, access: Access) {
        let mut state = self.lock();
        match access {
            Access::Blocked => state.blocked.insert(reader.to_owned()),
            Access::Allowed => state.blocked.remove(reader),
        };
    }

    /// Returns the number of reads so far, including those rejected by the limit.
    pub fn reads(&self) -> u64 {
        self.lock().reads_total
    }

    /// Returns the peak of reads within one second and resets it.
    pub fn take_peak(&self) -> usize {
        std::mem::take(&mut self.lock().reads_peak)
    }

    /// Returns the number of reads that the limit rejected.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    fn handle(&self, request: Request) {
        let Some((query, wait)) = parse(request.url()) else {
            let _ = request.respond(Response::empty(404));
            return;
        };
        let reader = request
            .headers()
            .iter()
            .find(|h| h.field.equiv(READER))
            .map(|h| h.value.to_string())
            .unwrap_or_default();
        let mut state = self.lock();
        let admitted = state.count_read();
        if state.mode == Mode::Down || state.blocked.contains(&reader) {
            drop(state);
            let _ = request.respond(Response::empty(500));
            return;
        }
        if !admitted {
            drop(state);
            let _ = request.respond(Response::empty(429));
            return;
        }
        let delay = match state.mode {
            Mode::Slow(delay) => delay,
            _ => Duration::ZERO,
        };
        let until = Instant::now() + wait.max(delay);
        if delay.is_zero() && (wait.is_zero() || state.has_changes(query)) {
            let answer = state.answer(query);
            drop(state);
            respond(request, answer);
            return;
        }
        state.waiting.push(Watch { request, query, until });
    }

    /// Answers the watches that have changes or have timed out.
    fn answer_due(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        while state.pending_listings.front().is_some_and(|(visible_at, _)| *visible_at <= now) {
            let (_, listing) =
                state.pending_listings.pop_front().expect("the front was checked above");
            state.visible = listing;
        }
        let waiting = std::mem::take(&mut state.waiting);
        let slow = matches!(state.mode, Mode::Slow(_));
        let mut due = Vec::new();
        for watch in waiting {
            if watch.until <= now || (!slow && state.has_changes(watch.query)) {
                let answer =
                    if state.mode == Mode::Down { None } else { Some(state.answer(watch.query)) };
                due.push((watch.request, answer));
            } else {
                state.waiting.push(watch);
            }
        }
        drop(state);
        for (request, answer) in due {
            match answer {
                Some(answer) => respond(request, answer),
                None => drop(request.respond(Response::empty(500))),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State of a data centre's evacuation order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evacuation {
    /// Nodes must send no new calls there.
    Ordered,
    /// Nodes may send calls there again.
    Withdrawn,
}

/// Whether the platform answers a reader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// Its requests are answered with status 500.
    Blocked,
    /// Its requests are answered as usual.
    Allowed,
}

/// Response to a valid request.
enum Answer {
    Body(String),
    NoChange(u64),
}

impl State {
    /// Counts a read and returns whether it is within the limit.
    fn count_read(&mut self) -> bool {
        let now = Instant::now();
        while self.reads.front().is_some_and(|&at| now.duration_since(at) > Duration::from_secs(1))
        {
            self.reads.pop_front();
        }
        self.reads_total += 1;
        self.reads.push_back(now);
        self.reads_peak = self.reads_peak.max(self.reads.len());
        let within = self.reads.len() <= READS_PER_SECOND;
        self.refused += u64::from(!within);
        within
    }

    fn served(&self) -> &Set {
        if self.mode == Mode::Stale { &self.stale } else { &self.set }
    }

    fn has_changes(&self, query: Query) -> bool {
        self.revision_of(query.topic) > query.after
    }

    fn revision_of(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Config => self.served().version().revision,
            Topic::Instances => self.visible.revision,
            Topic::Changes => self.revision,
        }
    }

    /// Returns everything written after revision `after`, or the full state if that is 0.
    fn changeset(&self, after: u64) -> Changeset {
        let base = Some(after).filter(|&after| after > 0);
        let list = Update { revision: self.revision, base, ..Update::default() };
        let mut changes = Changeset { revision: self.revision, list, ..Changeset::default() };
        if self.config_revision > after {
            changes.config = Some(self.set.since(None));
        }
        for (id, (revision, entry)) in &self.upstreams {
            match entry {
                _ if *revision <= after => {}
                Some(entry) => changes.list.entries.push(entry.clone()),
                None if base.is_none() => {}
                None => changes.list.removed.push(Removal {
                    id: id.clone(),
                    revision: *revision,
                    ..Removal::default()
                }),
            }
        }
        let is_new =
            |order: &&Order| order.revision > after && (base.is_some() || !order.withdrawn);
        changes.list.orders = Some(self.orders.values().filter(is_new).cloned().collect());
        changes
    }

    fn answer(&self, query: Query) -> Answer {
        if !self.has_changes(query) {
            return Answer::NoChange(self.revision_of(query.topic));
        }
        let text = match query.topic {
            Topic::Config => serde_json::to_string(&self.served().since(query.base)),
            Topic::Instances => serde_json::to_string(&self.visible),
            Topic::Changes => serde_json::to_string(&self.changeset(query.after)),
        };
        Answer::Body(text.expect("plain data serializes to JSON"))
    }
}

fn respond(request: Request, answer: Answer) {
    // The reader may have closed the connection.
    let _ = match answer {
        Answer::Body(text) => request.respond(Response::from_string(text)),
        Answer::NoChange(revision) => {
            let header = Header::from_bytes("platform-revision", revision.to_string());
            let header = header.expect("a constant name and a number are a valid header");
            request.respond(Response::empty(204).with_header(header))
        }
    };
}

fn parse(url: &str) -> Option<(Query, Duration)> {
    let (path, parameters) = url.split_once('?')?;
    let number = |name: &str| {
        let find = |pair: &str| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok();
        parameters.split('&').find_map(find)
    };
    let topic = match path {
        "/v1/config" => Topic::Config,
        "/v1/instances" => Topic::Instances,
        "/v1/news" => Topic::Changes,
        _ => return None,
    };
    let query = Query { topic, base: number("base"), after: number("after").unwrap_or(0) };
    Some((query, Duration::from_millis(number("wait_ms").unwrap_or(0))))
}
