//! Receives the body of a caller's request, within the node's limits on calls and body bytes.

use hyper::{HeaderMap, StatusCode};
use ingress::memory::Lease;
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
    wire::Content,
};

/// A complete body, with the reservations of its call and bytes until it is dropped.
pub(super) struct Upload<'a> {
    pub(super) body: Content,
    pub(super) guard: CallGuard<'a>,
    pub(super) memory: Lease,
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
    let declared = body::declared_length(headers);
    if declared.is_some_and(|bytes| bytes > target.body_limit) {
        return Err(Refusal::bad_request(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let memory = proxy.admit_request(headers).ok_or(Refusal::of(Cause::Saturated))?;
    let mut reserved = proxy.reserve_body(declared).ok_or(Refusal::of(Cause::Saturated))?;
    let timeout = Duration::from_millis(target.profile.upload_ms).min(remaining);
    let account = reserved.account(proxy);
    let body = body::receive(incoming, target.body_limit, timeout, account).await;
    let body = body.map_err(refusal_of)?;
    Ok(Upload { body, guard, memory, reserved })
}

fn refusal_of(fault: body::Fault) -> Refusal {
    match fault {
        body::Fault::TooLarge => Refusal::bad_request(StatusCode::PAYLOAD_TOO_LARGE),
        body::Fault::NoMemory => Refusal::of(Cause::Saturated),
        body::Fault::TimedOut => Refusal::bad_request(StatusCode::REQUEST_TIMEOUT),
        body::Fault::Truncated => Refusal::bad_request(StatusCode::BAD_REQUEST),
    }
}
