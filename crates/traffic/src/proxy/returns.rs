//! Applies `policy::client_retry::returns`: when refused callers of this node may return.

use policy::{client_retry::returns, outcome::Cause, urgency::Timing};
use std::time::Duration;

use crate::proxy::Proxy;

impl Proxy {
    /// Returns the retry-after of a caller that is refused for `cause` at `timing.received`, and at least
    /// `earliest` if the caller can use that; `None` if its return is not paced.
    ///
    /// Returns are paced in list mode only, where routes state objectives.
    pub(crate) fn promise_return(
        &self,
        service: &str,
        cause: Cause,
        timing: Timing,
        earliest: Duration,
    ) -> Option<Duration> {
        let is_on = self.settings.incarnation.is_none() && self.tuning().overload.paced_returns;
        if !is_on || !returns::is_paced(cause) {
            return None;
        }
        self.services.with(service, |records| {
            records.promises.promise(timing, earliest, records.usage, &mut rand::rng())
        })
    }

    /// Records the metric of promised returns.
    pub(super) fn record_promises(&self) {
        let promises = self.services.promises(self.clock.now());
        promises.iter().for_each(|(name, count)| self.meter.set_promised_returns(name, *count));
    }
}
