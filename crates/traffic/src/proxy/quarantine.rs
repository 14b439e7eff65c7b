//! Which calls must not run, since upstreams ended under such ones, and what this node adds to that.

use fleet::quarantine::{Crash, Quarantine};
use model::request::Fingerprint;
use policy::outcome::{Cause, Outcome};
use std::sync::Arc;

use crate::{call::Payload, proxy::Proxy};

impl Proxy {
    /// Does not run what is in `quarantine` from now on.
    pub fn set_quarantine(&self, quarantine: Arc<Quarantine>) {
        let before = self.quarantine.swap(quarantine.clone());
        let now = self.clock.now();
        for request in quarantine.suspects.difference(&before.suspects) {
            // Others may suspect what was answered here a moment ago.
            if self.crashes.was_answered(*request, now) {
                self.crashes.clear(*request);
            }
        }
    }

    /// Takes the ends of the own upstream that were found since the last time, with what ran at each.
    pub fn take_crashes(&self) -> Vec<Crash> {
        let ends = self.crashes.take_found();
        ends.iter().for_each(|_| self.meter.count_upstream_end());
        ends
    }

    /// Takes the suspected requests that the own upstream answered since the last time.
    pub fn take_cleared(&self) -> Vec<Fingerprint> {
        self.crashes.take_cleared()
    }

    /// Notes that the own upstream answered a request, and did not fail at it.
    pub(crate) fn note_answered(&self, request: Fingerprint) {
        self.crashes.record_answer(request, self.clock.now());
        if self.quarantine.load().suspects.contains(&request) {
            self.crashes.clear(request);
        }
    }

    /// Returns the outcome of a call to `service` that must not run, since upstreams ended under such calls.
    pub(crate) fn quarantined(&self, payload: &Payload, service: &str) -> Option<Outcome> {
        let quarantine = self.quarantine.load();
        if quarantine.until.is_empty() {
            return None;
        }
        let until = quarantine.until.get(&self.fingerprint(payload, service))?;
        let left = until.since(self.clock.now());
        (!left.is_zero()).then_some(Outcome::NotRun(Cause::Quarantined, left))
    }

    /// Tells whether an upstream is known to have ended under such a call.
    pub(crate) fn is_suspected(&self, payload: &Payload, service: &str) -> bool {
        let quarantine = self.quarantine.load();
        !quarantine.suspects.is_empty()
            && quarantine.suspects.contains(&self.fingerprint(payload, service))
    }

    /// Identifies what a call to `service` asks for.
    pub(crate) fn fingerprint(&self, payload: &Payload, service: &str) -> Fingerprint {
        payload.fingerprint((!self.config().has_routes()).then_some(service))
    }
}
