//! Readiness, draining and shutdown of the node.

use std::sync::atomic::{AtomicBool, Ordering};

/// Which calls the node accepts.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    /// Whether callers may send new calls here.
    ready: AtomicBool,
    has_been_ready: AtomicBool,
    leaving: AtomicBool,
    closed: AtomicBool,
}

impl Lifecycle {
    /// Sets whether callers may send new calls here.
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::SeqCst);
        self.has_been_ready.fetch_or(ready, Ordering::SeqCst);
    }

    /// Returns whether callers may send new calls here.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    /// Returns whether the node was ready at any time.
    pub(crate) fn was_ready(&self) -> bool {
        self.has_been_ready.load(Ordering::SeqCst)
    }

    /// Stops accepting calls for the colocated upstream.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether the node accepts no more calls for the colocated upstream.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Stops accepting calls of callers as well.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether the node accepts no more calls of callers.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}
