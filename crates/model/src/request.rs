//! What a request asks for, told apart from who asks when and by which way.

use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// How long before the end of an upstream an answer to a request shows that the request did not cause it: longer
/// than a call lasts.
pub const EXONERATION_WINDOW: Duration = Duration::from_secs(10);

/// Identifies what a request asks for.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    /// Writes it as operators read it in logs.
    ///
    /// ```
    /// assert_eq!(model::request::Fingerprint(255).to_string(), "00000000000000ff");
    /// ```
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request that ran when an upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// What it asked for.
    pub request: Fingerprint,
    /// What operators read of it: method, host and path.
    pub label: String,
}
