//! Headers of calls and answers, towards callers and between nodes.

mod body;

pub use crate::wire::body::Body;
pub use hyper::header::HeaderName;

pub(crate) use crate::wire::body::Content;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderValue},
};
use policy::{
    health::Load,
    outcome::{Cause, Outcome, Uncertainty},
};
use std::time::Duration;

/// Name of the service, if the path does not name it.
pub const SERVICE: HeaderName = HeaderName::from_static("baobab-service");

/// Remaining time of a call, in ms.
pub const DEADLINE: HeaderName = HeaderName::from_static("baobab-deadline-ms");

/// How a call ended: `answered`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("baobab-outcome");

/// Revision of the configuration that a call was routed by.
pub const VERSION: HeaderName = HeaderName::from_static("baobab-version");

/// Cause of a `not-run` or `unknown` outcome.
pub const CAUSE: HeaderName = HeaderName::from_static("baobab-cause");

/// `Retry-After` in ms.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("baobab-retry-after-ms");

/// Id of an attempt, which the answer must echo.
pub const ID: HeaderName = HeaderName::from_static("baobab-id");

/// Marks an offer; the value is the incarnation of the intended serving node.
pub const OFFER: HeaderName = HeaderName::from_static("baobab-offer");

/// Whether an offered call is idempotent (`1` or `0`), as the entry node decided.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("baobab-idempotent");

/// Identity that the upstream of an offer must confirm.
pub const IDENTITY: HeaderName = HeaderName::from_static("baobab-identity");

/// Start of the intended upstream process, in ms of Unix time.
pub const STARTED: HeaderName = HeaderName::from_static("baobab-started-ms");

/// Priority of an offered call; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("baobab-priority");

/// Marks an offered call as nested: made by an upstream for a request in progress.
pub const NESTED: HeaderName = HeaderName::from_static("baobab-nested");

/// Marks an offer whose run counts as a retry.
pub const RETRY: HeaderName = HeaderName::from_static("baobab-retry");

/// Time after which another attempt of an offered call may reach an upstream first, in ms.
pub const FIRST: HeaderName = HeaderName::from_static("baobab-first-ms");

/// Time within which an offered call must start, in ms.
pub const START: HeaderName = HeaderName::from_static("baobab-start-ms");

/// Marks an offer without its body that requests a transfer grant; the value is the body's size.
pub const RESERVE: HeaderName = HeaderName::from_static("baobab-reserve");

/// Ticket of a transfer grant.
pub const TICKET: HeaderName = HeaderName::from_static("baobab-ticket");

/// Calls from callers of the entry node that the service recently answered, on the offer of a caller's call.
pub const USAGE: HeaderName = HeaderName::from_static("baobab-usage");

/// Limit that the upstream of an offer named to the entry node, in calls per second.
pub const LIMIT: HeaderName = HeaderName::from_static("baobab-limit");

/// Load of the serving node: `BUSY,WAITING,BODIES`, and `,LIMIT` if its upstream named one.
pub const LOAD: HeaderName = HeaderName::from_static("baobab-load");

/// Prefix of all internal headers; removed from requests of callers and answers of upstreams, so that
/// neither can forge them.
const PREFIX: &str = "baobab-";

/// Value of [`OUTCOME`] for a complete answer.
pub const ANSWERED: &str = "answered";

/// Value of [`OUTCOME`] for a call that was not run.
pub const NOT_RUN: &str = "not-run";

/// Value of [`OUTCOME`] for a call that may have run.
pub const UNKNOWN: &str = "unknown";

/// Precision of `Retry-After`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Precision {
    /// In whole seconds, as in RFC 9110.
    #[default]
    Seconds,
    /// In seconds with three decimals, for callers that support them.
    Millis,
}

/// Configurable names of headers towards callers and upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Names {
    /// Remaining time of a call, in ms.
    pub deadline: HeaderName,
    /// Id of a request, given by the caller and echoed by upstreams.
    pub request: Option<HeaderName>,
    /// Service of the entry node that received the call.
    pub caller: Option<HeaderName>,
    /// Expected identity of the upstream; an upstream with another identity refuses the call.
    pub identity: Option<HeaderName>,
    /// Marks an answer of an upstream that has not run the call.
    pub refused: Option<HeaderName>,
    /// Marks every answer produced by an upstream itself.
    pub stamp: Option<HeaderName>,
    /// Marks every answer of an upstream that is leaving, with the value 1.
    pub leaving: Option<HeaderName>,
    /// Calls per second that an upstream accepts from all nodes together, for as long as its answers
    /// say so.
    pub limit: Option<HeaderName>,
    /// Time for which an upstream is still cold, in ms, in its answers to health probes.
    pub cold: Option<HeaderName>,
    /// Precision of `Retry-After`.
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
            leaving: None,
            limit: None,
            cold: None,
            precision: Precision::Seconds,
        }
    }
}

/// Removes hop-by-hop headers and all internal headers.
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
            name.starts_with(PREFIX) || is_hop_by_hop(name) || listed.iter().any(|l| l == name)
        })
        .cloned()
        .collect();
    for name in dropped {
        headers.remove(name);
    }
}

