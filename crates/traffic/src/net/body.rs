//! Taking in bodies whole, within bounds of size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Empty, LengthLimitError, Limited};
use hyper::{
    body::{Body, Incoming},
    header,
};
use std::{error::Error, time::Duration};

/// The body of a request: as it comes, or none where the request was read along.
pub(crate) type Inbound = Either<Incoming, Empty<Bytes>>;

/// Why a body was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    TimedOut,
    /// It broke off before its declared end.
    Truncated,
}

/// Receives `body` whole.
///
/// A body that breaks off is an error, never a shorter body: `hyper` compares it with the declared
/// length, or looks for the last chunk. Half of a sales file must not look like a file.
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

/// Returns the declared length of a body, if there is one.
pub(crate) fn declared_length(headers: &hyper::HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
