//! Limits on what callers may send and how long they may take, for all services together.

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

use crate::{fault::Fault, json, read::Object};

/// Key of the document that holds the limits.
pub const KEY: &str = "limits";

/// Bounds between which the largest head may lie, in bytes.
pub const HEADER_BYTES: RangeInclusive<u64> = 512..=1 << 20;

/// Bounds between which the largest body may lie, in bytes.
pub const BODY_BYTES: RangeInclusive<u64> = 0..=1 << 30;

/// Bounds between which the time for a head may lie, in ms.
pub const HEADER_MS: RangeInclusive<u64> = 10..=600_000;

/// Bounds between which the time without use may lie, in ms.
pub const IDLE_MS: RangeInclusive<u64> = 100..=3_600_000;

/// Bounds on requests and on callers' connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head of a request, in bytes; a larger one is refused with 431.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes; a larger one is refused with 413.
    pub body_bytes: usize,
    /// Longest time in which a head must arrive once it has begun, in ms; then 408.
    pub header_ms: u64,
    /// Time after which an unused connection is closed, in ms.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// The bounds where a configuration names none: heads as most servers bound them, bodies as
    /// large as the largest that a profile allows.
    fn default() -> Self {
        Limits { header_bytes: 16_384, body_bytes: 64 << 20, header_ms: 10_000, idle_ms: 75_000 }
    }
}

/// Reads limits out of `text`, adding every fault under the name `document`.
///
/// ```
/// let mut faults = Vec::new();
/// let limits = model::limits::read("limits", r#"{"idle_ms": 15000}"#, &mut faults);
/// assert_eq!((limits.idle_ms, faults.len()), (15_000, 0));
/// ```
pub fn read(document: &str, text: &str, faults: &mut Vec<Fault>) -> Limits {
    let usual = Limits::default();
    let value = match json::parse(document, text) {
        Ok(value) => value,
        Err(fault) => {
            faults.push(fault);
            return usual;
        }
    };
    let mut object = Object::new(document, "", value, faults);
    let limits = Limits {
        header_bytes: object.number("header_bytes", HEADER_BYTES, usual.header_bytes as u64)
            as usize,
        body_bytes: object.number("body_bytes", BODY_BYTES, usual.body_bytes as u64) as usize,
        header_ms: object.number("header_ms", HEADER_MS, usual.header_ms),
        idle_ms: object.number("idle_ms", IDLE_MS, usual.idle_ms),
    };
    object.finish();
    limits
}
