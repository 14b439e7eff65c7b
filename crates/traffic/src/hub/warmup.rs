//! Which upstreams are cold, and how many calls they get.

use fleet::view::Upstream;
use model::{config::Snapshot, time::Time};
use policy::warmup::{Limit, Terms};

use crate::hub::{Hub, own};

impl Hub {
    /// Returns the limit of calls to `upstream`, if it is cold and its service has such a limit.
    pub(crate) fn warm_up(
        &self,
        config: &Snapshot,
        service: &str,
        upstream: &Upstream,
        now: Time,
    ) -> Option<Limit> {
        let terms = terms(config, service)?;
        let until = cold_until(upstream, terms);
        (now < until).then(|| Limit::new(terms, self.tuning().cold_excess, until))
    }

    /// Has the slots of the own upstream follow whether it is cold.
    pub(crate) fn refresh_warm_up(&self) {
        let now = self.clock.now();
        let view = self.view.load();
        let config = self.config.load();
        let service = &self.settings.service;
        let limits = own::entries(&view, &self.settings)
            .filter_map(|upstream| self.warm_up(&config, service, upstream, now));
        self.slots.set_warm_up(limits.max_by_key(|limit| limit.until), now);
    }
}

/// Returns what cold upstreams of `service` bear, where that is limited.
fn terms(config: &Snapshot, service: &str) -> Option<Terms> {
    let warm_up = config.service(service)?.warm_up?;
    let calls_per_s = warm_up.calls_per_min as f64 / 60.0;
    Some(Terms { calls_per_s, length: warm_up.length })
}

/// Returns until when an upstream is cold. Whether it became so while its data centre was evacuated is told
/// too late, so it counts as cold from the moment at which that was taken back.
fn cold_until(upstream: &Upstream, terms: Terms) -> Time {
    let after_evacuation = upstream.taken_back.map(|at| at + terms.length);
    upstream.cold_until.max(after_evacuation.unwrap_or_default())
}
