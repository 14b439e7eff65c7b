//! The version fence: the configuration version in force, and which version may replace it.
//!
//! Invariant *monotonic versions*: only [`Fence::offer`] replaces the version in force, and only by a
//! higher revision. An outdated platform, a delayed message, a process that was paused or a restarted
//! peer cannot bring back an old version.

use model::{
    config::{self, Snapshot, Version},
    document::{Delta, Set},
    fault::Fault,
};
use std::{collections::VecDeque, sync::Arc};

use crate::{
    message::{Bundle, Pull},
    status,
};

/// Maximum number of rejected versions remembered.
const MAX_REJECTIONS: usize = 16;

/// Maximum number of routes that refuse their calls in a report to operators.
const MAX_REFUSING: usize = 32;

/// A version that failed validation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// The version.
    pub version: Version,
    /// Validation errors.
    pub faults: Vec<Fault>,
}

/// Result of offering a version.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It was accepted and is now in force.
    InForce(Arc<Snapshot>),
    /// Its revision is not higher than the one in force.
    NotNewer,
    /// It has the revision in force but a different digest.
    Conflict(Version),
    /// It failed validation; the previous version stays in force.
    Rejected(Rejection),
    /// It was rejected earlier.
    AlreadyRejected,
}

/// The expected revision as last reported to the traffic path.
#[derive(Debug, Default)]
pub struct Announced(u64);

impl Announced {
    /// Returns the expected revision if it has changed since the last call.
    pub fn update(&mut self, fence: &Fence) -> Option<u64> {
        let expected = fence.expected();
        let changed = std::mem::replace(&mut self.0, expected) != expected;
        changed.then_some(expected)
    }
}

/// The version in force and the rejected versions.
#[derive(Debug, Default)]
pub struct Fence {
    set: Set,
    snapshot: Arc<Snapshot>,
    rejected: VecDeque<Rejection>,
    /// Highest revision observed at another node.
    observed: u64,
}

impl Fence {
    /// Returns the version in force; revision 0 if there is none.
    pub fn version(&self) -> Version {
        self.snapshot.version
    }

    /// Returns the revision in force, if any.
    pub fn held(&self) -> Option<u64> {
        Some(self.version().revision).filter(|&revision| revision > 0)
    }

    /// Records that another node holds `revision`.
    pub fn observe(&mut self, revision: u64) {
        self.observed = self.observed.max(revision);
    }

    /// Replaces the observed revision by the highest one that reachable nodes report.
    ///
    /// The only holder of a version may have stopped; callers must not be asked to wait for it.
    pub fn reset_observed(&mut self, revision: u64) {
        self.observed = revision;
    }

    /// Returns whether a version with `revision` was rejected.
    pub fn has_rejected(&self, revision: u64) -> bool {
        self.rejected.iter().any(|r| r.version.revision == revision)
    }

    /// Returns the highest revision held here or observed at another node.
    ///
    /// ```
    /// use fleet::fence::Fence;
    /// let mut fence = Fence::default();
    /// fence.observe(7);
    /// assert_eq!((fence.version().revision, fence.known()), (0, 7));
    /// ```
    pub fn known(&self) -> u64 {
        self.observed.max(self.version().revision)
    }

    /// Returns the revision that this node holds or will hold: the known one, unless it was
    /// rejected here.
    pub fn expected(&self) -> u64 {
        let known = self.known();
        if self.has_rejected(known) { self.version().revision } else { known }
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Iterates over the remembered rejections, oldest first.
    pub fn rejected(&self) -> impl Iterator<Item = &Rejection> {
        self.rejected.iter()
    }

    /// Returns the remembered rejections as shown to operators.
    pub fn rejections(&self) -> Vec<status::Rejected> {
        let rejected =
            |r: &Rejection| status::Rejected { version: r.version, faults: r.faults.clone() };
        self.rejected.iter().map(rejected).collect()
    }

    /// Returns the routes in force whose calls are refused, as shown to operators.
    pub fn refusing(&self) -> Vec<Fault> {
        self.snapshot.refusing().take(MAX_REFUSING).collect()
    }

    /// Returns the documents in force.
    pub fn set(&self) -> &Set {
        &self.set
    }

    /// Returns the delta from the requester's documents to the version in force, up to the
    /// requested size.
    pub fn answer(&self, pull: &Pull) -> Bundle {
        let limit = pull.limit.unwrap_or(usize::MAX);
        let chunk = if pull.buckets.is_empty() {
            self.set.since_within(pull.have, limit)
        } else {
            self.set.differing_within(&pull.buckets, limit)
        };
        Bundle { version: self.version(), delta: chunk.delta, more: chunk.more }
    }

    /// Returns the documents in force with `delta` applied.
    pub fn with(&self, delta: Delta) -> Set {
        self.set.with(delta)
    }

    /// Puts `set` into force if it is newer and valid as a whole.
    ///
    /// ```
    /// use fleet::fence::{Fence, Verdict};
    /// use model::document::{Delta, Set};
    /// let at = |revision| Set::default().with(Delta { revision, full: true, ..Delta::default() });
    /// let mut fence = Fence::default();
    /// assert!(matches!(fence.offer(at(2)), Verdict::InForce(_)));
    /// assert!(matches!(fence.offer(at(1)), Verdict::NotNewer));
    /// ```
    pub fn offer(&mut self, set: Set) -> Verdict {
        let version = set.version();
        let held = self.version();
        if version.revision == held.revision && version.digest != held.digest && held.revision > 0 {
            // Neither content is known to be right. Accepting the later one would make nodes
            // alternate between the two.
            cov_mark::hit!(fence_conflict);
            return Verdict::Conflict(version);
        }
        if version.revision <= held.revision {
            cov_mark::hit!(fence_not_newer);
            return Verdict::NotNewer;
        }
        if self.rejected.iter().any(|r| r.version == version) {
            return Verdict::AlreadyRejected;
        }
        match config::rebuild(&self.snapshot, &set) {
            Ok(snapshot) => {
                self.set = set;
                self.snapshot = Arc::new(snapshot);
                Verdict::InForce(self.snapshot.clone())
            }
            Err(faults) => Verdict::Rejected(self.reject(version, faults)),
        }
    }

    fn reject(&mut self, version: Version, faults: Vec<Fault>) -> Rejection {
        cov_mark::hit!(fence_rejects);
        if self.rejected.len() == MAX_REJECTIONS {
            self.rejected.pop_front();
        }
        let rejection = Rejection { version, faults };
        self.rejected.push_back(rejection.clone());
        rejection
    }
}
