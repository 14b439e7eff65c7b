//! Body of a request, whose content is compared with its bytes on the wire.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use crate::connection::Connection;

/// Body of a request.
#[derive(Debug)]
pub struct Request {
    /// `None` for a request without a body that was read ahead.
    received: Option<(Incoming, Arc<Connection>)>,
}

impl Request {
    pub(crate) fn new(incoming: Incoming, connection: Arc<Connection>) -> Self {
        Request { received: Some((incoming, connection)) }
    }

    /// Returns a body without content.
    ///
    /// ```
    /// use hyper::body::Body;
    /// assert!(ingress::body::Request::empty().is_end_stream());
    /// ```
    pub fn empty() -> Self {
        Request { received: None }
    }
}

impl Body for Request {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some((incoming, connection)) = &mut self.received else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(incoming).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                connection.receive_content(frame.data_ref().map_or(0, Bytes::len));
            }
            Some(Err(_)) | None => connection.end_body(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.received.as_ref().is_none_or(|(incoming, _)| incoming.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let none = SizeHint::with_exact(0);
        self.received.as_ref().map_or(none, |(incoming, _)| incoming.size_hint())
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        if let Some((_, connection)) = &self.received {
            connection.end_body();
        }
    }
}

/// Body of an answer; dropped once all of it was passed on to be written.
#[derive(Debug)]
pub(crate) struct Answer<B> {
    content: B,
    connection: Arc<Connection>,
}

impl<B> Answer<B> {
    pub(crate) fn new(content: B, connection: Arc<Connection>) -> Self {
        Answer { content, connection }
    }
}

impl<B: Body + Unpin> Body for Answer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.content).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

impl<B> Drop for Answer<B> {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}
