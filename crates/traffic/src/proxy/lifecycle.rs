//! What the node takes at this time of its life.

use std::sync::atomic::{AtomicBool, Ordering};

/// Which work the node takes.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    /// Whether callers may send new work here.
    ready: AtomicBool,
    was_ready_once: AtomicBool,
    leaving: AtomicBool,
    closed: AtomicBool,
}

impl Lifecycle {
    /// Tells callers from now on whether they may send new work here.
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
        self.was_ready_once.fetch_or(ready, Ordering::SeqCst);
    }

    /// Tells whether callers may send new work here.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// Tells whether callers were ever told that they may send new work here.
    pub(crate) fn was_ready(&self) -> bool {
        self.was_ready_once.load(Ordering::SeqCst)
    }

    /// Takes no more work for the own upstream.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Tells whether the node takes no more work for the own upstream.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Takes no more calls of callers either.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether the node takes no more calls of callers.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}
