//! Headers towards callers and between nodes.

pub use hyper::header::HeaderName;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderValue},
};
use policy::{
    health::Load,
    outcome::{Cause, Doubt, Outcome},
};
use std::time::Duration;

/// Names the service, where the path does not.
pub const SERVICE: HeaderName = HeaderName::from_static("baobab-service");

/// Remaining time of a call, in ms.
pub const DEADLINE: HeaderName = HeaderName::from_static("baobab-deadline-ms");

/// How a call ended: `answered`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("baobab-outcome");

/// Revision that a call was routed under.
pub const VERSION: HeaderName = HeaderName::from_static("baobab-version");

/// Cause of `not-run` or doubt of `unknown`.
pub const CAUSE: HeaderName = HeaderName::from_static("baobab-cause");

/// Finer form of `Retry-After`, in ms.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("baobab-retry-after-ms");

/// Identifies one attempt; an answer that carries it must carry the same.
pub const ID: HeaderName = HeaderName::from_static("baobab-id");

/// Marks an offer of an entry node and names the life of the node it is meant for.
pub const OFFER: HeaderName = HeaderName::from_static("baobab-offer");

/// Method and path decide for callers; between nodes the entry node tells what it decided.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("baobab-idempotent");

/// Identity that the offered upstream must confirm.
pub const IDENTITY: HeaderName = HeaderName::from_static("baobab-identity");

/// When the life of the offered upstream began, in ms of Unix time.
pub const STARTED: HeaderName = HeaderName::from_static("baobab-started-ms");

/// Rank of an offered call; 0 is the most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("baobab-priority");

/// Marks an offered call that an upstream makes for work that is under way.
pub const NESTED: HeaderName = HeaderName::from_static("baobab-nested");

/// Time within which an offered call must have begun, in ms.
pub const START: HeaderName = HeaderName::from_static("baobab-start-ms");

/// Marks an offer without its body, which asks for a turn to send it.
pub const RESERVE: HeaderName = HeaderName::from_static("baobab-reserve");

/// Number of a turn that was given.
pub const TICKET: HeaderName = HeaderName::from_static("baobab-ticket");

/// Calls that the serving node holds: `BUSY,WAITING`.
pub const LOAD: HeaderName = HeaderName::from_static("baobab-load");

/// Prefix of all of the system's headers; upstreams and callers cannot forge them.
const PREFIX: &str = "baobab-";

/// Value of [`OUTCOME`] for a whole answer.
pub const ANSWERED: &str = "answered";

/// Value of [`OUTCOME`] for a call that was not run.
pub const NOT_RUN: &str = "not-run";

/// Value of [`OUTCOME`] for a call that may have run.
pub const UNKNOWN: &str = "unknown";

/// How finely `Retry-After` is told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Precision {
    /// In whole seconds, as RFC 9110 has it.
    #[default]
    Seconds,
    /// In seconds with three decimals, where all callers are known to read them.
    Millis,
}

/// Headers whose names a deployment chooses, towards callers and upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Names {
    /// Remaining time of a call, in ms.
    pub deadline: HeaderName,
    /// A caller's own id of a request; upstreams echo it.
    pub request: Option<HeaderName>,
    /// Service of the instance on which a call began; set by the entry node.
    pub caller: Option<HeaderName>,
    /// Identity that an upstream is expected to have; another one refuses the call.
    pub identity: Option<HeaderName>,
    /// Mark on an upstream's answer that it has not run the call.
    pub refused: Option<HeaderName>,
    /// Mark on every answer that an upstream made itself.
    pub stamp: Option<HeaderName>,
    /// How finely `Retry-After` is told.
    pub precision: Precision,
}

impl Default for Names {
    fn default() -> Self {
        Names {
            deadline: DEADLINE,
            request: None,
            caller: None,
            identity: None,
            refused: None,
            stamp: None,
            precision: Precision::Seconds,
        }
    }
}

/// A whole body in memory.
pub type Body = http_body_util::Full<bytes::Bytes>;

/// Removes headers that belong to one connection and those that only the system sets.
pub fn strip(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let dropped: Vec<HeaderName> = headers
        .keys()
        .filter(|name| {
            let name = name.as_str();
            name.starts_with(PREFIX) || is_hop(name) || listed.iter().any(|l| l == name)
        })
        .cloned()
        .collect();
    for name in dropped {
        headers.remove(name);
    }
}

