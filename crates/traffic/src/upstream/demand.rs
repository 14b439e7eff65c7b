//! Reads what the upstream demands in the heads of its answers.

use hyper::HeaderMap;

use crate::{proxy::Proxy, wire};

/// Records the demands in the head of a validated answer; without a limit header, none is in force.
pub(super) fn record(proxy: &Proxy, headers: &HeaderMap) {
    match wire::read_limit(headers, &proxy.settings.names) {
        Ok(limit) => proxy.demand.set_limit(limit),
        Err(value) => proxy.demand.refuse_limit(value),
    }
}
