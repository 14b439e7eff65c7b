//! Takes in requests: calls of callers and offers of other nodes.

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
use std::sync::Arc;

use crate::{
    forward::receiver,
    net::{body::Inbound, stream::Probe},
    proxy::Proxy,
    wire,
};

/// Who may speak at an address.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Audience {
    /// Callers and other nodes, told apart by the header of an offer.
    #[default]
    All,
    /// Callers only; what looks like an offer is a call.
    Callers,
    /// Other nodes only.
    Nodes,
    /// Whoever asks whether this node takes new work.
    Probes,
}

/// Answers a request, of a caller or of another node.
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
    // A refused caller comes back on a new connection; keeping the old one open would only fill
    // the table of connections while there are too many callers.
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
