//! What the nodes did with one request, as log lines, and how to read them together.
//!
//! This crate exists so that the node that writes a line and the tool that reads it share one type.
//! It performs no I/O. The JSON of [`Line`] is an API border: operators keep logs for longer than
//! one version of the product runs.

mod cause;
mod order;

pub use crate::{cause::explain, order::sort_causally};

use serde::{Deserialize, Serialize};

/// One decision about one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Wall clock of the node, in ms since the Unix epoch; clocks of different nodes disagree.
    pub t: u64,
    /// The platform's name of the instance.
    pub node: String,
    /// The request's id: the caller's where it gave one, else one of the entry node.
    pub id: String,
    /// What was decided.
    #[serde(flatten)]
    pub step: Step,
}

/// A decision and what it was based on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Step {
    /// The entry node found where the request goes.
    Routed {
        /// Route, or nothing where services are addressed by name.
        route: String,
        /// Service.
        service: String,
        /// Revision of the configuration that decided.
        revision: u64,
        /// Whether the caller is the upstream beside the entry node.
        nested: bool,
        /// Time since the caller's first attempt, in ms, as far as known.
        elapsed_ms: u64,
        /// Time left, in ms.
        left_ms: u64,
        /// Rank among the calls of the service; 0 is the most urgent.
        priority: u8,
    },
    /// The entry node found nowhere for the request to go.
    Unrouted {
        /// Revision of the configuration that decided.
        revision: u64,
        /// Highest revision that the entry node was to hold then.
        expected: u64,
    },
    /// The entry node did not offer the request to anybody, or to nobody else: upstreams ended under such ones.
    Quarantined {
        /// Its fingerprint, as in the events about those ends.
        request: String,
    },
    /// The entry node offered the request to an upstream's node.
    Offered {
        /// Number of the attempt, unique on the entry node.
        attempt: u64,
        /// The upstream.
        upstream: String,
        /// Address of its node.
        peer: String,
        /// Whether it is in the same data centre.
        near: bool,
        /// Own requests on their way to it.
        in_flight: usize,
        /// Requests that it was expected to hold.
        expected_load: f64,
        /// Share of its recent answers that were failures.
        failure_share: f64,
        /// Upstreams that could be chosen.
        candidates: usize,
    },
    /// The serving node let the request run, or not.
    Claimed {
        /// Number of the attempt.
        attempt: u64,
        /// The upstream's identity that was asked for, if any.
        upstream: String,
        /// `run`, or why not.
        decision: String,
        /// Requests that the upstream worked on.
        busy: usize,
        /// Requests that waited.
        waiting: usize,
        /// Time since the request arrived here, in ms.
        waited_ms: u64,
        /// Time left, in ms.
        left_ms: u64,
    },
    /// The upstream answered, or its answer was lost.
    Ran {
        /// Number of the attempt.
        attempt: u64,
        /// `answered`, or why the answer is not known.
        outcome: String,
        /// Status of the answer; 0 for none.
        status: u16,
        /// Time at the upstream, in ms.
        ms: u64,
    },
    /// An attempt ended at the entry node.
    Attempted {
        /// Number of the attempt.
        attempt: u64,
        /// `answered`, `not-run` or `unknown`.
        outcome: String,
        /// Cause or doubt; empty for an answer.
        reason: String,
        /// Status of the answer; 0 for none.
        status: u16,
        /// Time of the attempt, in ms.
        ms: u64,
    },
    /// The entry node told the caller the end.
    Ended {
        /// `answered`, `not-run` or `unknown`.
        outcome: String,
        /// Cause or doubt; empty for an answer.
        reason: String,
        /// Status told to the caller.
        status: u16,
        /// When the caller was asked to come back, in ms; 0 where it was not.
        retry_after_ms: u64,
        /// Time at this node, in ms.
        ms: u64,
        /// Upstreams' nodes that it was offered to.
        attempts: usize,
    },
    /// The caller went away before the end.
    Abandoned {
        /// Time at this node, in ms.
        ms: u64,
    },
}

impl Step {
    /// Returns the number of the attempt that the step belongs to, if it belongs to one.
    pub fn attempt(&self) -> Option<u64> {
        match self {
            Step::Offered { attempt, .. }
            | Step::Claimed { attempt, .. }
            | Step::Ran { attempt, .. }
            | Step::Attempted { attempt, .. } => Some(*attempt),
            Step::Routed { .. }
            | Step::Unrouted { .. }
            | Step::Quarantined { .. }
            | Step::Ended { .. }
            | Step::Abandoned { .. } => None,
        }
    }
}

/// Reads a line of a log; none for lines that are about something else.
///
/// ```
/// let line = r#"{"t":1,"node":"a","id":"9c41","event":"abandoned","ms":12}"#;
/// assert_eq!(trace::parse(line).unwrap().id, "9c41");
/// assert!(trace::parse("not JSON").is_none());
/// ```
pub fn parse(line: &str) -> Option<Line> {
    serde_json::from_str(line).ok()
}
