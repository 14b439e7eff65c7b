//! Crashes of the own upstream, and the requests that ran then.

use fleet::quarantine::{Crash, End};
use model::{
    request::{Fingerprint, Suspect},
    time::Time,
};
use policy::suspects::{self, History};
use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering},
};

use crate::lock::lock;

/// What is known of the own upstream's ends.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    runs: Mutex<History>,
    /// Whether somebody finds out whether the upstream has ended.
    probing: AtomicBool,
    /// The end of the present process, once it is found.
    ///
    /// Calls that broke with a process are not all read in the same moment. Those that come after the others
    /// belong to the same end, or one process would count as several.
    current: Mutex<Option<End>>,
    /// Crashes that control has not taken yet.
    found: Mutex<Vec<Crash>>,
    /// Suspected requests that were answered, which control has not taken yet.
    cleared: Mutex<Vec<Fingerprint>>,
}

impl Crashes {
    /// Notes that a process listens at the upstream's address.
    pub(crate) fn mark_alive(&self) {
        *lock(&self.current) = None;
    }

    /// Notes that the upstream answered a call.
    pub(crate) fn record_answer(&self, request: Fingerprint, now: Time) {
        lock(&self.runs).record_answer(request, now);
    }

    /// Notes that a call to the upstream was lost.
    pub(crate) fn record_loss(&self, suspect: Suspect, loss: suspects::Loss, now: Time) {
        lock(&self.runs).record_loss(suspect, loss, now);
    }

    /// Tells whether the upstream answered anything after `since`.
    pub(crate) fn has_answered_after(&self, since: Time) -> bool {
        lock(&self.runs).has_answered_after(since)
    }

    /// Tells whether any call to the upstream was lost lately.
    pub(crate) fn has_recent_loss(&self, now: Time) -> bool {
        lock(&self.runs).has_lost(now)
    }

    /// Returns whether nobody else looks whether the upstream has ended.
    pub(crate) fn begin_probe(&self) -> bool {
        !self.probing.swap(true, Ordering::SeqCst)
    }

    /// Notes what a look has shown.
    pub(crate) fn finish_probe(&self, has_ended: bool, now: Time) {
        self.probing.store(false, Ordering::SeqCst);
        let mut runs = lock(&self.runs);
        if !has_ended {
            self.mark_alive();
            return runs.clear_broken();
        }
        let suspects = runs.take_suspects(now);
        if !suspects.is_empty() {
            let end = *lock(&self.current).get_or_insert_with(|| End(rand::random()));
            lock(&self.found).push(Crash { end, suspects });
        }
    }

    /// Notes that a suspected request is one that upstreams answer.
    pub(crate) fn clear(&self, request: Fingerprint) {
        lock(&self.cleared).push(request);
    }

    /// Tells whether the upstream answered a call like `request` lately.
    pub(crate) fn was_answered(&self, request: Fingerprint, now: Time) -> bool {
        lock(&self.runs).was_answered(request, now)
    }

    /// Takes the suspected requests that were answered since the last time.
    pub(crate) fn take_cleared(&self) -> Vec<Fingerprint> {
        std::mem::take(&mut *lock(&self.cleared))
    }

    /// Takes the ends that were found since the last time.
    pub(crate) fn take_found(&self) -> Vec<Crash> {
        std::mem::take(&mut *lock(&self.found))
    }
}
