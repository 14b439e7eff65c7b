//! In-process platform over HTTP: versioned documents, a delayed list of instances, a read limit.

mod content;

pub use content::Content;

use fleet::{
    directory::Entry,
    source::{Instance, Listing},
};
use model::document::{Delta, Document, MAX_DOCUMENT_BYTES, Set};
use std::{
    collections::{HashSet, VecDeque},
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

/// Response header with the platform's revision.
const REVISION_HEADER: &str = "platform-revision";

/// Response header with the platform's era.
const ERA_HEADER: &str = "platform-era";

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
    /// Rises each time the platform comes back from an older copy.
    era: u64,
    content: Content,
    /// What operators and upstreams have written, whether or not the platform has lost it.
    written: Content,
    stale: Set,
    history: Vec<Set>,
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
        let content = Content::new();
        let state = State {
            mode: Mode::Normal,
            era: 0,
            written: content.clone(),
            content,
            stale: Set::default(),
            history: Vec::new(),
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
        let revision = state.written.set.version().revision + 1;
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
        state.written.set = state.written.set.with(delta);
        let set = state.written.set.clone();
        state.content.write_set(set.clone());
        state.history.push(set);
        revision
    }

    /// Writes an upstream's entry, or removes it if `None`; returns the new shared revision of
    /// configuration and upstreams.
    pub fn register(&self, id: &str, entry: Option<Entry>) -> u64 {
        let mut state = self.lock();
        state.written.write_upstream(id, entry.clone());
        state.content.write_upstream(id, entry)
    }

    /// Orders a data centre's evacuation, or withdraws the order.
    pub fn set_evacuation(&self, data_centre: &str, evacuation: Evacuation) {
        let mut state = self.lock();
        let withdrawn = evacuation == Evacuation::Withdrawn;
        state.written.write_order(data_centre, withdrawn);
        state.content.write_order(data_centre, withdrawn);
    }

    /// Returns a copy of what the platform holds.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// Comes back from an older copy in a new era; what was written since is lost, and its revisions are given
    /// out again.
    pub fn restore(&self, copy: Content) {
        let mut state = self.lock();
        state.era += 1;
        state.content = copy;
    }

    /// Writes again whatever the platform has lost, as its writers do after a return.
    pub fn write_again(&self) {
        let mut state = self.lock();
        let written = state.written.clone();
        state.content.write_again(written);
    }

    /// Sets how the platform answers from now on.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        if mode == Mode::Stale && state.mode != Mode::Stale {
            state.stale = state.content.set.clone();
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
        if state.lacks(query) {
            drop(state);
            let _ = request.respond(Response::empty(410));
            return;
        }
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
            let (answer, era) = (state.answer(query), state.era);
            drop(state);
            respond(request, answer, era);
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
        let era = state.era;
        drop(state);
        for (request, answer) in due {
            match answer {
                Some(answer) => respond(request, answer, era),
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
        if self.mode == Mode::Stale { &self.stale } else { &self.content.set }
    }

    /// Returns whether a query continues from a revision that was lost.
    fn lacks(&self, query: Query) -> bool {
        query.topic == Topic::Changes && query.after > self.content.revision
    }

    fn has_changes(&self, query: Query) -> bool {
        self.revision_of(query.topic) > query.after
    }

    fn revision_of(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Config => self.served().version().revision,
            Topic::Instances => self.visible.revision,
            Topic::Changes => self.content.revision,
        }
    }

    fn answer(&self, query: Query) -> Answer {
        if !self.has_changes(query) {
            return Answer::NoChange(self.revision_of(query.topic));
        }
        let text = match query.topic {
            Topic::Config => serde_json::to_string(&self.served().since(query.base)),
            Topic::Instances => serde_json::to_string(&self.visible),
            Topic::Changes => serde_json::to_string(&self.content.changeset(query.after)),
        };
        Answer::Body(text.expect("plain data serializes to JSON"))
    }
}

fn respond(request: Request, answer: Answer, era: u64) {
    let header = |name: &str, number: u64| {
        Header::from_bytes(name, number.to_string()).expect("a name and a number make a header")
    };
    let era = header(ERA_HEADER, era);
    // The reader may have closed the connection.
    let _ = match answer {
        Answer::Body(text) => request.respond(Response::from_string(text).with_header(era)),
        Answer::NoChange(revision) => {
            let revision = header(REVISION_HEADER, revision);
            request.respond(Response::empty(204).with_header(revision).with_header(era))
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
