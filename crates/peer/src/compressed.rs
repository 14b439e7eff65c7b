//! Large answers, compressed.
//!
//! Pattern: half of the fleet restarts at once, or many routes are added. Each node needs half a
//! megabyte for 2,000 routes; a link of 5 Mbit/s takes 0.8 s for it, and callers are turned away
//! meanwhile. Compressed it is a fraction of that.

use base64::{Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use fleet::message::Bundle;
use model::{config::Version, document::Delta};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use std::{
    collections::VecDeque,
    io::{Read, Write},
    sync::{Arc, Mutex, PoisonError},
};

/// Level of compression: the fastest one, since cores are as slow as links.
const LEVEL: u32 = 1;

/// A message as compressed JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Deflated JSON as base64 text: a JSON-RPC answer carries no plain bytes.
    deflated: Arc<str>,
}

/// What was received is no packed message.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not base64.
    #[snafu(display("no base64: {source}"))]
    Text {
        /// Where it goes wrong.
        source: base64::DecodeError,
    },
    /// The bytes do not inflate.
    #[snafu(display("cannot be inflated: {source}"))]
    Deflated {
        /// What the library says.
        source: std::io::Error,
    },
    /// Inflated it is larger than a message may be.
    #[snafu(display("more than {limit} bytes"))]
    Large {
        /// The bound.
        limit: u64,
    },
    /// It is not the expected message.
    #[snafu(display("not the expected message: {source}"))]
    Content {
        /// Where it goes wrong.
        source: serde_json::Error,
    },
}

/// Packs a message.
///
/// ```
/// use peer::compressed::{compress, decompress};
/// let text = "the same words again and again; ".repeat(100);
/// let packed = compress(&text).expect("text is JSON");
/// assert!(packed.len() < text.len() / 10);
/// assert_eq!(decompress::<String>(&packed, 10_000).expect("it was just packed"), text);
/// ```
pub fn compress<T: Serialize>(message: &T) -> Result<Message, serde_json::Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::new(LEVEL));
    let json = serde_json::to_vec(message)?;
    let written = encoder.write_all(&json).and_then(|()| encoder.finish());
    let bytes = written.map_err(serde_json::Error::io)?;
    Ok(Message { deflated: STANDARD.encode(bytes).into() })
}

/// Unpacks a message of at most `limit` bytes of JSON.
pub fn decompress<T: DeserializeOwned>(message: &Message, limit: u64) -> Result<T, Error> {
    let bytes = STANDARD.decode(message.deflated.as_bytes()).context(TextSnafu)?;
    let mut json = Vec::new();
    let read = DeflateDecoder::new(bytes.as_slice()).take(limit + 1).read_to_end(&mut json);
    // A small message may inflate to any size; the bound keeps it from filling the memory.
    if read.context(DeflatedSnafu)? as u64 > limit {
        return LargeSnafu { limit }.fail();
    }
    serde_json::from_slice(&json).context(ContentSnafu)
}

impl Message {
    /// Returns its size on the wire, in bytes.
    pub fn len(&self) -> usize {
        self.deflated.len()
    }

    /// Tells whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.deflated.is_empty()
    }
}

/// Bundles that were packed last: after a herd restart or a change many nodes ask one for the same,
/// and packing takes some ten milliseconds on a slow core.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    last: Mutex<VecDeque<(Content, Message)>>,
}

/// Most bundles that are kept, some 30 KB each: the pieces of the largest configuration.
const KEPT: usize = 32;

/// What a bundle holds, as far as that follows from its version.
#[derive(Debug, PartialEq)]
struct Content {
    version: Version,
    full: bool,
    buckets: Vec<usize>,
    more: bool,
}

impl Content {
    /// Returns what `bundle` holds; none if that depends on who asked.
    fn of(bundle: &Bundle) -> Option<Self> {
        let Bundle { version, delta: Delta { full, buckets, .. }, more } = bundle;
        let is_known = *full || !buckets.is_empty();
        let buckets = buckets.clone();
        is_known.then_some(Content { version: *version, full: *full, buckets, more: *more })
    }
}

impl Cache {
    /// Packs `bundle`, or returns what it was packed to before.
    pub(crate) fn compress(&self, bundle: &Bundle) -> Result<Message, serde_json::Error> {
        let Some(content) = Content::of(bundle) else { return compress(bundle) };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, message)) = last.iter().find(|(kept, _)| *kept == content) {
            return Ok(message.clone());
        }
        let message = compress(bundle)?;
        if last.len() == KEPT {
            last.pop_front();
        }
        last.push_back((content, message.clone()));
        Ok(message)
    }
}
