//! A complete body in memory, and its transmission.

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// A complete body in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Content {
    segments: Arc<[Bytes]>,
    length: usize,
}

impl Content {
    pub(crate) fn new(segments: Vec<Bytes>) -> Self {
        let length = segments.iter().map(Bytes::len).sum();
        Content { segments: segments.into(), length }
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns its parts in order.
    pub(crate) fn segments(&self) -> &[Bytes] {
        &self.segments
    }
}

/// Sends a complete body, segment by segment.
#[derive(Debug, Default)]
pub struct Body {
    /// The segments that are left, the next one last.
    rest: Vec<Bytes>,
}

impl Body {
    pub(crate) fn new(content: Content) -> Self {
        Body { rest: content.segments.iter().rev().cloned().collect() }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.rest.pop().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.iter().map(|segment| segment.len() as u64).sum())
    }
}
