//! Serves one connection by `hyper`.

use bytes::Bytes;
use hyper::{Request, Response, body::Body, server::conn::http1, service::service_fn};
use std::{convert::Infallible, error::Error, time::Duration};
use tokio::time::timeout;

use crate::{
    body,
    limits::Reason,
    listener::{Accepted, Registration},
    stream::Probe,
};

/// Time for the client to read the last answer and close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

impl Accepted {
    /// Answers the requests of the connection by `service`, until it is closed.
    pub async fn serve<F, B>(self, service: impl Fn(Request<body::Request>) -> F)
    where
        F: Future<Output = Response<B>>,
        B: Body<Data = Bytes> + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let (stream, registration) = self.into_parts();
        let connection = &registration.connection;
        let probe = stream.probe();
        // Until it sends something, a connection needs no buffers.
        if !stream.first_byte().await {
            return;
        }
        let limits = connection.policy().limits();
        let service = service_fn(|request: Request<hyper::body::Incoming>| {
            connection.begin_request(!request.body().is_end_stream());
            let request = request.map(|incoming| body::Request::new(incoming, connection.clone()));
            // Boxed, since `hyper` reserves the memory of the future for each connection.
            let answer = Box::pin(service(request));
            async move {
                let answer = answer.await;
                Ok::<_, Infallible>(answer.map(|b| body::Answer::new(b, connection.clone())))
            }
        });
        let mut builder = http1::Builder::new();
        // The stream has its own limits on the time of a head.
        builder.header_read_timeout(None).max_buf_size(limits.head_bytes());
        // An error means that the client broke the connection or the protocol, or that a limit was passed; its
        // requests have already been answered or cancelled.
        let _ = builder.serve_connection(stream, service).without_shutdown().await;
        linger(&probe, &registration).await;
    }
}

/// Shuts down the write side, then discards input until the client closes or the timeout passes.
///
/// Closing a socket with unread bytes, such as pipelined requests, resets the connection and may
/// destroy an answer that the client has not read yet.
async fn linger(probe: &Probe, registration: &Registration) {
    let is_abandoned = matches!(
        registration.connection.reason(),
        Some(Reason::Replaced | Reason::Memory | Reason::UnreadAnswer | Reason::Framing)
    );
    if is_abandoned {
        return probe.close();
    }
    registration.connection.begin_close();
    let read = async { while probe.discard().await {} };
    if probe.shutdown().is_ok() {
        // The connection is closed in either case.
        let _ = timeout(LINGER_TIMEOUT, read).await;
    }
}
