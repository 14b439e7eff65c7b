//! In-process HTTP/1.1 upstream with a concurrency limit, fault modes and a ledger of what it ran.
//!
//! Responses are written by hand, since HTTP libraries don't allow truncated or duplicate ones.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Handle,
    task::AbortHandle,
    time::sleep,
};

use crate::caller::{self, WORK_HEADER};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Response header with the limit that an upstream names, in requests per second.
pub const LIMIT_HEADER: &str = "x-limit";

/// Response header, with the value 1, of an upstream that is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Path of health probes, which count as no request.
pub const HEALTH_PATH: &str = "/health";

/// Header of answers to health probes with the upstream's identity.
pub const INSTANCE_HEADER: &str = "x-instance";

/// Header of answers to health probes with the remaining warm-up time, in ms.
pub const COLD_HEADER: &str = "x-cold-ms";

/// Path suffix of a poison request: one that crashes every upstream that runs it.
pub const POISON_SUFFIX: &str = "/fatal";

/// Time from the start of a poison request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Time from a crash to the restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Interval between attempts to bind the previous address after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Runs the request and answers.
    #[default]
    Normal,
    /// Reads the request, then neither runs nor answers it.
    Frozen,
    /// Runs the request and never answers.
    Silent,
    /// Closes the connection without running the request.
    CloseBefore,
    /// Runs the request, then closes the connection without an answer.
    CloseAfter,
    /// Sends half of the declared body, then closes the connection.
    Truncate,
    /// Sends the response twice.
    Duplicate,
    /// Answers with another request's id.
    WrongId,
    /// Answers with 503 without running the request.
    Refuse,
}

/// Settings of an [`Upstream`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time to run one request.
    pub service_time: Duration,
    /// Concurrency limit; further requests are answered with 503 and counted as shed.
    pub slots: usize,
    /// Body size of a response, in bytes.
    pub answer_bytes: usize,
    /// Time for which it is cold after a crash or a replacement.
    pub warm_up: Duration,
}

/// A nested call that each request makes through a node before it is answered.
#[derive(Clone, Debug)]
pub struct Nested {
    /// The node's address for callers.
    pub node: SocketAddr,
    /// Request path; its first segment is the service or route.
    pub path: String,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: Duration::ZERO,
            slots: 10,
            answer_bytes: 64,
            warm_up: Duration::ZERO,
        }
    }
}

/// Handle to a running upstream; clones share its state.
#[derive(Clone)]
pub struct Upstream {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    settings: Arc<Settings>,
}

/// Record of the requests that an upstream received, over all its restarts.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Number of runs by work id.
    pub runs_by_work: HashMap<String, u32>,
    /// Start time and work id of each run that had one, oldest first.
    pub starts: Vec<(Instant, String)>,
    /// Requests started.
    pub runs: u64,
    /// Requests run to the end.
    pub finished: u64,
    /// Requests answered with 503 because all slots were in use.
    pub shed: u64,
    /// Peak of requests run at the same time.
    pub max_busy: usize,
    /// Times of crashes caused by poison requests, oldest first.
    pub crashes: Vec<Instant>,
    /// Start time and path of each poison request, oldest first.
    pub poison_requests: Vec<(Instant, String)>,
    /// Times of the first responses with each limit, in requests per second, oldest first; `None` where it
    /// was lifted.
    pub limits: Vec<(Instant, Option<f64>)>,
    /// Times of the first responses that said that the upstream is leaving, and when it was replaced.
    pub leaves: Vec<(Instant, Option<Instant>)>,
    /// Arrival times of all requests, refused ones included, oldest first.
    pub arrivals: Vec<Instant>,
    /// Periods in which the upstream was cold, oldest first.
    pub cold: Vec<Cold>,
}

/// A period in which an upstream is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cold {
    /// When it became cold.
    pub from: Instant,
    /// When it is warm.
    pub until: Instant,
}

impl Ledger {
    /// Returns the largest number of requests in any `period` while the upstream was cold, and the start of that
    /// period.
    pub fn peak_while_cold(&self, period: Duration) -> Option<(usize, Instant)> {
        let peaks = self.cold.iter().filter_map(|cold| self.peak_within(*cold, period));
        peaks.max_by_key(|(arrivals, _)| *arrivals)
    }

    fn peak_within(&self, cold: Cold, period: Duration) -> Option<(usize, Instant)> {
        let is_within = |at: &&Instant| (cold.from..cold.until).contains(*at);
        let arrivals: Vec<Instant> = self.arrivals.iter().filter(is_within).copied().collect();
        let count = |from: Instant| {
            arrivals.iter().filter(|at| (from..from + period).contains(*at)).count()
        };
        arrivals.iter().map(|&from| (count(from), from)).max_by_key(|(arrivals, _)| *arrivals)
    }
}

