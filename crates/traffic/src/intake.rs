//! Takes in requests: calls of callers and offers of other nodes.

pub(crate) mod ahead;
mod open;
mod ready;
pub(crate) mod server;

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{self, HeaderValue},
};
use model::time::Time;
use policy::{
    admission::{Line, Rank},
    claim,
    outcome::{Cause, Outcome},
    retry::Kind,
    transfer, urgency,
};
use std::{sync::Arc, time::Duration};
use trail::Step;

use crate::{
    call::Payload,
    entry::{self, Call, Terms},
    hub::{
        Hub,
        room::{Hand, Reservation},
    },
    intake::{open::Open, server::Door},
    net::{
        body::{self, Inflow},
        stream::Probe,
    },
    record::{Trail, tally::Count},
    routing::{
        returning::{self, Caller},
        target::{self, Target},
    },
    serving::{self, Answer, Offer},
    wire,
};

/// Largest remaining time that a caller's header can name, in ms.
const DEADLINE_LIMIT_MS: u64 = 600_000;

/// Part of its time that a call may wait for a slot once its large body has crossed.
const TRANSFERRED_WAIT_SHARE: u32 = 4;

/// Answers a request, of a caller or of another node.
pub(crate) async fn handle(
    hub: &Arc<Hub>,
    request: Request<Inflow>,
    origin: Probe,
    door: Door,
) -> Response<wire::Body> {
    let received = hub.clock.now();
    let is_offer = match door {
        Door::All => request.headers().contains_key(wire::OFFER),
        Door::Nodes => true,
        Door::Callers | Door::Ready => false,
    };
    let mut response = if is_offer {
        handle_offer(hub, request, origin, received).await
    } else {
        handle_call(hub, request, origin, received).await
    };
    // A refused caller comes back on a new connection; keeping the old one open would only fill
    // the table of connections while there are too many callers.
    let refused = door == Door::Callers && response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if refused || hub.is_leaving() || (hub.was_open() && !hub.is_open()) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answers an offer of an entry node.
async fn handle_offer(
    hub: &Arc<Hub>,
    request: Request<Inflow>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let id = wire::read_number(request.headers(), wire::ID);
    let result = take_offer(hub, request, origin, received).await;
    let mut response = match result {
        Ok(answer) if answer.head.headers().contains_key(wire::TICKET) => given(answer),
        Ok(answer) => whole(answer),
        Err(outcome) => wire::response(outcome, wire::Precision::Seconds),
    };
    let headers = response.headers_mut();
    if let Ok(Some(id)) = id {
        headers.insert(wire::ID, wire::number(id));
    }
    headers.insert(wire::LOAD, wire::load(hub.load()));
    response
}

async fn take_offer(
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
    Answer { head, body: bytes::Bytes::new() }
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

/// Answers a caller.
async fn handle_call(
    hub: &Arc<Hub>,
    request: Request<Inflow>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let config = hub.config();
    let mut open = Open::new(hub, &request, received);
    let mut response = match target::find(hub, &config, &request) {
        Err(cause) => refuse(hub, "", cause, None),
        Ok(target) => {
            let service = target.service;
            let response = take_call(hub, request, target, origin, received, &open.trail).await;
            let elapsed = hub.clock.now().since(received);
            hub.meter.call(service, wire::known_outcome(outcome_of(&response)), elapsed);
            response
        }
    };
    open.end(&response);
    response.headers_mut().insert(wire::VERSION, wire::number(config.version.revision));
    response
}

fn outcome_of(response: &Response<wire::Body>) -> Option<&str> {
    wire::header_text(response.headers(), wire::OUTCOME)
}

async fn take_call(
    hub: &Arc<Hub>,
    request: Request<Inflow>,
    target: Target<'_>,
    origin: Probe,
    received: Time,
    trail: &Trail,
) -> Response<wire::Body> {
    let Target { service, profile, path, terms, body_limit, header_limit } = target;
    let (parts, incoming) = request.into_parts();
    if wire::size(&parts.headers) > header_limit {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return refuse(hub, service, Cause::BadRequest, Some(status));
    }
    let names = &hub.settings.names;
    let Ok(remaining) = wire::read_number(&parts.headers, names.deadline.clone()) else {
        return refuse(hub, service, Cause::BadRequest, Some(StatusCode::BAD_REQUEST));
    };
    let deadline = claim::deadline(received, remaining, terms.timeout_ms);
    let left = remaining.map_or(deadline.since(received), Duration::from_millis);
    let caller =
        returning::identify(hub, &parts.method, &parts.uri, &parts.headers, received, left);
    let clock = clock(hub, &terms, service, caller, received, deadline);
    let work = hub.running.parent_of(trail.id());
    let behalf = work.map_or(urgency::Origin::Caller, urgency::Origin::Upstream);
    let due = clock.map(|clock| received + clock.objective.saturating_sub(clock.elapsed));
    if let Some(due) = due {
        trail.set_due(due);
    }
    let rank =
        clock.map_or_else(Rank::default, |clock| urgency::rank(behalf, terms.priority, clock));
    trail.note(
        hub,
        Step::Routed {
            route: terms.route.clone(),
            service: service.to_owned(),
            revision: hub.config().version.revision,
            nested: work.is_some(),
            elapsed_ms: clock.map_or(0, |clock| clock.elapsed.as_millis() as u64),
            left_ms: deadline.since(received).as_millis() as u64,
            priority: rank.priority,
        },
    );
    let Some(_hand) = Hand::take(hub, service) else {
        return refuse(hub, service, Cause::Saturated, None);
    };
    let declared = body::declared(&parts.headers).unwrap_or(0);
    if declared > body_limit {
        return refuse(hub, service, Cause::BadRequest, Some(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let mut reserved = Reservation::new(hub);
    if !reserved.extend(declared) {
        return refuse(hub, service, Cause::Saturated, None);
    }
    let time = Duration::from_millis(profile.upload_ms).min(deadline.since(received));
    let body = match body::receive(incoming, body_limit, time).await {
        Ok(body) => body,
        Err(fault) => {
            return refuse(hub, service, Cause::BadRequest, Some(status_of(fault)));
        }
    };
    if !reserved.extend(body.len().saturating_sub(declared)) {
        return refuse(hub, service, Cause::Saturated, None);
    }
    let mut headers = parts.headers;
    wire::strip(&mut headers);
    wire::strip_claims(&mut headers, names);
    if let (Some(name), Ok(own)) = (&names.caller, HeaderValue::from_str(&hub.settings.service)) {
        headers.insert(name.clone(), own);
    }
    let call = Call {
        service,
        profile,
        terms,
        payload: Payload { method: parts.method, path, headers, body },
        received,
        deadline,
        due,
        turn_by: clock.map(transfer::start_by),
        rank,
        origin,
        trail,
    };
    let response = match entry::run(hub, &call).await {
        Ok(answer) => {
            hub.running.answered(trail.id());
            whole(answer)
        }
        Err(outcome) => tell(hub, service, with_comeback(hub, outcome, clock)),
    };
    returning::note(hub, caller, &response);
    response
}

/// Replaces the usual time to come back by one that suits the call.
fn with_comeback(hub: &Hub, outcome: Outcome, clock: Option<urgency::Clock>) -> Outcome {
    match (outcome, clock) {
        (Outcome::NotRun(cause, _), Some(clock)) => {
            let held = hub.clock.now().since(clock.received);
            let clock = urgency::Clock {
                received: clock.received + held,
                elapsed: clock.elapsed + held,
                ..clock
            };
            Outcome::NotRun(cause, urgency::comeback(clock, &mut rand::rng()))
        }
        _ => outcome,
    }
}

/// Returns what is known of the time of a call whose route names an objective.
fn clock(
    hub: &Hub,
    terms: &Terms,
    service: &str,
    caller: Caller,
    received: Time,
    deadline: Time,
) -> Option<urgency::Clock> {
    let objective = Duration::from_millis(terms.objective_ms?);
    let usual = hub.latency(service, &terms.route).map_or(objective / 2, |latency| latency.usual());
    Some(urgency::Clock {
        received,
        deadline,
        attempt: caller.attempt,
        elapsed: received.since(caller.begun),
        objective,
        usual,
    })
}

fn status_of(fault: body::Fault) -> StatusCode {
    match fault {
        body::Fault::Large => StatusCode::PAYLOAD_TOO_LARGE,
        body::Fault::Slow => StatusCode::REQUEST_TIMEOUT,
        body::Fault::Short => StatusCode::BAD_REQUEST,
    }
}

fn refuse(
    hub: &Hub,
    service: &str,
    cause: Cause,
    status: Option<StatusCode>,
) -> Response<wire::Body> {
    let mut response = tell(hub, service, cause.outcome());
    if let Some(status) = status {
        *response.status_mut() = status;
    }
    response
}

/// Tells the caller an outcome without an answer, and counts it.
fn tell(hub: &Hub, service: &str, outcome: Outcome) -> Response<wire::Body> {
    match outcome {
        Outcome::NotRun(cause, _) => {
            hub.meter.not_run(service, cause.name());
            hub.tally.add(Count::NotRun(service.to_owned(), cause));
        }
        Outcome::Unknown(doubt) => hub.tally.add(Count::Unknown(service.to_owned(), doubt)),
    }
    wire::response(outcome, hub.settings.names.precision)
}

/// Passes on a whole answer.
fn whole(answer: Answer) -> Response<wire::Body> {
    let (mut parts, ()) = answer.head.into_parts();
    wire::strip(&mut parts.headers);
    parts.headers.insert(wire::OUTCOME, HeaderValue::from_static(wire::ANSWERED));
    Response::from_parts(parts, wire::Body::new(answer.body))
}

/// Passes on a turn that was given.
fn given(answer: Answer) -> Response<wire::Body> {
    let mut response = answer.head.map(|()| wire::Body::default());
    response.headers_mut().insert(wire::OUTCOME, HeaderValue::from_static(wire::ANSWERED));
    response
}
