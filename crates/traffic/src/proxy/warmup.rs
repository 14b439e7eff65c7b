//! Rate limits of cold upstreams.

use fleet::view::{Upstream, View};
use model::{service::WarmUp, time::Time};
use policy::warmup::{Limit, Source};
use std::sync::Arc;

use crate::proxy::{Proxy, colocated};

impl Proxy {
    /// Returns the warm-up limit of `service`, if it has one.
    pub(crate) fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.config.load().service(service)?.warm_up
    }

    /// Returns the rate limit of an upstream under `warm_up`; `None` if the upstream is warm.
    pub(crate) fn warm_up_limit(
        &self,
        warm_up: WarmUp,
        upstream: &Upstream,
        now: Time,
    ) -> Option<Limit> {
        let (_, until) = cold_until(upstream, warm_up);
        let excess = self.tuning().cold_excess;
        let limit = || self.window(warm_up, until).unwrap_or(Limit::new(warm_up, excess, until));
        (now < until).then(limit)
    }

    /// Updates the rate limit of the colocated upstream.
    pub(crate) fn refresh_warm_up(&self) {
        let now = self.clock.now();
        let warm_up = self.warm_up(&self.settings.service);
        if self.uses_window() {
            self.refresh_window();
            return;
        }
        let limit = warm_up.and_then(|warm_up| self.colocated_limit(warm_up, now));
        self.slots.set_warm_up(limit, now);
    }

    /// Updates the window of the colocated upstream, if it has one.
    ///
    /// A queued call that is granted a slot does not refresh the limit; without this, calls queued
    /// while the upstream was thought warm could exceed it.
    pub(crate) fn refresh_window(&self) {
        if !self.uses_window() {
            return;
        }
        let Some(warm_up) = self.warm_up(&self.settings.service) else { return };
        loop {
            let view = self.view();
            let Some(window) = self.colocated_window(&view, warm_up) else { return };
            self.slots.set_window(window, self.trust(), self.clock.now());
            // A thread with an older view must not undo the limit of a newer one.
            if Arc::ptr_eq(&view, &self.view()) {
                return;
            }
        }
    }

    /// Returns whether the colocated upstream is limited by a window while it is cold.
    fn uses_window(&self) -> bool {
        let warm_up = self.warm_up(&self.settings.service);
        warm_up.is_some_and(|warm_up| self.window(warm_up, Time::default()).is_some())
    }

    /// Returns the window of the colocated upstream, also while it is warm; `None` without one.
    fn colocated_window(&self, view: &View, warm_up: WarmUp) -> Option<Limit> {
        let entries = colocated::entries(view, &self.settings);
        let reports = entries.map(|upstream| cold_until(upstream, warm_up));
        let latest = reports.max_by_key(|(_, until)| *until);
        let (source, until) = latest.unwrap_or((Source::List, Time::default()));
        self.window(warm_up, self.update_listed(source, until))
    }

    /// Returns the limit by a window of an upstream that is cold until `until`, if windows are
    /// switched on or the upstream is probed.
    fn window(&self, warm_up: WarmUp, until: Time) -> Option<Limit> {
        let tuning = self.tuning();
        let is_on = (tuning.overload.cold_window && self.settings.incarnation.is_none())
            || self.probe_path().is_some();
        if is_on { Limit::of_window(warm_up, tuning.cold_excess, until) } else { None }
    }

    fn colocated_limit(&self, warm_up: WarmUp, now: Time) -> Option<Limit> {
        let view = self.view.load();
        let entries = colocated::entries(&view, &self.settings);
        let limits = entries.filter_map(|upstream| self.warm_up_limit(warm_up, upstream, now));
        limits.max_by_key(|limit| limit.until)
    }
}

/// Returns until when an upstream is cold, and by which source. After an evacuation ends, every
/// upstream of the data centre counts as cold, because the reports of those that became cold during
/// it arrive too late.
fn cold_until(upstream: &Upstream, warm_up: WarmUp) -> (Source, Time) {
    let after_evacuation = upstream.readmitted_at.map(|at| at + warm_up.length);
    match after_evacuation.filter(|until| *until > upstream.cold_until) {
        Some(until) => (Source::Evacuation, until),
        None => (Source::List, upstream.cold_until),
    }
}
