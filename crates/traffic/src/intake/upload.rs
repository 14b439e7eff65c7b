//! Receives the body of a caller's request, within the node's limits on calls and body bytes.

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use policy::outcome::Cause;
use std::time::Duration;

use crate::{
    intake::refusal::Refusal,
    net::body::{self, Inbound},
    proxy::{
        Proxy,
        in_flight::{CallGuard, Reservation},
    },
    routing::target::Target,
};

/// A complete body, with the reservations of its call and bytes until it is dropped.
pub(super) struct Upload<'a> {
    pub(super) body: Bytes,
    pub(super) guard: CallGuard<'a>,
    pub(super) reserved: Reservation<'a>,
}

/// Receives a body within the profile's upload time and the call's `remaining` time.
///
/// Fails if the node is saturated or the body is too large, too slow or truncated.
pub(super) async fn receive<'a>(
    proxy: &'a Proxy,
    target: &Target<'a>,
    headers: &HeaderMap,
    incoming: Inbound,
    remaining: Duration,
) -> Result<Upload<'a>, Refusal> {
    let guard =
        CallGuard::take(&proxy.in_flight, &proxy.services, target.service, proxy.tuning().capacity)
            .ok_or(Refusal::of(Cause::Saturated))?;
    let declared = body::declared_length(headers).unwrap_or(0);
    if declared > target.body_limit {
        return Err(Refusal::bad_request(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let mut reserved = Reservation::new(&proxy.in_flight);
    if !reserved.extend(declared, proxy.tuning().capacity) {
        return Err(Refusal::of(Cause::Saturated));
    }
    let timeout = Duration::from_millis(target.profile.upload_ms).min(remaining);
    let body = body::receive(incoming, target.body_limit, timeout).await;
    let body = body.map_err(|fault| Refusal::bad_request(status_of(fault)))?;
    if !reserved.extend(body.len().saturating_sub(declared), proxy.tuning().capacity) {
        return Err(Refusal::of(Cause::Saturated));
    }
    Ok(Upload { body, guard, reserved })
}

fn status_of(fault: body::Fault) -> StatusCode {
    match fault {
        body::Fault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        body::Fault::TimedOut => StatusCode::REQUEST_TIMEOUT,
        body::Fault::Truncated => StatusCode::BAD_REQUEST,
    }
}
