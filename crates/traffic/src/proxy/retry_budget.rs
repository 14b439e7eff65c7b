//! The retry budget of the fleet, as this node applies it.

use model::time::Time;
use policy::budget::{Census, Part, Settings};
use std::time::Duration;

use crate::{
    lock::lock,
    proxy::{Proxy, colocated},
    record::events::{BudgetUse, Event},
};

impl Proxy {
    /// Updates this node's part of the slack; `contact_age` is the age of the platform's last answer to any
    /// node, if one is known. Called at least once a second.
    pub fn update_share(&self, contact_age: Option<Duration>) {
        let Some(settings) = self.tuning().budget else { return };
        let (view, now) = (self.view(), self.clock.now());
        let census = Census {
            nodes: view.iter().count(),
            is_listed: colocated::find(&view, &self.settings).is_some(),
            contact: contact_age
                .map(|age| Time::at(now.since(Time::default()).saturating_sub(age))),
        };
        lock(&self.share).update(&settings, census, now);
    }

    /// Returns this node's part of the fleet's budget that does not depend on its calls.
    pub(crate) fn budget_part(&self, settings: &Settings) -> Part {
        lock(&self.share).part(settings, self.clock.now())
    }

    /// Returns whether the colocated upstream may run a retry: the calls that it makes for it count as
    /// retries of the services that it calls.
    pub(crate) fn may_run_retry(&self) -> bool {
        let budget = self.tuning().budget;
        budget.is_none_or(|settings| {
            let part = self.budget_part(&settings);
            let calls = self.running.nested_calls_after_retry();
            self.services.may_retry_nested(&settings, part, calls, self.clock.now())
        })
    }

    /// Counts how an attempt or a call counted towards the retry budget of `service`.
    pub(crate) fn count_budget_use(&self, service: &str, how: BudgetUse) {
        self.meter.count_budget_use(service, how.name());
        if how == BudgetUse::Refused {
            self.count_denied_retry(service);
        }
        self.events.add(Event::Budget(service.to_owned(), how));
    }
}
