//! Applies the quarantine of poison requests, and collects this node's evidence for it.

use fleet::quarantine::{Crash, Quarantine};
use model::request::Fingerprint;
use policy::outcome::{Cause, Outcome};
use std::sync::Arc;

use crate::{call::Payload, proxy::Proxy};

impl Proxy {
    /// Replaces the quarantine: its requests are refused from now on.
    pub fn set_quarantine(&self, quarantine: Arc<Quarantine>) {
        let before = self.quarantine.swap(quarantine.clone());
        let now = self.clock.now();
        for request in quarantine.suspects.difference(&before.suspects) {
            // Another node may suspect a request that was just answered here.
            if self.crashes.was_answered(*request, now) {
                self.crashes.clear(*request);
            }
        }
    }

    /// Takes the crashes of the colocated upstream since the last call, with the suspected requests.
    pub fn take_crashes(&self) -> Vec<Crash> {
        let crashes = self.crashes.take_found();
        crashes.iter().for_each(|_| self.meter.count_upstream_crash());
        crashes
    }

    /// Takes the suspected requests that the colocated upstream answered since the last call.
    pub fn take_cleared(&self) -> Vec<Fingerprint> {
        self.crashes.take_cleared()
    }

    /// Records that the colocated upstream answered a request without a server error.
    pub(crate) fn record_answered(&self, request: Fingerprint) {
        self.crashes.record_answer(request, self.clock.now());
        if self.quarantine.load().suspects.contains(&request) {
            self.crashes.clear(request);
        }
    }

    /// Returns the outcome of a quarantined call to `service`; `None` if the call may run.
    pub(crate) fn quarantined(&self, payload: &Payload, service: &str) -> Option<Outcome> {
        let quarantine = self.quarantine.load();
        if quarantine.until.is_empty() {
            return None;
        }
        let until = quarantine.until.get(&self.fingerprint(payload, service))?;
        let left = until.since(self.clock.now());
        (!left.is_zero()).then_some(Outcome::NotRun(Cause::Quarantined, left))
    }

    /// Returns whether the call is suspected to crash upstreams.
    pub(crate) fn is_suspected(&self, payload: &Payload, service: &str) -> bool {
        let quarantine = self.quarantine.load();
        !quarantine.suspects.is_empty()
            && quarantine.suspects.contains(&self.fingerprint(payload, service))
    }

    /// Returns the fingerprint of a call to `service`.
    pub(crate) fn fingerprint(&self, payload: &Payload, service: &str) -> Fingerprint {
        let uses_routes = self.settings.addressing.uses_routes(&self.config());
        payload.fingerprint((!uses_routes).then_some(service))
    }
}