fn is_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

/// Removes what only the entry node may set on a call.
pub fn strip_claims(headers: &mut HeaderMap, names: &Names) {
    headers.remove(&names.deadline);
    for name in [&names.caller, &names.identity].into_iter().flatten() {
        headers.remove(name);
    }
}

/// Returns the answer that tells a caller, or an entry node, an outcome without an answer.
pub fn response(outcome: Outcome, precision: Precision) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status(outcome);
    let headers = response.headers_mut();
    match outcome {
        Outcome::NotRun(cause, retry_after) => {
            headers.insert(OUTCOME, HeaderValue::from_static(NOT_RUN));
            headers.insert(CAUSE, HeaderValue::from_static(cause.name()));
            headers.insert(RETRY_AFTER_MS, number(retry_after.as_millis() as u64));
            headers.insert(header::RETRY_AFTER, seconds(retry_after, precision));
        }
        Outcome::Unknown(doubt) => {
            headers.insert(OUTCOME, HeaderValue::from_static(UNKNOWN));
            headers.insert(CAUSE, HeaderValue::from_static(doubt.name()));
        }
    }
    response
}

/// Reads the outcome that a serving node tells; none for a whole answer.
pub fn outcome(headers: &HeaderMap) -> Result<Option<Outcome>, Malformed> {
    let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    match text(OUTCOME) {
        ANSWERED => Ok(None),
        NOT_RUN => {
            let cause = Cause::parse(text(CAUSE)).ok_or(Malformed)?;
            let ms = text(RETRY_AFTER_MS).parse().unwrap_or(0);
            Ok(Some(Outcome::NotRun(cause, Duration::from_millis(ms))))
        }
        UNKNOWN => Ok(Some(Outcome::Unknown(Doubt::parse(text(CAUSE)).ok_or(Malformed)?))),
        _ => Err(Malformed),
    }
}

/// An answer between nodes without a readable outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

/// Returns `value` as a header.
pub fn number(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}

/// Reads a whole number; none where the header is absent.
pub fn read_number(headers: &HeaderMap, name: HeaderName) -> Result<Option<u64>, Malformed> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    parsed.map(Some).ok_or(Malformed)
}

/// Tells whether a status promises that a request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::NotRun(Cause::UnknownService, _) => StatusCode::NOT_FOUND,
        Outcome::NotRun(Cause::BadRequest, _) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(_, _) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(Doubt::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}

/// Rounds whole seconds up: a caller must not come too early.
fn seconds(span: Duration, precision: Precision) -> HeaderValue {
    match precision {
        Precision::Seconds => number(span.as_millis().div_ceil(1_000).max(1) as u64),
        Precision::Millis => {
            let text = format!("{:.3}", span.as_secs_f64());
            HeaderValue::from_str(&text).expect("digits and a point make a header")
        }
    }
}

/// Returns what a serving node tells of its load.
pub fn load(load: Load) -> HeaderValue {
    let text = format!("{},{},{}", load.busy, load.waiting, load.bodies);
    HeaderValue::from_str(&text).expect("digits and commas make a header")
}

/// Reads what a serving node tells of its load; none where it tells nothing that can be read.
pub fn read_load(headers: &HeaderMap) -> Option<Load> {
    let mut parts = headers.get(LOAD)?.to_str().ok()?.split(',').map(str::parse);
    let mut next = || parts.next()?.ok();
    let (busy, waiting) = (next()?, next()?);
    // Older nodes tell nothing of bodies.
    Some(Load { busy, waiting, bodies: next().unwrap_or(0) })
}

/// Returns the text of a header.
pub(crate) fn header_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the host that a request names, without a port and in lower case.
pub(crate) fn host(headers: &HeaderMap) -> String {
    let host = header_text(headers, header::HOST).unwrap_or("");
    host.split(':').next().unwrap_or("").to_ascii_lowercase()
}

/// Returns the outcome that an answer tells, as one of the constants.
pub(crate) fn known_outcome(outcome: Option<&str>) -> &'static str {
    match outcome {
        Some(ANSWERED) => ANSWERED,
        Some(UNKNOWN) => UNKNOWN,
        _ => NOT_RUN,
    }
}

/// Returns the sum of all names and values, in bytes.
pub(crate) fn size(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
