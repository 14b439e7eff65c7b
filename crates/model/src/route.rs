//! Routes: which service a call goes to, by host and path, and what holds for it on the way.
//!
//! A configuration without routes addresses services by name; one with routes sends calls only
//! where a route leads. The two are never mixed: a path that happens to begin with a service's
//! name must not reach a service that no route sends it to.

use serde::{Deserialize, Serialize};
use std::{ops::RangeInclusive, sync::Arc};

use crate::{
    arena::Key,
    fault::Fault,
    json,
    read::{Object, is_name},
    service::Service,
};

/// Most services that one route is split over; far above the number of services of a fleet. Each
/// call goes through all weights of its route.
pub const MAX_TARGETS: usize = 256;

/// Largest weight of one target.
pub const MAX_WEIGHT: u64 = 1_000_000;

/// Ranks of calls; 0 is the most urgent.
pub const PRIORITIES: RangeInclusive<u64> = 0..=15;

/// Bounds between which the number of upstreams lies that one call is offered to.
pub const ATTEMPTS: RangeInclusive<u64> = 1..=5;

/// Bounds between which the times lie that a route grants a call, in ms.
pub const TIMES_MS: RangeInclusive<u64> = 1..=600_000;

/// What may be repeated, and how much is carried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Calls that may run more than once.
    Idempotent,
    /// Calls that may run at most once.
    Once,
    /// Calls with large bodies that may run at most once.
    Upload,
}

const KINDS: [(&str, Kind); 3] =
    [("idempotent", Kind::Idempotent), ("once", Kind::Once), ("upload", Kind::Upload)];

/// A service and its share of a route's calls, as a document names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// A service of the same snapshot and its share of a route's calls.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The service.
    pub service: Key<Service>,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// What holds for the calls of one route, whichever service they go to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// The part of the `Host` header before the port, in lower case.
    pub host: String,
    /// Beginning of the path, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Most upstreams that one call is offered to.
    pub attempts: u32,
    /// Longest time until the final answer, in ms.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most to its caller, in ms.
    pub objective_ms: u64,
    /// Rank among the calls of one service; 0 is the most urgent.
    pub priority: u8,
}

/// A route of a snapshot.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of its document.
    pub name: String,
    /// What holds for its calls; shared with the draft that it was read into.
    pub spec: Arc<Spec>,
    /// Services it leads to; at least one has a weight.
    pub targets: Vec<Target>,
}

/// A route as its document tells it; the services are still to be found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draft {
    /// What holds for its calls.
    pub spec: Arc<Spec>,
    /// Services by name.
    pub shares: Vec<Share>,
}

/// Reads a route out of `text`, adding every fault under the name `document`.
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
    if draft.shares.iter().all(|share| share.weight == 0) {
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
    }
}

fn read_kind(object: &mut Object<'_>) -> Kind {
    let find = |text: &str| KINDS.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
    let shape = "\"idempotent\", \"once\" or \"upload\"";
    let text = object.text("kind", shape, |text| find(text).is_some());
    find(&text).unwrap_or(Kind::Once)
}

fn read_share(object: &mut Object<'_>) -> Share {
    Share {
        service: object.text("service", "a name (1 to 63 of a-z, 0-9 and -)", is_name),
        weight: object.number("weight", 0..=MAX_WEIGHT, 1) as u32,
    }
}

fn is_host(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && !b.is_ascii_uppercase() && b != b'/';
    !text.is_empty() && text.len() <= 253 && text.bytes().all(allowed)
}

fn is_prefix(text: &str) -> bool {
    text.starts_with('/') && text.ends_with('/') && text.bytes().all(|b| b.is_ascii_graphic())
}
