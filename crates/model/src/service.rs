//! Services: which profile each one follows, and what its upstreams bear after a start.

use std::{ops::RangeInclusive, time::Duration};

use crate::{arena::Key, fault::Fault, json, profile::Profile, read::Object};

/// Bounds between which the calls per minute that a cold upstream bears may lie.
pub const COLD_CALLS_PER_MIN: RangeInclusive<u64> = 1..=60_000_000;

/// Bounds between which the time for which an upstream is cold may lie, in ms.
pub const COLD_MS: RangeInclusive<u64> = 0..=3_600_000;

/// A service and the profile it runs under.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name by which callers address it.
    pub name: String,
    /// Its profile, in the same snapshot.
    pub profile: Key<Profile>,
    /// What its upstreams bear while they are cold; none where that is no less than later.
    pub warm_up: Option<WarmUp>,
}

/// What an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WarmUp {
    /// Calls per minute.
    pub calls_per_min: u64,
    /// How long an upstream stays cold.
    pub length: Duration,
}

impl WarmUp {
    /// Returns the calls per second.
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

/// A service document as read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Draft {
    /// Name of the profile.
    pub profile: String,
    /// What its upstreams bear while they are cold.
    pub warm_up: Option<WarmUp>,
}

/// Reads a service document, adding every fault.
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
    let draft = Draft { profile: object.name("profile"), warm_up: warm_up(&mut object) };
    object.finish();
    draft
}

fn warm_up(object: &mut Object<'_>) -> Option<WarmUp> {
    if !object.has("warm_up") {
        return None;
    }
    Some(object.object("warm_up", |fields| WarmUp {
        calls_per_min: fields.number(
            "calls_per_min",
            COLD_CALLS_PER_MIN,
            *COLD_CALLS_PER_MIN.end(),
        ),
        length: Duration::from_millis(fields.number("length_ms", COLD_MS, 0)),
    }))
}
