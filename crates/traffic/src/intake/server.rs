//! Accepts connections from callers and other nodes, up to a limit.

use http_body_util::Either;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioTimer;
use snafu::{ResultExt, Snafu};
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{sleep, timeout},
};

use crate::{
    intake::{self, Audience, pipelining::Pipeline, ready},
    net::stream::Stream,
    proxy::Proxy,
};

/// Time limit for reading a request's head; also closes idle connections.
///
/// Longer than the idle timeout of other nodes' connection pools, so that the client side closes
/// first: a request sent while the server closes would be lost.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Time for the peer to read the last answer and close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed accept, such as with too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Failure to listen for calls.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen for calls at {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// A socket that callers or other nodes connect to.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    audience: Audience,
}

impl Listener {
    /// Listens at `address` for callers and other nodes.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        Listener::bind_for(address, Audience::All).await
    }

    /// Listens at `address` for the requests of `audience`.
    pub async fn bind_for(address: SocketAddr, audience: Audience) -> Result<Self, Error> {
        let socket = TcpListener::bind(address).await.context(Snafu { address })?;
        Ok(Listener { socket, audience })
    }

    /// Returns the bound address, with the port that the system assigned.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves connections until the task is dropped; at most `max_connections` at a time.
    pub async fn serve(self, proxy: Arc<Proxy>) {
        let connections = Arc::new(Semaphore::new(proxy.settings.max_connections));
        loop {
            // Above the limit, connections wait in the system's backlog.
            let Ok(permit) = connections.clone().acquire_owned().await else { return };
            match self.socket.accept().await {
                Ok((socket, _)) => {
                    tokio::spawn(serve_connection(proxy.clone(), self.audience, socket, permit));
                }
                Err(_) => sleep(ACCEPT_BACKOFF).await,
            }
        }
    }
}

async fn serve_connection(
    proxy: Arc<Proxy>,
    audience: Audience,
    socket: tokio::net::TcpStream,
    _permit: OwnedSemaphorePermit,
) {
    let Ok(mut stream) = Stream::new(socket) else { return };
    let probe = stream.probe();
    let pipeline = Pipeline::new(proxy.clone(), probe.clone());
    if audience == Audience::Callers {
        stream.set_tap(pipeline.clone());
    }
    let service = service_fn(|request: Request<Incoming>| {
        let (proxy, probe, pipeline) = (proxy.clone(), probe.clone(), pipeline.clone());
        let request = request.map(Either::Left);
        async move {
            Ok::<_, Infallible>(match audience {
                Audience::Probes => ready::answer(&proxy),
                Audience::Callers => pipeline.answer(request).await,
                Audience::All | Audience::Nodes => {
                    intake::handle(&proxy, request, probe, audience).await
                }
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    // An error means that the peer broke the connection or the protocol; its calls have already
    // been answered or cancelled.
    if let Ok(parts) = builder.serve_connection(stream, service).without_shutdown().await {
        linger(parts.io).await;
    }
}

/// Shuts down the write side, then discards input until the peer closes or the timeout passes.
///
/// Closing a socket with unread bytes, such as pipelined requests, resets the connection and may
/// destroy an answer that the caller has not read yet.
async fn linger(stream: Stream) {
    let read = async { while stream.discard().await {} };
    if stream.shutdown().is_ok() {
        // The connection is closed in either case.
        let _ = timeout(LINGER_TIMEOUT, read).await;
    }
}
