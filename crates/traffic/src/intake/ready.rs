//! Answers readiness probes of load balancers.

use hyper::{Response, StatusCode};

use crate::{proxy::Proxy, wire};

/// Answers 200 while this node accepts new calls and 503 otherwise, on every path.
pub(crate) fn answer(proxy: &Proxy) -> Response<wire::Body> {
    let mut response = Response::new(wire::Body::default());
    if !proxy.lifecycle.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
