//! Validates that an answer came from the upstream and belongs to the call.

use hyper::{Response, StatusCode, header};
use policy::outcome::Cause;

use crate::{call::Offer, proxy::Proxy, wire};

/// Returns whether the request id that an answer echoes is that of the call.
///
/// Detects answers that are crossed, duplicated or late; HTTP/1.1 has no means of its own for that.
pub(super) fn matches_request<T>(proxy: &Proxy, offer: &Offer, head: &Response<T>) -> bool {
    let Some(name) = &proxy.settings.names.request else {
        return match wire::read_number(head.headers(), wire::ID) {
            Ok(None) => true,
            Ok(Some(id)) => id == offer.id,
            Err(wire::Malformed) => false,
        };
    };
    match (offer.payload.headers.get(name), head.headers().get(name)) {
        (Some(sent), Some(echoed)) => sent == echoed,
        (None, _) => true,
        // A refusal needs no id: it only proves that this call has not run.
        (Some(_), None) => refusal_cause(proxy, head).is_some(),
    }
}

/// Returns whether an answer can be forwarded as the upstream's.
///
/// A success without the upstream's stamp, or with a content encoding, was not sent by it. A status
/// that means "not run" is forwarded only with the header of a refusal.
pub(super) fn is_authentic<T>(proxy: &Proxy, head: &Response<T>) -> bool {
    let names = &proxy.settings.names;
    let stamped = names.stamp.as_ref().is_none_or(|name| head.headers().contains_key(name));
    let plain = !head.headers().contains_key(header::CONTENT_ENCODING);
    let promises = names.refused.is_some() && wire::promises_not_run(head.status());
    if head.status().is_success() {
        return stamped && plain;
    }
    !promises || refusal_cause(proxy, head).is_some()
}

/// Returns the cause if the answer is a refusal by the upstream.
pub(super) fn refusal_cause<T>(proxy: &Proxy, head: &Response<T>) -> Option<Cause> {
    let name = proxy.settings.names.refused.as_ref()?;
    if head.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some(Cause::Replaced);
    }
    head.headers().contains_key(name).then_some(Cause::Refused)
}
