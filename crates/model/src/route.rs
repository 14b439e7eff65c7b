//! Routes: map host and path of a call to services, with the call's timeouts and priority.
//!
//! While a configuration has routes, only they are used, so that a path that starts with a service's
//! name can't bypass them. Whether calls may be addressed by service once there are none is a setting of
//! the node.

use serde::{Deserialize, Serialize};
use std::{ops::RangeInclusive, sync::Arc};

use crate::{arena::Key, fault::Fault, json, read::Object, service::Service};

/// Maximum number of targets of one route: more than fit into one value of the platform.
pub const MAX_TARGETS: usize = 65_536;

/// Maximum weight of one target.
pub const MAX_WEIGHT: u64 = 1_000_000;

/// Accepted values of `priority`; 0 is the most urgent.
pub const PRIORITIES: RangeInclusive<u64> = 0..=15;

/// Accepted values of `attempts`, the maximum number of upstreams tried per call.
pub const ATTEMPTS: RangeInclusive<u64> = 1..=5;

/// Accepted values of `timeout_ms` and `objective_ms`.
pub const TIMES_MS: RangeInclusive<u64> = 1..=600_000;

/// Whether calls may be retried after execution, and whether bodies are large.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Calls that may be executed more than once.
    Idempotent,
    /// Calls that must be executed at most once.
    Once,
    /// Calls with large bodies that must be executed at most once.
    Upload,
}

const KINDS: [(&str, Kind); 3] =
    [("idempotent", Kind::Idempotent), ("once", Kind::Once), ("upload", Kind::Upload)];

/// A target of a route as in the document: the service's name and its weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A target of a route: a service of the same snapshot and its weight.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Key of the service in the snapshot.
    pub service: Key<Service>,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Matching criteria and call settings of a route, independent of the target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// `Host` header without port, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether calls may be retried after execution.
    pub kind: Kind,
    /// Maximum number of upstreams tried per call.
    pub attempts: u32,
    /// Time limit until the final answer, in ms.
    pub timeout_ms: u64,
    /// Latency objective, in ms: answers that miss it are worth less to the caller.
    pub objective_ms: u64,
    /// Priority among the calls of one service; 0 is the most urgent.
    pub priority: u8,
}

/// A route of a snapshot.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of its document.
    pub name: String,
    /// Matching criteria and call settings, shared with the [`Draft`].
    pub spec: Arc<Spec>,
    /// Services that receive the calls; at least one has a weight above 0, unless calls are refused.
    pub targets: Vec<Target>,
    /// Why its calls are refused, if they are.
    pub refusal: Option<String>,
}

/// A parsed route document whose service names are not yet resolved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draft {
    /// Matching criteria and call settings.
    pub spec: Arc<Spec>,
    /// Targets by service name.
    pub shares: Vec<Share>,
    /// Why its calls are refused, if they are. The route still hides routes with shorter prefixes, whose
    /// services must not receive its calls.
    pub refusal: Option<String>,
}

/// Parses a route from `text`; adds each fault to `faults`, attributed to `document`, and returns
/// `None` if there is any.
///
/// ```
/// let mut faults = Vec::new();
/// let text = r#"{"host": "shop.example", "prefix": "/stock/", "kind": "idempotent",
///     "targets": [{"service": "shelfview"}]}"#;
/// let draft = model::route::read("routes/stock", text, &mut faults).unwrap();
/// assert!(faults.is_empty());
/// assert_eq!(draft.shares[0].weight, 1);
/// ```
pub fn read(document: &str, text: &str, faults: &mut Vec<Fault>) -> Option<Draft> {
    let value = match json::parse(document, text) {
        Ok(value) => value,
        Err(fault) => {
            faults.push(fault);
            return None;
        }
    };
    let before = faults.len();
    let mut object = Object::new(document, "", value, faults);
    let draft = read_object(&mut object);
    let has_target = draft.shares.iter().any(|share| share.weight > 0);
    if draft.refusal.is_some() {
        if has_target {
            object.fault("refuse", "excludes targets");
        }
    } else if !has_target {
        object.fault("targets", "must name at least one service with a weight above 0");
    }
    object.finish();
    (faults.len() == before).then_some(draft)
}

fn read_object(object: &mut Object<'_>) -> Draft {
    let timeout_ms = object.number("timeout_ms", TIMES_MS, 2_000);
    Draft {
        spec: Arc::new(Spec {
            host: object.text("host", "a host name in lower case without port", is_host),
            prefix: object.text("prefix", "a path that begins and ends with /", is_prefix),
            kind: read_kind(object),
            attempts: object.number("attempts", ATTEMPTS, 2) as u32,
            timeout_ms,
            objective_ms: object.number("objective_ms", TIMES_MS, timeout_ms),
            priority: object.number("priority", PRIORITIES, 0) as u8,
        }),
        shares: object.objects("targets", MAX_TARGETS, read_share),
        refusal: object.optional_text("refuse", "a reason", |text| !text.is_empty()),
    }
}

fn read_kind(object: &mut Object<'_>) -> Kind {
    let find = |text: &str| KINDS.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
    let format = "\"idempotent\", \"once\" or \"upload\"";
    let text = object.text("kind", format, |text| find(text).is_some());
    find(&text).unwrap_or(Kind::Once)
}

fn read_share(object: &mut Object<'_>) -> Share {
    Share {
        service: object.text("service", "the name of a service", |_| true),
        weight: object.number("weight", 0..=MAX_WEIGHT, 1) as u32,
    }
}

/// Returns whether `text` can be the host of a route. One that no request can have does no harm.
pub fn is_host(text: &str) -> bool {
    !text.is_empty() && !text.bytes().any(|b| b.is_ascii_uppercase())
}

/// Returns whether `text` can be the path prefix of a route.
pub fn is_prefix(text: &str) -> bool {
    text.starts_with('/') && text.ends_with('/')
}
