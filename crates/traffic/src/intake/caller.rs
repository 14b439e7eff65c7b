//! Handles a caller's request: routes it, admits it, runs it and builds the response.

use hyper::{Request, Response, StatusCode, http::request::Parts};
use ingress::stream::Probe;
use model::time::Time;
use policy::{
    budget::Lineage,
    outcome::{Cause, Outcome},
    urgency::{self, Origin},
};
use std::{
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};
use trace::Step;

use crate::{
    call::{Call, Payload},
    entry,
    intake::{
        refusal::{self, Refusal},
        span::Span,
        upload::{self, Upload},
    },
    net::body::Inbound,
    proxy::Proxy,
    record::Trace,
    routing::{
        client_retry,
        schedule::{self, Schedule},
        target::{self, Target},
    },
    wire::{self, Content},
};

/// Answers a caller's request and counts its outcome.
pub(super) async fn answer(
    proxy: &Arc<Proxy>,
    request: Request<Inbound>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let config = proxy.config();
    let mut span = Span::new(proxy, &request, received);
    let mut response = match target::find(proxy, &config, &request) {
        Err(cause) => {
            let (revision, expected) = (config.version.revision, proxy.expected_revision());
            span.trace.record(&proxy.log, Step::Unrouted { revision, expected });
            Refusal::of(cause).respond(proxy, "")
        }
        Ok(target) => {
            let service = target.service;
            let result = admit(proxy, request, target, origin, received, &span.trace).await;
            let response = result.unwrap_or_else(|refusal| refusal.respond(proxy, service));
            let elapsed = proxy.clock.now().since(received);
            proxy.meter.count_call(service, wire::known_outcome(outcome_of(&response)), elapsed);
            response
        }
    };
    span.end(&response);
    response.headers_mut().insert(wire::VERSION, wire::number(config.version.revision));
    response
}

fn outcome_of(response: &Response<wire::Body>) -> Option<&str> {
    wire::header_text(response.headers(), wire::OUTCOME)
}

/// Admits a call and runs it to its end; fails if its head or body is refused.
async fn admit(
    proxy: &Arc<Proxy>,
    request: Request<Inbound>,
    target: Target<'_>,
    origin: Probe,
    received: Time,
    trace: &Trace,
) -> Result<Response<wire::Body>, Refusal> {
    let (head, incoming) = request.into_parts();
    let schedule = check_head(proxy, &head, &target, received, trace)?;
    let remaining = schedule.deadline.since(received);
    let upload = upload::receive(proxy, &target, &head.headers, incoming, remaining).await?;
    let Upload { body, guard: _guard, memory: _memory, reserved: _reserved } = upload;
    if proxy.lifecycle.is_closed() {
        // The body arrived after the close, so that the call could not finish before the process exits.
        return Err(Refusal::of(Cause::Leaving));
    }
    let service = target.service;
    let call = build_call(proxy, head, target, &schedule, body, origin, trace);
    let parent = proxy.begin_nested_call(trace.id(), service);
    // A call nested in a retry may be refused for the retry budget, which is no lack of capacity.
    let parent = parent.filter(|_| call.lineage == Lineage::First);
    let result = entry::run(proxy, &call).await;
    proxy.record_nested_call(parent, service, &result);
    let response = match result {
        Ok(answer) => {
            proxy.running.answered(trace.id());
            if schedule.origin == Origin::Caller {
                proxy.record_usage(service);
            }
            proxy.count_answered(service);
            answer.response()
        }
        Err(outcome) => {
            let outcome = with_retry_after(proxy, service, outcome, &schedule);
            refusal::respond(proxy, service, outcome)
        }
    };
    client_retry::record(proxy, schedule.caller, &response);
    Ok(response)
}

/// Checks the size of a call's head and reads its schedule.
fn check_head(
    proxy: &Proxy,
    head: &Parts,
    target: &Target<'_>,
    received: Time,
    trace: &Trace,
) -> Result<Schedule, Refusal> {
    if wire::size(&head.headers) > target.header_limit {
        return Err(Refusal::bad_request(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    }
    let schedule = schedule::read(proxy, head, target, trace.id(), received)
        .map_err(|wire::Malformed| Refusal::bad_request(StatusCode::BAD_REQUEST))?;
    if let Some(due) = schedule.due() {
        trace.set_due(due);
    }
    trace_routed(proxy, target, &schedule, trace);
    Ok(schedule)
}

fn trace_routed(proxy: &Proxy, target: &Target<'_>, schedule: &Schedule, trace: &Trace) {
    let elapsed_ms = schedule.timing.map_or(0, |timing| timing.elapsed.as_millis() as u64);
    trace.record(
        &proxy.log,
        Step::Routed {
            route: target.options.route.clone(),
            service: target.service.to_owned(),
            revision: proxy.config().version.revision,
            nested: matches!(schedule.origin, Origin::Upstream(_)),
            elapsed_ms,
            left_ms: schedule.deadline.since(schedule.received).as_millis() as u64,
            priority: schedule.rank.priority,
        },
    );
}

/// Returns the call as it is offered to upstreams, without headers that only the node may set.
fn build_call<'a>(
    proxy: &Proxy,
    head: Parts,
    target: Target<'a>,
    schedule: &Schedule,
    body: Content,
    origin: Probe,
    trace: &'a Trace,
) -> Call<'a> {
    let names = &proxy.settings.names;
    let mut headers = head.headers;
    wire::strip(&mut headers);
    wire::strip_reserved(&mut headers, names);
    if let (Some(name), Some(service)) = (&names.caller, wire::text(&proxy.settings.service)) {
        headers.insert(name.clone(), service);
    }
    Call {
        service: target.service,
        profile: target.profile,
        options: target.options,
        payload: Payload::new(head.method, target.path, headers, body),
        received: schedule.received,
        deadline: schedule.deadline,
        due: schedule.due(),
        transfer_by: schedule.transfer_by(),
        rank: schedule.rank,
        lineage: proxy.running.lineage_of(trace.id()),
        origin,
        nested_refusals: AtomicU32::new(0),
        trace,
    }
}

/// Replaces the default retry-after time by one derived from the call's timing.
fn with_retry_after(
    proxy: &Proxy,
    service: &str,
    outcome: Outcome,
    schedule: &Schedule,
) -> Outcome {
    match (outcome, schedule.timing) {
        // The retry-after time is the end of the quarantine.
        (Outcome::NotRun(Cause::Quarantined, _), _) => outcome,
        (Outcome::NotRun(cause, after), Some(timing)) => {
            let timing = timing.at(proxy.clock.now());
            // Before that time, the limit of the upstream has no room.
            let earliest = if cause == Cause::Limited { after } else { Duration::ZERO };
            let paced = match schedule.origin {
                Origin::Caller => proxy.promise_return(service, cause, timing, earliest),
                Origin::Upstream(_) => None,
            };
            let random = || earliest + urgency::retry_after(timing, &mut rand::rng());
            Outcome::NotRun(cause, paced.unwrap_or_else(random))
        }
        _ => outcome,
    }
}
