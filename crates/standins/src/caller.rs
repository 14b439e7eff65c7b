//! HTTP/1.1 client that sends calls to a node over one persistent connection.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::{io, net::SocketAddr};
use tokio::net::TcpStream;

/// Request header with the work id under which an upstream's ledger records the request.
pub const WORK_HEADER: &str = "x-work";

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Request path; its first segment is the service or route.
    pub path: String,
    /// `host` header; the node's address if `None`.
    pub host: Option<String>,
    /// Value of `baobab-deadline-ms`, in ms; no header if `None`.
    pub deadline_ms: Option<u64>,
    /// Work id, sent as [`WORK_HEADER`].
    pub work: Option<String>,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    /// Returns a GET of `path` without body, deadline or work id.
    pub fn get(path: &str) -> Self {
        Call {
            method: Method::GET,
            path: path.to_owned(),
            host: None,
            deadline_ms: None,
            work: None,
            body: Bytes::new(),
        }
    }

    /// Returns a POST to `path`, which is not idempotent, with the work id `work`.
    pub fn post(path: &str, work: &str) -> Self {
        let work = Some(work.to_owned());
        Call { method: Method::POST, work, body: Bytes::from_static(b"{}"), ..Call::get(path) }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl Answer {
    /// Returns a header's value, or an empty string if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// Returns the outcome that the node reported in `baobab-outcome`.
    pub fn outcome(&self) -> &str {
        self.header("baobab-outcome")
    }
}

/// A client with one persistent connection to a node and at most one call in flight.
pub struct Caller {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a client of the node at `address`; it connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Caller { address, sender: None }
    }

    /// Sends a call and waits for the answer. After an error, the next call opens a new connection.
    ///
    /// The error's kind tells how far the call got: `Other` if the connection closed before the
    /// response head, `UnexpectedEof` if it closed within the body, and any other kind if connecting
    /// failed.
    pub async fn call(&mut self, call: &Call) -> io::Result<Answer> {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect(self.address).await?,
        };
        let answer = exchange(&mut sender, self.address, call).await?;
        let closing = answer.header("connection").eq_ignore_ascii_case("close");
        self.sender = (!closing).then_some(sender);
        Ok(answer)
    }
}

/// Sends one GET over a new connection.
pub async fn get_once(
    address: SocketAddr,
    path: &str,
    deadline_ms: Option<u64>,
) -> io::Result<Answer> {
    let call = Call { deadline_ms, ..Call::get(path) };
    Caller::new(address).call(&call).await
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        // `send_request` returns the same error.
        let _ = driver.await;
    });
    Ok(sender)
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    call: &Call,
) -> io::Result<Answer> {
    sender.ready().await.map_err(io::Error::other)?;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header("host", call.host.clone().unwrap_or_else(|| address.to_string()));
    if let Some(ms) = call.deadline_ms {
        request = request.header("baobab-deadline-ms", ms);
    }
    if let Some(work) = &call.work {
        request = request.header(WORK_HEADER, work);
    }
    let request = request.body(Full::new(call.body.clone())).map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let (parts, body) = response.into_parts();
    let truncated = |error| io::Error::new(io::ErrorKind::UnexpectedEof, error);
    let body = body.collect().await.map_err(truncated)?.to_bytes();
    Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}
