//! Rate limits of cold upstreams.

use fleet::view::Upstream;
use model::{service::WarmUp, time::Time};
use policy::warmup::Limit;

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
        let until = cold_until(upstream, warm_up);
        (now < until).then(|| Limit::new(warm_up, self.tuning().cold_excess, until))
    }

    /// Updates the rate limit of the colocated upstream.
    pub(crate) fn refresh_warm_up(&self) {
        let now = self.clock.now();
        let warm_up = self.warm_up(&self.settings.service);
        let limit = warm_up.and_then(|warm_up| self.colocated_limit(warm_up, now));
        self.slots.set_warm_up(limit, now);
    }

    fn colocated_limit(&self, warm_up: WarmUp, now: Time) -> Option<Limit> {
        let view = self.view.load();
        let entries = colocated::entries(&view, &self.settings);
        let limits = entries.filter_map(|upstream| self.warm_up_limit(warm_up, upstream, now));
        limits.max_by_key(|limit| limit.until)
    }
}

/// Returns until when an upstream is cold. After an evacuation ends, every upstream of the data centre
/// counts as cold, because the reports of those that became cold during it arrive too late.
fn cold_until(upstream: &Upstream, warm_up: WarmUp) -> Time {
    let after_evacuation = upstream.readmitted_at.map(|at| at + warm_up.length);
    upstream.cold_until.max(after_evacuation.unwrap_or_default())
}
