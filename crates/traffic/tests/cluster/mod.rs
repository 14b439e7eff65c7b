//! Nodes that route by host and path, scripted upstreams, and callers that send raw bytes.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use fleet::{
    member::State,
    view::{Upstream as Listed, View},
};
use model::{
    config::build,
    document::{Delta, Document, Set},
    time::Time,
};
use policy::budget;
use socket2::SockRef;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use telemetry::metric::Meter;
use tokio::runtime::{Builder, Runtime};
use traffic::{Addressing, Audience, Clock, Listener, Proxy, Settings, Tuning, wire::Names};

/// Size of one write of bytes without end.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time limit of a waiting test; results don't depend on it otherwise.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Retry budget of every cluster; its few calls earn enough for retries of each.
const BUDGET: budget::Settings = budget::Settings {
    window: Duration::from_secs(10),
    ratio: 20.0,
    slack: 0.0,
    usable_share: 1.0,
};

/// How a scripted upstream handles a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Behaviour {
    /// Answers 200 with all expected headers.
    Answer,
    /// Answers after this time.
    Slowly(Duration),
    /// Answers once this many requests have arrived.
    Batch(usize),
    /// Reads the request and does not answer.
    Silent,
    /// Refuses the request, marked as not run.
    Refuse,
    /// Answers 421 with the identity of another upstream.
    WrongInstance,
    /// Answers 503 without the mark of a refusal.
    Unmarked,
    /// Answers 200 without its stamp.
    Unstamped,
    /// Answers 200 with the id of another request.
    WrongId,
    /// Answers 500.
    Fail,
    /// Answers 200 without a length and closes the connection.
    Unframed,
    /// Answers 400 before it has read the body, and continues to read.
    Early,
    /// Closes the connection.
    Close,
    /// Crashes: closes the listener and every connection.
    Crash,
    /// Sends bytes until the connection is closed.
    Flood(Flood),
    /// Sends bytes and ends the connection.
    Script(Script),
}

/// An answer, and the end of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Script {
    /// When it is sent.
    pub(crate) moment: Moment,
    /// Sent as it is; `ID` and `OFFER` stand for the ids as in a [`Flood`].
    pub(crate) answer: &'static str,
    /// Time from the answer to the end of the connection.
    pub(crate) pause: Duration,
    pub(crate) end: End,
}

/// When an answer is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Moment {
    /// Before the body of the request is read.
    Early,
    /// After the body of the request.
    Late,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// It is reset.
    Reset,
    /// It is closed.
    Close,
}

/// Answer to the request for a transfer grant, which a node sends before a large body.
const GRANT: &str = "HTTP/1.1 200 OK\r\nbaobab-id: OFFER\r\nbaobab-outcome: answered\r\n\
                     baobab-ticket: 5\r\ncontent-length: 0\r\n\r\n";

impl Script {
    fn play(self, stream: &mut TcpStream, request: &Received) {
        // The node may have closed the connection.
        let _ = stream.write_all(fill_in(self.answer, request).as_bytes());
        thread::sleep(self.pause);
        if self.end == End::Reset {
            let socket = SockRef::from(&*stream);
            socket.set_linger(Some(Duration::ZERO)).expect("the connection is open");
        }
    }
}

/// Replaces `ID` by the request's id, and `OFFER` by that of a node's offer.
fn fill_in(text: &str, request: &Received) -> String {
    let header = |name| request.header(name).unwrap_or_default();
    text.replace("ID", header("x-id")).replace("OFFER", header("baobab-id"))
}

/// Bytes without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Flood {
    /// Sent first; `ID` stands for the request's id, and `OFFER` for that of a node's offer.
    pub(crate) start: &'static str,
    /// Repeated after it.
    pub(crate) repeated: &'static str,
}

