//! One offer of a call to the node beside an upstream.

use fleet::view::Upstream;
use hyper::{Request, Response, header::HeaderValue};
use model::time::Time;
use policy::{
    admission::Class,
    claim,
    outcome::{Cause, Doubt, Loss, Outcome, Step, of_loss},
    placement,
    retry::Kind,
    transfer,
};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

use crate::{
    call::{Answer, Call, Offer},
    net::{
        body,
        pool::{Connection, SendError},
    },
    proxy::Proxy,
    serving, wire,
};

/// Offers the call to one upstream and waits for its answer no longer than until `patience`.
pub(crate) async fn attempt(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    id: u64,
    patience: Time,
) -> Result<Answer, Outcome> {
    let now = proxy.clock.now();
    let offer = Offer {
        payload: call.payload.clone(),
        received: call.received,
        deadline: now + claim::forwarded_timeout(call.deadline.since(now)),
        kind: call.kind(),
        rank: call.rank,
        incarnation: upstream.incarnation,
        identity: upstream.identity.clone(),
        started_ms: upstream.started_ms,
        origin: call.origin.clone(),
        id,
    };
    if proxy.is_colocated(upstream) {
        let work = timeout(patience.since(now), serving::run(proxy, call.profile, offer));
        let result = work.await.unwrap_or_else(|_| Err(of_loss(Step::Run, Loss::Timeout)));
        let (load, now) = (proxy.load(), proxy.clock.now());
        proxy.services.with(call.service, |s| s.record(upstream, now).update_load(load, now));
        return result;
    }
    let mut ticket = None;
    if proxy.settings.incarnation.is_none()
        && offer.payload.body.len() >= placement::LARGE_BODY_BYTES
    {
        ticket = Some(reserve(proxy, call, upstream, &offer, patience).await?);
    }
    carry(proxy, call, upstream, &offer, &Parcel::Offer(ticket), patience).await
}

/// What is sent to a serving node.
enum Parcel {
    /// The call, with the number of the turn that its body was given, if it needed one.
    Offer(Option<u64>),
    /// The question whether the call would be taken and when its body may come.
    Question,
}

/// Asks for a turn to send a large body.
async fn reserve(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    patience: Time,
) -> Result<u64, Outcome> {
    let answer = carry(proxy, call, upstream, offer, &Parcel::Question, patience).await;
    // Whatever becomes of a question, the call itself has not been sent.
    let answer = answer.map_err(|outcome| match outcome {
        Outcome::Unknown(_) => Cause::Unreachable.outcome(),
        not_run => not_run,
    })?;
    match wire::read_number(answer.head.headers(), wire::TICKET) {
        Ok(Some(ticket)) => Ok(ticket),
        _ => Err(Cause::Unreachable.outcome()),
    }
}

/// Sends a parcel on a kept connection, or on a new one.
async fn carry(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    parcel: &Parcel,
    patience: Time,
) -> Result<Answer, Outcome> {
    let limit = Duration::from_millis(call.profile.idle_ms);
    if let Some(connection) = proxy.pool.take(upstream.traffic, limit, offer.kind) {
        match send(proxy, call, upstream, offer, parcel, connection, patience).await {
            Err(None) => {}
            result => return result.map_err(settled),
        }
    }
    let time = proxy.tuning().connect_timeout + transfer::queueing_delay(proxy.settings.link_mbps);
    let time = time.min(patience.since(proxy.clock.now()));
    let opened = proxy.pool.open(upstream.traffic, time).await;
    let connection = opened.map_err(|_| of_loss(Step::Connect, Loss::Closed))?;
    send(proxy, call, upstream, offer, parcel, connection, patience).await.map_err(settled)
}

/// A failure to send of which nothing was written counts as one to connect.
fn settled(outcome: Option<Outcome>) -> Outcome {
    outcome.unwrap_or_else(|| of_loss(Step::Connect, Loss::Closed))
}

