//! Receives offers from entry nodes and answers them.

use hyper::{HeaderMap, Request, Response, header::HeaderValue, http::request::Parts};
use ingress::stream::Probe;
use model::time::Time;
use policy::{
    admission::{Class, Rank},
    budget::{Lineage, Standing},
    claim,
    fairness::Level,
    outcome::{Cause, Outcome},
    retry::Kind,
    transfer,
};
use std::{sync::Arc, time::Duration};

use crate::{
    call::{Answer, Offer, Payload},
    net::body::{self, Inbound},
    proxy::Proxy,
    serving,
    wire::{self, Content},
};

/// Maximum remaining time that an offer can state, in ms.
const DEADLINE_LIMIT_MS: u64 = 600_000;

/// Answers an offer of an entry node.
pub(crate) async fn answer(
    proxy: &Arc<Proxy>,
    request: Request<Inbound>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let id = wire::read_number(request.headers(), wire::ID);
    let result = process(proxy, request, origin, received).await;
    let mut response = match result {
        Ok(answer) if answer.head.headers().contains_key(wire::TICKET) => grant_response(answer),
        Ok(answer) => answer.response(),
        Err(outcome) => wire::response(outcome, wire::Precision::Seconds),
    };
    let headers = response.headers_mut();
    if let Ok(Some(id)) = id {
        headers.insert(wire::ID, wire::number(id));
    }
    headers.insert(wire::LOAD, wire::load(proxy.load()));
    response
}

/// Receives an offer, and runs it or grants its transfer.
async fn process(
    proxy: &Arc<Proxy>,
    request: Request<Inbound>,
    origin: Probe,
    received: Time,
) -> Result<Answer, Outcome> {
    let (head, incoming) = request.into_parts();
    let mut metadata = read_metadata(&head.headers, received)
        .map_err(|wire::Malformed| Cause::BadRequest.outcome())?;
    metadata.rank.level = level(proxy, &metadata);
    let config = proxy.config();
    // Without a configuration, the limits of the profile are unknown.
    let service = config.service(&proxy.settings.service);
    let profile = service.map(|s| config.profile(s)).ok_or_else(|| Cause::Unreachable.outcome())?;
    let limit = match proxy.settings.addressing.uses_routes(&config) {
        true => config.limits.body_bytes,
        false => profile.max_request_bytes,
    };
    let grant = match wire::read_number(&head.headers, wire::TICKET) {
        Ok(Some(ticket)) => proxy.transfers.redeem(ticket),
        _ => None,
    };
    let is_reservation = head.headers.contains_key(wire::RESERVE);
    let _memory = proxy.admit_request(&head.headers).ok_or(Cause::Overloaded.outcome())?;
    let mut reserved = proxy.reserve_body(body::declared_length(&head.headers));
    let reserved = reserved.as_mut().ok_or(Cause::Overloaded.outcome())?;
    let time = Duration::from_millis(profile.upload_ms).min(metadata.deadline.since(received));
    let body = body::receive(incoming, limit, time, reserved.account(proxy));
    let body = body.await.map_err(|fault| match fault {
        body::Fault::NoMemory => Cause::Overloaded.outcome(),
        _ => Cause::BadRequest.outcome(),
    })?;
    let mut offer = offer(head, metadata, body, origin, received);
    if let Some(grant) = grant {
        let start_by = transfer::start_after_transfer(proxy.clock.now(), offer.deadline);
        // Its body has crossed the link, which would be lost if others overtook it.
        offer.rank = Rank { start_by: Some(start_by), level: Level::default(), ..offer.rank };
        offer.is_reserved = true;
        proxy.transfers.finish(grant);
    }
    if is_reservation {
        let ticket = serving::reserve(proxy, profile, &offer).await?;
        return Ok(grant_answer(ticket));
    }
    serving::run(proxy, profile, offer).await
}

