//! Applies `policy::fairness`: counts the answered calls of this node's callers, by service.

use policy::admission::Class;

use crate::proxy::Proxy;

impl Proxy {
    /// Counts an answered call of a caller to `service`.
    pub(crate) fn record_usage(&self, service: &str) {
        let overload = self.tuning().overload;
        if !overload.fair_shares && !overload.paced_returns {
            return;
        }
        let now = self.clock.now();
        self.services.with(service, |records| records.usage.record(now));
    }

    /// Returns the usage of `service` that offers of `class` state.
    ///
    /// `None` for nested calls, whose order does not depend on it, and if fair shares are off. Fair shares
    /// apply in list mode only: otherwise, nested calls are not told apart by their rank.
    pub(crate) fn offered_usage(&self, service: &str, class: Class) -> Option<u64> {
        let is_on = self.settings.incarnation.is_none() && self.tuning().overload.fair_shares;
        (is_on && class == Class::External).then(|| {
            let now = self.clock.now();
            self.services.with(service, |records| records.usage.count(now))
        })
    }

    /// Records the metrics of fair shares.
    pub(super) fn record_fairness(&self) {
        let now = self.clock.now();
        let usages = self.services.usages(now);
        usages.iter().for_each(|(name, calls)| self.meter.set_usage(name, *calls));
        self.meter.count_overtaking(self.slots.take_overtaking());
    }
}
