//! Registry of the requests that this node's upstream is processing, by id.
//!
//! Identifies nested calls, which an upstream makes while it processes a request. They arrive from the
//! same address as other calls; their id is the parent's id, a dot and a suffix.

use model::time::Time;
use policy::{
    admission::Rank,
    budget::{Benefit, Lineage, Siblings},
    nested,
    urgency::Parent,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use crate::lock::lock;

/// Separates the parent's id from the suffix in the id of a nested call.
const SEPARATOR: char = '.';

/// Weight of the latest run in the mean number of nested calls per run.
const NESTED_MEAN_WEIGHT: f64 = 0.125;

/// Requests that the upstream is processing, by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    runs: HashMap<String, Run>,
    /// Moving mean of the nested calls of a run.
    mean_nested: f64,
    /// Ended retries and their deadlines: an upstream may go on with a run whose connection was closed.
    ended_retries: HashMap<String, Time>,
}

/// State of a request that the upstream is processing.
#[derive(Clone, Debug)]
struct Run {
    /// Number of concurrent runs with this id.
    count: usize,
    parent: Parent,
    /// How it counts towards the retry budget.
    lineage: Lineage,
    deadline: Time,
    siblings: Siblings,
    /// Its route and nested calls, where nested admission is on.
    nested: Option<nested::Run>,
}

/// Keeps a request registered until dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    registry: Registry,
    id: String,
}

impl Registry {
    /// Registers the request `id`, admitted with `rank`, which counts as `lineage` says and ends at
    /// `deadline`.
    pub(crate) fn begin(&self, id: &str, rank: Rank, lineage: Lineage, deadline: Time) -> Guard {
        let parent = Parent { rank, answered: 0 };
        let run = Run {
            count: 0,
            parent,
            lineage,
            deadline,
            siblings: Siblings::default(),
            nested: None,
        };
        let mut state = self.lock();
        let known = state.runs.entry(id.to_owned()).or_insert(run);
        known.count += 1;
        known.deadline = known.deadline.max(deadline);
        if lineage == Lineage::Retry {
            // Which of two runs with this id makes a nested call is not known.
            known.lineage = lineage;
        }
        drop(state);
        Guard { registry: self.clone(), id: id.to_owned() }
    }

    /// Returns the parent of the nested call `id`; `None` if no running request is its parent.
    pub(crate) fn parent_of(&self, id: &str) -> Option<Parent> {
        let (parent, _) = id.rsplit_once(SEPARATOR)?;
        self.lock().runs.get(parent).map(|run| run.parent)
    }

    /// Returns how the call `id` counts towards the retry budget: a nested call like its parent.
    pub(crate) fn lineage_of(&self, id: &str) -> Lineage {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return Lineage::First };
        let state = self.lock();
        match state.runs.get(parent) {
            Some(run) => run.lineage,
            None if state.ended_retries.contains_key(parent) => Lineage::Retry,
            None => Lineage::First,
        }
    }

    /// Counts the nested call `id` to `service`, and returns the priority of its parent's route; `None` if no
    /// running request is its parent, or the parent's route is not known.
    pub(crate) fn count_nested(&self, id: &str, service: &str) -> Option<u8> {
        let (parent, _) = id.rsplit_once(SEPARATOR)?;
        let mut state = self.lock();
        let run = state.runs.get_mut(parent)?.nested.as_mut()?;
        run.count(service);
        Some(run.priority())
    }

    /// Counts an answered nested call for its parent, if `id` is one.
    pub(crate) fn answered(&self, id: &str) {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return };
        if let Some(run) = self.lock().runs.get_mut(parent) {
            run.parent.answered += 1;
            run.siblings.record_answer(id);
        }
    }

    /// Registers the call `id` with its running parent; `None` if it has none.
    pub(crate) fn begin_nested(&self, id: &str, now: Time) -> Option<Nested> {
        let (parent, _) = id.rsplit_once(SEPARATOR)?;
        let mut state = self.lock();
        state.runs.get_mut(parent)?.siblings.begin(id, now);
        drop(state);
        Some(Nested { registry: self.clone(), id: id.to_owned() })
    }

    /// Returns how many nested calls to expect of all retries that run, if one more begins.
    pub(crate) fn nested_calls_after_retry(&self) -> usize {
        let state = self.lock();
        let retries = state.runs.values().filter(|run| run.lineage == Lineage::Retry).count() + 1;
        (retries as f64 * state.mean_nested).ceil().max(1.0) as usize
    }

    /// Forgets the ended retries whose nested calls have expired by `now`.
    pub(crate) fn remove_expired(&self, now: Time) {
        self.lock().ended_retries.retain(|_, deadline| *deadline > now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Keeps a nested call registered with its parent until dropped.
#[derive(Debug)]
pub(crate) struct Nested {
    registry: Registry,
    id: String,
}

impl Nested {
    /// Records that an upstream refused the call.
    pub(crate) fn record_refusal(&self) {
        self.with_siblings(|siblings| siblings.record_refusal(&self.id));
    }

    /// Returns what a retry of the call achieves; without a running parent, that is not known.
    pub(crate) fn benefit(&self) -> Benefit {
        self.with_siblings(|siblings| siblings.benefit(&self.id)).unwrap_or(Benefit::Partial)
    }

    /// Returns until when a refusal of a sibling is to be expected, if it is.
    pub(crate) fn settled_at(&self, now: Time) -> Option<Time> {
        self.with_siblings(|siblings| siblings.settled_at(&self.id, now)).flatten()
    }

    fn with_siblings<T>(&self, work: impl FnOnce(&mut Siblings) -> T) -> Option<T> {
        let (parent, _) = self.id.rsplit_once(SEPARATOR)?;
        let mut state = self.registry.lock();
        state.runs.get_mut(parent).map(|run| work(&mut run.siblings))
    }
}

impl Drop for Nested {
    fn drop(&mut self) {
        self.with_siblings(|siblings| siblings.end(&self.id));
    }
}

impl Guard {
    /// Sets the route whose nested calls are counted for the request; one that is known stays.
    pub(crate) fn set_nested(&self, run: nested::Run) {
        let mut state = self.registry.lock();
        if let Some(known) = state.runs.get_mut(&self.id) {
            known.nested.get_or_insert(run);
        }
    }

    /// Takes the nested calls of a run that ends; `None` if another run with its id goes on.
    pub(crate) fn take_nested(&self) -> Option<nested::Run> {
        let mut state = self.registry.lock();
        let known = state.runs.get_mut(&self.id).filter(|run| run.count == 1)?;
        known.nested.take()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        let Some(run) = state.runs.get_mut(&self.id) else { return };
        run.count -= 1;
        if run.count > 0 {
            return;
        }
        let nested = run.parent.answered as f64;
        let (is_retry, deadline) = (run.lineage == Lineage::Retry, run.deadline);
        state.mean_nested += (nested - state.mean_nested) * NESTED_MEAN_WEIGHT;
        state.runs.remove(&self.id);
        if is_retry {
            state.ended_retries.insert(std::mem::take(&mut self.id), deadline);
        }
    }
}

#[cfg(test)]
mod tests;
