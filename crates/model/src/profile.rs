//! Profiles: how traffic to a service behaves.
//!
//! Every limit is written down once, in [`FIELDS`], which the reader uses and from which the
//! reference page is generated, so that page and behaviour cannot drift apart.

use serde::{Deserialize, Serialize};

use crate::{fault::Fault, json, read::Object};

/// Most routes in one profile.
pub const MAX_ROUTES: usize = 64;

/// A number that a profile can set.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name in the document.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Smallest accepted value.
    pub low: u64,
    /// Largest accepted value.
    pub high: u64,
    /// Value in force where the document is silent.
    pub default: u64,
    /// What the field decides.
    pub help: &'static str,
}

/// The numeric fields of a profile, in the order of the reference page.
pub const FIELDS: [Field; 12] = [
    Field {
        name: "deadline_ms",
        unit: "ms",
        low: 1,
        high: 600_000,
        default: 2_000,
        help: "time a call may take where the caller names none; a caller's longer wish is cut to this",
    },
    Field {
        name: "attempts",
        unit: "attempts",
        low: 1,
        high: 5,
        default: 3,
        help: "most upstreams that one call is offered to",
    },
    Field {
        name: "retry_budget_percent",
        unit: "% of calls",
        low: 0,
        high: 100,
        default: 10,
        help: "retries allowed per node and service, as a share of first attempts, after an attempt that may have loaded an upstream",
    },
    Field {
        name: "queue_limit",
        unit: "requests",
        low: 0,
        high: 1_000,
        default: 16,
        help: "requests that may wait at an upstream's node for a slot",
    },
    Field {
        name: "slow_start_ms",
        unit: "ms",
        low: 0,
        high: 600_000,
        default: 2_000,
        help: "time over which a new upstream's share of calls rises to its full value",
    },
    Field {
        name: "drain_ms",
        unit: "ms",
        low: 0,
        high: 600_000,
        default: 30_000,
        help: "longest time a stopping node waits for the calls in flight",
    },
    Field {
        name: "max_request_bytes",
        unit: "bytes",
        low: 1,
        high: 67_108_864,
        default: 8_388_608,
        help: "largest request body; a larger one is refused with 413",
    },
    Field {
        name: "max_answer_bytes",
        unit: "bytes",
        low: 1,
        high: 67_108_864,
        default: 8_388_608,
        help: "largest answer body; a larger one is not passed on",
    },
    Field {
        name: "upload_ms",
        unit: "ms",
        low: 100,
        high: 600_000,
        default: 10_000,
        help: "longest time in which a request body must arrive; a slower one is refused with 408",
    },
    Field {
        name: "idle_ms",
        unit: "ms",
        low: 100,
        high: 600_000,
        default: 5_000,
        help: "a kept connection unused for longer is replaced before a non-idempotent call",
    },
    Field {
        name: "convergence_weight",
        unit: "%",
        low: 0,
        high: 100,
        default: 50,
        help: "weight of convergence time against control bytes when a version spreads; the largest of all profiles in force counts",
    },
    Field {
        name: "refused_status",
        unit: "HTTP status",
        low: 0,
        high: 599,
        default: 0,
        help: "status by which this service's upstreams say that they have not begun the work; 0 for none",
    },
];

/// How traffic to a service behaves. Units are those of [`FIELDS`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Name by which services refer to it.
    pub name: String,
    /// Time a call may take, in ms.
    pub deadline_ms: u64,
    /// Most upstreams that one call is offered to.
    pub attempts: u32,
    /// Retries per hundred first attempts.
    pub retry_budget_percent: u32,
    /// Requests that may wait for a slot.
    pub queue_limit: usize,
    /// Ramp of a new upstream, in ms.
    pub slow_start_ms: u64,
    /// Bound on a planned stop, in ms.
    pub drain_ms: u64,
    /// Largest request body, in bytes.
    pub max_request_bytes: usize,
    /// Largest answer body, in bytes.
    pub max_answer_bytes: usize,
    /// Bound on receiving a request body, in ms.
    pub upload_ms: u64,
    /// Bound on trusting an unused connection, in ms.
    pub idle_ms: u64,
    /// Weight of convergence time against control bytes, in %.
    pub convergence_weight: u32,
    /// Status that proves a refusal before the work began.
    pub refused_status: Option<u16>,
    /// Whether upstreams of other data centres may be used when none of the own is able.
    pub spill: bool,
    /// Methods whose calls are idempotent on every path.
    pub idempotent_methods: Vec<String>,
    /// Paths that differ from the rest, first match wins.
    pub routes: Vec<Route>,
}

