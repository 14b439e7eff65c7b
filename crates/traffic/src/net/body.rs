//! Receives complete bodies, limited in size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Empty, LengthLimitError, Limited};
use hyper::{
    body::{Body, Incoming},
    header,
};
use std::{error::Error, time::Duration};

/// Body of an incoming request; empty if the request was read ahead for pipelining.
pub(crate) type Inbound = Either<Incoming, Empty<Bytes>>;

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    TimedOut,
    /// The body ended before its declared end.
    Truncated,
}

/// Receives `body` completely, up to `limit` bytes and within `time`.
///
/// A truncated body is an error: `hyper` checks the declared length or the last chunk.
pub(crate) async fn receive<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, Fault>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let collected = tokio::time::timeout(time, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_) => Err(Fault::TimedOut),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Fault::TooLarge),
        Ok(Err(_)) => Err(Fault::Truncated),
    }
}

/// Returns the value of `Content-Length`, if present and valid.
pub(crate) fn declared_length(headers: &hyper::HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
