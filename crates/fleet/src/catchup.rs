//! Resumable transfer of a newer configuration version from other nodes, in chunks.
//!
//! Chunks are small enough for a slow, loaded link to carry one within a request timeout. Received
//! documents are kept, so a transfer resumes after a timeout, at another node, or at a later version.
//!
//! Invariant *atomic versions*: [`Transfer::receive`] releases documents only as a complete set that
//! has the digest of an announced version; none of them is in force before.

use model::{
    config::Version,
    document::{BUCKETS, Set},
};

use crate::{
    fence::Fence,
    message::{Bundle, Pull},
};

/// Document bytes per chunk, before compression; keeps a pull short on a slow link.
const CHUNK_BYTES: usize = 128 << 10;

/// Smallest chunk, in document bytes: about one bucket, which is not split.
const MIN_CHUNK_BYTES: usize = 16 << 10;

/// Maximum number of chunks accepted for one version, so that a peer that reports wrong bucket digests
/// cannot keep a transfer going.
const MAX_CHUNKS: u32 = 4 * BUCKETS as u32;

/// A partially received version of the configuration.
#[derive(Debug)]
pub struct Transfer {
    set: Option<Set>,
    /// Whether it started from an empty set instead of the version in force.
    from_scratch: bool,
    /// The version that the last chunk belongs to.
    target: Version,
    /// Chunks of `target` received in a row.
    chunks: u32,
    /// Consecutive requests that timed out.
    timeouts: u32,
    /// Document bytes to request; reduced after timeouts.
    chunk_bytes: usize,
}

/// Result of receiving a chunk.
#[derive(Debug)]
pub enum Progress {
    /// A complete version whose digest matches the announced one.
    Complete(Box<Set>),
    /// More chunks are needed.
    Partial,
    /// The peer holds nothing newer than the version in force; received documents are kept.
    Stale,
    /// The chunks do not lead to the announced version; the transfer was discarded.
    Unusable,
}

impl Default for Transfer {
    fn default() -> Self {
        Transfer {
            set: None,
            from_scratch: false,
            target: Version::default(),
            chunks: 0,
            timeouts: 0,
            chunk_bytes: CHUNK_BYTES,
        }
    }
}

impl Transfer {
    /// Returns whether no document has been received.
    pub fn is_empty(&self) -> bool {
        self.set.is_none()
    }

    /// Returns the next request.
    ///
    /// Starts with the changes since the held revision, which is the smallest delta. Once part of a
    /// version is held, requests by bucket digests instead.
    pub fn pull(&self, fence: &Fence) -> Pull {
        match (fence.held(), &self.set) {
            (Some(_), None) => self.pull_changes(fence),
            _ => self.pull_content(fence),
        }
    }

    /// Returns a request for the changes since the version in force.
    pub fn pull_changes(&self, fence: &Fence) -> Pull {
        Pull { have: fence.held(), buckets: Vec::new(), limit: Some(self.chunk_bytes) }
    }

    /// Returns a request for the buckets that differ from the documents received so far, or from
    /// the version in force.
    ///
    /// ```
    /// use fleet::{catchup::Transfer, fence::Fence};
    /// let pull = Transfer::default().pull_content(&Fence::default());
    /// assert_eq!(pull.buckets.len(), model::document::BUCKETS);
    /// ```
    pub fn pull_content(&self, fence: &Fence) -> Pull {
        let set = self.set.as_ref().unwrap_or(fence.set());
        // Older product versions reply to a request without a revision with all documents.
        let have = fence.held().filter(|_| !self.from_scratch);
        Pull { have, buckets: set.buckets().to_vec(), limit: Some(self.chunk_bytes) }
    }

    /// Merges the chunk in `bundle`.
    pub fn receive(&mut self, fence: &Fence, bundle: Bundle) -> Progress {
        let Bundle { version, delta, more } = bundle;
        self.timeouts = 0;
        if version.revision <= fence.version().revision {
            return Progress::Stale;
        }
        let is_full = delta.full || self.from_scratch;
        let is_by_revision = delta.buckets.is_empty();
        let is_stalled = more && is_by_revision && !self.is_empty();
        self.chunks = if version == self.target { self.chunks + 1 } else { 1 };
        self.target = version;
        let set = self.set.as_ref().unwrap_or(fence.set()).with(delta);
        if !more && set.version() == version {
            *self = Transfer::default();
            return Progress::Complete(Box::new(set));
        }
        if is_stalled || self.chunks >= MAX_CHUNKS || (!more && is_full) {
            self.clear();
            return Progress::Unusable;
        }
        if more {
            self.set = Some(set);
            return Progress::Partial;
        }
        // The delta does not lead to the announced digest: its base was replaced or a removal was
        // pruned. Discard it and retry with a broader request: by bucket digests first, then all
        // documents.
        cov_mark::hit!(delta_mismatch);
        self.from_scratch = !(is_by_revision && self.is_empty());
        let base = if self.from_scratch { Set::default() } else { fence.set().clone() };
        self.set = Some(base);
        Progress::Partial
    }

    /// Records that a request timed out.
    ///
    /// From the second consecutive timeout on, the chunk size is halved; a single one may have
    /// other causes than a slow link.
    pub fn record_timeout(&mut self) {
        self.timeouts += 1;
        if self.timeouts > 1 {
            self.chunk_bytes = (self.chunk_bytes / 2).max(MIN_CHUNK_BYTES);
        }
    }

    /// Discards the received documents and keeps the chunk size.
    pub fn clear(&mut self) {
        *self = Transfer { chunk_bytes: self.chunk_bytes, ..Transfer::default() };
    }
}
