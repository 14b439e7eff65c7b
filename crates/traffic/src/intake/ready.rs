//! Tells whoever steers callers whether this node takes new work.

use hyper::{Response, StatusCode};

use crate::{proxy::Proxy, wire};

/// Answers 200 while callers may send new work here and 503 otherwise, whatever the path.
pub(crate) fn answer(proxy: &Proxy) -> Response<wire::Body> {
    let mut response = Response::new(wire::Body::default());
    if !proxy.lifecycle.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
