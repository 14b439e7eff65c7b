//! Reads what the upstream demands in the heads of its answers.

use hyper::HeaderMap;

use crate::{call::Offer, proxy::Proxy, wire};

/// Applies the demands in the head of a validated answer to `offer`; without a limit header, none is in force.
pub(super) fn apply(proxy: &Proxy, offer: &Offer, headers: &HeaderMap) {
    // Without an identity, the next process at the address could not be told from this one.
    if let Some(identity) = &offer.identity
        && wire::says_leaving(headers, &proxy.settings.names)
    {
        proxy.set_upstream_leaving(identity, offer.started_ms);
    }
    match wire::read_limit(headers, &proxy.settings.names) {
        Ok(limit) => proxy.set_named_limit(limit),
        Err(value) => proxy.refuse_named_limit(value),
    }
}
