//! Validation errors in documents and settings, each with its location.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One validation error of a document or a settings file.
///
/// ```
/// let fault = model::fault::Fault::new("profiles/counter", "/deadline_ms", "must be a number");
/// assert_eq!(fault.to_string(), "profiles/counter: /deadline_ms: must be a number");
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fault {
    /// Key of the document on the platform, or path of the file.
    pub document: String,
    /// JSON pointer (RFC 6901) to the invalid value; empty for the whole document.
    pub pointer: String,
    /// Description of the error, in one line.
    pub reason: String,
}

impl Fault {
    /// Creates a fault of `document` at the JSON pointer `pointer`.
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