/// Metadata of an offer, from its headers.
struct Metadata {
    id: u64,
    incarnation: u64,
    identity: Option<Arc<str>>,
    started_ms: Option<u64>,
    deadline: Time,
    kind: Kind,
    rank: Rank,
    standing: Standing,
    limit: Option<f64>,
    usage: Option<u64>,
}

fn read_metadata(headers: &HeaderMap, received: Time) -> Result<Metadata, wire::Malformed> {
    let number = |name| wire::read_number(headers, name)?.ok_or(wire::Malformed);
    let (incarnation, id) = (number(wire::OFFER)?, number(wire::ID)?);
    let remaining = number(wire::DEADLINE)?;
    let idempotent = number(wire::IDEMPOTENT)? == 1;
    Ok(Metadata {
        id,
        incarnation,
        identity: wire::header_text(headers, wire::IDENTITY).map(Arc::from),
        started_ms: wire::read_number(headers, wire::STARTED)?,
        deadline: claim::deadline(received, Some(remaining), DEADLINE_LIMIT_MS),
        kind: if idempotent { Kind::Idempotent } else { Kind::Once },
        rank: read_rank(headers, received)?,
        standing: read_standing(headers, received)?,
        limit: wire::header_text(headers, wire::LIMIT).and_then(wire::parse_limit),
        // A malformed number counts as missing, since it must not refuse a call.
        usage: wire::read_number(headers, wire::USAGE).unwrap_or(None),
    })
}

fn read_rank(headers: &HeaderMap, received: Time) -> Result<Rank, wire::Malformed> {
    let priority = wire::read_number(headers, wire::PRIORITY)?;
    let start = wire::read_number(headers, wire::START)?;
    let nested = wire::read_number(headers, wire::NESTED)? == Some(1);
    Ok(Rank {
        priority: priority.unwrap_or(0).min(u8::MAX.into()) as u8,
        start_by: start.map(|ms| received + Duration::from_millis(ms)),
        class: if nested { Class::Nested } else { Class::External },
        level: Level::default(),
    })
}

/// Returns the level of an offer in the queue.
///
/// Nodes of older versions state no usage; that of this node stands for theirs.
fn level(proxy: &Proxy, metadata: &Metadata) -> Level {
    let own = proxy.offered_usage(&proxy.settings.service, metadata.rank.class);
    own.map_or_else(Level::default, |own| Level::of(metadata.usage.unwrap_or(own)))
}

/// Reads how the run counts towards the retry budget; nodes of older versions do not say so.
fn read_standing(headers: &HeaderMap, received: Time) -> Result<Standing, wire::Malformed> {
    let is_retry = wire::read_number(headers, wire::RETRY)? == Some(1);
    let first = wire::read_number(headers, wire::FIRST)?;
    Ok(Standing {
        lineage: if is_retry { Lineage::Retry } else { Lineage::First },
        first_until: first.map(|ms| received + Duration::from_millis(ms)),
    })
}

fn offer(head: Parts, metadata: Metadata, body: Content, origin: Probe, received: Time) -> Offer {
    let Metadata {
        id,
        incarnation,
        identity,
        started_ms,
        deadline,
        kind,
        rank,
        standing,
        limit,
        usage,
    } = metadata;
    let mut headers = head.headers;
    wire::strip(&mut headers);
    let payload = Payload::new(head.method, head.uri, headers, body);
    Offer {
        payload,
        received,
        deadline,
        kind,
        rank,
        standing,
        incarnation,
        identity,
        started_ms,
        limit,
        usage,
        is_reserved: false,
        origin,
        id,
    }
}

fn grant_answer(ticket: u64) -> Answer {
    let mut head = Response::new(());
    head.headers_mut().insert(wire::TICKET, wire::number(ticket));
    Answer { head, body: Content::default() }
}

/// Returns the response that carries a transfer grant.
fn grant_response(answer: Answer) -> Response<wire::Body> {
    let mut response = answer.head.map(|()| wire::Body::default());
    response.headers_mut().insert(wire::OUTCOME, HeaderValue::from_static(wire::ANSWERED));
    response
}
