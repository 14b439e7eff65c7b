//! The promises, as callers and upstreams see them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::soak::site::{Site, Spot};

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
    Unknown,
    /// The connection broke or could not be opened.
    Broken,
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
}

/// What callers have seen.
#[derive(Debug, Default)]
pub(crate) struct Book {
    ends: Mutex<Vec<Ended>>,
    versions: Mutex<HashMap<(usize, u64), u64>>,
    regressions: Mutex<Vec<String>>,
}

impl Book {
    pub(crate) fn note(&self, call: Ended) {
        lock(&self.ends).push(call);
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

/// Looks at the version of every node; in one life it may only rise.
pub(crate) fn versions(site: &Site, book: &Book) {
    // One that a fault touches may be paused and would keep the question waiting.
    let calm = (0..site.spots.len()).filter(|&number| site.spots[number].is_calm());
    for number in calm {
        let Some(status) = site.status(number) else { continue };
        let revision = status.version.revision;
        let mut versions = lock(&book.versions);
        let known = versions.entry((number, status.incarnation)).or_default();
        if revision < *known {
            let text = format!("node {number} went back from {known} to {revision}");
            lock(&book.regressions).push(text);
        }
        *known = revision.max(*known);
    }
}

/// Returns every broken promise.
pub(crate) fn promises(site: &Site, book: &Book) -> Vec<String> {
    let mut begun: HashMap<String, u32> = HashMap::new();
    for spot in &site.spots {
        for (work, count) in spot.upstream.ledger().begun {
            *begun.entry(work).or_default() += count;
        }
    }
    let mut findings = lock(&book.regressions).clone();
    for call in lock(&book.ends).iter() {
        let Ended { node, work, kind, end } = call;
        let ran = begun.get(work).copied().unwrap_or(0);
        let promise = broken(*kind, *end, ran).or_else(|| cut(*end, &site.spots[*node]));
        findings.extend(promise.map(|promise| {
            format!("{work}: {promise}; {kind:?} ended as {end:?} and ran {ran} times")
        }));
    }
    findings
}

fn broken(kind: Kind, end: End, ran: u32) -> Option<&'static str> {
    match (kind, end) {
        (Kind::Post, _) if ran > 1 => Some("a call that is not idempotent runs at most once"),
        (_, End::NotRun) if ran > 0 => Some("a call that is said not to have run has not run"),
        (_, End::Answered) if ran == 0 => Some("an answer is an upstream's"),
        (_, End::Mixed) => Some("an answer is whole and belongs to its call"),
        _ => None,
    }
}

fn cut(end: End, spot: &Spot) -> Option<&'static str> {
    let cut = end == End::Broken && spot.is_steady;
    cut.then_some("a node that was never stopped answers every call")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
