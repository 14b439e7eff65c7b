//! Services: the profile of each, and the call rate that its cold upstreams can take.

use std::{ops::RangeInclusive, time::Duration};

use crate::{arena::Key, fault::Fault, json, profile::Profile, read::Object};

/// Accepted values of `calls_per_min`, the call rate that a cold upstream can take.
pub const COLD_CALLS_PER_MIN: RangeInclusive<u64> = 1..=60_000_000;

/// Accepted values of `length_ms`, the time for which an upstream is cold after its start.
pub const COLD_MS: RangeInclusive<u64> = 0..=3_600_000;

/// A service and its profile.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name by which callers address it.
    pub name: String,
    /// Its profile, in the same snapshot.
    pub profile: Key<Profile>,
    /// Rate limit of its upstreams while they are cold; `None` for no limit.
    pub warm_up: Option<WarmUp>,
    /// Path of the health probes whose answers say whether an upstream is cold; `None` without probes.
    pub health_path: Option<String>,
}

/// Rate limit of an upstream while it is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WarmUp {
    /// Maximum calls per minute.
    pub calls_per_min: u64,
    /// Time for which an upstream is cold after its start.
    pub length: Duration,
}

impl WarmUp {
    /// Returns the maximum calls per second.
    ///
    /// ```
    /// use model::service::WarmUp;
    /// use std::time::Duration;
    /// let warm_up = WarmUp { calls_per_min: 690, length: Duration::from_secs(3) };
    /// assert_eq!(warm_up.calls_per_s(), 11.5);
    /// ```
    pub fn calls_per_s(self) -> f64 {
        self.calls_per_min as f64 / 60.0
    }
}

/// A parsed service document whose profile is not yet resolved.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Draft {
    /// Name of the profile.
    pub profile: String,
    /// Rate limit of its upstreams while they are cold.
    pub warm_up: Option<WarmUp>,
    /// Path of the health probes of its upstreams.
    pub health_path: Option<String>,
}

/// Parses a service document; adds each fault to `faults`, attributed to `document`.
///
/// ```
/// let mut faults = Vec::new();
/// let text = r#"{"profile": "posting", "warm_up": {"calls_per_min": 600, "length_ms": 3000}}"#;
/// let draft = model::service::read("services/paydesk", text, &mut faults);
/// assert_eq!((draft.profile.as_str(), faults.len()), ("posting", 0));
/// assert_eq!(draft.warm_up.map(|w| w.calls_per_min), Some(600));
/// ```
pub fn read(document: &str, text: &str, faults: &mut Vec<Fault>) -> Draft {
    let value = match json::parse(document, text) {
        Ok(value) => value,
        Err(fault) => {
            faults.push(fault);
            return Draft::default();
        }
    };
    let mut object = Object::new(document, "", value, faults);
    let profile = object.name("profile");
    let (warm_up, health_path) = match object.has("warm_up") {
        true => object.object("warm_up", read_warm_up),
        false => (None, None),
    };
    object.finish();
    Draft { profile, warm_up, health_path }
}

/// Returns whether `text` can be the path of a health probe.
///
/// ```
/// assert!(model::service::is_health_path("/health"));
/// assert!(!model::service::is_health_path("health"));
/// ```
pub fn is_health_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#')
}

fn read_warm_up(fields: &mut Object<'_>) -> (Option<WarmUp>, Option<String>) {
    let warm_up = WarmUp {
        calls_per_min: fields.number(
            "calls_per_min",
            COLD_CALLS_PER_MIN,
            *COLD_CALLS_PER_MIN.end(),
        ),
        length: Duration::from_millis(fields.number("length_ms", COLD_MS, 0)),
    };
    (
        Some(warm_up),
        fields.optional_text("health_path", "a path such as \"/health\"", is_health_path),
    )
}