/// Offers the call to a serving node; an error without outcome means that nothing was written.
async fn send(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    parcel: &Parcel,
    mut connection: Connection,
    patience: Time,
) -> Result<Answer, Option<Outcome>> {
    let now = proxy.clock.now();
    let request = offer_request(call, offer, parcel, now);
    let time = patience.since(now);
    let exchange = async {
        let head = match connection.send(request).await {
            Ok(head) => head,
            Err(SendError::Unsent) => return Err(None),
            Err(SendError::Broken) => return Err(Some(of_loss(Step::Offer, Loss::Closed))),
        };
        receive(proxy, call, upstream, offer, head, time).await
    };
    let result =
        timeout(time, exchange).await.unwrap_or(Err(Some(of_loss(Step::Offer, Loss::Timeout))));
    let usable = matches!(result, Ok(_) | Err(Some(Outcome::NotRun(..))));
    if usable {
        proxy.pool.put(upstream.traffic, connection);
    } else if matches!(result, Err(Some(Outcome::Unknown(Doubt::Timeout)))) {
        proxy.pool.close_idle(upstream.traffic);
    }
    result
}

/// Receives a serving node's answer whole and reads the outcome it tells.
async fn receive(
    proxy: &Proxy,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    head: Response<hyper::body::Incoming>,
    time: Duration,
) -> Result<Answer, Option<Outcome>> {
    let (parts, incoming) = head.into_parts();
    if wire::read_number(&parts.headers, wire::ID) != Ok(Some(offer.id)) {
        return Err(Some(Outcome::Unknown(Doubt::BadAnswer)));
    }
    if let Some(load) = wire::read_load(&parts.headers) {
        let now = proxy.clock.now();
        proxy.services.with(call.service, |s| s.record(upstream, now).update_load(load, now));
    }
    let body = body::receive(incoming, call.profile.max_answer_bytes, time).await;
    let body = body.map_err(|fault| match fault {
        body::Fault::TimedOut => Some(of_loss(Step::Answer, Loss::Timeout)),
        body::Fault::TooLarge | body::Fault::Truncated => {
            Some(of_loss(Step::Answer, Loss::Malformed))
        }
    })?;
    match wire::outcome(&parts.headers) {
        Ok(None) => Ok(Answer { head: Response::from_parts(parts, ()), body }),
        Ok(Some(outcome)) => Err(Some(outcome)),
        Err(wire::Malformed) => Err(Some(Outcome::Unknown(Doubt::BadAnswer))),
    }
}

fn offer_request(
    call: &Call<'_>,
    offer: &Offer,
    parcel: &Parcel,
    now: Time,
) -> Request<wire::Body> {
    let remaining = offer.deadline.since(now);
    let mut request = offer.payload.request();
    match parcel {
        Parcel::Offer(None) => {}
        Parcel::Offer(Some(ticket)) => {
            request.headers_mut().insert(wire::TICKET, wire::number(*ticket));
        }
        Parcel::Question => {
            let bytes = offer.payload.body.len() as u64;
            *request.body_mut() = wire::Body::default();
            request.headers_mut().insert(wire::RESERVE, wire::number(bytes));
        }
    }
    let headers = request.headers_mut();
    headers.insert(wire::OFFER, wire::number(offer.incarnation));
    headers.insert(wire::ID, wire::number(offer.id));
    headers.insert(wire::DEADLINE, wire::number(remaining.as_millis() as u64));
    headers.insert(wire::IDEMPOTENT, wire::number((offer.kind == Kind::Idempotent).into()));
    if let Ok(service) = HeaderValue::from_str(call.service) {
        headers.insert(wire::SERVICE, service);
    }
    headers.insert(wire::PRIORITY, wire::number(offer.rank.priority.into()));
    if offer.rank.class == Class::Nested {
        headers.insert(wire::NESTED, wire::number(1));
    }
    let start_by = match parcel {
        Parcel::Offer(_) => offer.rank.start_by,
        Parcel::Question => call.transfer_by.or(offer.rank.start_by),
    };
    if let Some(start_by) = start_by {
        headers.insert(wire::START, wire::number(start_by.since(now).as_millis() as u64));
    }
    if let Some(identity) = &offer.identity
        && let Ok(identity) = HeaderValue::from_str(identity)
    {
        headers.insert(wire::IDENTITY, identity);
    }
    if let Some(started_ms) = offer.started_ms {
        headers.insert(wire::STARTED, wire::number(started_ms));
    }
    request
}
