//! Takes in offers of other nodes, and answers them.

use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, header::HeaderValue};
use model::time::Time;
use policy::{
    admission::{Line, Rank},
    claim,
    outcome::{Cause, Outcome},
    retry::Kind,
};
use std::{sync::Arc, time::Duration};

use crate::{
    call::{Answer, Offer, Payload},
    hub::{Hub, room::Reservation},
    net::{
        body::{self, Inflow},
        stream::Probe,
    },
    serving, wire,
};

/// Largest remaining time that a caller's header can name, in ms.
const DEADLINE_LIMIT_MS: u64 = 600_000;

/// Part of its time that a call may wait for a slot once its large body has crossed.
const TRANSFERRED_WAIT_SHARE: u32 = 4;

/// Answers an offer of an entry node.
pub(crate) async fn answer(
    hub: &Arc<Hub>,
    request: Request<Inflow>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let id = wire::read_number(request.headers(), wire::ID);
    let result = take(hub, request, origin, received).await;
    let mut response = match result {
        Ok(answer) if answer.head.headers().contains_key(wire::TICKET) => given(answer),
        Ok(answer) => answer.response(),
        Err(outcome) => wire::response(outcome, wire::Precision::Seconds),
    };
    let headers = response.headers_mut();
    if let Ok(Some(id)) = id {
        headers.insert(wire::ID, wire::number(id));
    }
    headers.insert(wire::LOAD, wire::load(hub.load()));
    response
}

async fn take(
    hub: &Arc<Hub>,
    request: Request<Inflow>,
    origin: Probe,
    received: Time,
) -> Result<Answer, Outcome> {
    let (parts, incoming) = request.into_parts();
    let number = |name| match wire::read_number(&parts.headers, name) {
        Ok(Some(number)) => Ok(number),
        _ => Err(Cause::BadRequest.outcome()),
    };
    let (incarnation, id) = (number(wire::OFFER)?, number(wire::ID)?);
    let deadline = claim::deadline(received, Some(number(wire::DEADLINE)?), DEADLINE_LIMIT_MS);
    let idempotent = number(wire::IDEMPOTENT)? == 1;
    let rank = offered_rank(&parts.headers, received)?;
    let identity = wire::header_text(&parts.headers, wire::IDENTITY).map(Arc::from);
    let started_ms = wire::read_number(&parts.headers, wire::STARTED)
        .map_err(|wire::Malformed| Cause::BadRequest.outcome())?;
    let config = hub.config();
    // A node that holds no configuration yet cannot keep the profile's promises.
    let service = config.service(&hub.settings.service);
    let profile = service.map(|s| config.profile(s)).ok_or_else(|| Cause::Unreachable.outcome())?;
    let mut headers = parts.headers;
    let turn = match wire::read_number(&headers, wire::TICKET) {
        Ok(Some(ticket)) => hub.transfers.redeem(ticket),
        _ => None,
    };
    let reserves = headers.contains_key(wire::RESERVE);
    let mut reserved = Reservation::new(hub);
    if !reserved.extend(body::declared(&headers).unwrap_or(0)) {
        return Err(Cause::Overloaded.outcome());
    }
    let limit =
        if config.has_routes() { config.limits.body_bytes } else { profile.max_request_bytes };
    let body = body::receive(incoming, limit, deadline.since(received)).await;
    let body = body.map_err(|_| Cause::BadRequest.outcome())?;
    let rank = if turn.is_some() { after_transfer(hub, rank, deadline) } else { rank };
    if let Some(turn) = turn {
        hub.transfers.finish(turn);
    }
    wire::strip(&mut headers);
    let payload = Payload { method: parts.method, path: parts.uri, headers, body };
    let kind = if idempotent { Kind::Idempotent } else { Kind::Once };
    let offer = Offer {
        payload,
        received,
        deadline,
        kind,
        rank,
        identity,
        started_ms,
        incarnation,
        origin,
        id,
    };
    if reserves {
        let ticket = serving::reserve(hub, profile, &offer).await?;
        return Ok(turn_given(ticket));
    }
    serving::run(hub, profile, offer).await
}

/// Returns the rank of a call whose large body has crossed: it was found fit to be taken before, and
/// to refuse it now would waste the transfer.
fn after_transfer(hub: &Hub, rank: Rank, deadline: Time) -> Rank {
    let now = hub.clock.now();
    Rank { start_by: Some(now + deadline.since(now) / TRANSFERRED_WAIT_SHARE), ..rank }
}

fn turn_given(ticket: u64) -> Answer {
    let mut head = Response::new(());
    head.headers_mut().insert(wire::TICKET, wire::number(ticket));
    Answer { head, body: Bytes::new() }
}

fn offered_rank(headers: &HeaderMap, received: Time) -> Result<Rank, Outcome> {
    let malformed = |_: wire::Malformed| Cause::BadRequest.outcome();
    let priority = wire::read_number(headers, wire::PRIORITY).map_err(malformed)?;
    let start = wire::read_number(headers, wire::START).map_err(malformed)?;
    let nested = wire::read_number(headers, wire::NESTED).map_err(malformed)? == Some(1);
    Ok(Rank {
        priority: priority.unwrap_or(0).min(u8::MAX.into()) as u8,
        start_by: start.map(|ms| received + Duration::from_millis(ms)),
        line: if nested { Line::Upstreams } else { Line::Callers },
    })
}

/// Passes on a turn that was given.
fn given(answer: Answer) -> Response<wire::Body> {
    let mut response = answer.head.map(|()| wire::Body::default());
    response.headers_mut().insert(wire::OUTCOME, HeaderValue::from_static(wire::ANSWERED));
    response
}