impl Flood {
    /// Sends it to `stream` until that is closed.
    fn send(self, stream: &mut TcpStream, request: &Received) {
        let chunk = self.repeated.repeat(CHUNK_BYTES.div_ceil(self.repeated.len()));
        let start = fill_in(self.start, request);
        let mut sent = stream.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(chunk.as_bytes());
        }
    }
}

/// A request that an upstream received.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Returns a header of a request or a response.
pub(crate) fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A scripted upstream.
#[derive(Clone)]
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Headers added to every answer.
    extra: Arc<Mutex<String>>,
    received: Arc<Mutex<Vec<Received>>>,
    /// Open connections; `None` after a crash.
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
    /// Whether the listener is open.
    listening: Arc<AtomicBool>,
    /// Number of answers without end that are being sent.
    floods: Arc<AtomicUsize>,
    /// The connection that is left open after a crash.
    held: Arc<Mutex<Option<TcpStream>>>,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let upstream = Upstream {
            address: listener.local_addr().expect("the listener has an address"),
            behaviour: Arc::new(Mutex::new(Behaviour::Answer)),
            extra: Arc::default(),
            received: Arc::default(),
            open: Arc::default(),
            listening: Arc::default(),
            floods: Arc::default(),
            held: Arc::default(),
        };
        upstream.listen(listener);
        upstream
    }

    /// Restarts after a crash at the same address, answering requests.
    pub(crate) fn restart(&self) {
        let started = Instant::now();
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) => assert!(started.elapsed() < TIMEOUT, "cannot bind: {error}"),
            }
            thread::sleep(Duration::from_millis(2));
        };
        self.set(Behaviour::Answer);
        self.listen(listener);
    }

    fn listen(&self, listener: TcpListener) {
        *self.open.lock().expect("the lock is not poisoned") = Some(Vec::new());
        let server = self.clone();
        server.listening.store(true, Ordering::SeqCst);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !server.admit(&stream) {
                    break;
                }
                let server = server.clone();
                thread::spawn(move || server.handle(stream));
            }
            drop(listener);
            server.listening.store(false, Ordering::SeqCst);
        });
    }

    fn handle(&self, mut stream: TcpStream) {
        self.serve(&mut stream);
        if SockRef::from(&stream).linger().is_ok_and(|linger| linger.is_some()) {
            // A shutdown would end the connection in order, instead of by the reset on its close.
            return self.forget(&stream);
        }
        // The cloned handle in `open` would keep the connection open.
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Drops the handle of a connection in `open`, so that the connection closes with its last handle.
    fn forget(&self, stream: &TcpStream) {
        let peer = stream.peer_addr().ok();
        if let Some(open) = self.open.lock().expect("the lock is not poisoned").as_mut() {
            open.retain(|other| other.peer_addr().ok() != peer);
        }
    }

    /// Registers a connection; returns `false` after a crash.
    fn admit(&self, stream: &TcpStream) -> bool {
        let mut open = self.open.lock().expect("the lock is not poisoned");
        let Some(open) = open.as_mut() else { return false };
        open.push(stream.try_clone().expect("a connection can be shared"));
        true
    }

    /// Crashes, but leaves the last connection open, as if its end were noticed later.
    pub(crate) fn crash_except_last_connection(&self) {
        let mut open = self.open.lock().expect("the lock is not poisoned");
        let mut streams = open.take().unwrap_or_default();
        *self.held.lock().expect("the lock is not poisoned") = streams.pop();
        drop(open);
        self.close(streams);
    }

    /// Crashes: closes the listener and every connection.
    pub(crate) fn crash(&self) {
        let mut open =
            self.open.lock().expect("the lock is not poisoned").take().unwrap_or_default();
        open.extend(self.held.lock().expect("the lock is not poisoned").take());
        self.close(open);
    }

    fn close(&self, open: Vec<TcpStream>) {
        // Wakes the accept loop, which then exits. Until it has closed its socket, connections are accepted.
        let _ = TcpStream::connect(self.address);
        let started = Instant::now();
        while self.listening.load(Ordering::SeqCst) {
            assert!(started.elapsed() < TIMEOUT, "the listener is not closed");
            thread::sleep(Duration::from_millis(1));
        }
        for stream in open {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub(crate) fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("the lock is not poisoned") = behaviour;
    }

    /// Sets the limit that every answer names; `None` names none.
    pub(crate) fn name_limit(&self, limit: Option<&str>) {
        let header = limit.map(|limit| format!("x-limit: {limit}\r\n")).unwrap_or_default();
        *self.extra.lock().expect("the lock is not poisoned") = header;
    }

    /// Makes every answer say that the upstream is leaving.
    pub(crate) fn say_leaving(&self) {
        self.add_header("x-leaving: 1");
    }

    /// Adds `header` to every answer, in place of an earlier one.
    pub(crate) fn add_header(&self, header: &str) {
        *self.extra.lock().expect("the lock is not poisoned") = format!("{header}\r\n");
    }

    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the number of answers without end that are being sent.
    pub(crate) fn floods(&self) -> usize {
        self.floods.load(Ordering::SeqCst)
    }

    fn answer(&self, request: &Received, behaviour: Behaviour) -> Vec<u8> {
        answer(request, behaviour, &self.extra.lock().expect("the lock is not poisoned"))
    }

    fn serve(&self, stream: &mut TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(stream, &mut buffer) {
            let behaviour = *self.behaviour.lock().expect("the lock is not poisoned");
            let request = Received { head, body: Vec::new() };
            if behaviour == Behaviour::Early {
                let _ = stream.write_all(&self.answer(&request, behaviour));
            }
            if let Behaviour::Script(script) = behaviour {
                if request.header("baobab-reserve").is_some() {
                    let _ = stream.write_all(fill_in(GRANT, &request).as_bytes());
                    continue;
                }
                if script.moment == Moment::Early {
                    return script.play(stream, &request);
                }
            }
            let length = request.header("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
            let Some(body) = read_body(stream, &mut buffer, length) else { return };
            let request = Received { body, ..request };
            self.received.lock().expect("the lock is not poisoned").push(request.clone());
            match behaviour {
                Behaviour::Close => return,
                Behaviour::Flood(flood) => {
                    self.floods.fetch_add(1, Ordering::SeqCst);
                    flood.send(stream, &request);
                    self.floods.fetch_sub(1, Ordering::SeqCst);
                    return;
                }
                Behaviour::Script(script) => return script.play(stream, &request),
                Behaviour::Crash => return self.crash(),
                Behaviour::Silent => thread::sleep(TIMEOUT),
                Behaviour::Slowly(time) => thread::sleep(time),
                Behaviour::Batch(count) => {
                    while self.received().len() < count {
                        thread::sleep(Duration::from_millis(1));
                    }
                }
                _ => {}
            }
            if behaviour != Behaviour::Early
                && stream.write_all(&self.answer(&request, behaviour)).is_err()
            {
                return;
            }
            if behaviour == Behaviour::Unframed {
                return;
            }
        }
    }
}

fn answer(request: &Received, behaviour: Behaviour, extra: &str) -> Vec<u8> {
    let id = request.header("x-id").unwrap_or_default();
    let stamp = "x-stamp: s1\r\n";
    let head = match behaviour {
        Behaviour::Refuse => format!("503 Busy\r\nx-id: {id}\r\nx-refused: 1\r\n"),
        Behaviour::WrongInstance => "421 Misdirected\r\nx-instance: other\r\n".to_owned(),
        Behaviour::Unmarked => format!("503 Busy\r\nx-id: {id}\r\n{stamp}"),
        Behaviour::Unstamped => format!("200 OK\r\nx-id: {id}\r\n"),
        Behaviour::WrongId => format!("200 OK\r\nx-id: another\r\n{stamp}"),
        Behaviour::Fail => format!("500 Failed\r\nx-id: {id}\r\n{stamp}"),
        Behaviour::Early => format!("400 Bad\r\nx-id: {id}\r\n{stamp}"),
        Behaviour::Unframed => format!("200 OK\r\nx-id: {id}\r\n{stamp}connection: close\r\n"),
        Behaviour::Answer
        | Behaviour::Slowly(_)
        | Behaviour::Batch(_)
        | Behaviour::Silent
        | Behaviour::Close
        | Behaviour::Crash
        | Behaviour::Flood(_)
        | Behaviour::Script(_) => {
            format!("200 OK\r\nx-id: {id}\r\n{stamp}")
        }
    };
    let length = if behaviour == Behaviour::Unframed { "" } else { "content-length: 4\r\n" };
    format!("HTTP/1.1 {head}{extra}{length}\r\nbody").into_bytes()
}

/// Nodes of service "paydesk", each with a colocated upstream; all are entry nodes as well.
pub(crate) struct Cluster {
    pub(crate) runtime: Runtime,
    pub(crate) proxies: Vec<Arc<Proxy>>,
    pub(crate) meters: Vec<Arc<Meter>>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) upstreams: Vec<Upstream>,
}

/// Routes of every cluster.
const ROUTES: [(&str, &str); 4] = [
    (
        "routes/read",
        r#"{"host": "shop.example", "prefix": "/read/", "kind": "idempotent", "attempts": 2,
            "timeout_ms": 4000, "objective_ms": 100, "targets": [{"service": "paydesk"}]}"#,
    ),
    (
        "routes/post",
        r#"{"host": "shop.example", "prefix": "/post/", "kind": "once", "attempts": 2,
            "timeout_ms": 1500, "objective_ms": 400, "targets": [{"service": "paydesk"}]}"#,
    ),
    (
        "routes/deeper",
        r#"{"host": "shop.example", "prefix": "/read/none/", "kind": "once",
            "targets": [{"service": "nobody"}]}"#,
    ),
    (
        "routes/long",
        r#"{"host": "shop.example", "prefix": "/read/long/", "kind": "idempotent",
            "timeout_ms": 9000, "objective_ms": 9000, "targets": [{"service": "paydesk"}]}"#,
    ),
];

