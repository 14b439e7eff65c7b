//! Receives complete bodies, limited in size, memory and time.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body::Body, header};
use ingress::memory::{Lease, Memory};
use std::{pin::pin, time::Duration};

/// Smallest buffer of a body that arrives in several parts, in bytes.
const MIN_BUFFER_BYTES: usize = 16 * 1024;

/// Largest declared size of a body for which a buffer is allocated before the body has arrived, in bytes.
const MAX_EXPECTED_BYTES: usize = 1 << 20;

/// Body of an incoming request; empty if the request was read ahead for pipelining.
pub(crate) type Inbound = ingress::body::Request;

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The body exceeds the size limit, or the memory that is left.
    TooLarge,
    /// The body did not arrive in time.
    TimedOut,
    /// The body ended before its declared end.
    Truncated,
}

/// Receives the body of a request completely, up to `limit` bytes and within `time`.
///
/// A truncated body is an error: `hyper` checks the declared length or the last chunk.
pub(crate) async fn receive<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, Fault>
where
    B: Body<Data = Bytes>,
{
    // The memory of requests is reserved by their intake.
    let mut buffer = Buffer::new(limit, Memory::default().lease(), usize::MAX);
    tokio::time::timeout(time, collect(body, &mut buffer)).await.map_err(|_| Fault::TimedOut)??;
    Ok(buffer.into_parts().0)
}

/// Receives the body of an answer like [`receive`], in `memory` of which all answers may hold `available`
/// bytes; it is released when the last clone of the result is dropped.
pub(crate) async fn receive_answer<B>(
    body: B,
    limit: usize,
    time: Duration,
    memory: &Memory,
    available: usize,
) -> Result<Bytes, Fault>
where
    B: Body<Data = Bytes>,
{
    let mut buffer = Buffer::new(limit, memory.lease(), available);
    tokio::time::timeout(time, collect(body, &mut buffer)).await.map_err(|_| Fault::TimedOut)??;
    let (bytes, lease) = buffer.into_parts();
    Ok(if bytes.is_empty() { bytes } else { lease.attach(bytes) })
}

/// Returns the value of `Content-Length`, if present and valid.
pub(crate) fn declared_length(headers: &hyper::HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn collect<B>(body: B, buffer: &mut Buffer) -> Result<(), Fault>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let declared = body.size_hint().exact().unwrap_or(0);
    buffer.expected = usize::try_from(declared).unwrap_or(usize::MAX).min(MAX_EXPECTED_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Fault::Truncated)?;
        if let Ok(part) = frame.into_data() {
            buffer.push(part)?;
        }
    }
    Ok(())
}

/// The received part of a body.
///
/// A single part is kept as it is. Several are copied into one buffer: kept one by one, many small parts
/// take a multiple of their size.
struct Buffer {
    limit: usize,
    /// Declared size, up to [`MAX_EXPECTED_BYTES`]; 0 if unknown.
    expected: usize,
    lease: Lease,
    available: usize,
    first: Bytes,
    rest: Vec<u8>,
}

impl Buffer {
    /// Creates a buffer for at most `limit` bytes, in a lease that together with all others may hold
    /// `available` bytes.
    fn new(limit: usize, lease: Lease, available: usize) -> Self {
        Buffer { limit, expected: 0, lease, available, first: Bytes::new(), rest: Vec::new() }
    }

    fn push(&mut self, part: Bytes) -> Result<(), Fault> {
        let length = self.first.len() + self.rest.len() + part.len();
        if length > self.limit {
            return Err(Fault::TooLarge);
        }
        if self.first.is_empty() && self.rest.is_empty() {
            self.extend_lease(part.len())?;
            self.first = part;
            return Ok(());
        }
        self.grow(length)?;
        if !self.first.is_empty() {
            self.rest.extend_from_slice(&self.first);
            self.lease.shrink(self.first.len());
            self.first = Bytes::new();
        }
        self.rest.extend_from_slice(&part);
        Ok(())
    }

    /// Makes room for `length` bytes; old and new buffer exist together until the old one is copied.
    fn grow(&mut self, length: usize) -> Result<(), Fault> {
        let old = self.rest.capacity();
        if length <= old {
            return Ok(());
        }
        let least = if self.expected > 0 { self.expected } else { MIN_BUFFER_BYTES };
        let new = length.max(2 * old).max(least).min(self.limit.max(length));
        self.extend_lease(new)?;
        let mut rest = Vec::with_capacity(new);
        rest.extend_from_slice(&self.rest);
        self.rest = rest;
        self.lease.shrink(old);
        Ok(())
    }

    fn extend_lease(&mut self, more: usize) -> Result<(), Fault> {
        if self.lease.extend(more, self.available) { Ok(()) } else { Err(Fault::TooLarge) }
    }

    /// Returns the body and its lease.
    fn into_parts(self) -> (Bytes, Lease) {
        let bytes = if self.rest.is_empty() { self.first } else { Bytes::from(self.rest) };
        (bytes, self.lease)
    }
}
