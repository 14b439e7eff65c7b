//! Configuration documents as stored on the platform, and deltas between their revisions.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, OnceLock},
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::config::Version;

/// Maximum size of a document, in bytes; equals the platform's maximum value size.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Maximum total size of all documents, in bytes. Bounds a node's memory while the old set, the new
/// set and the message that carries it are held at the same time.
pub const MAX_SET_BYTES: usize = 4 << 20;

/// Lower bound on the mean size of a document on the platform, in bytes: an empty service and its name.
const MIN_DOCUMENT_BYTES: usize = 8;

/// Maximum number of documents in one revision: as many as fit into one value of the platform.
///
/// Must not be less than the platform accepts, since nodes that reject a revision keep serving the
/// previous one. Bounds the memory overhead of documents, which [`MAX_SET_BYTES`] does not count.
pub const MAX_DOCUMENTS: usize = MAX_DOCUMENT_BYTES / MIN_DOCUMENT_BYTES;

/// Number of hash buckets into which documents are divided by key for anti-entropy.
///
/// More buckets make the digest larger and each differing bucket smaller.
pub const BUCKETS: usize = 64;

/// Maximum number of tombstones that a set keeps for deltas.
const MAX_REMOVALS: usize = 256;

/// A SHA-256 hash truncated to 16 bytes; equal digests mean equal documents.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; 16]);

impl Digest {
    /// Hashes `parts`, each prefixed with its length so that boundaries affect the digest.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize()[..16]);
        Digest(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        if text.len() != 32 || !text.is_ascii() {
            return Err("a digest is 32 hexadecimal digits".to_owned());
        }
        let mut bytes = [0; 16];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|e| e.to_string())?;
        }
        Ok(Digest(bytes))
    }
}

/// A key and its text, as stored on the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Key on the platform, such as `profiles/posting`.
    pub key: String,
    /// Revision of the last write.
    pub modified: u64,
    /// Content, shared between sets that hold the same document.
    pub text: Arc<str>,
}

impl Document {
    /// Returns the size of key and text, in bytes.
    fn size(&self) -> usize {
        self.key.len() + self.text.len()
    }
}

/// Tombstone of a removed document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Key of the removed document.
    pub key: String,
    /// Revision at or before which the document was removed.
    pub revision: u64,
}

/// Changes from one set of documents to another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Revision of the resulting set.
    pub revision: u64,
    /// Whether the delta applies to an empty set instead of the receiver's.
    pub full: bool,
    /// Documents written since the receiver's revision; all documents of a full delta.
    pub documents: Vec<Document>,
    /// Documents removed since the receiver's revision.
    pub removed: Vec<Removal>,
    /// Buckets (see [`Set::buckets`]) that `documents` holds completely: the receiver removes any
    /// other document in them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<usize>,
}

/// Part of a delta, up to a size limit.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    /// The changes in this chunk.
    pub delta: Delta,
    /// Whether further chunks follow.
    pub more: bool,
}

/// All documents of one revision.
#[derive(Clone, Debug, Default)]
pub struct Set {
    revision: u64,
    documents: BTreeMap<String, Document>,
    removed: Vec<Removal>,
    /// Cached, since it hashes all documents.
    version: OnceLock<Version>,
    buckets: OnceLock<Vec<u64>>,
}

impl Set {
    /// Returns the version: the revision and the digest of all documents.
    pub fn version(&self) -> Version {
        *self.version.get_or_init(|| {
            let parts = self.documents.values().flat_map(|d| [d.key.as_bytes(), d.text.as_bytes()]);
            Version { revision: self.revision, digest: Digest::of(parts) }
        })
    }

    /// Iterates over the documents in key order.
    pub fn iter(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Returns the total size of all keys and texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.documents.values().map(Document::size).sum()
    }

    /// Returns this set with `delta` applied. Does not verify the version of the result.
    ///
    /// ```
    /// use model::document::{Delta, Set};
    /// let next = Set::default().with(Delta { revision: 7, full: true, ..Delta::default() });
    /// assert_eq!(next.version().revision, 7);
    /// ```
    pub fn with(&self, delta: Delta) -> Set {
        let mut next = if delta.full { Set::default() } else { self.clone() };
        for removal in &delta.removed {
            next.documents.remove(&removal.key);
        }
        if !delta.buckets.is_empty() {
            next.documents.retain(|key, _| !delta.buckets.contains(&bucket_of(key)));
        }
        for document in delta.documents {
            // Keeps the old `modified` of unchanged documents, so that a source that always sends
            // all documents does not make every delta a full one.
            let same = self.documents.get(&document.key).filter(|old| old.text == document.text);
            let kept = same.filter(|old| old.modified <= document.modified).cloned();
            next.documents.insert(document.key.clone(), kept.unwrap_or(document));
        }
        next.revision = delta.revision;
        next.version = OnceLock::new();
        next.buckets = OnceLock::new();
        next.removed = self.merge_removals(&next, delta.removed);
        next
    }

