//! Limits on the size and duration of callers' requests, shared by all services.

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

use crate::{fault::Fault, json, read::Object};

/// Key of the document that holds the limits.
pub const KEY: &str = "limits";

/// Accepted values of `header_bytes`.
pub const HEADER_BYTES: RangeInclusive<u64> = 512..=1 << 20;

/// Accepted values of `body_bytes`.
pub const BODY_BYTES: RangeInclusive<u64> = 0..=1 << 30;

/// Accepted values of `header_ms`.
pub const HEADER_MS: RangeInclusive<u64> = 10..=600_000;

/// Accepted values of `idle_ms`.
pub const IDLE_MS: RangeInclusive<u64> = 100..=3_600_000;

/// Limits on requests and on callers' connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes; a larger one is answered with 431.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes; a larger one is answered with 413.
    pub body_bytes: usize,
    /// Time limit for receiving a request head, from its first byte, in ms; then 408.
    pub header_ms: u64,
    /// Idle time after which a connection is closed, in ms.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Returns the limits of a configuration that sets none. The body limit is the largest accepted
    /// `max_request_bytes` of a profile.
    fn default() -> Self {
        Limits { header_bytes: 16_384, body_bytes: 64 << 20, header_ms: 10_000, idle_ms: 75_000 }
    }
}

/// Parses limits from `text`; adds each fault to `faults`, attributed to `document`.
///
/// ```
/// let mut faults = Vec::new();
/// let limits = model::limits::read("limits", r#"{"idle_ms": 15000}"#, &mut faults);
/// assert_eq!((limits.idle_ms, faults.len()), (15_000, 0));
/// ```
pub fn read(document: &str, text: &str, faults: &mut Vec<Fault>) -> Limits {
    let defaults = Limits::default();
    let value = match json::parse(document, text) {
        Ok(value) => value,
        Err(fault) => {
            faults.push(fault);
            return defaults;
        }
    };
    let mut object = Object::new(document, "", value, faults);
    let limits = Limits {
        header_bytes: object.number("header_bytes", HEADER_BYTES, defaults.header_bytes as u64)
            as usize,
        body_bytes: object.number("body_bytes", BODY_BYTES, defaults.body_bytes as u64) as usize,
        header_ms: object.number("header_ms", HEADER_MS, defaults.header_ms),
        idle_ms: object.number("idle_ms", IDLE_MS, defaults.idle_ms),
    };
    object.finish();
    limits
}