/// Exception for the paths that begin with `prefix`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Path prefix, after the service's name.
    pub prefix: String,
    /// Methods it applies to; empty for all.
    pub methods: Vec<String>,
    /// Whether these calls may be run more than once.
    pub idempotent: bool,
    /// Time a call may take, in ms; 0 for the profile's.
    pub deadline_ms: u64,
}

/// What a profile says about one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Whether the call may be run more than once.
    pub idempotent: bool,
    /// Time the call may take, in ms.
    pub deadline_ms: u64,
}

impl Default for Profile {
    fn default() -> Self {
        let mut faults = Vec::new();
        let empty = serde_json::Value::Object(serde_json::Map::new());
        read_object(String::new(), &mut Object::new("", "", empty, &mut faults))
    }
}

impl Profile {
    /// Returns what holds for a call of `method` on `path` (without the service's name).
    ///
    /// ```
    /// let rule = model::profile::Profile::default().rule("POST", "/payments");
    /// assert!(!rule.idempotent);
    /// ```
    pub fn rule(&self, method: &str, path: &str) -> Rule {
        for route in &self.routes {
            let method_fits = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
            if method_fits && path.starts_with(&route.prefix) {
                let own = route.deadline_ms;
                let deadline_ms = if own == 0 { self.deadline_ms } else { own };
                return Rule { idempotent: route.idempotent, deadline_ms };
            }
        }
        let idempotent = self.idempotent_methods.iter().any(|m| m == method);
        Rule { idempotent, deadline_ms: self.deadline_ms }
    }
}

/// Reads the profile `name` from `text`, adding every fault under the name `document`.
///
/// The result is meaningful only when no fault was added.
pub fn read(document: &str, name: &str, text: &str, faults: &mut Vec<Fault>) -> Profile {
    let value = match json::parse(document, text) {
        Ok(value) => value,
        Err(fault) => {
            faults.push(fault);
            return Profile::default();
        }
    };
    let mut object = Object::new(document, "", value, faults);
    let profile = read_object(name.to_owned(), &mut object);
    object.finish();
    profile
}

fn read_object(name: String, object: &mut Object<'_>) -> Profile {
    let mut number = |field: &str| {
        let f = FIELDS.iter().find(|f| f.name == field).expect("the field is in the table");
        object.number(f.name, f.low..=f.high, f.default)
    };
    let deadline_ms = number("deadline_ms");
    let attempts = number("attempts") as u32;
    let retry_budget_percent = number("retry_budget_percent") as u32;
    let queue_limit = number("queue_limit") as usize;
    let slow_start_ms = number("slow_start_ms");
    let drain_ms = number("drain_ms");
    let max_request_bytes = number("max_request_bytes") as usize;
    let max_answer_bytes = number("max_answer_bytes") as usize;
    let upload_ms = number("upload_ms");
    let idle_ms = number("idle_ms");
    let convergence_weight = number("convergence_weight") as u32;
    let refused_status = match number("refused_status") as u16 {
        0 => None,
        status => Some(status),
    };
    if refused_status.is_some_and(|status| status < 400) {
        object.fault("refused_status", "must be 0 or from 400 to 599");
    }
    let spill = object.flag("spill", true);
    let idempotent_methods =
        object.texts("idempotent_methods", METHOD_SHAPE, is_method, &["GET", "HEAD"]);
    let routes = object.objects("routes", MAX_ROUTES, read_route);
    Profile {
        name,
        deadline_ms,
        attempts,
        retry_budget_percent,
        queue_limit,
        slow_start_ms,
        drain_ms,
        max_request_bytes,
        max_answer_bytes,
        upload_ms,
        idle_ms,
        convergence_weight,
        refused_status,
        spill,
        idempotent_methods,
        routes,
    }
}

fn read_route(object: &mut Object<'_>) -> Route {
    Route {
        prefix: object.text("prefix", "a path that begins with /", |text| text.starts_with('/')),
        methods: object.texts("methods", METHOD_SHAPE, is_method, &[]),
        idempotent: object.flag("idempotent", false),
        deadline_ms: object.number("deadline_ms", 0..=600_000, 0),
    }
}

const METHOD_SHAPE: &str = "an HTTP method in capitals";

fn is_method(text: &str) -> bool {
    !text.is_empty() && text.len() <= 20 && text.bytes().all(|b| b.is_ascii_uppercase())
}
