//! Accepts connections from callers, other nodes and load balancers, within the limits of each listener.

use hyper::Request;
use ingress::{
    limits::{Limits, Policy, Reason},
    listener::{self, Accepted},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    intake::{self, Audience, pipelining::Pipeline, ready},
    net::body::Inbound,
    proxy::Proxy,
};

pub use ingress::listener::Error;

/// Idle time of connections of other nodes.
///
/// Longer than the idle timeout of their connection pools, so that the client side closes first: a request
/// sent while the server closes would be lost.
const NODE_IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Time limit for the head of another node's request.
const NODE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A socket that callers or other nodes connect to.
#[derive(Debug)]
pub struct Listener {
    socket: listener::Listener,
    audience: Audience,
}

impl Listener {
    /// Listens at `address` for callers and other nodes.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        Listener::bind_for(address, Audience::All).await
    }

    /// Listens at `address` for the requests of `audience`.
    pub async fn bind_for(address: SocketAddr, audience: Audience) -> Result<Self, Error> {
        Ok(Listener { socket: listener::Listener::bind(address).await?, audience })
    }

    /// Returns the bound address, with the port that the system assigned.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.address()
    }

    /// Serves connections until the task is dropped, as many at a time as the settings allow.
    pub async fn serve(self, proxy: Arc<Proxy>) {
        let audience = self.audience;
        let policy = Arc::new(Rules { proxy: proxy.clone(), audience });
        let limit = match audience {
            Audience::All | Audience::Callers => proxy.settings.max_connections,
            Audience::Nodes => proxy.settings.max_node_connections,
            Audience::Probes => proxy.settings.max_probe_connections,
        };
        let context = proxy.ingress.clone();
        let handle = |accepted| {
            tokio::spawn(serve_connection(proxy.clone(), audience, accepted));
        };
        self.socket.serve(context, policy, limit, handle).await;
    }
}

async fn serve_connection(proxy: Arc<Proxy>, audience: Audience, mut accepted: Accepted) {
    let probe = accepted.stream.probe();
    match audience {
        Audience::Probes => accepted.serve(async |_| ready::answer(&proxy)).await,
        Audience::Callers => {
            let pipeline = Pipeline::new(proxy, probe);
            accepted.stream.set_tap(pipeline.clone());
            accepted.serve(async |request| pipeline.answer(request).await).await;
        }
        Audience::All | Audience::Nodes => {
            let handle = async |request: Request<Inbound>| {
                intake::handle(&proxy, request, probe.clone(), audience).await
            };
            accepted.serve(handle).await;
        }
    }
}

/// Limits of a listener: those of the configuration towards callers.
struct Rules {
    proxy: Arc<Proxy>,
    audience: Audience,
}

impl Policy for Rules {
    fn limits(&self) -> Limits {
        let limits = self.proxy.config().limits;
        let idle = Duration::from_millis(limits.idle_ms);
        let head = Duration::from_millis(limits.header_ms);
        let (idle, head) = match self.audience {
            Audience::Callers | Audience::Probes => (idle, head),
            Audience::All => (idle.max(NODE_IDLE_TIMEOUT), head),
            Audience::Nodes => (NODE_IDLE_TIMEOUT, NODE_HEAD_TIMEOUT),
        };
        let answer = self.proxy.settings.answer_timeout;
        Limits { idle, head, header_bytes: limits.header_bytes, answer }
    }

    fn head_memory(&self) -> usize {
        self.proxy.request_memory()
    }

    fn count_closed(&self, reason: Reason) {
        self.proxy.count_closed(self.audience.name(), reason);
    }

    fn set_open(&self, connections: usize) {
        self.proxy.meter.set_open_connections(self.audience.name(), connections as u64);
    }
}