struct State {
    /// Identity that it reports to health probes.
    identity: String,
    mode: Mode,
    /// Limit that responses name, in requests per second.
    limit: Option<f64>,
    /// Whether responses say that the upstream is leaving.
    leaving: bool,
    service_time: Duration,
    nested: Option<Nested>,
    busy: usize,
    ledger: Ledger,
    tasks: Vec<AbortHandle>,
    /// Number of kills and crashes; tells a pending restart that it is out of date.
    kills: u64,
}

/// The parts of a request that an upstream uses.
struct Request {
    path: String,
    work: Option<String>,
    id: Option<String>,
    deadline_ms: Option<String>,
}

impl Upstream {
    /// Starts an upstream on the runtime of `handle`.
    pub fn start(settings: Settings, handle: &Handle) -> io::Result<Self> {
        let socket = std::net::TcpListener::bind(settings.listen)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let state = State {
            identity: String::new(),
            mode: Mode::Normal,
            limit: None,
            leaving: false,
            service_time: settings.service_time,
            nested: None,
            busy: 0,
            ledger: Ledger::default(),
            tasks: Vec::new(),
            kills: 0,
        };
        let upstream =
            Upstream { address, state: Arc::new(Mutex::new(state)), settings: Arc::new(settings) };
        let _guard = handle.enter();
        upstream.serve_on(TcpListener::from_std(socket)?);
        Ok(upstream)
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how requests are handled from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Sets the identity that it reports to health probes.
    pub fn set_identity(&self, identity: &str) {
        self.lock().identity = identity.to_owned();
    }

    /// Makes it cold for `time` from now on, if it would be warm earlier.
    pub fn become_cold(&self, time: Duration) {
        if time.is_zero() {
            return;
        }
        let from = Instant::now();
        let until = from + time;
        let cold = &mut self.lock().ledger.cold;
        match cold.last_mut().filter(|cold| cold.until > from) {
            Some(cold) => cold.until = cold.until.max(until),
            None => cold.push(Cold { from, until }),
        }
    }

    /// Returns for how long it is still cold.
    pub fn cold_left(&self) -> Duration {
        let until = self.lock().ledger.cold.last().map(|cold| cold.until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Sets the limit that responses name from now on, in requests per second; `None` lifts it.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.lock().limit = limit;
    }

    /// Makes all further responses say that the upstream is leaving.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Becomes another upstream at the same address, which is not leaving and has named no limit.
    pub fn replace(&self) {
        let mut state = self.lock();
        state.leaving = false;
        state.limit = None;
        if state.ledger.limits.last().is_some_and(|(_, limit)| limit.is_some()) {
            state.ledger.limits.push((Instant::now(), None));
        }
        if let Some((_, end)) = state.ledger.leaves.last_mut() {
            end.get_or_insert_with(Instant::now);
        }
        drop(state);
        self.become_cold(self.settings.warm_up);
    }

    /// Sets the time to run one request.
    pub fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    /// Makes each request send a nested call before it is answered.
    pub fn set_nested(&self, nested: Nested) {
        self.lock().nested = Some(nested);
    }

    /// Closes the listener and every connection, as if the process was killed.
    pub fn kill(&self) {
        let mut state = self.lock();
        state.kills += 1;
        if let Some(cold) = state.ledger.cold.last_mut() {
            cold.until = cold.until.min(Instant::now());
        }
        state.tasks.drain(..).for_each(|task| task.abort());
    }

    /// Simulates a crash, and restarts after [`RESTART_DELAY`] unless killed meanwhile.
    fn crash(&self) {
        let upstream = self.clone();
        tokio::spawn(async move {
            upstream.lock().ledger.crashes.push(Instant::now());
            upstream.kill();
            let kills = upstream.lock().kills;
            sleep(RESTART_DELAY).await;
            while upstream.lock().kills == kills {
                if let Ok(listener) = TcpListener::bind(upstream.address).await {
                    upstream.become_cold(upstream.settings.warm_up);
                    return upstream.serve_on(listener);
                }
                sleep(REBIND_INTERVAL).await;
            }
        });
    }

    fn serve_on(&self, listener: TcpListener) {
        let task = tokio::spawn(self.clone().accept(listener));
        self.lock().tasks.push(task.abort_handle());
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Returns the number of requests in flight.
    pub fn busy(&self) -> usize {
        self.lock().busy
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let upstream = self.clone();
            let task = tokio::spawn(async move {
                // An I/O error only ends this connection; the client sees it too.
                let _ = upstream.serve(stream).await;
            });
            let mut state = self.lock();
            state.tasks.retain(|t| !t.is_finished());
            state.tasks.push(task.abort_handle());
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = read(&mut stream, &mut buffer).await? {
            if request.path == HEALTH_PATH {
                self.report_health(&mut stream).await?;
                continue;
            }
            let mode = {
                let mut state = self.lock();
                state.ledger.arrivals.push(Instant::now());
                state.mode
            };
            match mode {
                Mode::Frozen => std::future::pending().await,
                Mode::CloseBefore => return Ok(()),
                Mode::Refuse => {
                    self.respond(&mut stream, &request, "503 Busy", 0, 0).await?;
                    continue;
                }
                _ => {}
            }
            let status = self.run(&request).await;
            let size = self.settings.answer_bytes;
            match mode {
                Mode::Silent => std::future::pending().await,
                Mode::CloseAfter => return Ok(()),
                Mode::Truncate => {
                    self.respond(&mut stream, &request, status, size, size / 2).await?;
                    return Ok(());
                }
                Mode::Duplicate => {
                    self.respond(&mut stream, &request, status, size, size).await?;
                    self.respond(&mut stream, &request, status, size, size).await?;
                }
                Mode::WrongId => {
                    let other = Request { id: Some("0".to_owned()), ..request };
                    self.respond(&mut stream, &other, status, size, size).await?;
                }
                _ => self.respond(&mut stream, &request, status, size, size).await?,
            }
        }
        Ok(())
    }

    /// Answers a health probe, which waits for nothing.
    async fn report_health(&self, stream: &mut TcpStream) -> io::Result<()> {
        let cold_ms = self.cold_left().as_millis();
        let identity = self.lock().identity.clone();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{INSTANCE_HEADER}: {identity}\r\n{COLD_HEADER}: {cold_ms}\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await
    }

    /// Runs one request and returns the status line of its response.
    async fn run(&self, request: &Request) -> &'static str {
        let Some(run) = Run::begin(self, request) else { return "503 Shed" };
        if request.path.ends_with(POISON_SUFFIX) {
            self.lock().ledger.poison_requests.push((Instant::now(), request.path.clone()));
            sleep(CRASH_DELAY).await;
            self.crash();
            std::future::pending::<()>().await;
        }
        let service_time = self.lock().service_time;
        if !service_time.is_zero() {
            sleep(service_time).await;
        }
        let mut status = "200 OK";
        let nested = self.lock().nested.clone();
        if let Some(nested) = nested {
            let deadline = request.deadline_ms.as_deref().and_then(|t| t.parse().ok());
            let answer = caller::get_once(nested.node, &nested.path, deadline).await;
            let succeeded = answer.is_ok_and(|a| a.status == 200);
            status = if succeeded { "200 OK" } else { "502 Failed" };
        }
        run.finish();
        status
    }

    /// Writes a response with `content-length: declared` and `written` bytes of body.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        status: &str,
        declared: usize,
        written: usize,
    ) -> io::Result<()> {
        let id = request.id.as_ref().map(|id| format!("baobab-id: {id}\r\n")).unwrap_or_default();
        let work = request.work.as_deref().unwrap_or("");
        let demands = self.lock().demands();
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {declared}\r\n{id}{demands}{WORK_HEADER}: {work}\r\n\r\n"
        );
        let mut answer = head.into_bytes();
        answer.resize(answer.len() + written, b'x');
        stream.write_all(&answer).await
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the headers of a response that limit or end the requests, and records their first use.
    fn demands(&mut self) -> String {
        let last = self.ledger.limits.last().and_then(|(_, limit)| *limit);
        if last != self.limit {
            self.ledger.limits.push((Instant::now(), self.limit));
        }
        let mut headers = String::new();
        if let Some(limit) = self.limit {
            headers += &format!("{LIMIT_HEADER}: {limit}\r\n");
        }
        if self.leaving {
            let is_told = self.ledger.leaves.last().is_some_and(|(_, end)| end.is_none());
            if !is_told {
                self.ledger.leaves.push((Instant::now(), None));
            }
            headers += &format!("{LEAVING_HEADER}: 1\r\n");
        }
        headers
    }
}

/// Guard of a request in flight; it occupies a slot until dropped.
struct Run<'a> {
    upstream: &'a Upstream,
}

