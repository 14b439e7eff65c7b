//! The documents of one revision, as the platform holds them.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, OnceLock},
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::config::Version;

/// Largest document, in bytes; the platform holds no larger value.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Largest sum of all documents, in bytes; keeps a node's control memory within its bound while
/// the old set, the new set and a message that carries it exist at once.
pub const MAX_SET_BYTES: usize = 4 << 20;

/// Smallest mean size, in bytes, of what the platform holds for one document.
///
/// A route that names only what it must takes some 90 bytes there. Services may take less, but each
/// has an upstream with a node beside it, so there are a few hundred of them at most.
const MIN_DOCUMENT_BYTES: usize = 64;

/// Most documents in one revision: as many as the platform's largest value can hold. With routes
/// alone it holds 11,000 to 12,000.
///
/// A node that refuses what the platform has accepted serves the version before it for ever, so the
/// bound may not lie lower. It may not lie much higher either: a route costs some 1.6 KB of
/// memory while its version and the one before it are held, of which the bound on the sum of texts
/// counts only a tenth.
pub const MAX_DOCUMENTS: usize = MAX_DOCUMENT_BYTES / MIN_DOCUMENT_BYTES;

/// Number of groups into which documents are divided by their keys to find differences.
///
/// With 2,000 documents of 250 bytes, a group that differs costs 8 KB and the summary of all groups
/// 1.3 KB.
pub const BUCKETS: usize = 64;

/// Most removals that a set remembers for deltas.
const MAX_REMOVALS: usize = 256;

/// The first 16 bytes of a SHA-256 hash; equal digests mean equal documents.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; 16]);

impl Digest {
    /// Hashes `parts`, each preceded by its length so that their borders count.
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

/// One value of the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Key on the platform, such as `profiles/posting`.
    pub key: String,
    /// Revision at which it was last written.
    pub modified: u64,
    /// Its text; shared, since the old and the new set hold mostly the same documents.
    pub text: Arc<str>,
}

impl Document {
    /// Returns the bytes of its key and text.
    fn size(&self) -> usize {
        self.key.len() + self.text.len()
    }
}

/// A removed document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Key of the removed document.
    pub key: String,
    /// Revision at or before which it was gone.
    pub revision: u64,
}

/// What turns one set of documents into another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Revision that it leads to.
    pub revision: u64,
    /// Whether it starts from nothing instead of from the receiver's set.
    pub full: bool,
    /// Documents written since the receiver's revision, or all.
    pub documents: Vec<Document>,
    /// Documents removed since the receiver's revision.
    pub removed: Vec<Removal>,
    /// Buckets, see [`Set::buckets`], of which `documents` holds everything: what else the receiver
    /// has in them is gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<usize>,
}

/// As much of a delta as was asked for.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    /// What it changes.
    pub delta: Delta,
    /// Whether the receiver lacks more than this.
    pub more: bool,
}

/// All documents of one revision.
#[derive(Clone, Debug, Default)]
pub struct Set {
    revision: u64,
    documents: BTreeMap<String, Document>,
    removed: Vec<Removal>,
    /// Worked out once: a hash over hundreds of kilobytes takes a slow core milliseconds.
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

    /// Iterates over the documents in order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Returns the sum of all texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.documents.values().map(|d| d.text.len()).sum()
    }

    /// Returns this set with `delta` applied; the caller checks the result's version.
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
            // A source that tells every document each time would make all of them look new, and
            // every delta for others would hold everything.
            let same = self.documents.get(&document.key).filter(|old| old.text == document.text);
            let kept = same.filter(|old| old.modified <= document.modified).cloned();
            next.documents.insert(document.key.clone(), kept.unwrap_or(document));
        }
        next.revision = delta.revision;
        next.version = OnceLock::new();
        next.buckets = OnceLock::new();
        next.removed = self.removals_of(&next, delta.removed);
        next
    }

    /// Returns what a holder of revision `have` lacks; `None` asks for everything.
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

    /// Returns a digest of each bucket of documents.
    ///
    /// When a document was last modified is what its holder has seen: one that has read everything
    /// anew takes all for modified. Buckets compare contents, whoever holds them.
    pub fn buckets(&self) -> &[u64] {
        self.buckets.get_or_init(|| {
            let mut buckets = vec![0; BUCKETS];
            for document in self.documents.values() {
                buckets[bucket_of(&document.key)] ^= hash(document);
            }
            buckets
        })
    }

    /// Returns the buckets whose digests differ from `theirs`, whole.
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

    /// Returns the first of the buckets whose digests differ from `theirs`, whole: one at least, and
    /// as many as hold no more than `limit` bytes.
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

    /// Returns what a holder of revision `have` lacks, or nothing of it if that is more than `limit`
    /// bytes: then it is to be asked for by buckets.
    pub fn since_within(&self, have: Option<u64>, limit: usize) -> Chunk {
        let delta = self.since(have);
        let size: usize = delta.documents.iter().map(Document::size).sum();
        if size <= limit {
            return Chunk { delta, more: false };
        }
        Chunk { delta: Delta { revision: self.revision, ..Delta::default() }, more: true }
    }

    /// Collects the removals that `next` should remember: those told and those seen.
    fn removals_of(&self, next: &Set, told: Vec<Removal>) -> Vec<Removal> {
        let mut removed = self.removed.clone();
        let gone = self.documents.keys().filter(|key| !next.documents.contains_key(*key));
        removed.extend(gone.map(|key| Removal { key: key.clone(), revision: next.revision }));
        for removal in told {
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
    // No key holds a zero byte, so the border between key and text counts.
    hasher.update(&[0]);
    hasher.update(document.text.as_bytes());
    hasher.digest()
}