fn is_hop_by_hop(name: &str) -> bool {
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

/// Removes headers of a call that only the entry node may set.
pub fn strip_reserved(headers: &mut HeaderMap, names: &Names) {
    headers.remove(&names.deadline);
    for name in [&names.caller, &names.identity].into_iter().flatten() {
        headers.remove(name);
    }
}

/// Returns the response for a call without an answer, towards a caller or an entry node.
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
        Outcome::Unknown(uncertainty) => {
            headers.insert(OUTCOME, HeaderValue::from_static(UNKNOWN));
            headers.insert(CAUSE, HeaderValue::from_static(uncertainty.name()));
        }
    }
    response
}

/// Reads the outcome from a serving node's response; `None` for a complete answer.
pub fn outcome(headers: &HeaderMap) -> Result<Option<Outcome>, Malformed> {
    let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    match text(OUTCOME) {
        ANSWERED => Ok(None),
        NOT_RUN => {
            let cause = Cause::parse(text(CAUSE)).ok_or(Malformed)?;
            let ms = text(RETRY_AFTER_MS).parse().unwrap_or(0);
            Ok(Some(Outcome::NotRun(cause, Duration::from_millis(ms))))
        }
        UNKNOWN => Ok(Some(Outcome::Unknown(Uncertainty::parse(text(CAUSE)).ok_or(Malformed)?))),
        _ => Err(Malformed),
    }
}

/// A header is missing or cannot be parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

/// Returns `value` as a header value.
pub fn number(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}

/// Returns `value` as a header value.
pub fn decimal(value: f64) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).expect("a number makes a header")
}

/// Reads an unsigned integer; `None` if the header is absent.
pub fn read_number(headers: &HeaderMap, name: HeaderName) -> Result<Option<u64>, Malformed> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    parsed.map(Some).ok_or(Malformed)
}

/// Returns whether an answer says that its upstream is leaving.
pub fn says_leaving(headers: &HeaderMap, names: &Names) -> bool {
    let value = names.leaving.as_ref().and_then(|name| headers.get(name));
    value.is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Reads the limit that an answer of an upstream names, in calls per second; `None` if it names none.
///
/// Fails with the value if that is not a number of at least 0.
pub fn read_limit(headers: &HeaderMap, names: &Names) -> Result<Option<f64>, String> {
    let Some(value) = names.limit.as_ref().and_then(|name| headers.get(name)) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    parse_limit(&text).map(Some).ok_or(text.into())
}

/// Parses a limit in calls per second; `None` if it is not a number of at least 0.
pub(crate) fn parse_limit(text: &str) -> Option<f64> {
    let limit = text.trim().parse().ok();
    limit.filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
}

/// Returns whether a status guarantees that the request was not run and never will be.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::NotRun(Cause::UnknownService, _) => StatusCode::NOT_FOUND,
        Outcome::NotRun(Cause::BadRequest, _) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(_, _) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(Uncertainty::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}

/// Formats a `Retry-After` value; whole seconds are rounded up, so that callers don't retry early.
fn seconds(span: Duration, precision: Precision) -> HeaderValue {
    match precision {
        Precision::Seconds => number(span.as_millis().div_ceil(1_000).max(1) as u64),
        Precision::Millis => {
            let text = format!("{:.3}", span.as_secs_f64());
            HeaderValue::from_str(&text).expect("digits and a point make a header")
        }
    }
}

/// Formats the load of a serving node.
pub fn load(load: Load) -> HeaderValue {
    let limit = load.limit.map(|limit| format!(",{limit}")).unwrap_or_default();
    let text = format!("{},{},{}{limit}", load.busy, load.waiting, load.bodies);
    HeaderValue::from_str(&text).expect("digits and commas make a header")
}

/// Reads the load of a serving node; `None` if the header is absent or cannot be parsed.
pub fn read_load(headers: &HeaderMap) -> Option<Load> {
    let mut parts = headers.get(LOAD)?.to_str().ok()?.split(',');
    let mut next = || parts.next()?.parse().ok();
    let (busy, waiting) = (next()?, next()?);
    // Older nodes don't send the number of bodies.
    let bodies = next().unwrap_or(0);
    let limit = parts.next().and_then(parse_limit);
    Some(Load { busy, waiting, bodies, limit })
}

/// Returns the value of a header as text; `None` if absent or not UTF-8.
pub(crate) fn header_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    str::from_utf8(headers.get(name)?.as_bytes()).ok()
}

/// Returns `text` as a header value; `None` if it has control characters.
pub(crate) fn text(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_bytes(text.as_bytes()).ok()
}

/// Returns the `Host` of a request in lower case, without its port; empty if absent.
pub(crate) fn host(headers: &HeaderMap) -> String {
    let host = header_text(headers, header::HOST).unwrap_or("");
    host.split(':').next().unwrap_or("").to_ascii_lowercase()
}

/// Maps the value of [`OUTCOME`] to one of the constants; `not-run` if unknown.
pub(crate) fn known_outcome(outcome: Option<&str>) -> &'static str {
    match outcome {
        Some(ANSWERED) => ANSWERED,
        Some(UNKNOWN) => UNKNOWN,
        _ => NOT_RUN,
    }
}

/// Returns the total size of all names and values, in bytes.
pub(crate) fn size(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
