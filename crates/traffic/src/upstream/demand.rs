//! Reads what the upstream demands in the heads of its answers.

use hyper::Response;

use crate::{call::Offer, proxy::Proxy, upstream::validation::refusal_cause, wire};

/// Applies the demands in the head of a validated answer to `offer`.
///
/// An answer without a limit header lifts the limit, unless it is a refusal: an upstream that is full may not say
/// more than that.
pub(super) fn apply<T>(proxy: &Proxy, offer: &Offer, head: &Response<T>) {
    let (headers, names) = (head.headers(), &proxy.settings.names);
    // Without an identity, the next process at the address could not be told from this one.
    if let Some(identity) = &offer.identity
        && wire::says_leaving(headers, names)
    {
        proxy.set_upstream_leaving(identity, offer.started_ms);
    }
    match wire::read_limit(headers, names) {
        Ok(None) if refusal_cause(proxy, head).is_some() => {}
        Ok(limit) => proxy.set_named_limit(limit),
        Err(value) => proxy.refuse_named_limit(value),
    }
}
