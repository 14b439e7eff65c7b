//! Profiles: timeouts, retries, queueing and size limits of the calls to a service.
//!
//! [`FIELDS`] is the single definition of ranges and defaults; both the parser and the generated
//! reference page use it.

use serde::{Deserialize, Serialize};

use crate::{fault::Fault, json, read::Object};

/// Maximum number of path exceptions (`routes`) in one profile.
pub const MAX_ROUTES: usize = 64;

/// Definition of a numeric field of a profile.
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
    /// Value used where the document has none.
    pub default: u64,
    /// Description for the reference page.
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
        help: "default and maximum deadline of a call; a longer deadline of the caller is reduced to this",
    },
    Field {
        name: "attempts",
        unit: "attempts",
        low: 1,
        high: 5,
        default: 3,
        help: "maximum number of upstreams tried per call",
    },
    Field {
        name: "retry_budget_percent",
        unit: "% of calls",
        low: 0,
        high: 100,
        default: 10,
        help: "retry budget per node and service, as a share of first attempts, for retries after an attempt that may have loaded an upstream",
    },
    Field {
        name: "queue_limit",
        unit: "requests",
        low: 0,
        high: 1_000,
        default: 16,
        help: "maximum number of requests in the admission queue of an upstream's node",
    },
    Field {
        name: "slow_start_ms",
        unit: "ms",
        low: 0,
        high: 600_000,
        default: 2_000,
        help: "slow start: time over which a new upstream's share of calls rises to its full value",
    },
    Field {
        name: "drain_ms",
        unit: "ms",
        low: 0,
        high: 600_000,
        default: 30_000,
        help: "maximum time that a stopping node waits for calls in flight",
    },
    Field {
        name: "max_request_bytes",
        unit: "bytes",
        low: 1,
        high: 67_108_864,
        default: 8_388_608,
        help: "maximum size of a request body; a larger one is answered with 413",
    },
    Field {
        name: "max_answer_bytes",
        unit: "bytes",
        low: 1,
        high: 67_108_864,
        default: 8_388_608,
        help: "maximum size of an answer body; a larger one is not forwarded",
    },
    Field {
        name: "upload_ms",
        unit: "ms",
        low: 100,
        high: 600_000,
        default: 10_000,
        help: "time limit for receiving a request body; a slower one is answered with 408",
    },
    Field {
        name: "idle_ms",
        unit: "ms",
        low: 100,
        high: 600_000,
        default: 5_000,
        help: "idle time after which a kept-alive connection is replaced before a non-idempotent call",
    },
    Field {
        name: "convergence_weight",
        unit: "%",
        low: 0,
        high: 100,
        default: 50,
        help: "weight of convergence time against control traffic when a version is disseminated; the largest value of all active profiles applies",
    },
    Field {
        name: "refused_status",
        unit: "HTTP status",
        low: 0,
        high: 599,
        default: 0,
        help: "status with which upstreams of this service reject a request before processing it; 0 for none",
    },
];

/// Traffic settings of a service. Units are those of [`FIELDS`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Name that service documents refer to.
    pub name: String,
    /// Default and maximum deadline of a call, in ms.
    pub deadline_ms: u64,
    /// Maximum number of upstreams tried per call.
    pub attempts: u32,
    /// Retry budget, in % of first attempts.
    pub retry_budget_percent: u32,
    /// Capacity of the admission queue, in requests.
    pub queue_limit: usize,
    /// Duration of the slow start of a new upstream, in ms.
    pub slow_start_ms: u64,
    /// Maximum time to drain calls on shutdown, in ms.
    pub drain_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_request_bytes: usize,
    /// Maximum size of an answer body, in bytes.
    pub max_answer_bytes: usize,
    /// Time limit for receiving a request body, in ms.
    pub upload_ms: u64,
    /// Idle time after which a connection is not reused for a non-idempotent call, in ms.
    pub idle_ms: u64,
    /// Weight of convergence time against control traffic, in %.
    pub convergence_weight: u32,
    /// Status with which an upstream rejects a request before processing it.
    pub refused_status: Option<u16>,
    /// Whether calls fail over to other data centres when no local upstream is available.
    pub spill: bool,
    /// Methods whose calls are idempotent on every path.
    pub idempotent_methods: Vec<String>,
    /// Exceptions by path; the first match applies.
    pub routes: Vec<Route>,
}

/// Settings for calls whose path starts with `prefix`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Path prefix, without the service name.
    pub prefix: String,
    /// HTTP methods it applies to; empty for all.
    pub methods: Vec<String>,
    /// Whether these calls may be executed more than once.
    pub idempotent: bool,
    /// Maximum deadline of a call, in ms; 0 for the profile's.
    pub deadline_ms: u64,
}

/// The settings of a profile that apply to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Maximum deadline of the call, in ms.
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
    /// Returns the rule for a call of `method` on `path` (without the service name).
    ///
    /// ```
    /// let rule = model::profile::Profile::default().rule("POST", "/payments");
    /// assert!(!rule.idempotent);
    /// ```
    pub fn rule(&self, method: &str, path: &str) -> Rule {
        for route in &self.routes {
            let method_matches =
                route.methods.is_empty() || route.methods.iter().any(|m| m == method);
            if method_matches && path.starts_with(&route.prefix) {
                let limit = route.deadline_ms;
                let deadline_ms = if limit == 0 { self.deadline_ms } else { limit };
                return Rule { idempotent: route.idempotent, deadline_ms };
            }
        }
        let idempotent = self.idempotent_methods.iter().any(|m| m == method);
        Rule { idempotent, deadline_ms: self.deadline_ms }
    }
}

/// Parses the profile `name` from `text`; adds each fault to `faults`, attributed to `document`.
///
/// The result is valid only if no fault was added.
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
        object.texts("idempotent_methods", METHOD_FORMAT, is_method, &["GET", "HEAD"]);
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
        methods: object.texts("methods", METHOD_FORMAT, is_method, &[]),
        idempotent: object.flag("idempotent", false),
        deadline_ms: object.number("deadline_ms", 0..=600_000, 0),
    }
}

const METHOD_FORMAT: &str = "an HTTP method in capitals";

fn is_method(text: &str) -> bool {
    !text.is_empty() && text.len() <= 20 && text.bytes().all(|b| b.is_ascii_uppercase())
}
