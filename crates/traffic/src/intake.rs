//! Accepts requests: calls from callers, offers from other nodes and readiness probes.

mod caller;
pub(crate) mod pipelining;
mod ready;
mod refusal;
pub(crate) mod server;
mod span;
mod upload;

use hyper::{
    Request, Response, StatusCode,
    header::{self, HeaderValue},
};
use ingress::stream::Probe;
use std::sync::Arc;

use crate::{forward::receiver, net::body::Inbound, proxy::Proxy, wire};

/// Whose requests a listener accepts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Audience {
    /// Callers and other nodes; an offer is recognised by its header.
    #[default]
    All,
    /// Callers only; the header of an offer is ignored.
    Callers,
    /// Other nodes only.
    Nodes,
    /// Readiness probes, answered with 200 or 503.
    Probes,
}

impl Audience {
    /// Returns the listener's name in metrics and events.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Audience::All => "calls",
            Audience::Callers => "callers",
            Audience::Nodes => "nodes",
            Audience::Probes => "ready",
        }
    }
}

/// Answers a request of a caller or of another node; closes the connection when load should move
/// away.
pub(crate) async fn handle(
    proxy: &Arc<Proxy>,
    request: Request<Inbound>,
    origin: Probe,
    audience: Audience,
) -> Response<wire::Body> {
    let received = proxy.clock.now();
    let is_offer = match audience {
        Audience::All => request.headers().contains_key(wire::OFFER),
        Audience::Nodes => true,
        Audience::Callers | Audience::Probes => false,
    };
    let mut response = if is_offer {
        receiver::answer(proxy, request, origin, received).await
    } else {
        caller::answer(proxy, request, origin, received).await
    };
    // Refused callers retry on a new connection; idle old ones would use up the connection limit
    // under overload.
    let refused =
        audience == Audience::Callers && response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if refused
        || proxy.lifecycle.is_leaving()
        || (proxy.lifecycle.was_ready() && !proxy.lifecycle.is_ready())
    {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
