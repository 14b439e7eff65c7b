//! Crashes of the colocated upstream, and the requests that were in flight.

use fleet::quarantine::{Crash, CrashId};
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

/// Detected crashes of the colocated upstream.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    history: Mutex<History>,
    /// Whether a probe of the upstream is in progress.
    probing: AtomicBool,
    /// The crash of the current process, once detected.
    ///
    /// Calls that broke later are attributed to the same crash, so that it is counted once.
    current: Mutex<Option<CrashId>>,
    /// Crashes not yet taken by the control thread.
    found: Mutex<Vec<Crash>>,
    /// Suspected requests that were answered, not yet taken by the control thread.
    cleared: Mutex<Vec<Fingerprint>>,
}

impl Crashes {
    /// Records that a process listens at the upstream's address.
    pub(crate) fn mark_alive(&self) {
        *lock(&self.current) = None;
    }

    /// Records that the upstream answered a call.
    pub(crate) fn record_answer(&self, request: Fingerprint, now: Time) {
        lock(&self.history).record_answer(request, now);
    }

    /// Records that a call to the upstream was lost.
    pub(crate) fn record_loss(&self, suspect: Suspect, loss: suspects::Loss, now: Time) {
        lock(&self.history).record_loss(suspect, loss, now);
    }

    /// Returns whether the upstream answered any call after `since`.
    pub(crate) fn has_answered_after(&self, since: Time) -> bool {
        lock(&self.history).has_answered_after(since)
    }

    /// Returns whether any call to the upstream was lost recently.
    pub(crate) fn has_recent_loss(&self, now: Time) -> bool {
        lock(&self.history).has_lost(now)
    }

    /// Starts a probe of the upstream; returns `false` if one is in progress.
    pub(crate) fn begin_probe(&self) -> bool {
        !self.probing.swap(true, Ordering::SeqCst)
    }

    /// Records the result of a probe.
    pub(crate) fn finish_probe(&self, has_crashed: bool, now: Time) {
        self.probing.store(false, Ordering::SeqCst);
        let mut history = lock(&self.history);
        if !has_crashed {
            self.mark_alive();
            return history.clear_broken();
        }
        let suspects = history.take_suspects(now);
        if !suspects.is_empty() {
            let id = *lock(&self.current).get_or_insert_with(|| CrashId(rand::random()));
            lock(&self.found).push(Crash { id, suspects });
        }
    }

    /// Clears a suspected request, because an upstream answered it.
    pub(crate) fn clear(&self, request: Fingerprint) {
        lock(&self.cleared).push(request);
    }

    /// Returns whether the upstream recently answered a call with this fingerprint.
    pub(crate) fn was_answered(&self, request: Fingerprint, now: Time) -> bool {
        lock(&self.history).was_answered(request, now)
    }

    /// Takes the suspected requests that were answered since the last call.
    pub(crate) fn take_cleared(&self) -> Vec<Fingerprint> {
        std::mem::take(&mut *lock(&self.cleared))
    }

    /// Takes the crashes that were detected since the last call.
    pub(crate) fn take_found(&self) -> Vec<Crash> {
        std::mem::take(&mut *lock(&self.found))
    }
}
