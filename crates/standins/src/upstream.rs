//! An upstream: slots, a ledger of what it really ran, and many ways to misbehave.
//!
//! It writes its answers by hand, since no HTTP library can be made to truncate or double them.

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

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// End of the path of a request that ends the process of every upstream that runs it.
pub const POISON_SUFFIX: &str = "/fatal";

/// Time from the beginning of such a request to the end of the process.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time between two attempts to listen at the address of the former process.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// It runs a request and answers.
    #[default]
    Normal,
    /// It reads requests and does nothing at all.
    Frozen,
    /// It runs a request and never answers.
    Silent,
    /// It closes the connection before it runs the request.
    CloseBefore,
    /// It runs the request and closes the connection.
    CloseAfter,
    /// It answers with less than it declared and closes the connection.
    Truncate,
    /// It answers twice.
    Duplicate,
    /// It answers with the id of another request.
    WrongId,
    /// It refuses with 503 before running anything.
    Refuse,
}

/// Settings of an [`Upstream`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen at; port 0 for a free one.
    pub listen: SocketAddr,
    /// Time a request takes.
    pub service_time: Duration,
    /// Requests run at once; more are answered with 503 and counted as shed.
    pub slots: usize,
    /// Bytes of an answer.
    pub answer_bytes: usize,
}

/// A further call that a request causes, through a node.
#[derive(Clone, Debug)]
pub struct Nested {
    /// Address of the node for calls.
    pub node: SocketAddr,
    /// Path, which names the service.
    pub path: String,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: Duration::ZERO,
            slots: 10,
            answer_bytes: 64,
        }
    }
}

/// A running upstream; clones share it.
#[derive(Clone)]
pub struct Upstream {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    settings: Arc<Settings>,
}

/// What an upstream has done.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// How often each named piece of work was begun.
    pub runs_by_work: HashMap<String, u32>,
    /// When each named piece of work was begun, oldest first.
    pub starts: Vec<(Instant, String)>,
    /// Requests begun.
    pub runs: u64,
    /// Requests that were finished.
    pub finished: u64,
    /// Requests answered with 503 for want of a slot.
    pub shed: u64,
    /// Most requests run at once.
    pub max_busy: usize,
    /// When its process ended under a request, oldest first.
    pub crashes: Vec<Instant>,
    /// Requests that end the process, as they came here: when they were begun, and their paths.
    pub poison_requests: Vec<(Instant, String)>,
}

struct State {
    mode: Mode,
    service_time: Duration,
    nested: Option<Nested>,
    busy: usize,
    ledger: Ledger,
    tasks: Vec<AbortHandle>,
    /// How often its process was ended.
    kills: u64,
}

/// A request as far as an upstream cares.
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
            mode: Mode::Normal,
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

    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Changes the time a request takes.
    pub fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    /// Has each request cause a further call before it is answered.
    pub fn set_nested(&self, nested: Nested) {
        self.lock().nested = Some(nested);
    }

    /// Closes the listener and every connection, as a killed process would.
    pub fn kill(&self) {
        let mut state = self.lock();
        state.kills += 1;
        state.tasks.drain(..).for_each(|task| task.abort());
    }

    /// Ends the process, and starts it again after a while unless it is killed meanwhile.
    fn crash(&self) {
        let server = self.clone();
        tokio::spawn(async move {
            server.lock().ledger.crashes.push(Instant::now());
            server.kill();
            let kills = server.lock().kills;
            sleep(RESTART_DELAY).await;
            while server.lock().kills == kills {
                if let Ok(listener) = TcpListener::bind(server.address).await {
                    return server.serve_on(listener);
                }
                sleep(REBIND_INTERVAL).await;
            }
        });
    }

    fn serve_on(&self, listener: TcpListener) {
        let task = tokio::spawn(self.clone().accept(listener));
        self.lock().tasks.push(task.abort_handle());
    }

    /// Returns what it has done.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Returns the number of requests being run.
    pub fn busy(&self) -> usize {
        self.lock().busy
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            let task = tokio::spawn(async move {
                // A connection that breaks is the caller's business.
                let _ = server.serve(stream).await;
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
            let mode = self.lock().mode;
            match mode {
                Mode::Frozen => std::future::pending().await,
                Mode::CloseBefore => return Ok(()),
                Mode::Refuse => {
                    respond(&mut stream, &request, "503 Busy", 0, 0).await?;
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
                    respond(&mut stream, &request, status, size, size / 2).await?;
                    return Ok(());
                }
                Mode::Duplicate => {
                    respond(&mut stream, &request, status, size, size).await?;
                    respond(&mut stream, &request, status, size, size).await?;
                }
                Mode::WrongId => {
                    let other = Request { id: Some("0".to_owned()), ..request };
                    respond(&mut stream, &other, status, size, size).await?;
                }
                _ => respond(&mut stream, &request, status, size, size).await?,
            }
        }
        Ok(())
    }

    /// Runs one request and returns the status of its answer.
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request being run, counted while it exists.
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

/// Reads one request with its body; none at the end of the connection.
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

/// Parses a head; returns the request and its length with the body.
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

/// Writes an answer that declares `declared` bytes and has `written`.
async fn respond(
    stream: &mut TcpStream,
    request: &Request,
    status: &str,
    declared: usize,
    written: usize,
) -> io::Result<()> {
    let id = request.id.as_ref().map(|id| format!("baobab-id: {id}\r\n")).unwrap_or_default();
    let work = request.work.as_deref().unwrap_or("");
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {declared}\r\n{id}{WORK_HEADER}: {work}\r\n\r\n"
    );
    let mut answer = head.into_bytes();
    answer.resize(answer.len() + written, b'x');
    stream.write_all(&answer).await
}
