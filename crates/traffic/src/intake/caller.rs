//! Takes in calls of callers, and answers them.

use hyper::{Request, Response, StatusCode, header::HeaderValue};
use model::time::Time;
use policy::{
    admission::Rank,
    claim,
    outcome::{Cause, Outcome},
    transfer, urgency,
};
use std::{sync::Arc, time::Duration};
use trail::Step;

use crate::{
    call::{Call, Payload, Terms},
    entry,
    hub::{
        Hub,
        room::{Hand, Reservation},
    },
    intake::open::Open,
    net::{
        body::{self, Inflow},
        stream::Probe,
    },
    record::{Trail, tally::Count},
    routing::{
        returning::{self, Caller},
        target::{self, Target},
    },
    wire,
};

/// Answers a caller.
pub(super) async fn answer(
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
            let response = take(hub, request, target, origin, received, &open.trail).await;
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

async fn take(
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
        &hub.log,
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
            answer.response()
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
