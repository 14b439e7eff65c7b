//! What the list says of the upstream beside this node.

use fleet::{
    member,
    view::{Upstream, View},
};

use crate::proxy::{services::is_same_incarnation, settings::Settings};

/// Returns the entry of the own upstream, if it is listed.
pub(crate) fn find<'a>(view: &'a View, settings: &'a Settings) -> Option<&'a Upstream> {
    entries(view, settings).next()
}

/// Tells whether the own upstream is the same in two views, with the same life.
pub(crate) fn is_same(before: &View, view: &View, settings: &Settings) -> bool {
    match (find(before, settings), find(view, settings)) {
        (Some(a), Some(b)) => is_same_incarnation(a, b),
        (None, None) => true,
        _ => false,
    }
}

/// Returns how many calls the own upstream can work on at once, where the list tells it.
pub(crate) fn slots(view: &View, settings: &Settings) -> Option<usize> {
    entries(view, settings).map(|u| u.slots).filter(|slots| *slots > 0).max()
}

/// Tells whether the upstream `identity` beside this node takes no more work.
pub(crate) fn has_left(view: &View, settings: &Settings, identity: Option<&str>) -> bool {
    let is_leaving = |u: &Upstream| u.state == member::State::Leaving;
    entries(view, settings).any(|u| u.identity.as_deref() == identity && is_leaving(u))
}

/// Tells whether operators had the data centre of the own upstream evacuated.
pub(crate) fn is_evacuated(view: &View, settings: &Settings) -> bool {
    entries(view, settings).any(|u| u.state == member::State::Evacuated)
}

/// Tells whether the upstream `identity` beside this node has started again after `started_ms`.
pub(crate) fn has_restarted(
    view: &View,
    settings: &Settings,
    identity: Option<&str>,
    started_ms: Option<u64>,
) -> bool {
    let mut own = view.iter().filter(|(_, u)| u.address == settings.address);
    started_ms.is_some()
        && own.any(|(_, u)| u.identity.as_deref() == identity && u.started_ms > started_ms)
}

/// Iterates over what the list says of the own upstream; more than one entry where an address is reused.
pub(crate) fn entries<'a>(
    view: &'a View,
    settings: &'a Settings,
) -> impl Iterator<Item = &'a Upstream> {
    view.upstreams(&settings.service).iter().filter(|u| u.address == settings.address)
}
