//! What callers have seen, and what was seen of the nodes.

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

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Outcome {
    Answered,
    /// An upstream's own failure.
    Failed,
    NotRun,
    /// It was not run since upstreams ended under such calls.
    Quarantined,
    Unknown,
    /// No connection could be opened.
    Refused,
    /// The connection ended before an answer began.
    Broken,
    /// The connection ended within the answer.
    Cut,
    /// The answer is not whole, or another call's.
    Mixed,
}

/// A call that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Number of the instance that it was made to.
    pub(crate) node: usize,
    pub(crate) work: String,
    pub(crate) kind: Kind,
    pub(crate) outcome: Outcome,
    /// When its caller began to send it.
    pub(crate) started: Instant,
    pub(crate) finished: Instant,
}

/// What was seen until now.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    calls: Mutex<Vec<Record>>,
    /// Highest revision of each life of a node.
    versions: Mutex<BTreeMap<(usize, u64), u64>>,
    violations: Mutex<Vec<String>>,
}

impl Observations {
    pub(crate) fn record_call(&self, call: Record) {
        lock(&self.calls).push(call);
    }

    /// Notes a broken promise.
    pub(crate) fn record_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }

    /// Notes a node's revision; returns the highest that was seen before in the same life.
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
