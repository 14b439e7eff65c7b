//! Faults found in documents and settings, each with its place.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One reason why a document is not acceptable.
///
/// ```
/// let fault = model::fault::Fault::new("profiles/counter", "/deadline_ms", "must be a number");
/// assert_eq!(fault.to_string(), "profiles/counter: /deadline_ms: must be a number");
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// The document's key on the platform, or the path of the file that holds it.
    pub document: String,
    /// JSON pointer (RFC 6901) to the offending value; empty for the whole document.
    pub pointer: String,
    /// What is wrong, in one line.
    pub reason: String,
}

impl Fault {
    /// Creates a fault of `document` at `pointer`.
    pub fn new(
        document: impl Into<String>,
        pointer: impl Into<String>,
        reason: impl Into<String>,
    ) -> Self {
        Fault { document: document.into(), pointer: pointer.into(), reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.document, self.pointer, self.reason)
    }
}
