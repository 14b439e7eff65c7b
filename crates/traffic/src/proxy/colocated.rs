//! Entries of the colocated upstream in the view.

use fleet::{
    member,
    view::{Upstream, View},
};

use crate::proxy::{services::is_same_incarnation, settings::Settings};

/// Returns the entry of the colocated upstream, if it is listed.
pub(crate) fn find<'a>(view: &'a View, settings: &'a Settings) -> Option<&'a Upstream> {
    entries(view, settings).next()
}

/// Returns whether the colocated upstream is the same process in two views.
pub(crate) fn is_same(before: &View, view: &View, settings: &Settings) -> bool {
    match (find(before, settings), find(view, settings)) {
        (Some(a), Some(b)) => is_same_incarnation(a, b),
        (None, None) => true,
        _ => false,
    }
}

/// Returns the concurrency limit of the colocated upstream, if it is listed with one.
pub(crate) fn slots(view: &View, settings: &Settings) -> Option<usize> {
    entries(view, settings).map(|u| u.slots).filter(|slots| *slots > 0).max()
}

/// Returns whether the colocated upstream `identity` is listed as leaving.
pub(crate) fn has_left(view: &View, settings: &Settings, identity: Option<&str>) -> bool {
    let is_leaving = |u: &Upstream| u.state == member::State::Leaving;
    entries(view, settings).any(|u| u.identity.as_deref() == identity && is_leaving(u))
}

/// Returns whether the data centre of the colocated upstream is evacuated.
pub(crate) fn is_evacuated(view: &View, settings: &Settings) -> bool {
    entries(view, settings).any(|u| u.state == member::State::Evacuated)
}

/// Returns whether the colocated upstream `identity` has restarted after `started_ms`.
pub(crate) fn has_restarted(
    view: &View,
    settings: &Settings,
    identity: Option<&str>,
    started_ms: Option<u64>,
) -> bool {
    let mut listed = view.iter().filter(|(_, u)| u.address == settings.address);
    started_ms.is_some()
        && listed.any(|(_, u)| u.identity.as_deref() == identity && u.started_ms > started_ms)
}

/// Iterates over the entries of the colocated upstream; several if its address was reused.
pub(crate) fn entries<'a>(
    view: &'a View,
    settings: &'a Settings,
) -> impl Iterator<Item = &'a Upstream> {
    view.upstreams(&settings.service).iter().filter(|u| u.address == settings.address)
}
