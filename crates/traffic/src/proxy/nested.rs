//! Nested admission, as this node applies it: observes the nested calls of its upstream and refuses
//! parents.

use fleet::{status::NestedLoad, timeline::Kind};
use policy::{
    nested::{Capacity, Decision, Run},
    outcome::{Cause, Outcome},
};

use crate::{
    call::{Answer, Payload},
    lock::lock,
    proxy::Proxy,
    wire,
};

impl Proxy {
    /// Returns whether calls are refused for their nested calls.
    fn is_nested_admission_on(&self) -> bool {
        self.settings.incarnation.is_none() && self.tuning().overload.nested_admission
    }

    /// Returns the run of a request, by its route; `None` without nested admission or a known
    /// route.
    pub(crate) fn nested_run(&self, payload: &Payload) -> Option<Run> {
        if !self.is_nested_admission_on() {
            return None;
        }
        let config = self.config();
        let route = config.route(&wire::host(&payload.headers), payload.path.path())?;
        Some(Run::new(&route.name, route.spec.priority))
    }

    /// Decides whether `run` may begin; one that is not known may.
    pub(crate) fn admit_nested(&self, run: Option<&Run>) -> Result<(), Outcome> {
        let Some(run) = run else { return Ok(()) };
        let now = self.clock.now();
        match lock(&self.nested).decide(run, now, &mut rand::rng()) {
            Decision::Admit => Ok(()),
            Decision::Refuse => Err(Cause::NestedOverloaded.outcome()),
        }
    }

    /// Records the nested calls of a run that has ended.
    pub(crate) fn record_nested_run(&self, run: Option<Run>) {
        if let Some(run) = run {
            lock(&self.nested).record_run(&run, self.clock.now());
        }
    }

    /// Counts the nested call `id` to `service` for its parent, and returns the priority of the
    /// parent's route; `None` if the call is not nested or nested admission is off.
    pub(crate) fn begin_nested_call(&self, id: &str, service: &str) -> Option<u8> {
        self.is_nested_admission_on().then(|| self.running.count_nested(id, service))?
    }

    /// Records the final result of a nested call whose parent's route has `priority`.
    pub(crate) fn record_nested_call(
        &self,
        priority: Option<u8>,
        service: &str,
        result: &Result<Answer, Outcome>,
    ) {
        let Some(priority) = priority else { return };
        let capacity = match result {
            Ok(_) => Capacity::Found,
            Err(outcome) => Capacity::of_failure(*outcome),
        };
        self.meter.count_nested_call(service, capacity.name());
        lock(&self.nested).record_call(service, priority, capacity, self.clock.now());
    }

    /// Returns the services for which this node refuses calls, with the shares.
    pub(super) fn nested_load(&self) -> Vec<NestedLoad> {
        let refusals = lock(&self.nested).refusals(self.clock.now());
        let load = |refusals: policy::nested::Refusals| NestedLoad {
            service: refusals.service,
            refused_share: refusals.share,
        };
        refusals.into_iter().map(load).collect()
    }

    /// Takes the services for which this node began to refuse calls, or stopped.
    pub(super) fn take_nested_events(&self) -> Vec<Kind> {
        let changes = lock(&self.nested).take_changes(self.clock.now());
        let event = |change: policy::nested::Refusals| Kind::NestedOverload {
            service: change.service,
            share: change.share,
        };
        changes.into_iter().map(event).collect()
    }
}
