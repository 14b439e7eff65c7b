//! A caller: a shop terminal, a chef's tablet, or an upstream that calls another service.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::{io, net::SocketAddr};
use tokio::net::TcpStream;

/// Header by which callers name a piece of work in an upstream's ledger.
pub const WORK_HEADER: &str = "x-work";

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path, which names the service.
    pub path: String,
    /// Host that is called; the node's address if none is given.
    pub host: Option<String>,
    /// Time for the call, in ms.
    pub deadline_ms: Option<u64>,
    /// Name of the work in the upstream's ledger.
    pub work: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Returns a read of `path`.
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

    /// Returns a non-idempotent post to `path` that the ledger will know as `work`.
    pub fn post(path: &str, work: &str) -> Self {
        let work = Some(work.to_owned());
        Call { method: Method::POST, work, body: Bytes::from_static(b"{}"), ..Call::get(path) }
    }
}

/// An answer received whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the text of a header, empty where it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// Returns the outcome that the node told.
    pub fn outcome(&self) -> &str {
        self.header("baobab-outcome")
    }
}

/// A kept connection to a node, one call at a time.
pub struct Caller {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller of the node at `address`; it connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        Caller { address, sender: None }
    }

    /// Makes a call. After an error, the next call uses a new connection.
    ///
    /// The kind of an error tells how far the call came: `Other` where the connection ended before
    /// an answer began, `UnexpectedEof` where it ended within one, anything else where no connection
    /// could be opened.
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

/// Makes one read on a connection of its own.
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
        // The caller learns of an error from its call.
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
    let cut = |error| io::Error::new(io::ErrorKind::UnexpectedEof, error);
    let body = body.collect().await.map_err(cut)?.to_bytes();
    Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}
