//! Applies `policy::client_retry`: recognises a caller's retry of a refused request.

use hyper::{HeaderMap, Method, Response, Uri, header};
use model::{request::Fingerprint, time::Time};
use policy::client_retry::Attempt;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    proxy::Proxy,
    wire::{self, header_text},
};

/// A caller's attempts at one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    fingerprint: Fingerprint,
    /// Whether this is a first attempt or a retry.
    pub(crate) attempt: Attempt,
    /// When the first attempt was received.
    pub(crate) first_received: Time,
    /// When the caller stops waiting for an answer.
    deadline: Time,
}

/// Matches a request with the caller's earlier attempts; the caller waits for another `remaining`.
pub(crate) fn identify(
    proxy: &Proxy,
    method: &Method,
    target: &Uri,
    headers: &HeaderMap,
    received: Time,
    remaining: Duration,
) -> Caller {
    let fingerprint = fingerprint(method, target, headers);
    let (attempt, first_received) =
        proxy.with_refused(|refused| refused.take(fingerprint, received));
    Caller { fingerprint, attempt, first_received, deadline: received + remaining }
}

/// Records a caller whose response is a server error, since it may retry.
pub(crate) fn record(proxy: &Proxy, caller: Caller, response: &Response<wire::Body>) {
    if !response.status().is_server_error() {
        return;
    }
    let retry_after = header_text(response.headers(), wire::RETRY_AFTER_MS);
    let delay = retry_after
        .and_then(|text| text.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis);
    let now = proxy.clock.now();
    let Caller { fingerprint, first_received, deadline, .. } = caller;
    proxy.with_refused(|refused| refused.record(fingerprint, first_received, now, delay, deadline));
}

fn fingerprint(method: &Method, target: &Uri, headers: &HeaderMap) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(header_text(headers, header::HOST).unwrap_or_default().as_bytes());
    hash.update(target.to_string().as_bytes());
    Fingerprint(hash.digest())
}