/// Returns the settings that every node starts with and that may change at run time.
pub(crate) fn tuning() -> Tuning {
    Tuning { budget: Some(BUDGET), ..Tuning::default() }
}

fn names() -> Names {
    let name = |text: &'static str| traffic::wire::HeaderName::from_static(text);
    Names {
        deadline: name("x-deadline"),
        request: Some(name("x-id")),
        caller: Some(name("x-caller")),
        identity: Some(name("x-expect")),
        refused: Some(name("x-refused")),
        stamp: Some(name("x-stamp")),
        leaving: Some(name("x-leaving")),
        limit: Some(name("x-limit")),
        cold: Some(name("x-cold-ms")),
        precision: traffic::wire::Precision::Millis,
    }
}

impl Cluster {
    /// Starts `count` nodes with `slots` slots each and configures the routes.
    pub(crate) fn new(count: usize, slots: usize) -> Self {
        let cluster = Cluster::without_config(count, slots);
        for proxy in &cluster.proxies {
            proxy.set_config(configuration());
        }
        cluster
    }

    /// Starts nodes without a configuration.
    pub(crate) fn without_config(count: usize, slots: usize) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()
            .expect("threads can be started");
        let upstreams: Vec<Upstream> = (0..count).map(|_| Upstream::start()).collect();
        let mut cluster = Cluster {
            runtime,
            proxies: Vec::new(),
            meters: Vec::new(),
            callers: Vec::new(),
            upstreams,
        };
        let mut listed = Vec::new();
        for number in 0..count {
            let (caller, node) = cluster.start(number, slots);
            cluster.callers.push(caller);
            listed.push(upstream(number, node, slots));
        }
        let mut view = View::default();
        listed.into_iter().for_each(|upstream| view.add("paydesk", upstream));
        let view = Arc::new(view);
        cluster.proxies.iter().for_each(|proxy| proxy.set_view(view.clone()));
        let proxies = cluster.proxies.clone();
        cluster.runtime.spawn(async move {
            loop {
                for proxy in &proxies {
                    proxy.tick_pause_detector();
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        cluster
    }

    fn start(&mut self, number: usize, slots: usize) -> (SocketAddr, SocketAddr) {
        let settings = Settings {
            address: node_address(number),
            service: "paydesk".to_owned(),
            upstream: self.upstreams[number].address,
            addressing: Addressing::Route,
            slots,
            link_mbps: 5,
            names: names(),
            tuning: tuning(),
            // Long enough that load on the machine isn't detected as a pause.
            pause: policy::pause::Settings { gap: TIMEOUT, ..policy::pause::Settings::default() },
            ..Settings::default()
        };
        let meter = Arc::new(Meter::new().expect("metrics can be set up"));
        let proxy = Proxy::new(settings, Clock::default(), meter.clone());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let bind = |audience| {
            let listener = self.runtime.block_on(Listener::bind_for(any, audience));
            let listener = listener.expect("a port is free");
            let address = listener.address().expect("the listener has an address");
            self.runtime.spawn(listener.serve(proxy.clone()));
            address
        };
        let addresses = (bind(Audience::Callers), bind(Audience::Nodes));
        self.proxies.push(proxy);
        self.meters.push(meter);
        addresses
    }

    /// Replaces the process of node `number`; its upstream and the other nodes keep running.
    pub(crate) fn restart(&mut self, number: usize, slots: usize) {
        let view = self.proxies[number].view();
        let (caller, node) = self.start(number, slots);
        let restarted = self.proxies.pop().expect("the node was just started");
        self.meters[number] = self.meters.pop().expect("the node was just started");
        restarted.set_config(configuration());
        restarted.set_view(view);
        self.proxies[number] = restarted;
        self.callers[number] = caller;
        for viewer in 0..self.proxies.len() {
            self.show(viewer, number, |upstream| upstream.traffic = node);
        }
    }

    /// Sets the start of the upstream of node `number` in the view of node `viewer`.
    pub(crate) fn show_incarnation(&self, viewer: usize, number: usize, started_ms: u64) {
        self.show(viewer, number, |upstream| upstream.started_ms = Some(started_ms));
    }

    /// Changes the entry of the upstream of node `number` in the view of node `viewer`.
    pub(crate) fn show(&self, viewer: usize, number: usize, change: impl Fn(&mut Listed)) {
        let known = self.proxies[viewer].view();
        let mut view = View::default();
        for (service, upstream) in known.iter() {
            let mut upstream = upstream.clone();
            if upstream.address == node_address(number) {
                change(&mut upstream);
            }
            view.add(service, upstream);
        }
        self.proxies[viewer].set_view(Arc::new(view));
    }

    /// Sends `request` to a node on a new connection and returns the response.
    pub(crate) fn exchange(&self, node: usize, request: &str) -> String {
        let mut stream = self.connect(node);
        stream.write_all(request.as_bytes()).expect("the node reads");
        let mut text = String::new();
        // A reset also ends the response; what was read before it is returned.
        let _ = stream.read_to_string(&mut text);
        text
    }

    pub(crate) fn connect(&self, node: usize) -> TcpStream {
        let stream = TcpStream::connect(self.callers[node]).expect("the node listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
        stream
    }

    /// Returns all requests that upstreams received, grouped by upstream.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.upstreams.iter().flat_map(Upstream::received).collect()
    }

    pub(crate) fn wait(&self, done: impl Fn() -> bool) {
        let started = Instant::now();
        while !done() {
            assert!(started.elapsed() < TIMEOUT, "condition not met in time");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Returns the status of a response; empty if there is none.
pub(crate) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("")
}

/// Returns a request with `Connection: close`.
pub(crate) fn request(method: &str, path: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nx-deadline: 3000\r\n\
         connection: close\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn node_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 7_000 + number as u16))
}

fn upstream(number: usize, traffic: SocketAddr, slots: usize) -> Listed {
    Listed {
        address: node_address(number),
        traffic,
        instance: format!("i-{number}"),
        incarnation: 1,
        identity: Some(format!("i-{number}").as_str().into()),
        started_ms: None,
        data_centre: "ktm-a".to_owned(),
        near: true,
        state: State::Live,
        slots,
        cold_until: Time::default(),
        readmitted_at: None,
    }
}

fn configuration() -> Arc<model::config::Snapshot> {
    configuration_of(r#"{"profile": "p"}"#)
}

/// Returns the next configuration, with the given document of the profile.
pub(crate) fn configuration_of_profile(profile: &str) -> Arc<model::config::Snapshot> {
    build_configuration_of(2, profile, r#"{"profile": "p"}"#, &ROUTES)
}

/// Returns the configuration with the given document of the service.
pub(crate) fn configuration_of(paydesk: &str) -> Arc<model::config::Snapshot> {
    build_configuration(1, paydesk, &ROUTES)
}

/// Returns the next configuration, whose requests may have bodies of `bytes` bytes.
pub(crate) fn configuration_of_body_limit(bytes: usize) -> Arc<model::config::Snapshot> {
    let limits = format!(r#"{{"body_bytes": {bytes}}}"#);
    build_limited(2, "{}", r#"{"profile": "p"}"#, &limits, &ROUTES)
}

/// Returns the next configuration, which also has the given route.
pub(crate) fn configuration_with(route: (&str, &str)) -> Arc<model::config::Snapshot> {
    let routes: Vec<(&str, &str)> = ROUTES.into_iter().chain([route]).collect();
    build_configuration(2, r#"{"profile": "p"}"#, &routes)
}

/// Returns the next configuration, which has no routes.
pub(crate) fn configuration_without_routes() -> Arc<model::config::Snapshot> {
    build_configuration(2, r#"{"profile": "p"}"#, &[])
}

fn build_configuration(
    revision: u64,
    paydesk: &str,
    routes: &[(&str, &str)],
) -> Arc<model::config::Snapshot> {
    build_configuration_of(revision, "{}", paydesk, routes)
}

fn build_configuration_of(
    revision: u64,
    profile: &str,
    paydesk: &str,
    routes: &[(&str, &str)],
) -> Arc<model::config::Snapshot> {
    build_limited(revision, profile, paydesk, r#"{"body_bytes": 200000}"#, routes)
}

fn build_limited(
    revision: u64,
    profile: &str,
    paydesk: &str,
    limits: &str,
    routes: &[(&str, &str)],
) -> Arc<model::config::Snapshot> {
    let document = |(key, text): (&str, &str)| Document {
        key: key.to_owned(),
        modified: 1,
        text: text.into(),
    };
    let mut documents = vec![
        document(("profiles/p", profile)),
        document(("services/paydesk", paydesk)),
        document(("services/nobody", r#"{"profile": "p"}"#)),
        document(("limits", limits)),
    ];
    documents.extend(routes.iter().copied().map(document));
    let delta = Delta { revision, full: true, documents, ..Delta::default() };
    Arc::new(build(&Set::default().with(delta)).expect("the routes are valid"))
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = buffer.split_off(end + 4);
            let head = std::mem::replace(buffer, rest);
            return String::from_utf8(head).ok();
        }
        fill(stream, buffer)?;
    }
}

fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    let rest = buffer.split_off(length);
    Some(std::mem::replace(buffer, rest))
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk).ok().filter(|&count| count > 0)?;
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}
