//! The HTTP side of messages from other nodes: receives a request in accounted memory and answers it.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Body,
    header::{self, HeaderValue},
};
use ingress::{
    body,
    listener::Context,
    memory::{Lease, Memory},
};
use jsonrpsee::server::RpcModule;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

use crate::Handler;

/// Time limit for receiving a message.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a request, in bytes; holds the records of 8,000 nodes.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// Limit on the memory of all requests and answers, in bytes; holds one answer of the largest size.
const MAX_HELD_BYTES: usize = 16 << 20;

/// Memory of a message for each of its bytes: as it was received, and as it is parsed.
const MEMORY_FACTOR: usize = 2;

/// Answers messages; clones share their state.
#[derive(Clone)]
pub(crate) struct Endpoint {
    module: Arc<RpcModule<Arc<dyn Handler>>>,
    context: Arc<Context>,
    memory: Memory,
}

/// A message, with its memory.
struct Message {
    text: Vec<u8>,
    lease: Lease,
}

impl Endpoint {
    pub(crate) fn new(module: RpcModule<Arc<dyn Handler>>, context: Arc<Context>) -> Self {
        Endpoint { module: Arc::new(module), context, memory: Memory::default() }
    }

    /// Answers a message.
    pub(crate) async fn answer(&self, request: Request<body::Request>) -> Response<Full<Bytes>> {
        let received = timeout(RECEIVE_TIMEOUT, self.receive(request.into_body())).await;
        let message = match received.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT)) {
            Ok(message) => message,
            Err(status) => return empty(status),
        };
        let Ok(text) = str::from_utf8(&message.text) else { return empty(StatusCode::BAD_REQUEST) };
        match self.module.raw_json_request(text, 1).await {
            Ok((answer, _)) => self.respond(answer.get().as_bytes().to_vec(), message.lease),
            Err(_) => empty(StatusCode::BAD_REQUEST),
        }
    }

    /// Receives a message within the memory that is left; fails with the status of the refusal.
    async fn receive(&self, mut body: body::Request) -> Result<Message, StatusCode> {
        let mut message = Message { text: Vec::new(), lease: self.memory.lease() };
        let declared = usize::try_from(body.size_hint().exact().unwrap_or(0)).unwrap_or(usize::MAX);
        if declared > MAX_REQUEST_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
            let Ok(part) = frame.into_data() else { continue };
            if message.text.len() + part.len() > MAX_REQUEST_BYTES {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            self.charge(&mut message.lease, message.text.len() + part.len())?;
            message.text.extend_from_slice(&part);
        }
        Ok(message)
    }

    /// Extends the lease to that of `bytes` bytes of a message.
    fn charge(&self, lease: &mut Lease, bytes: usize) -> Result<(), StatusCode> {
        let more = (MEMORY_FACTOR * bytes).saturating_sub(lease.bytes());
        if lease.extend(more, MAX_HELD_BYTES) {
            return Ok(());
        }
        self.context.relieve();
        Err(StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Returns an answer, which holds its memory until it was read.
    fn respond(&self, answer: Vec<u8>, mut lease: Lease) -> Response<Full<Bytes>> {
        lease.shrink(lease.bytes());
        if !lease.extend(answer.len(), MAX_HELD_BYTES) {
            self.context.relieve();
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut response = Response::new(Full::new(lease.attach(answer)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
