//! State machine of one connection: in which part of an exchange it is, and how long it may stay there.

use std::time::Duration;
use tokio::time::Instant;

use crate::limits::{Limits, Reason};

/// Limit on the bytes of empty lines before a request; RFC 9112 asks servers to ignore at least one.
const MAX_EMPTY_LINE_BYTES: usize = 64;

/// Limit on the bytes of a body on the wire for each byte of its content; a chunk of one byte takes six.
const MAX_FRAMING_FACTOR: usize = 8;

/// Bytes of a body on the wire that need no content yet: what is read ahead, and chunk extensions.
const FRAMING_ALLOWANCE_BYTES: usize = 256 << 10;

/// Time for which a connection that has not asked anything is kept in any case.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Time for which a connection that has been answered is kept in any case.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Time without progress after which a connection counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Part of an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A request is being served.
    Request,
    /// The last answer was sent, and the client is expected to close.
    Closing,
}

/// State of a connection.
#[derive(Debug)]
pub(crate) struct State {
    phase: Phase,
    /// Start of the phase.
    since: Instant,
    /// When a byte was last read or accepted by the client.
    progress: Instant,
    /// Bytes of the phase: of empty lines, of the head, or of the body on the wire.
    received: usize,
    /// Bytes of the body's content.
    content: usize,
    /// Whether a body is being received.
    is_receiving: bool,
    /// Whether a request was received.
    has_asked: bool,
    /// Start of the answer that is being written.
    writing_since: Option<Instant>,
}

/// What a connection waits for from its client, in the order in which connections give way to others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Wait {
    /// For a request, or for its own end.
    Head,
    /// For the rest of a body, without progress.
    Body,
    /// For the next request.
    Next,
}

/// Rank among the connections that give way to others; the smallest one gives way first.
pub(crate) type Rank = (Wait, Instant);

impl State {
    pub(crate) fn new(now: Instant) -> Self {
        State {
            phase: Phase::Idle,
            since: now,
            progress: now,
            received: 0,
            content: 0,
            is_receiving: false,
            has_asked: false,
            writing_since: None,
        }
    }

    /// Records bytes that were read; returns by how much the buffered head grew.
    pub(crate) fn read(&mut self, bytes: &[u8], now: Instant) -> Result<usize, Reason> {
        self.progress = now;
        match self.phase {
            Phase::Idle => {
                let is_empty_line = |byte: &&u8| matches!(byte, b'\r' | b'\n');
                let empty = bytes.iter().take_while(is_empty_line).count();
                self.received += empty;
                if self.received > MAX_EMPTY_LINE_BYTES {
                    return Err(Reason::EmptyLines);
                }
                if empty == bytes.len() {
                    return Ok(0);
                }
                self.enter(Phase::Head, now);
                self.received = bytes.len();
                Ok(bytes.len())
            }
            Phase::Head => {
                self.received += bytes.len();
                Ok(bytes.len())
            }
            Phase::Request if self.is_receiving => {
                self.received += bytes.len();
                let limit = FRAMING_ALLOWANCE_BYTES + MAX_FRAMING_FACTOR * self.content;
                if self.received > limit { Err(Reason::Framing) } else { Ok(0) }
            }
            Phase::Request | Phase::Closing => Ok(0),
        }
    }

    /// Records that a request's head was received; its body follows if it has one.
    pub(crate) fn begin_request(&mut self, has_body: bool, now: Instant) {
        self.enter(Phase::Request, now);
        self.content = 0;
        self.is_receiving = has_body;
        self.has_asked = true;
    }

    /// Records content of the body.
    pub(crate) fn receive_content(&mut self, bytes: usize) {
        self.content += bytes;
    }

    /// Records the end of the body, or that it is not wanted any more.
    pub(crate) fn end_body(&mut self) {
        self.is_receiving = false;
    }

    /// Records that the whole answer was passed on to be written.
    pub(crate) fn end_request(&mut self, now: Instant) {
        self.is_receiving = false;
        if self.phase == Phase::Request {
            self.enter(Phase::Idle, now);
        }
    }

    /// Records that bytes of an answer are to be written.
    pub(crate) fn begin_write(&mut self, now: Instant) {
        self.writing_since.get_or_insert(now);
    }

    /// Records that the client accepted bytes.
    pub(crate) fn write(&mut self, now: Instant) {
        self.progress = now;
    }

    /// Records that all bytes were written; the time of the next request starts only then. Returns whether
    /// there were any.
    pub(crate) fn end_write(&mut self, now: Instant) -> bool {
        let was_writing = self.writing_since.take().is_some();
        if was_writing {
            self.since = now;
        }
        was_writing
    }

    /// Records that the last answer was sent.
    pub(crate) fn begin_close(&mut self, now: Instant) {
        self.is_receiving = false;
        self.writing_since = None;
        self.enter(Phase::Closing, now);
    }

    /// Returns until when the client must send something, and what it has failed to do by then.
    pub(crate) fn read_deadline(&self, limits: &Limits) -> Option<(Instant, Reason)> {
        if self.writing_since.is_some() {
            return None;
        }
        match self.phase {
            Phase::Idle => Some((self.since + limits.idle, Reason::Idle)),
            Phase::Head => Some((self.since + limits.head, Reason::SlowHead)),
            Phase::Request | Phase::Closing => None,
        }
    }

    /// Returns until when the client must have read the answer.
    pub(crate) fn write_deadline(&self, limits: &Limits) -> Option<Instant> {
        self.writing_since.map(|since| since + limits.answer)
    }

    /// Returns whether an answer is being written.
    pub(crate) fn is_writing(&self) -> bool {
        self.writing_since.is_some()
    }

    /// Returns the rank if the connection waits for its client and may give way to another one.
    pub(crate) fn replaceable(&self, now: Instant) -> Option<Rank> {
        let (wait, since, least) = match self.phase {
            _ if self.writing_since.is_some() => return None,
            Phase::Idle if self.has_asked => (Wait::Next, self.since, MIN_IDLE),
            Phase::Idle | Phase::Head | Phase::Closing => (Wait::Head, self.since, MIN_WAIT),
            Phase::Request if self.is_receiving => (Wait::Body, self.progress, STALL_TIME),
            Phase::Request => return None,
        };
        (now >= since + least).then_some((wait, since))
    }

    /// Returns the time of the last progress if the client holds memory and has stalled.
    pub(crate) fn stalled(&self, now: Instant) -> Option<Instant> {
        let holds = self.is_receiving || self.phase == Phase::Head || self.writing_since.is_some();
        (holds && now >= self.progress + STALL_TIME).then_some(self.progress)
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.since = now;
        self.received = 0;
    }
}

#[cfg(test)]
mod tests;
