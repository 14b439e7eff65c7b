//! Accepts connections from callers and other nodes, within a bound.

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

/// Bound on waiting for a request's head, which also ends idle connections.
///
/// It lies above the time for which other nodes keep an idle connection, so that they, and not
/// this side, close it: a connection that closes while a request is on its way loses it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Time for the other side of a connection to read the last answer and to end its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failure to accept, such as too many open files.
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

    /// Listens at `address` for those that `audience` admits.
    pub async fn bind_for(address: SocketAddr, audience: Audience) -> Result<Self, Error> {
        let socket = TcpListener::bind(address).await.context(Snafu { address })?;
        Ok(Listener { socket, audience })
    }

    /// Returns the address listened at.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves connections for ever.
    pub async fn serve(self, proxy: Arc<Proxy>) {
        let connections = Arc::new(Semaphore::new(proxy.settings.max_connections));
        loop {
            // Beyond the bound, connections wait in the system's backlog and cost no memory here.
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
    // An error here means that the other side broke the connection or the protocol; each call on
    // it has been answered or cancelled by its own means.
    if let Ok(parts) = builder.serve_connection(stream, service).without_shutdown().await {
        linger(parts.io).await;
    }
}

/// Ends the own side of a connection and reads on until the other side ends its own.
///
/// A caller may have sent more requests behind the last one that was answered. Closing a socket
/// with bytes unread resets the connection, and the reset overtakes the answer: the caller would
/// see the connection break and not the answer that was written.
async fn linger(stream: Stream) {
    let read = async { while stream.discard().await {} };
    if stream.shutdown().is_ok() {
        // What is still open by then is closed all the same.
        let _ = timeout(LINGER_TIMEOUT, read).await;
    }
}
