//! Reads what the upstream demands in the heads of its answers.

use hyper::HeaderMap;

use crate::{proxy::Proxy, wire};

/// Applies the demands in the head of a validated answer; without a limit header, none is in force.
pub(super) fn apply(proxy: &Proxy, headers: &HeaderMap) {
    match wire::read_limit(headers, &proxy.settings.names) {
        Ok(limit) => proxy.set_named_limit(limit),
        Err(value) => proxy.refuse_named_limit(value),
    }
}
