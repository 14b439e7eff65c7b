//! Nested calls of one run: which of them are in flight, and which were refused.
//!
//! A parent with several refused nested calls fails unless all of them are retried.

use model::time::Time;
use std::{collections::HashMap, time::Duration};

use crate::budget::reserve::Benefit;

/// Maximum number of nested calls of a run that are known at the same time; others are not counted.
const MAX_CALLS: usize = 64;

/// Time after its start within which a concurrent nested call is expected to be refused, if at all.
const SETTLING_TIME: Duration = Duration::from_millis(5);

/// Nested calls of a run that are in flight, or were refused and have not been answered since.
#[derive(Clone, Debug, Default)]
pub struct Siblings {
    calls: HashMap<String, Call>,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    /// Start of the latest attempt of the run to make this call.
    started: Time,
    in_flight: usize,
    is_refused: bool,
}

impl Siblings {
    /// Records the start of the nested call `id`.
    pub fn begin(&mut self, id: &str, now: Time) {
        if self.calls.len() >= MAX_CALLS && !self.calls.contains_key(id) {
            return;
        }
        let new = Call { started: now, in_flight: 0, is_refused: false };
        let call = self.calls.entry(id.to_owned()).or_insert(new);
        call.started = now;
        call.in_flight += 1;
    }

    /// Records that an upstream refused the nested call `id`.
    pub fn record_refusal(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.is_refused = true;
        }
    }

    /// Records that the nested call `id` was answered.
    pub fn record_answer(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.is_refused = false;
        }
        self.remove_ended(id);
    }

    /// Records the end of the nested call `id` at its entry node.
    pub fn end(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.in_flight = call.in_flight.saturating_sub(1);
        }
        self.remove_ended(id);
    }

    /// Returns what a retry of the nested call `id` achieves.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::budget::{Benefit, Siblings};
    /// let mut siblings = Siblings::default();
    /// siblings.begin("a.1", Time::default());
    /// siblings.begin("a.2", Time::default());
    /// siblings.record_refusal("a.2");
    /// assert_eq!(siblings.benefit("a.1"), Benefit::Partial);
    /// assert_eq!(siblings.benefit("a.2"), Benefit::Completes);
    /// ```
    pub fn benefit(&self, id: &str) -> Benefit {
        match self.others(id).any(|call| call.is_refused) {
            true => Benefit::Partial,
            false => Benefit::Completes,
        }
    }

    /// Returns until when a refusal of another nested call is to be expected, which would change the benefit
    /// of a retry of `id`; `None` if it is not.
    pub fn settled_at(&self, id: &str, now: Time) -> Option<Time> {
        if self.benefit(id) == Benefit::Partial {
            return None;
        }
        let in_flight = self.others(id).filter(|call| call.in_flight > 0);
        let newest = in_flight.map(|call| call.started).max()?;
        Some(newest + SETTLING_TIME).filter(|end| *end > now)
    }

    fn others(&self, id: &str) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(move |(other, _)| other.as_str() != id).map(|(_, call)| call)
    }

    fn remove_ended(&mut self, id: &str) {
        if self.calls.get(id).is_some_and(|call| call.in_flight == 0 && !call.is_refused) {
            self.calls.remove(id);
        }
    }
}
