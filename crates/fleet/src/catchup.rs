//! A newer version of the configuration on its way from other nodes, in pieces.
//!
//! Pattern: operators add 1,400 routes at once; what each node lacks is 800 KB, and most nodes have a
//! link of 5 Mbit/s, which calls fill as well. An answer that holds all of it does not cross within the
//! time of one pull. It would be given up and begun anew for ever, and the link be full with answers of
//! which none is used. So a node asks for pieces that its link carries, keeps what it has received, and
//! goes on from there, also at another node and also if that holds another version.
//!
//! Invariant *whole or nothing*: no document of a [`Transfer`] is in force. The set leaves it only when it
//! has the digest of an announced version.

use model::{
    config::Version,
    document::{BUCKETS, Set},
};

use crate::{
    fence::Fence,
    message::{Bundle, Pull},
};

/// Bytes of documents in a piece: 0.3 s at 5 Mbit/s as plain JSON, a fraction of that packed.
const PIECE: usize = 128 << 10;

/// Fewest bytes of documents in a piece; fewer would hardly be less than its smallest part, a bucket.
const PIECE_LEAST: usize = 16 << 10;

/// Most pieces on the way to one version. Its buckets are far fewer; a node whose word about its own
/// documents is wrong would be asked for ever.
const PIECES_MOST: u32 = 4 * BUCKETS as u32;

/// Documents of a newer version received so far.
#[derive(Debug)]
pub struct Transfer {
    set: Option<Set>,
    /// Whether it was begun from nothing instead of from the version in force.
    is_anew: bool,
    /// The version that the last piece was of.
    target: Version,
    /// Pieces of it.
    pieces: u32,
    /// Questions in a row that were not answered in time.
    losses: u32,
    /// Bytes of documents to ask for; less than usual after answers that did not come in time.
    size: usize,
}

/// What a piece led to.
#[derive(Debug)]
pub enum Progress {
    /// A whole version, with the digest that was announced.
    Complete(Box<Set>),
    /// More is to be asked for.
    Partial,
    /// The other node holds nothing newer than what is in force here; what was received is kept.
    Stale,
    /// The answers do not lead to the announced version; the draft is dropped.
    Unusable,
}

impl Default for Transfer {
    fn default() -> Self {
        Transfer {
            set: None,
            is_anew: false,
            target: Version::default(),
            pieces: 0,
            losses: 0,
            size: PIECE,
        }
    }
}

impl Transfer {
    /// Tells whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.set.is_none()
    }

    /// Returns the next question.
    ///
    /// What changed since a revision is the least to send: of a storm of small changes whole buckets
    /// would be most of the configuration each time. Once more than a piece of it is lacking, or it
    /// does not lead to the other node's version, the contents tell what is held already.
    pub fn pull(&self, fence: &Fence) -> Pull {
        match (fence.held(), &self.set) {
            (Some(_), None) => self.pull_changes(fence),
            _ => self.pull_content(fence),
        }
    }

    /// Returns the question for what changed since the version in force.
    pub fn pull_changes(&self, fence: &Fence) -> Pull {
        Pull { have: fence.held(), buckets: Vec::new(), limit: Some(self.size) }
    }

    /// Returns the question for what differs from what was received, or from the version in force.
    ///
    /// ```
    /// use fleet::{catchup::Transfer, fence::Fence};
    /// let pull = Transfer::default().pull_content(&Fence::default());
    /// assert_eq!(pull.buckets.len(), model::document::BUCKETS);
    /// ```
    pub fn pull_content(&self, fence: &Fence) -> Pull {
        let set = self.set.as_ref().unwrap_or(fence.set());
        // Nodes of former product versions answer a question without a revision with everything.
        let have = fence.held().filter(|_| !self.is_anew);
        Pull { have, buckets: set.buckets().to_vec(), limit: Some(self.size) }
    }

    /// Takes the answer to a question.
    pub fn receive(&mut self, fence: &Fence, bundle: Bundle) -> Progress {
        let Bundle { version, delta, more } = bundle;
        self.losses = 0;
        if version.revision <= fence.version().revision {
            return Progress::Stale;
        }
        let is_whole = delta.full || self.is_anew;
        let is_by_revision = delta.buckets.is_empty();
        let is_idle = more && is_by_revision && !self.is_empty();
        self.pieces = if version == self.target { self.pieces + 1 } else { 1 };
        self.target = version;
        let set = self.set.as_ref().unwrap_or(fence.set()).with(delta);
        if !more && set.version() == version {
            *self = Transfer::default();
            return Progress::Complete(Box::new(set));
        }
        if is_idle || self.pieces >= PIECES_MOST || (!more && is_whole) {
            self.clear();
            return Progress::Unusable;
        }
        if more {
            self.set = Some(set);
            return Progress::Partial;
        }
        // The deltas do not lead from what is held here to what the other node holds: they were made
        // for a version that has been replaced since, or a removal was forgotten. The digest shows it,
        // and nothing of them is kept. Changes since a revision are replaced by a comparison of
        // contents, and that by all documents.
        cov_mark::hit!(delta_mismatch);
        self.is_anew = !(is_by_revision && self.is_empty());
        let base = if self.is_anew { Set::default() } else { fence.set().clone() };
        self.set = Some(base);
        Progress::Partial
    }

    /// Notes that a question was not answered in time.
    ///
    /// After the second one in a row the next one asks for less: one may be lost for a reason that has
    /// nothing to do with the link.
    pub fn note_timeout(&mut self) {
        self.losses += 1;
        if self.losses > 1 {
            self.size = (self.size / 2).max(PIECE_LEAST);
        }
    }

    /// Drops what was received.
    pub fn clear(&mut self) {
        *self = Transfer { size: self.size, ..Transfer::default() };
    }
}
