//! The retry budget of the fleet, as this node applies it.

use crate::{
    proxy::Proxy,
    record::events::{BudgetUse, Event},
};

impl Proxy {
    /// Returns the number of nodes that share the retry budget of the fleet.
    pub(crate) fn fleet_size(&self) -> usize {
        self.view().iter().count()
    }

    /// Returns whether the colocated upstream may run a retry: the calls that it makes for it count as
    /// retries of the services that it calls.
    pub(crate) fn may_run_retry(&self) -> bool {
        let budget = self.tuning().budget;
        budget.is_none_or(|settings| {
            self.services.may_retry_nested(&settings, self.fleet_size(), self.clock.now())
        })
    }

    /// Counts how an attempt or a call counted towards the retry budget of `service`.
    pub(crate) fn count_budget_use(&self, service: &str, how: BudgetUse) {
        self.meter.count_budget_use(service, how.name());
        self.events.add(Event::Budget(service.to_owned(), how));
    }
}
