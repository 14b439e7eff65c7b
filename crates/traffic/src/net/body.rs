//! Receives complete bodies, limited in size, memory and time.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body::Body, header};
use ingress::memory::{Lease, Memory};
use std::{pin::pin, time::Duration};

use crate::wire::Content;

/// Smallest segment of a body of unknown size, in bytes.
const MIN_SEGMENT_BYTES: usize = 16 * 1024;

/// Largest segment of a body, in bytes.
const MAX_SEGMENT_BYTES: usize = 256 * 1024;

/// Interval between two attempts to find memory for an answer.
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);

/// Attempts to find memory for an answer, which has run and would be lost.
const MAX_MEMORY_ATTEMPTS: usize = 25;

/// Body of an incoming request; empty if the request was read ahead for pipelining.
pub(crate) type Inbound = ingress::body::Request;

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The body exceeds the size limit.
    TooLarge,
    /// The memory that is left does not hold the body.
    NoMemory,
    /// The body did not arrive in time.
    TimedOut,
    /// The body ended before its declared end.
    Truncated,
}

/// Memory that a body is received in.
pub(crate) trait Account {
    /// Attempts to find memory, with a pause between two of them.
    const ATTEMPTS: usize;

    /// Takes memory for a segment of `bytes` bytes; returns whether it is available.
    fn take(&mut self, bytes: usize) -> bool;

    /// Returns a complete segment of at most the bytes that were taken last.
    fn seal(&mut self, segment: Vec<u8>) -> Bytes;

    /// Asks others to release memory.
    fn relieve(&self);
}

/// Memory of an answer, which is released segment by segment as they are written.
pub(crate) struct AnswerAccount<'a, L, R> {
    pub(crate) memory: &'a Memory,
    /// Returns the bytes that all answers may hold at present.
    pub(crate) limit: L,
    /// Asks others to release memory.
    pub(crate) relieve: R,
    /// Memory of the segment that is being received.
    pub(crate) lease: Option<Lease>,
}

impl<L: Fn() -> usize, R: Fn()> Account for AnswerAccount<'_, L, R> {
    const ATTEMPTS: usize = MAX_MEMORY_ATTEMPTS;

    fn take(&mut self, bytes: usize) -> bool {
        let mut lease = self.memory.lease();
        let is_taken = lease.extend(bytes, (self.limit)());
        if is_taken {
            self.lease = Some(lease);
        }
        is_taken
    }

    fn seal(&mut self, segment: Vec<u8>) -> Bytes {
        match self.lease.take() {
            Some(mut lease) => {
                lease.shrink(lease.bytes().saturating_sub(segment.capacity()));
                lease.attach(segment)
            }
            None => Bytes::from(segment),
        }
    }

    fn relieve(&self) {
        (self.relieve)();
    }
}

/// Receives a body completely, up to `limit` bytes and within `time`, in the memory of `account`.
///
/// A truncated body is an error: `hyper` checks the declared length or the last chunk.
pub(crate) async fn receive<B>(
    body: B,
    limit: usize,
    time: Duration,
    account: impl Account,
) -> Result<Content, Fault>
where
    B: Body<Data = Bytes>,
{
    let received = tokio::time::timeout(time, collect(body, limit, account)).await;
    received.map_err(|_| Fault::TimedOut)?
}

/// Returns the value of `Content-Length`, if present and valid.
pub(crate) fn declared_length(headers: &hyper::HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn collect<B, A>(body: B, limit: usize, account: A) -> Result<Content, Fault>
where
    B: Body<Data = Bytes>,
    A: Account,
{
    let mut body = pin!(body);
    let declared = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    if declared.is_some_and(|bytes| bytes > limit) {
        return Err(Fault::TooLarge);
    }
    let mut buffer = Buffer { declared, account, sealed: Vec::new(), tail: Vec::new(), length: 0 };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Fault::Truncated)?;
        if let Ok(part) = frame.into_data() {
            if buffer.length + part.len() > limit {
                return Err(Fault::TooLarge);
            }
            buffer.push(part).await?;
        }
    }
    Ok(buffer.finish())
}

/// The received part of a body.
///
/// Parts are copied: kept one by one, many small ones take a multiple of their size, and each holds the read
/// buffer that it came in.
struct Buffer<A> {
    declared: Option<usize>,
    account: A,
    sealed: Vec<Bytes>,
    tail: Vec<u8>,
    length: usize,
}

impl<A: Account> Buffer<A> {
    async fn push(&mut self, mut part: Bytes) -> Result<(), Fault> {
        while !part.is_empty() {
            if self.tail.len() == self.tail.capacity() {
                self.begin_segment().await?;
            }
            let count = part.len().min(self.tail.capacity() - self.tail.len());
            self.tail.extend_from_slice(&part.split_to(count));
            self.length += count;
        }
        Ok(())
    }

    /// Seals the last segment and allocates the next one.
    async fn begin_segment(&mut self) -> Result<(), Fault> {
        self.seal();
        let bytes = self.next_segment_bytes();
        let mut attempts = 1;
        while !self.account.take(bytes) {
            self.account.relieve();
            if attempts == A::ATTEMPTS {
                return Err(Fault::NoMemory);
            }
            attempts += 1;
            tokio::time::sleep(MEMORY_INTERVAL).await;
        }
        self.tail = Vec::with_capacity(bytes);
        Ok(())
    }

    /// Returns the size of the next segment: what is declared, or as much again as was received.
    fn next_segment_bytes(&self) -> usize {
        match self.declared {
            Some(declared) if declared > self.length => {
                (declared - self.length).min(MAX_SEGMENT_BYTES)
            }
            _ => self.length.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
        }
    }

    fn seal(&mut self) {
        if !self.tail.is_empty() {
            let segment = std::mem::take(&mut self.tail);
            self.sealed.push(self.account.seal(segment));
        }
    }

    fn finish(mut self) -> Content {
        self.tail.shrink_to_fit();
        self.seal();
        Content::new(self.sealed)
    }
}
