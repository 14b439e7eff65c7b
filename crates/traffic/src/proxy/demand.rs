//! What the colocated upstream demands in its answers: a limit on the calls that it gets, or none at all because
//! it is leaving.
//!
//! It is known and applied at the serving node, which all calls to the upstream pass.

use fleet::timeline::Kind;
use std::sync::{Arc, Mutex};

use crate::{lock::lock, proxy::Proxy};

/// Maximum number of events kept until they are collected.
const MAX_EVENTS: usize = 64;

/// Demands of the colocated upstream.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Calls per second that the upstream accepts; `None` without a limit.
    limit: Option<f64>,
    /// Whether an answer of this upstream was seen.
    heard: bool,
    /// Identity and start of the latest upstream that said that it is leaving.
    leaving: Option<(Arc<str>, Option<u64>)>,
    events: Vec<Kind>,
}

impl Demand {
    /// Takes the events since the last call.
    pub(crate) fn take_events(&self) -> Vec<Kind> {
        std::mem::take(&mut lock(&self.state).events)
    }
}

impl State {
    /// Sets the limit; returns whether it has changed.
    fn set_limit(&mut self, limit: Option<f64>) -> bool {
        let changed = self.limit != limit;
        self.limit = limit;
        if changed {
            self.push(Kind::UpstreamLimit { calls_per_s: limit });
        }
        changed
    }

    fn push(&mut self, event: Kind) {
        if self.events.len() < MAX_EVENTS && self.events.last() != Some(&event) {
            self.events.push(event);
        }
    }
}

impl Proxy {
    /// Returns the limit that the colocated upstream named, in calls per second.
    pub(crate) fn named_limit(&self) -> Option<f64> {
        lock(&self.demand.state).limit
    }

    /// Applies the limit in an answer of the colocated upstream, in calls per second.
    pub(crate) fn set_named_limit(&self, limit: Option<f64>) {
        let mut state = lock(&self.demand.state);
        state.heard = true;
        self.apply_limit(&mut state, limit);
    }

    /// Applies the limit that an entry node knows until the first answer of the colocated upstream: a
    /// restarted node would else send it a burst.
    pub(crate) fn adopt_named_limit(&self, limit: Option<f64>) {
        let mut state = lock(&self.demand.state);
        if !state.heard && limit.is_some() {
            self.apply_limit(&mut state, limit);
        }
    }

    /// Records a limit that cannot be parsed; the previous one stays in force.
    pub(crate) fn refuse_named_limit(&self, value: String) {
        lock(&self.demand.state).push(Kind::UpstreamLimitRefused { value });
    }

    /// Records that the colocated upstream `identity`, started at `started_ms`, says that it is leaving.
    pub(crate) fn set_upstream_leaving(&self, identity: &Arc<str>, started_ms: Option<u64>) {
        let mut state = lock(&self.demand.state);
        let leaving = (identity.clone(), started_ms);
        if state.leaving.as_ref() != Some(&leaving) {
            state.leaving = Some(leaving);
            state.push(Kind::UpstreamLeaving { id: identity.to_string() });
        }
    }

    /// Returns whether the colocated upstream `identity`, started at `started_ms`, said that it is leaving.
    pub(super) fn said_leaving(&self, identity: Option<&str>, started_ms: Option<u64>) -> bool {
        let state = lock(&self.demand.state);
        // It may start again under its identity.
        state.leaving.as_ref().is_some_and(|(leaving, started)| {
            Some(leaving.as_ref()) == identity && started_ms <= *started
        })
    }

    /// Discards the demands of a previous upstream.
    pub(super) fn reset_demand(&self) {
        let mut state = lock(&self.demand.state);
        state.heard = false;
        self.apply_limit(&mut state, None);
    }

    fn apply_limit(&self, state: &mut State, limit: Option<f64>) {
        if state.set_limit(limit) {
            self.slots.set_named_limit(limit);
        }
    }
}
