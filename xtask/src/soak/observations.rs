//! Observations of a run: finished calls, revisions of the nodes, and violations.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Read,
    Post,
}

/// How a call ended for its caller; the names are part of the printed summary.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Outcome {
    Answered,
    /// The upstream answered with an error status.
    Failed,
    NotRun,
    /// It was not run, because upstreams crashed under the same request.
    Quarantined,
    Unknown,
    /// The connection failed to open.
    Refused,
    /// The connection closed before the first byte of the answer.
    Broken,
    /// The connection closed within the answer.
    Cut,
    /// The answer is incomplete or belongs to another call.
    Mixed,
}

/// A finished call.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Number of the instance whose node received it.
    pub(crate) node: usize,
    pub(crate) work: String,
    pub(crate) kind: Kind,
    pub(crate) outcome: Outcome,
    /// When its caller started to send it.
    pub(crate) started: Instant,
    pub(crate) finished: Instant,
}

/// All observations so far.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    calls: Mutex<Vec<Record>>,
    /// Highest revision of each incarnation of a node.
    versions: Mutex<BTreeMap<(usize, u64), u64>>,
    violations: Mutex<Vec<String>>,
}

impl Observations {
    pub(crate) fn record_call(&self, call: Record) {
        lock(&self.calls).push(call);
    }

    /// Records the violation of an invariant.
    pub(crate) fn record_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }

    /// Records a node's revision; returns the previous highest of the same incarnation.
    pub(crate) fn observe_revision(&self, number: usize, incarnation: u64, revision: u64) -> u64 {
        let mut versions = lock(&self.versions);
        let known = versions.entry((number, incarnation)).or_default();
        let previous = *known;
        *known = revision.max(previous);
        previous
    }

    pub(crate) fn calls(&self) -> Vec<Record> {
        lock(&self.calls).clone()
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    pub(crate) fn summary(&self) -> String {
        let mut counts: BTreeMap<Outcome, usize> = BTreeMap::new();
        for call in lock(&self.calls).iter() {
            *counts.entry(call.outcome).or_default() += 1;
        }
        let counts: Vec<String> =
            counts.iter().map(|(outcome, count)| format!("{outcome:?} {count}")).collect();
        counts.join(", ")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
