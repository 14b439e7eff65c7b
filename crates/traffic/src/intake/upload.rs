//! Takes in the body of a caller's call, within the node's room.

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use policy::outcome::Cause;
use std::time::Duration;

use crate::{
    hub::{
        Hub,
        room::{Hand, Reservation},
    },
    intake::refusal::Refusal,
    net::body::{self, Inflow},
    routing::target::Target,
};

/// A whole body, and the room that it and its call take up until this is dropped.
pub(super) struct Upload<'a> {
    pub(super) body: Bytes,
    pub(super) hand: Hand<'a>,
    pub(super) reserved: Reservation<'a>,
}

/// Receives a body within the time that is `left` for its call.
pub(super) async fn receive<'a>(
    hub: &'a Hub,
    target: &Target<'a>,
    headers: &HeaderMap,
    incoming: Inflow,
    left: Duration,
) -> Result<Upload<'a>, Refusal> {
    let hand = Hand::take(&hub.held, &hub.services, target.service, hub.tuning().room)
        .ok_or(Refusal::of(Cause::Saturated))?;
    let declared = body::declared(headers).unwrap_or(0);
    if declared > target.body_limit {
        return Err(Refusal::bad_request(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let mut reserved = Reservation::new(&hub.held);
    if !reserved.extend(declared, hub.tuning().room) {
        return Err(Refusal::of(Cause::Saturated));
    }
    let time = Duration::from_millis(target.profile.upload_ms).min(left);
    let body = body::receive(incoming, target.body_limit, time).await;
    let body = body.map_err(|fault| Refusal::bad_request(status_of(fault)))?;
    if !reserved.extend(body.len().saturating_sub(declared), hub.tuning().room) {
        return Err(Refusal::of(Cause::Saturated));
    }
    Ok(Upload { body, hand, reserved })
}

fn status_of(fault: body::Fault) -> StatusCode {
    match fault {
        body::Fault::Large => StatusCode::PAYLOAD_TOO_LARGE,
        body::Fault::Slow => StatusCode::REQUEST_TIMEOUT,
        body::Fault::Short => StatusCode::BAD_REQUEST,
    }
}