    /// Returns the delta from revision `have`, or a full delta for `None`.
    pub fn since(&self, have: Option<u64>) -> Delta {
        let base = have.unwrap_or(0);
        let newer = |d: &&Document| have.is_none() || d.modified > base;
        Delta {
            revision: self.revision,
            full: have.is_none(),
            documents: self.documents.values().filter(newer).cloned().collect(),
            removed: self.removed.iter().filter(|r| r.revision > base).cloned().collect(),
            buckets: Vec::new(),
        }
    }

    /// Returns the digest of each bucket, a hash of the keys and texts in it.
    ///
    /// Unlike `modified`, which is local to each holder and reset when it reads all documents
    /// again, the digests compare equal wherever the content is the same.
    pub fn buckets(&self) -> &[u64] {
        self.buckets.get_or_init(|| {
            let mut buckets = vec![0; BUCKETS];
            for document in self.documents.values() {
                buckets[bucket_of(&document.key)] ^= hash(document);
            }
            buckets
        })
    }

    /// Returns a delta with the complete content of the buckets whose digests differ from `theirs`.
    ///
    /// ```
    /// use model::document::{Delta, Document, Set};
    /// let document = Document { key: "services/a".into(), modified: 1, text: "{}".into() };
    /// let delta = Delta { revision: 1, full: true, documents: vec![document], ..Delta::default() };
    /// let set = Set::default().with(delta);
    /// let difference = set.differing(Set::default().buckets());
    /// assert_eq!(Set::default().with(difference).version(), set.version());
    /// ```
    pub fn differing(&self, theirs: &[u64]) -> Delta {
        self.differing_within(theirs, usize::MAX).delta
    }

    /// Like [`Set::differing`], but returns only the first differing buckets: at least one, and no
    /// more than fit into `limit` bytes.
    pub fn differing_within(&self, theirs: &[u64], limit: usize) -> Chunk {
        let own = self.buckets();
        let mut sizes = [0; BUCKETS];
        for document in self.documents.values() {
            sizes[bucket_of(&document.key)] += document.size();
        }
        let differs = |bucket: &usize| theirs.get(*bucket) != Some(&own[*bucket]);
        let mut buckets = Vec::new();
        let mut total = 0;
        let mut more = false;
        for bucket in (0..BUCKETS).filter(differs) {
            total += sizes[bucket];
            more = total > limit && !buckets.is_empty();
            if more {
                break;
            }
            buckets.push(bucket);
        }
        let within = |d: &&Document| buckets.contains(&bucket_of(&d.key));
        let documents = self.documents.values().filter(within).cloned().collect();
        let delta = Delta { revision: self.revision, documents, buckets, ..Delta::default() };
        Chunk { delta, more }
    }

    /// Returns the delta from revision `have`, or an empty chunk with `more` set if it exceeds
    /// `limit` bytes; the receiver then compares buckets instead.
    pub fn since_within(&self, have: Option<u64>, limit: usize) -> Chunk {
        let delta = self.since(have);
        let size: usize = delta.documents.iter().map(Document::size).sum();
        if size <= limit {
            return Chunk { delta, more: false };
        }
        Chunk { delta: Delta { revision: self.revision, ..Delta::default() }, more: true }
    }

    /// Collects the tombstones that `next` keeps: the known ones, those of documents that `next`
    /// lacks, and those received.
    fn merge_removals(&self, next: &Set, received: Vec<Removal>) -> Vec<Removal> {
        let mut removed = self.removed.clone();
        let missing = self.documents.keys().filter(|key| !next.documents.contains_key(*key));
        removed.extend(missing.map(|key| Removal { key: key.clone(), revision: next.revision }));
        for removal in received {
            if !removed.iter().any(|r| r.key == removal.key && r.revision >= removal.revision) {
                removed.push(removal);
            }
        }
        removed.retain(|r| !next.documents.contains_key(&r.key));
        let surplus = removed.len().saturating_sub(MAX_REMOVALS);
        removed.drain(..surplus);
        removed
    }
}

fn bucket_of(key: &str) -> usize {
    (xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}

fn hash(document: &Document) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(document.key.as_bytes());
    // UTF-8 has no such byte, so it separates key and text unambiguously.
    hasher.update(&[0xff]);
    hasher.update(document.text.as_bytes());
    hasher.digest()
}
