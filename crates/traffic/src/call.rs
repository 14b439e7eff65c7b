//! The parts of a request that are passed on unchanged.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Uri};

use crate::wire;

/// A whole request in hand; cloning it shares the body.
#[derive(Clone, Debug)]
pub(crate) struct Payload {
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Payload {
    /// Returns a request to send on.
    pub(crate) fn request(&self) -> Request<wire::Body> {
        let mut request = Request::new(wire::Body::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
