//! Sends one offer of a call to the serving node of an upstream.

use fleet::view::Upstream;
use hyper::{Request, Response, body::Body as _};
use model::time::Time;
use policy::{
    admission::{Class, Rank},
    budget::{Lineage, Standing},
    claim,
    fairness::Level,
    outcome::{Cause, Loss, Outcome, Step, Uncertainty, of_loss},
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
        framing::{Framing, Unusable},
        pool::{Connection, SendError},
    },
    proxy::Proxy,
    serving, wire,
};

/// Offers the call to one upstream and waits for its answer until `give_up_at` at most.
pub(crate) async fn attempt(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    standing: Standing,
    id: u64,
    give_up_at: Time,
) -> Result<Answer, Outcome> {
    let now = proxy.clock.now();
    let limit = proxy.services.with(call.service, |s| s.record(upstream, now).last_limit());
    let usage = proxy.offered_usage(call.service, call.rank.class);
    let offer = Offer {
        payload: call.payload.clone(),
        received: call.received,
        deadline: now + claim::forwarded_timeout(call.deadline.since(now)),
        kind: call.kind(),
        rank: Rank { level: usage.map_or_else(Level::default, Level::of), ..call.rank },
        standing,
        incarnation: upstream.incarnation,
        identity: upstream.identity.clone(),
        started_ms: upstream.started_ms,
        limit,
        usage,
        is_reserved: false,
        origin: call.origin.clone(),
        id,
    };
    if proxy.is_colocated(upstream) {
        let work = timeout(give_up_at.since(now), serving::run(proxy, call.profile, offer));
        let result = work.await.unwrap_or_else(|_| Err(of_loss(Step::Run, Loss::Timeout)));
        let (load, now) = (proxy.load(), proxy.clock.now());
        proxy.services.with(call.service, |s| s.record(upstream, now).update_load(load, now));
        return result;
    }
    let mut ticket = None;
    if proxy.settings.incarnation.is_none()
        && offer.payload.body.len() >= placement::LARGE_BODY_BYTES
    {
        ticket = Some(reserve(proxy, call, upstream, &offer, give_up_at).await?);
    }
    deliver(proxy, call, upstream, &offer, &Message::Offer(ticket), give_up_at).await
}

/// Kind of message to a serving node.
enum Message {
    /// The call, with the ticket of its transfer grant if its body is large.
    Offer(Option<u64>),
    /// A request for a transfer grant, without the body.
    Reservation,
}

/// Requests a grant to transfer a large body; returns its ticket.
async fn reserve(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    give_up_at: Time,
) -> Result<u64, Outcome> {
    let answer = deliver(proxy, call, upstream, offer, &Message::Reservation, give_up_at).await;
    // The call itself was not sent, so its outcome is never unknown here.
    let answer = answer.map_err(|outcome| match outcome {
        Outcome::Unknown(_) => Cause::Unreachable.outcome(),
        not_run => not_run,
    })?;
    match wire::read_number(answer.head.headers(), wire::TICKET) {
        Ok(Some(ticket)) => Ok(ticket),
        _ => Err(Cause::Unreachable.outcome()),
    }
}

/// Sends a message on a pooled connection, or on a new one.
async fn deliver(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    message: &Message,
    give_up_at: Time,
) -> Result<Answer, Outcome> {
    let limit = Duration::from_millis(call.profile.idle_ms);
    if let Some(connection) = proxy.pool.take(upstream.traffic, limit, offer.kind) {
        match send(proxy, call, upstream, offer, message, connection, give_up_at).await {
            Err(None) => {}
            result => return result.map_err(or_connect_failure),
        }
    }
    let time = proxy.tuning().connect_timeout + transfer::queueing_delay(proxy.settings.link_mbps);
    let time = time.min(give_up_at.since(proxy.clock.now()));
    let opened = proxy.pool.open(upstream.traffic, time).await;
    let connection = opened.map_err(|_| of_loss(Step::Connect, Loss::Closed))?;
    send(proxy, call, upstream, offer, message, connection, give_up_at)
        .await
        .map_err(or_connect_failure)
}

/// Maps a failure before anything was written to a failure to connect.
fn or_connect_failure(outcome: Option<Outcome>) -> Outcome {
    outcome.unwrap_or_else(|| of_loss(Step::Connect, Loss::Closed))
}

