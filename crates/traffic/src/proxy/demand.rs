//! What the colocated upstream demands in its answers: a limit on the calls that it gets.

use fleet::timeline::Kind;
use std::sync::Mutex;

use crate::lock::lock;

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
    events: Vec<Kind>,
}

impl Demand {
    /// Records the limit that an answer names, in calls per second.
    pub(crate) fn set_limit(&self, limit: Option<f64>) {
        let mut state = lock(&self.state);
        if state.limit != limit {
            state.limit = limit;
            state.push(Kind::UpstreamLimit { calls_per_s: limit });
        }
    }

    /// Records a limit that cannot be parsed.
    pub(crate) fn refuse_limit(&self, value: String) {
        lock(&self.state).push(Kind::UpstreamLimitRefused { value });
    }

    /// Takes the events since the last call.
    pub(crate) fn take_events(&self) -> Vec<Kind> {
        std::mem::take(&mut lock(&self.state).events)
    }
}

impl State {
    fn push(&mut self, event: Kind) {
        if self.events.len() < MAX_EVENTS && self.events.last() != Some(&event) {
            self.events.push(event);
        }
    }
}
