//! Pipelining: calls that a caller sends before earlier ones on the connection are answered.
//!
//! HTTP/1.1 answers in the order of requests, and `hyper` takes up one after the other: of five
//! lookups of 80 ms that are sent at once, the last would be answered after 400 ms, on an idle
//! service too. So the bytes are read along on their way to `hyper`, and while a call is under way
//! also those that `hyper` does not ask for yet. A request that is found behind one that is not yet
//! answered is taken up at once, and `hyper` finds its answer under way, or ready, when it comes to it.
//!
//! Only requests without a body are read along; where one with a body comes, the connection is left
//! to `hyper` from there on. And only calls that may be repeated are taken up: those behind an answer
//! that closes the connection count as not read, and callers send them again.

use bytes::{Bytes, BytesMut};
use http_body_util::{Either, Empty};
use httparse::{EMPTY_HEADER, Status};
use hyper::{Method, Request, Response, Uri, body::Body, header};
use policy::outcome::Cause;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::{select, task::JoinHandle};

use crate::{
    intake::{self, Audience},
    lock::lock,
    net::{
        body::Inbound,
        stream::{Probe, Tap},
    },
    proxy::Proxy,
    routing::target,
    wire::{self, Precision},
};

/// Most calls of one connection that are taken up so; the others wait for their turn. An answer
/// that is ready early is held until then.
const MAX_PIPELINED_CALLS: usize = 8;

/// Largest head that is read along, in bytes; `hyper` has a bound of its own.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Most bytes that are read before `hyper` asks for them; then the caller has to wait.
const MAX_PREFETCHED_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Bytes read at once while a call is under way: a few heads.
const READ_BYTES: usize = 2 * 1024;

/// Most headers of a request that is read along.
const MAX_HEADERS: usize = 64;

/// What was read along on one connection.
pub(crate) struct Pipeline {
    proxy: Arc<Proxy>,
    probe: Probe,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Bytes that were read and that `hyper` has not asked for yet.
    prefetched: BytesMut,
    /// Bytes of a head that is not yet whole.
    unparsed: BytesMut,
    /// Whether requests can no longer be told apart here.
    disabled: bool,
    /// Requests whose heads were read along.
    parsed: u64,
    /// Requests that `hyper` has handed over.
    delivered: u64,
    /// Requests that are answered.
    answered: u64,
    /// Calls that were taken up, by the number of their request.
    started: VecDeque<(u64, Task)>,
}

/// A call that is under way; dropping it cancels it.
struct Task(JoinHandle<Response<wire::Body>>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Pipeline {
    pub(crate) fn new(proxy: Arc<Proxy>, probe: Probe) -> Arc<Self> {
        Arc::new(Pipeline { proxy, probe, state: Mutex::default() })
    }

    /// Answers the next request that `hyper` hands over: by what was taken up before its turn, or else by
    /// `request` itself.
    pub(crate) async fn answer(&self, request: Request<Inbound>) -> Response<wire::Body> {
        let has_body = !request.body().is_end_stream();
        let response =
            if has_body { self.run(request).await } else { self.run_and_prefetch(request).await };
        self.lock().answered += 1;
        response
    }

    /// Answers a request without a body, and reads on meanwhile.
    ///
    /// Not one with a body: its last bytes could be read here in the moment in which `hyper` waits
    /// for them at the socket; nothing would wake it, and the upload would hang until its deadline.
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

    /// Reads what comes while a call is under way, until the caller closes the connection.
    async fn prefetch(&self) {
        let mut chunk = [0; READ_BYTES];
        while self.lock().prefetched.len() < MAX_PREFETCHED_BYTES {
            let Some(count) = self.probe.read(&mut chunk).await else { return };
            self.observe(&chunk[..count]);
            self.lock().prefetched.extend_from_slice(&chunk[..count]);
        }
        std::future::pending().await
    }

    /// Returns the call of the next request, if it was taken up.
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

    /// Takes up the call with this head, if it may be repeated.
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
        (length > 0).then(|| state.prefetched.split_to(length))
    }
}

/// Takes the next whole head of a request without a body off the bytes read along.
fn next_head(state: &mut State) -> Option<BytesMut> {
    if state.disabled || state.unparsed.is_empty() {
        return None;
    }
    match classify(&state.unparsed) {
        Prefix::Bodyless(length) => return Some(state.unparsed.split_to(length)),
        Prefix::Partial if state.unparsed.len() < MAX_HEAD_BYTES => return None,
        Prefix::Partial | Prefix::Other => {}
    }
    state.disabled = true;
    state.unparsed = BytesMut::new();
    None
}

/// What the bytes of a connection begin with.
enum Prefix {
    /// The head of a request without a body, of this length.
    Bodyless(usize),
    /// A part of a head.
    Partial,
    /// Anything else.
    Other,
}

/// Headers of requests behind which the next one does not begin at once.
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

/// Returns the request with this head as `hyper` would; none where that would refuse it.
fn parse_request(bytes: &[u8]) -> Option<Request<Inbound>> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    head.parse(bytes).ok()?;
    let mut request = Request::new(Either::Right(Empty::<Bytes>::new()));
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    for header in head.headers.iter() {
        let name = header::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = header::HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}
