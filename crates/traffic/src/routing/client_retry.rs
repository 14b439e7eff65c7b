//! Tells a caller's later attempts from first ones: `policy::client_retry` put into effect.

use hyper::{HeaderMap, Method, Response, Uri, header};
use model::{request::Fingerprint, time::Time};
use policy::client_retry::Attempt;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    proxy::Proxy,
    wire::{self, header_text},
};

/// What is known of a caller's attempts at one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    fingerprint: Fingerprint,
    /// Which of its attempts this is.
    pub(crate) attempt: Attempt,
    /// When its first attempt arrived.
    pub(crate) first_received: Time,
    /// When its time is over.
    deadline: Time,
}

/// Returns whose attempt a request is that arrived at `received`, with `remaining` left to its
/// caller.
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

/// Notes a caller who was told something after which it may ask again.
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
