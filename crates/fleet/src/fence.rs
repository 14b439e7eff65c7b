//! The version fence: what is in force, and what may replace it.
//!
//! Invariant *never back*: [`Fence::offer`] is the only way into force and takes higher revisions
//! only. A stale platform, a late message, a process woken from a pause or a peer that has just
//! started can offer an old version; none can bring it into force.

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

/// Rejected versions that a node remembers.
const REJECTED_LIMIT: usize = 16;

/// A version that was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Which.
    pub version: Version,
    /// Why.
    pub faults: Vec<Fault>,
}

/// Answer to an offered version.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It is in force from now on.
    InForce(Arc<Snapshot>),
    /// It is not newer than the one in force.
    NotNewer,
    /// It has the revision in force but another content.
    Conflict(Version),
    /// It is not acceptable; the former version stays in force.
    Rejected(Rejection),
    /// It was rejected before.
    AlreadyRejected,
}

/// The expected revision, as traffic was told of it.
#[derive(Debug, Default)]
pub struct Announced(u64);

impl Announced {
    /// Returns what is to be told, if that has changed.
    pub fn update(&mut self, fence: &Fence) -> Option<u64> {
        let expected = fence.expected();
        let changed = std::mem::replace(&mut self.0, expected) != expected;
        changed.then_some(expected)
    }
}

/// The version in force and the versions refused.
#[derive(Debug, Default)]
pub struct Fence {
    set: Set,
    snapshot: Arc<Snapshot>,
    rejected: VecDeque<Rejection>,
    /// Highest revision that another node was heard to hold.
    heard: u64,
}

impl Fence {
    /// Returns the version in force; revision 0 before there is one.
    pub fn version(&self) -> Version {
        self.snapshot.version
    }

    /// Returns the revision in force, or none before there is one.
    pub fn held(&self) -> Option<u64> {
        Some(self.version().revision).filter(|&revision| revision > 0)
    }

    /// Notes that another node holds `revision`.
    pub fn observe(&mut self, revision: u64) {
        self.heard = self.heard.max(revision);
    }

    /// Replaces what was heard by the highest revision of the nodes that still tell of one.
    ///
    /// A version may end with the only node that held it; callers would be told to come back for it
    /// for ever.
    pub fn reset_observed(&mut self, revision: u64) {
        self.heard = revision;
    }

    /// Tells whether a version of `revision` was refused.
    pub fn has_refused(&self, revision: u64) -> bool {
        self.rejected.iter().any(|r| r.version.revision == revision)
    }

    /// Returns the highest revision that is in force here or at another node.
    ///
    /// ```
    /// use fleet::fence::Fence;
    /// let mut fence = Fence::default();
    /// fence.observe(7);
    /// assert_eq!((fence.version().revision, fence.known()), (0, 7));
    /// ```
    pub fn known(&self) -> u64 {
        self.heard.max(self.version().revision)
    }

    /// Returns the highest revision that this node holds or is going to: the known one, unless that
    /// was refused here.
    pub fn expected(&self) -> u64 {
        let known = self.known();
        if self.has_refused(known) { self.version().revision } else { known }
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Iterates over the remembered rejections, oldest first.
    pub fn rejected(&self) -> impl Iterator<Item = &Rejection> {
        self.rejected.iter()
    }

    /// Returns the remembered rejections as operators are told of them.
    pub fn rejections(&self) -> Vec<status::Rejected> {
        let told =
            |r: &Rejection| status::Rejected { version: r.version, faults: r.faults.clone() };
        self.rejected.iter().map(told).collect()
    }

    /// Returns the documents in force.
    pub fn set(&self) -> &Set {
        &self.set
    }

    /// Returns what the asker lacks of the version in force, as much of it as it asks for.
    pub fn answer(&self, pull: &Pull) -> Bundle {
        let limit = pull.limit.unwrap_or(usize::MAX);
        let piece = if pull.buckets.is_empty() {
            self.set.since_within(pull.have, limit)
        } else {
            self.set.differing_within(&pull.buckets, limit)
        };
        Bundle { version: self.version(), delta: piece.delta, more: piece.more }
    }

    /// Returns the set that `delta` leads to from the one in force.
    pub fn with(&self, delta: Delta) -> Set {
        self.set.with(delta)
    }

    /// Puts `set` into force if it is newer and acceptable as a whole.
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
            // Two sources disagree about one revision. Neither can be proved right, and taking
            // the later one would move some nodes from one content to the other and back.
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
        if self.rejected.len() == REJECTED_LIMIT {
            self.rejected.pop_front();
        }
        let rejection = Rejection { version, faults };
        self.rejected.push_back(rejection.clone());
        rejection
    }
}