/// Sends a message on `connection`; an error without an outcome means that nothing was written.
async fn send(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    message: &Message,
    mut connection: Connection,
    give_up_at: Time,
) -> Result<Answer, Option<Outcome>> {
    let now = proxy.clock.now();
    let request = offer_request(call, offer, message, now);
    let bytes = wire::size(request.headers()) + request.body().size_hint().lower() as usize;
    count_remote_bytes(proxy, upstream, bytes);
    let time = give_up_at.since(now);
    let exchange = async {
        let head = match connection.send(request).await {
            Ok(head) => head,
            Err(SendError::Unsent) => return Err(None),
            Err(SendError::Broken) => return Err(Some(of_loss(Step::Offer, Loss::Closed))),
        };
        receive(proxy, call, upstream, offer, head, &connection, time).await
    };
    let result =
        timeout(time, exchange).await.unwrap_or(Err(Some(of_loss(Step::Offer, Loss::Timeout))));
    let usable = matches!(result, Ok(_) | Err(Some(Outcome::NotRun(..))));
    if usable {
        proxy.pool.put(upstream.traffic, connection);
    } else if matches!(result, Err(Some(Outcome::Unknown(Uncertainty::Timeout)))) {
        proxy.pool.close_idle(upstream.traffic);
    }
    result
}

/// Receives a serving node's answer completely and reads its outcome.
async fn receive(
    proxy: &Proxy,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    head: Response<hyper::body::Incoming>,
    connection: &Connection,
    time: Duration,
) -> Result<Answer, Option<Outcome>> {
    let (parts, incoming) = head.into_parts();
    if wire::read_number(&parts.headers, wire::ID) != Ok(Some(offer.id)) {
        return Err(Some(Outcome::Unknown(Uncertainty::BadAnswer)));
    }
    let framing = Framing::of(&offer.payload.method, &parts);
    let framing = framing.map_err(|Unusable| Some(Outcome::Unknown(Uncertainty::BadAnswer)))?;
    if let Some(load) = wire::read_load(&parts.headers) {
        let now = proxy.clock.now();
        proxy.services.with(call.service, |s| s.record(upstream, now).update_load(load, now));
    }
    let body = proxy.receive_answer(incoming, call.profile.max_answer_bytes, time).await;
    let body = body.map_err(|fault| match fault {
        body::Fault::TimedOut => Some(of_loss(Step::Answer, Loss::Timeout)),
        body::Fault::TooLarge | body::Fault::NoMemory | body::Fault::Truncated => {
            Some(of_loss(Step::Answer, Loss::Malformed))
        }
    })?;
    if !framing.is_complete(body.len(), connection.has_ended_in_order()) {
        return Err(Some(of_loss(Step::Answer, Loss::Malformed)));
    }
    count_remote_bytes(proxy, upstream, wire::size(&parts.headers) + body.len());
    match wire::outcome(&parts.headers) {
        Ok(None) => Ok(Answer { head: Response::from_parts(parts, ()), body }),
        Ok(Some(outcome)) => Err(Some(outcome)),
        Err(wire::Malformed) => Err(Some(Outcome::Unknown(Uncertainty::BadAnswer))),
    }
}

/// Counts bytes of a message to or from another data centre.
fn count_remote_bytes(proxy: &Proxy, upstream: &Upstream, bytes: usize) {
    if !upstream.near {
        proxy.meter.count_remote_bytes(bytes as u64);
    }
}

fn offer_request(
    call: &Call<'_>,
    offer: &Offer,
    message: &Message,
    now: Time,
) -> Request<wire::Body> {
    let remaining = offer.deadline.since(now);
    let mut request = offer.payload.request();
    match message {
        Message::Offer(None) => {}
        Message::Offer(Some(ticket)) => {
            request.headers_mut().insert(wire::TICKET, wire::number(*ticket));
        }
        Message::Reservation => {
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
    if let Some(service) = wire::text(call.service) {
        headers.insert(wire::SERVICE, service);
    }
    headers.insert(wire::PRIORITY, wire::number(offer.rank.priority.into()));
    if offer.rank.class == Class::Nested {
        headers.insert(wire::NESTED, wire::number(1));
    }
    if offer.standing.lineage == Lineage::Retry {
        headers.insert(wire::RETRY, wire::number(1));
    }
    if let Some(until) = offer.standing.first_until {
        headers.insert(wire::FIRST, wire::number(until.since(now).as_millis() as u64));
    }
    let start_by = match message {
        Message::Offer(_) => offer.rank.start_by,
        Message::Reservation => call.transfer_by.or(offer.rank.start_by),
    };
    if let Some(start_by) = start_by {
        headers.insert(wire::START, wire::number(start_by.since(now).as_millis() as u64));
    }
    if let Some(identity) = &offer.identity
        && let Some(identity) = wire::text(identity)
    {
        headers.insert(wire::IDENTITY, identity);
    }
    if let Some(started_ms) = offer.started_ms {
        headers.insert(wire::STARTED, wire::number(started_ms));
    }
    if let Some(usage) = offer.usage {
        headers.insert(wire::USAGE, wire::number(usage));
    }
    if let Some(limit) = offer.limit {
        headers.insert(wire::LIMIT, wire::decimal(limit));
    }
    request
}
