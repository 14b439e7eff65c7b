//! Request fingerprints: identify repeats of the same request, independent of caller and time.

use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// A request answered within this time before an upstream crashed is not suspected of causing the
/// crash. Longer than a call takes.
pub const EXONERATION_WINDOW: Duration = Duration::from_secs(10);

/// Hash that identifies requests with the same content.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    /// Formats the fingerprint as 16 hexadecimal digits, as in logs.
    ///
    /// ```
    /// assert_eq!(model::request::Fingerprint(255).to_string(), "00000000000000ff");
    /// ```
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request that was running when an upstream crashed, and may be a poison request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Method, host and path, for operators.
    pub label: String,
}
