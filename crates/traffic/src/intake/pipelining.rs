//! HTTP/1.1 pipelining: runs idempotent calls concurrently and answers them in order.
//!
//! `hyper` handles one request of a connection at a time. A tap on the stream parses heads without a
//! body ahead of it and starts their calls, which `hyper` then awaits; a request with a body ends this
//! for the connection. Only idempotent calls start early, since callers resend requests behind an answer
//! that closes the connection.

use bytes::BytesMut;
use httparse::{EMPTY_HEADER, Status};
use hyper::{Method, Request, Response, Uri, body::Body, header};
use ingress::{
    memory::Lease,
    stream::{Probe, Tap},
};
use policy::outcome::Cause;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{select, task::JoinHandle, time::sleep};

use crate::{
    intake::{self, Audience},
    lock::lock,
    net::body::Inbound,
    proxy::Proxy,
    routing::target,
    wire::{self, Precision},
};

/// Limit on calls of one connection started early; their answers are held until it is their turn.
const MAX_PIPELINED_CALLS: usize = 8;

/// Limit on a head that is parsed ahead, in bytes; `hyper` has its own limit.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Limit on bytes that are read ahead of `hyper`; beyond it, TCP flow control stops the caller.
const MAX_PREFETCHED_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Memory of a byte that is read ahead: for `hyper`, and until the head that it is part of is parsed.
const PREFETCHED_MEMORY_FACTOR: usize = 2;

/// Size of one read while a call is running, in bytes.
const READ_BYTES: usize = 2 * 1024;

/// Interval at which a connection is checked for its end while nothing more is read ahead.
const CLOSED_INTERVAL: Duration = Duration::from_millis(100);

/// End of the last line of a head, and the empty line behind it.
const END_OF_HEAD: &[u8] = b"\n\r\n";

/// Limit on the headers of a request that is parsed ahead.
const MAX_HEADERS: usize = 64;

/// Parser and early calls of one connection.
pub(crate) struct Pipeline {
    proxy: Arc<Proxy>,
    probe: Probe,
    state: Mutex<State>,
}

struct State {
    /// Bytes read from the socket that `hyper` has not read yet.
    prefetched: BytesMut,
    /// Memory of the prefetched bytes, in both buffers.
    lease: Lease,
    /// Bytes of an incomplete head.
    unparsed: BytesMut,
    /// Number of unparsed bytes that hold no end of a head.
    scanned: usize,
    /// Whether parsing ahead has stopped, since request boundaries are unknown.
    disabled: bool,
    /// Number of heads parsed.
    parsed: u64,
    /// Number of requests that `hyper` has delivered.
    delivered: u64,
    /// Number of requests answered.
    answered: u64,
    /// Calls started early, with the number of their request, oldest first.
    started: VecDeque<(u64, Task)>,
}

