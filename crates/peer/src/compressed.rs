//! Compression of large messages: JSON, deflated and encoded as base64.
//!
//! Shortens the transfer of a whole configuration over slow links, during which a restarted node
//! rejects calls.

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

/// Compression level; the fastest, since nodes may have slow cores.
const COMPRESSION_LEVEL: u32 = 1;

/// A compressed message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Deflated JSON, encoded as base64 for JSON-RPC.
    deflated: Arc<str>,
}

/// Failure to decompress a message.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not valid base64.
    #[snafu(display("no base64: {source}"))]
    Text {
        /// Error of the decoder.
        source: base64::DecodeError,
    },
    /// The decoded bytes are not a valid deflate stream.
    #[snafu(display("cannot be inflated: {source}"))]
    Deflated {
        /// Error of the decoder.
        source: std::io::Error,
    },
    /// The decompressed JSON exceeds the limit.
    #[snafu(display("more than {limit} bytes"))]
    Large {
        /// Limit, in bytes.
        limit: u64,
    },
    /// The JSON is not the expected message.
    #[snafu(display("not the expected message: {source}"))]
    Content {
        /// Error of the decoder.
        source: serde_json::Error,
    },
}

/// Compresses a message.
///
/// ```
/// use peer::compressed::{compress, decompress};
/// let text = "the same words again and again; ".repeat(100);
/// let compressed = compress(&text).expect("text is JSON");
/// assert!(compressed.len() < text.len() / 10);
/// assert_eq!(decompress::<String>(&compressed, 10_000).expect("valid message"), text);
/// ```
pub fn compress<T: Serialize>(message: &T) -> Result<Message, serde_json::Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::new(COMPRESSION_LEVEL));
    let json = serde_json::to_vec(message)?;
    let written = encoder.write_all(&json).and_then(|()| encoder.finish());
    let bytes = written.map_err(serde_json::Error::io)?;
    Ok(Message { deflated: STANDARD.encode(bytes).into() })
}

/// Decompresses a message of at most `limit` bytes of JSON.
pub fn decompress<T: DeserializeOwned>(message: &Message, limit: u64) -> Result<T, Error> {
    let bytes = STANDARD.decode(message.deflated.as_bytes()).context(TextSnafu)?;
    let mut json = Vec::new();
    let read = DeflateDecoder::new(bytes.as_slice()).take(limit + 1).read_to_end(&mut json);
    // Limits memory, since a small message can inflate to any size.
    if read.context(DeflatedSnafu)? as u64 > limit {
        return LargeSnafu { limit }.fail();
    }
    serde_json::from_slice(&json).context(ContentSnafu)
}

impl Message {
    /// Returns the size on the wire, in bytes.
    pub fn len(&self) -> usize {
        self.deflated.len()
    }

    /// Returns whether the message is empty.
    pub fn is_empty(&self) -> bool {
        self.deflated.is_empty()
    }
}

/// Cache of compressed bundles; after a mass restart or a change, many nodes pull the same ones.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    entries: Mutex<VecDeque<(Key, Message)>>,
}

/// Maximum number of cached bundles; holds all chunks of the largest configuration.
const MAX_CACHED: usize = 32;

/// Cache key of a bundle whose content follows from its version and extent.
#[derive(Debug, PartialEq)]
struct Key {
    version: Version,
    full: bool,
    buckets: Vec<usize>,
    more: bool,
}

impl Key {
    /// Returns the key of `bundle`; `None` if its content depends on the receiver's revision.
    fn of(bundle: &Bundle) -> Option<Self> {
        let Bundle { version, delta: Delta { full, buckets, .. }, more } = bundle;
        let is_cacheable = *full || !buckets.is_empty();
        let buckets = buckets.clone();
        is_cacheable.then_some(Key { version: *version, full: *full, buckets, more: *more })
    }
}

impl Cache {
    /// Returns the compressed `bundle`, from the cache if present.
    pub(crate) fn compress(&self, bundle: &Bundle) -> Result<Message, serde_json::Error> {
        let Some(key) = Key::of(bundle) else { return compress(bundle) };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, message)) = entries.iter().find(|(cached, _)| *cached == key) {
            return Ok(message.clone());
        }
        let message = compress(bundle)?;
        if entries.len() == MAX_CACHED {
            entries.pop_front();
        }
        entries.push_back((key, message.clone()));
        Ok(message)
    }
}
