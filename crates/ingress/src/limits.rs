//! Limits on the connections of a listener, and why a connection was closed.

use std::time::Duration;

/// Bytes of a head beyond the limit on its headers: the request line, separators, and headers between nodes.
const HEAD_ALLOWANCE_BYTES: usize = 16 << 10;

/// Smallest read buffer that `hyper` supports, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limits on a connection; they apply from its next request on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time for which a connection may be idle.
    pub idle: Duration,
    /// Time limit for receiving a head, from its first byte.
    pub head: Duration,
    /// Limit on the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Time limit for the client to read an answer.
    pub answer: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            idle: Duration::from_secs(75),
            head: Duration::from_secs(10),
            header_bytes: 16 << 10,
            answer: Duration::from_secs(60),
        }
    }
}

impl Limits {
    /// Returns the limit on a whole head, in bytes.
    ///
    /// ```
    /// let limits = ingress::limits::Limits { header_bytes: 512, ..Default::default() };
    /// assert!(limits.head_bytes() > 512);
    /// ```
    pub fn head_bytes(&self) -> usize {
        (self.header_bytes + HEAD_ALLOWANCE_BYTES).max(MIN_BUFFER_BYTES)
    }
}

/// Why a connection was closed before its client closed it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// It was idle for too long.
    Idle,
    /// A head did not arrive in time.
    SlowHead,
    /// Empty lines came in place of a request.
    EmptyLines,
    /// The framing of a body in chunks took many times its content.
    Framing,
    /// An answer was not read in time.
    UnreadAnswer,
    /// All connections were in use, and it waited for its client longer than others.
    Replaced,
    /// Memory was short, and it waited for its client.
    Memory,
}

impl Reason {
    /// Returns the name in metrics and events.
    ///
    /// ```
    /// assert_eq!(ingress::limits::Reason::SlowHead.name(), "slow-head");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Reason::Idle => "idle",
            Reason::SlowHead => "slow-head",
            Reason::EmptyLines => "empty-lines",
            Reason::Framing => "framing",
            Reason::UnreadAnswer => "unread-answer",
            Reason::Replaced => "replaced",
            Reason::Memory => "memory",
        }
    }
}

/// What a listener asks of the process that it serves.
pub trait Policy: Send + Sync + 'static {
    /// Returns the present limits on connections.
    fn limits(&self) -> Limits;

    /// Returns the bytes that unfinished heads and requests in progress may hold together at present.
    fn head_memory(&self) -> usize;

    /// Counts a connection that was closed for `reason`.
    fn count_closed(&self, reason: Reason);

    /// Reports the number of open connections.
    fn set_open(&self, connections: usize);
}
