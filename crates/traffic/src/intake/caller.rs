//! Takes in calls of callers, and answers them.

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, header::HeaderValue, http::request::Parts};
use model::time::Time;
use policy::{
    outcome::{Cause, Outcome},
    urgency::{self, Origin},
};
use std::sync::Arc;
use trace::Step;

use crate::{
    call::{Call, Payload},
    entry,
    hub::Hub,
    intake::{
        open::Open,
        refusal::{self, Refusal},
        upload::{self, Upload},
    },
    net::{body::Inflow, stream::Probe},
    record::Trail,
    routing::{
        returning,
        schedule::{self, Schedule},
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
        Err(cause) => {
            let (revision, expected) = (config.version.revision, hub.expected());
            open.trail.note(&hub.log, Step::Unrouted { revision, expected });
            Refusal::of(cause).tell(hub, "")
        }
        Ok(target) => {
            let service = target.service;
            let taken = take(hub, request, target, origin, received, &open.trail).await;
            let response = taken.unwrap_or_else(|refusal| refusal.tell(hub, service));
            let elapsed = hub.clock.now().since(received);
            hub.meter.count_call(service, wire::known_outcome(outcome_of(&response)), elapsed);
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

/// Lets a call in and carries it to its end, or says why it is not let in.
async fn take(
    hub: &Arc<Hub>,
    request: Request<Inflow>,
    target: Target<'_>,
    origin: Probe,
    received: Time,
    trail: &Trail,
) -> Result<Response<wire::Body>, Refusal> {
    let (head, incoming) = request.into_parts();
    let schedule = let_in(hub, &head, &target, received, trail)?;
    let left = schedule.deadline.since(received);
    let upload = upload::receive(hub, &target, &head.headers, incoming, left).await?;
    let Upload { body, hand: _hand, reserved: _reserved } = upload;
    let service = target.service;
    let call = call(hub, head, target, &schedule, body, origin, trail);
    let response = match entry::run(hub, &call).await {
        Ok(answer) => {
            hub.running.answered(trail.id());
            answer.response()
        }
        Err(outcome) => refusal::tell(hub, service, with_comeback(hub, outcome, schedule.clock)),
    };
    returning::note(hub, schedule.caller, &response);
    Ok(response)
}

/// Checks the head of a call and reads its time.
fn let_in(
    hub: &Hub,
    head: &Parts,
    target: &Target<'_>,
    received: Time,
    trail: &Trail,
) -> Result<Schedule, Refusal> {
    if wire::size(&head.headers) > target.header_limit {
        return Err(Refusal::bad_request(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    }
    let schedule = schedule::read(hub, head, target, trail.id(), received)
        .map_err(|wire::Malformed| Refusal::bad_request(StatusCode::BAD_REQUEST))?;
    if let Some(due) = schedule.due() {
        trail.set_due(due);
    }
    note_routed(hub, target, &schedule, trail);
    Ok(schedule)
}

fn note_routed(hub: &Hub, target: &Target<'_>, schedule: &Schedule, trail: &Trail) {
    let elapsed_ms = schedule.clock.map_or(0, |clock| clock.elapsed.as_millis() as u64);
    trail.note(
        &hub.log,
        Step::Routed {
            route: target.terms.route.clone(),
            service: target.service.to_owned(),
            revision: hub.config().version.revision,
            nested: matches!(schedule.origin, Origin::Upstream(_)),
            elapsed_ms,
            left_ms: schedule.deadline.since(schedule.received).as_millis() as u64,
            priority: schedule.rank.priority,
        },
    );
}

/// Returns the call as it is offered to upstreams.
fn call<'a>(
    hub: &Hub,
    head: Parts,
    target: Target<'a>,
    schedule: &Schedule,
    body: Bytes,
    origin: Probe,
    trail: &'a Trail,
) -> Call<'a> {
    let names = &hub.settings.names;
    let mut headers = head.headers;
    wire::strip(&mut headers);
    wire::strip_claims(&mut headers, names);
    if let (Some(name), Ok(own)) = (&names.caller, HeaderValue::from_str(&hub.settings.service)) {
        headers.insert(name.clone(), own);
    }
    Call {
        service: target.service,
        profile: target.profile,
        terms: target.terms,
        payload: Payload::new(head.method, target.path, headers, body),
        received: schedule.received,
        deadline: schedule.deadline,
        due: schedule.due(),
        turn_by: schedule.turn_by(),
        rank: schedule.rank,
        origin,
        trail,
    }
}

/// Replaces the usual time to come back by one that suits the call.
fn with_comeback(hub: &Hub, outcome: Outcome, clock: Option<urgency::Timing>) -> Outcome {
    match (outcome, clock) {
        // Nothing that the caller could wait for comes sooner.
        (Outcome::NotRun(Cause::Quarantined, _), _) => outcome,
        (Outcome::NotRun(cause, _), Some(clock)) => {
            let clock = clock.at(hub.clock.now());
            Outcome::NotRun(cause, urgency::retry_after(clock, &mut rand::rng()))
        }
        _ => outcome,
    }
}
