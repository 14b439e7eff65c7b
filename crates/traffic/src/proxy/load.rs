//! Shows operators which calls this node refuses, and how loaded its upstream is.

use fleet::status::{EntryLoad, Load, ServingLoad, Starts};
use model::time::Time;
use policy::{admission::Class, outcome::Cause};
use std::collections::HashMap;

use crate::proxy::{Proxy, services::Service};

/// Calls of one service that this node handled as entry node since its start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    answered: u64,
    refused: HashMap<Cause, u64>,
    retries_denied: u64,
}

impl Counts {
    fn is_empty(&self) -> bool {
        self.answered == 0 && self.refused.is_empty() && self.retries_denied == 0
    }
}

impl Proxy {
    /// Counts a call with an answer of an upstream.
    pub(crate) fn count_answered(&self, service: &str) {
        self.services.with(service, |s| s.counts.answered += 1);
    }

    /// Counts a call that was answered as not run; one without a known service is not counted.
    pub(crate) fn count_refused(&self, service: &str, cause: Cause) {
        if !service.is_empty() {
            self.services.with(service, |s| *s.counts.refused.entry(cause).or_default() += 1);
        }
    }

    /// Counts a retry that the fleet's budget did not allow.
    pub(crate) fn count_denied_retry(&self, service: &str) {
        self.services.with(service, |s| s.counts.retries_denied += 1);
    }

    /// Returns the calls and the load of this node, as entry node and as serving node.
    pub fn load_report(&self) -> Load {
        let now = self.clock.now();
        let load = self.load();
        Load {
            instance: self.settings.instance.clone(),
            entry: self.services.entry_loads(|name, service| entry_load(name, service, now)),
            serving: ServingLoad {
                service: self.settings.service.clone(),
                slots: self.slots.slots(),
                busy: load.busy,
                waiting: load.waiting,
                starts: self.slots.starts().map(|u| Starts { used: u.used, limit: u.limit }),
                warm_up: self.warm_up_report(),
                nested: self.nested_load(),
            },
        }
    }
}

/// Returns what operators see of a service that this node had calls of.
fn entry_load(name: &str, service: &Service, now: Time) -> Option<EntryLoad> {
    let counts = &service.counts;
    let refused = counts.refused.iter().map(|(cause, count)| (cause.name().to_owned(), *count));
    (!counts.is_empty()).then(|| EntryLoad {
        service: name.to_owned(),
        answered: counts.answered,
        refused: refused.collect(),
        retries_denied: counts.retries_denied,
        acceptance: service.acceptances.share(Class::External, now),
        nested_acceptance: service.acceptances.share(Class::Nested, now),
    })
}
