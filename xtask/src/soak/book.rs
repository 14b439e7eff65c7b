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
pub(crate) enum End {
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
pub(crate) struct Ended {
    /// Number of the instance that it was made to.
    pub(crate) node: usize,
    pub(crate) work: String,
    pub(crate) kind: Kind,
    pub(crate) end: End,
    /// When its caller began to send it.
    pub(crate) begun: Instant,
    pub(crate) ended: Instant,
}

/// What was seen until now.
#[derive(Debug, Default)]
pub(crate) struct Book {
    ends: Mutex<Vec<Ended>>,
    /// Highest revision of each life of a node.
    versions: Mutex<BTreeMap<(usize, u64), u64>>,
    findings: Mutex<Vec<String>>,
}

impl Book {
    pub(crate) fn note(&self, call: Ended) {
        lock(&self.ends).push(call);
    }

    /// Notes a broken promise.
    pub(crate) fn find(&self, text: String) {
        lock(&self.findings).push(text);
    }

    /// Notes a node's revision; returns the highest that was seen before in the same life.
    pub(crate) fn see(&self, number: usize, incarnation: u64, revision: u64) -> u64 {
        let mut versions = lock(&self.versions);
        let known = versions.entry((number, incarnation)).or_default();
        let former = *known;
        *known = revision.max(former);
        former
    }

    pub(crate) fn ends(&self) -> Vec<Ended> {
        lock(&self.ends).clone()
    }

    pub(crate) fn findings(&self) -> Vec<String> {
        lock(&self.findings).clone()
    }

    pub(crate) fn summary(&self) -> String {
        let mut counts: BTreeMap<End, usize> = BTreeMap::new();
        for call in lock(&self.ends).iter() {
            *counts.entry(call.end).or_default() += 1;
        }
        let counts: Vec<String> =
            counts.iter().map(|(end, count)| format!("{end:?} {count}")).collect();
        counts.join(", ")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
