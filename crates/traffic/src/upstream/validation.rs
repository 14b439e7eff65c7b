//! Whether what came from the upstream is its answer to this call.

use hyper::{Response, StatusCode, header};
use policy::outcome::Cause;

use crate::{call::Offer, proxy::Proxy, wire};

/// Tells whether an answer is to this call.
///
/// An upstream that echoes an id lets a crossed or late answer be told from the right one;
/// HTTP/1.1 alone cannot.
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
        // A refusal need not say to what: it proves nothing but that this call has not run.
        (Some(_), None) => refusal_cause(proxy, head).is_some(),
    }
}

/// Tells whether an answer can be passed on as the upstream's own.
///
/// A success without the upstream's mark, or in an encoding that nobody asked for, is not what the
/// upstream sent. A status that promises "not run" without the mark of a refusal promises more
/// than is known.
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

/// Returns why the upstream has not run the call, if its answer says that it has not.
pub(super) fn refusal_cause<T>(proxy: &Proxy, head: &Response<T>) -> Option<Cause> {
    let name = proxy.settings.names.refused.as_ref()?;
    if head.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some(Cause::Replaced);
    }
    head.headers().contains_key(name).then_some(Cause::Refused)
}
