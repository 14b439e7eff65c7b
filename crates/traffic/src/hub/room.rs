//! What a node holds at once: calls, and bytes of their bodies.
//!
//! Without a bound, a service whose upstreams hang fills the node until nothing else finds room.

use std::sync::atomic::Ordering;

use crate::hub::Hub;

/// Bytes of bodies reserved in the node's room; given back when dropped.
pub(crate) struct Reservation<'a> {
    hub: &'a Hub,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    pub(crate) fn new(hub: &'a Hub) -> Self {
        Reservation { hub, bytes: 0 }
    }

    /// Reserves `more` bytes; returns whether there was room.
    pub(crate) fn extend(&mut self, more: usize) -> bool {
        let held = self.hub.bytes.load(Ordering::SeqCst);
        if !self.hub.tuning().room.fits(held, more) {
            return false;
        }
        self.hub.bytes.fetch_add(more, Ordering::SeqCst);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.hub.bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A call in hand; given back when dropped.
pub(crate) struct Hand<'a> {
    hub: &'a Hub,
    service: &'a str,
}

impl<'a> Hand<'a> {
    pub(crate) fn take(hub: &'a Hub, service: &'a str) -> Option<Self> {
        let total = hub.calls.load(Ordering::SeqCst);
        let admitted = hub.with_service(service, |s| {
            let admits = hub.tuning().room.admits(s.in_hand, total);
            s.in_hand += usize::from(admits);
            admits
        });
        if !admitted {
            return None;
        }
        hub.calls.fetch_add(1, Ordering::SeqCst);
        Some(Hand { hub, service })
    }
}

impl Drop for Hand<'_> {
    fn drop(&mut self) {
        self.hub.calls.fetch_sub(1, Ordering::SeqCst);
        self.hub.with_service(self.service, |s| s.in_hand -= 1);
    }
}

/// A call that is offered to the own upstream, counted as in hand until this is dropped.
pub(crate) struct Offered<'a> {
    hub: &'a Hub,
}

impl<'a> Offered<'a> {
    pub(crate) fn new(hub: &'a Hub) -> Self {
        hub.offers.fetch_add(1, Ordering::SeqCst);
        Offered { hub }
    }
}

impl Drop for Offered<'_> {
    fn drop(&mut self) {
        self.hub.offers.fetch_sub(1, Ordering::SeqCst);
    }
}