/// A running call; cancelled on drop.
struct Task(JoinHandle<Response<wire::Body>>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Pipeline {
    pub(crate) fn new(proxy: Arc<Proxy>, probe: Probe) -> Arc<Self> {
        let state = State {
            prefetched: BytesMut::new(),
            lease: proxy.ingress.heads.lease(),
            unparsed: BytesMut::new(),
            scanned: 0,
            disabled: false,
            parsed: 0,
            delivered: 0,
            answered: 0,
            started: VecDeque::new(),
        };
        Arc::new(Pipeline { proxy, probe, state: Mutex::new(state) })
    }

    /// Answers the next request that `hyper` delivers, by its early call if one was started.
    pub(crate) async fn answer(&self, request: Request<Inbound>) -> Response<wire::Body> {
        let has_body = !request.body().is_end_stream();
        let response =
            if has_body { self.run(request).await } else { self.run_and_prefetch(request).await };
        self.lock().answered += 1;
        response
    }

    /// Answers a request without a body, and prefetches meanwhile.
    ///
    /// Not used with a body: bytes that are read here while `hyper` waits on the socket would not
    /// wake it, and the upload would hang until its deadline.
    async fn run_and_prefetch(&self, request: Request<Inbound>) -> Response<wire::Body> {
        select! {
            biased;
            response = self.run(request) => response,
            () = self.prefetch() => wire::response(Cause::Cancelled.outcome(), Precision::Seconds),
        }
    }

    async fn run(&self, request: Request<Inbound>) -> Response<wire::Body> {
        if let Some(mut task) = self.take_started()
            && let Ok(response) = (&mut task.0).await
        {
            return response;
        }
        intake::handle(&self.proxy, request, self.probe.clone(), Audience::Callers).await
    }

    /// Reads ahead while a call is running; returns when the caller closes the connection.
    async fn prefetch(&self) {
        let mut chunk = [0; READ_BYTES];
        while self.reserve_read() {
            let Some(count) = self.probe.read(&mut chunk).await else { return };
            self.observe(&chunk[..count]);
            self.lock().prefetched.extend_from_slice(&chunk[..count]);
        }
        while !self.probe.is_closed_behind_input().await {
            sleep(CLOSED_INTERVAL).await;
        }
    }

    /// Takes the memory of one more read; returns `false` if enough is read ahead, or memory is short.
    fn reserve_read(&self) -> bool {
        let mut state = self.lock();
        let missing = PREFETCHED_MEMORY_FACTOR * (state.prefetched.len() + READ_BYTES);
        let more = missing.saturating_sub(state.lease.bytes());
        state.prefetched.len() < MAX_PREFETCHED_BYTES
            && state.lease.extend(more, self.proxy.request_memory())
    }

    /// Returns the call of the next request, if it was started early.
    fn take_started(&self) -> Option<Task> {
        let mut state = self.lock();
        let number = state.delivered;
        state.delivered += 1;
        let (first, _) = state.started.front()?;
        if *first != number {
            return None;
        }
        state.started.pop_front().map(|(_, task)| task)
    }

    /// Starts the call with this head, if it is idempotent.
    fn start(&self, head: &[u8]) -> Option<Task> {
        let request = parse_request(head)?;
        if !target::is_idempotent(&self.proxy.config(), &request) {
            return None;
        }
        let (proxy, probe) = (self.proxy.clone(), self.probe.clone());
        Some(Task(tokio::spawn(async move {
            intake::handle(&proxy, request, probe, Audience::Callers).await
        })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl Tap for Pipeline {
    fn observe(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.disabled {
            return;
        }
        state.unparsed.extend_from_slice(bytes);
        while let Some(head) = next_head(&mut state) {
            let number = state.parsed;
            state.parsed += 1;
            let is_behind = number > state.answered;
            if is_behind
                && state.started.len() < MAX_PIPELINED_CALLS
                && let Some(task) = self.start(&head)
            {
                state.started.push_back((number, task));
            }
        }
    }

    fn take_prefetched(&self, capacity: usize) -> Option<BytesMut> {
        let mut state = self.lock();
        let length = state.prefetched.len().min(capacity);
        if length == 0 {
            return None;
        }
        let bytes = state.prefetched.split_to(length);
        if state.prefetched.is_empty() {
            state.prefetched = BytesMut::new();
        }
        let held = PREFETCHED_MEMORY_FACTOR * state.prefetched.len();
        let released = state.lease.bytes().saturating_sub(held);
        state.lease.shrink(released);
        Some(bytes)
    }
}

/// Splits off the next complete head of a request without a body; disables parsing on anything
/// else.
fn next_head(state: &mut State) -> Option<BytesMut> {
    if state.disabled || state.unparsed.is_empty() {
        return None;
    }
    if !has_end_of_head(&state.unparsed, state.scanned) && state.unparsed.len() < MAX_HEAD_BYTES {
        state.scanned = state.unparsed.len();
        return None;
    }
    state.scanned = 0;
    match classify(&state.unparsed) {
        Prefix::Bodyless(length) => {
            let head = state.unparsed.split_to(length);
            if state.unparsed.is_empty() {
                state.unparsed = BytesMut::new();
            }
            return Some(head);
        }
        Prefix::Partial if state.unparsed.len() < MAX_HEAD_BYTES => return None,
        Prefix::Partial | Prefix::Other => {}
    }
    state.disabled = true;
    state.unparsed = BytesMut::new();
    None
}

/// Returns whether the end of a head is among `bytes`, of which the first `scanned` were searched before.
///
/// Without this, each byte of a head that arrives slowly would parse it from its start.
fn has_end_of_head(bytes: &[u8], scanned: usize) -> bool {
    let start = scanned.saturating_sub(END_OF_HEAD.len());
    let rest = &bytes[start..];
    rest.windows(END_OF_HEAD.len()).any(|window| window == END_OF_HEAD)
        || rest.windows(2).any(|window| window == b"\n\n")
}

/// What the unparsed bytes of a connection start with.
enum Prefix {
    /// The head of a request without a body, with its length in bytes.
    Bodyless(usize),
    /// An incomplete head.
    Partial,
    /// A request with a body, or a malformed head.
    Other,
}

/// Headers after which the next request does not start right behind the head.
const FRAMING_HEADERS: [header::HeaderName; 4] =
    [header::CONTENT_LENGTH, header::TRANSFER_ENCODING, header::EXPECT, header::UPGRADE];

fn classify(bytes: &[u8]) -> Prefix {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Prefix::Partial,
        Err(_) => return Prefix::Other,
    };
    let is_framing =
        |name: &str| FRAMING_HEADERS.iter().any(|h| name.eq_ignore_ascii_case(h.as_str()));
    let has_body = head.headers.iter().any(|header| is_framing(header.name));
    let is_bodyless = matches!(head.method, Some("GET" | "HEAD")) && !has_body;
    if is_bodyless { Prefix::Bodyless(length) } else { Prefix::Other }
}

/// Parses a head into the request that `hyper` would deliver; none if `hyper` would reject it.
fn parse_request(bytes: &[u8]) -> Option<Request<Inbound>> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    head.parse(bytes).ok()?;
    let mut request = Request::new(Inbound::empty());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    for header in head.headers.iter() {
        let name = header::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = header::HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}