impl<'a> Run<'a> {
    fn begin(upstream: &'a Upstream, request: &Request) -> Option<Self> {
        let mut state = upstream.lock();
        if state.busy >= upstream.settings.slots {
            state.ledger.shed += 1;
            return None;
        }
        state.busy += 1;
        state.ledger.max_busy = state.ledger.max_busy.max(state.busy);
        state.ledger.runs += 1;
        if let Some(work) = &request.work {
            *state.ledger.runs_by_work.entry(work.clone()).or_default() += 1;
            state.ledger.starts.push((Instant::now(), work.clone()));
        }
        drop(state);
        Some(Run { upstream })
    }

    fn finish(self) {
        self.upstream.lock().ledger.finished += 1;
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.upstream.lock().busy -= 1;
    }
}

/// Reads one request and discards its body; `None` at the end of the connection.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some((request, length)) = parse(buffer)? {
            while buffer.len() < length {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..length);
            return Ok(Some(request));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// Parses a request head; returns the request and its length including the body.
fn parse(buffer: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let status = head.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(end) = status else { return Ok(None) };
    let find = |name: &str| {
        let header = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        String::from_utf8(header.value.to_vec()).ok()
    };
    let body = find("content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
    let request = Request {
        path: head.path.unwrap_or_default().to_owned(),
        work: find(WORK_HEADER),
        id: find("baobab-id"),
        deadline_ms: find("baobab-deadline-ms"),
    };
    Ok(Some((request, end + body)))
}
