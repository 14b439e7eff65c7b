//! Takes in requests: calls of callers and offers of other nodes.

use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderValue},
    http::uri::PathAndQuery,
};
use model::{profile::Profile, time::Time};
use policy::{
    claim,
    outcome::{Cause, Outcome},
    retry::Kind,
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::{
    body,
    entry::{self, Call},
    payload::Payload,
    serving::{self, Answer, Offer},
    state::Hub,
    stream::Probe,
    tally::Count,
    wire,
};

/// Largest remaining time that a caller's header can name, in ms.
const DEADLINE_LIMIT_MS: u64 = 600_000;

/// Answers a request, of a caller or of another node.
pub(crate) async fn handle(
    hub: &Arc<Hub>,
    request: Request<Incoming>,
    origin: Probe,
) -> Response<wire::Body> {
    let received = hub.clock.now();
    let mut response = match request.headers().contains_key(wire::OFFER) {
        true => handle_offer(hub, request, origin, received).await,
        false => handle_call(hub, request, origin, received).await,
    };
    if hub.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answers an offer of an entry node.
async fn handle_offer(
    hub: &Arc<Hub>,
    request: Request<Incoming>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let id = wire::read_number(request.headers(), wire::ID);
    let result = take_offer(hub, request, origin, received).await;
    let mut response = match result {
        Ok(answer) => whole(answer),
        Err(outcome) => wire::response(outcome),
    };
    if let Ok(Some(id)) = id {
        response.headers_mut().insert(wire::ID, wire::number(id));
    }
    response
}

async fn take_offer(
    hub: &Arc<Hub>,
    request: Request<Incoming>,
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
    let config = hub.config();
    // A node that holds no configuration yet cannot keep the profile's promises.
    let service = config.service(&hub.settings.service);
    let profile = service.map(|s| config.profile(s)).ok_or_else(|| Cause::Unreachable.outcome())?;
    let mut reserved = Reservation::new(hub);
    if !reserved.extend(body::declared(&parts.headers).unwrap_or(0)) {
        return Err(Cause::Overloaded.outcome());
    }
    let time = deadline.since(received);
    let body = body::receive(incoming, profile.max_request_bytes, time).await;
    let body = body.map_err(|_| Cause::BadRequest.outcome())?;
    let mut headers = parts.headers;
    wire::strip(&mut headers);
    let offer = Offer {
        payload: Payload { method: parts.method, path: parts.uri, headers, body },
        received,
        deadline,
        kind: if idempotent { Kind::Idempotent } else { Kind::Once },
        incarnation,
        origin,
        id,
    };
    serving::run(hub, profile, offer).await
}

/// Answers a caller.
async fn handle_call(
    hub: &Arc<Hub>,
    request: Request<Incoming>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let config = hub.config();
    let (name, path) = match address(&request) {
        Some(address) => address,
        None => return refuse(hub, "", Cause::UnknownService, None),
    };
    let mut response = match config.service(&name) {
        None => refuse(hub, "", Cause::UnknownService, None),
        Some(service) => {
            let profile = config.profile(service);
            let target = Target { service: &service.name, profile, path };
            let response = take_call(hub, request, target, origin, received).await;
            let outcome = response.headers().get(wire::OUTCOME).and_then(|v| v.to_str().ok());
            let elapsed = hub.clock.now().since(received);
            hub.meter.call(&service.name, known_outcome(outcome), elapsed);
            response
        }
    };
    response.headers_mut().insert(wire::VERSION, wire::number(config.version.revision));
    response
}

/// Where a call goes.
struct Target<'a> {
    service: &'a str,
    profile: &'a Profile,
    path: Uri,
}

async fn take_call(
    hub: &Arc<Hub>,
    request: Request<Incoming>,
    target: Target<'_>,
    origin: Probe,
    received: Time,
) -> Response<wire::Body> {
    let Target { service, profile, path } = target;
    let (parts, incoming) = request.into_parts();
    let rule = profile.rule(parts.method.as_str(), path.path());
    let Ok(remaining) = wire::read_number(&parts.headers, wire::DEADLINE) else {
        return refuse(hub, service, Cause::BadRequest, Some(StatusCode::BAD_REQUEST));
    };
    let deadline = claim::deadline(received, remaining, rule.deadline_ms);
    let Some(_hand) = Hand::take(hub, service) else {
        return refuse(hub, service, Cause::Saturated, None);
    };
    let declared = body::declared(&parts.headers).unwrap_or(0);
    if declared > profile.max_request_bytes {
        return refuse(hub, service, Cause::BadRequest, Some(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let mut reserved = Reservation::new(hub);
    if !reserved.extend(declared) {
        return refuse(hub, service, Cause::Saturated, None);
    }
    let time = Duration::from_millis(profile.upload_ms).min(deadline.since(received));
    let body = match body::receive(incoming, profile.max_request_bytes, time).await {
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
    let call = Call {
        service,
        profile,
        rule,
        payload: Payload { method: parts.method, path, headers, body },
        received,
        deadline,
        origin,
    };
    match entry::run(hub, &call).await {
        Ok(answer) => whole(answer),
        Err(outcome) => tell(hub, service, outcome),
    }
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
    wire::response(outcome)
}

/// Passes on a whole answer.
fn whole(answer: Answer) -> Response<wire::Body> {
    let (mut parts, ()) = answer.head.into_parts();
    wire::strip(&mut parts.headers);
    parts.headers.insert(wire::OUTCOME, HeaderValue::from_static(wire::ANSWERED));
    Response::from_parts(parts, wire::Body::new(answer.body))
}

fn known_outcome(outcome: Option<&str>) -> &'static str {
    match outcome {
        Some(wire::ANSWERED) => wire::ANSWERED,
        Some(wire::UNKNOWN) => wire::UNKNOWN,
        _ => wire::NOT_RUN,
    }
}

/// Returns the service that a request names, and the path that its upstream is to see.
fn address(request: &Request<Incoming>) -> Option<(String, Uri)> {
    if let Some(name) = header_text(request.headers(), wire::SERVICE) {
        return Some((name.to_owned(), request.uri().clone()));
    }
    let whole = request.uri().path_and_query().map_or("/", PathAndQuery::as_str);
    let rest = whole.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Some((name.to_owned(), path.parse().ok()?))
}

fn header_text(headers: &HeaderMap, name: header::HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Bytes of bodies reserved in the node's room; given back when dropped.
struct Reservation<'a> {
    hub: &'a Hub,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    fn new(hub: &'a Hub) -> Self {
        Reservation { hub, bytes: 0 }
    }

    /// Reserves `more` bytes; returns whether there was room.
    fn extend(&mut self, more: usize) -> bool {
        let held = self.hub.bytes.load(Ordering::SeqCst);
        if !self.hub.settings.room.fits(held, more) {
            return false;
        }
        self.hub.bytes.fetch_add(more, Ordering::SeqCst);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.hub.bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A call in hand; given back when dropped.
struct Hand<'a> {
    hub: &'a Hub,
    service: &'a str,
}

impl<'a> Hand<'a> {
    fn take(hub: &'a Hub, service: &'a str) -> Option<Self> {
        let total = hub.calls.load(Ordering::SeqCst);
        let admitted = hub.with_service(service, |s| {
            let admits = hub.settings.room.admits(s.in_hand, total);
            s.in_hand += usize::from(admits);
            admits
        });
        if !admitted {
            return None;
        }
        hub.calls.fetch_add(1, Ordering::SeqCst);
        Some(Hand { hub, service })
    }
}

impl Drop for Hand<'_> {
    fn drop(&mut self) {
        self.hub.calls.fetch_sub(1, Ordering::SeqCst);
        self.hub.with_service(self.service, |s| s.in_hand -= 1);
    }
}
