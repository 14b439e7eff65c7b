//! What a node holds at once: calls, and bytes of their bodies.
//!
//! Without a bound, a service whose upstreams hang fills the node until nothing else finds capacity.

use policy::share::Capacity;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::proxy::services::Services;

/// Counts of what is in hand.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    /// Calls as entry node.
    calls: AtomicUsize,
    /// Calls as serving node.
    offers: AtomicUsize,
    /// Bytes of bodies.
    bytes: AtomicUsize,
}

impl Usage {
    /// Returns the number of calls in hand as entry node.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// Returns the number of calls in hand, in either role.
    pub(crate) fn total(&self) -> usize {
        self.calls() + self.offers.load(Ordering::SeqCst)
    }
}

/// Bytes of bodies reserved in the node's room; given back when dropped.
pub(crate) struct Reservation<'a> {
    usage: &'a Usage,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    pub(crate) fn new(usage: &'a Usage) -> Self {
        Reservation { usage, bytes: 0 }
    }

    /// Reserves `more` bytes of `room`; returns whether they fit.
    pub(crate) fn extend(&mut self, more: usize, capacity: Capacity) -> bool {
        if !capacity.fits(self.usage.bytes.load(Ordering::SeqCst), more) {
            return false;
        }
        self.usage.bytes.fetch_add(more, Ordering::SeqCst);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.usage.bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A call to a service in hand; given back when dropped.
pub(crate) struct CallGuard<'a> {
    usage: &'a Usage,
    services: &'a Services,
    service: &'a str,
}

impl<'a> CallGuard<'a> {
    /// Takes a call to `service` into `room`; none where it is full.
    pub(crate) fn take(
        usage: &'a Usage,
        services: &'a Services,
        service: &'a str,
        capacity: Capacity,
    ) -> Option<Self> {
        let total = usage.calls();
        let admitted = services.with(service, |s| {
            let admits = capacity.admits(s.in_flight, total);
            s.in_flight += usize::from(admits);
            admits
        });
        if !admitted {
            return None;
        }
        usage.calls.fetch_add(1, Ordering::SeqCst);
        Some(CallGuard { usage, services, service })
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.usage.calls.fetch_sub(1, Ordering::SeqCst);
        self.services.with(self.service, |s| s.in_flight -= 1);
    }
}

/// A call that is offered to the own upstream, counted as in hand until this is dropped.
pub(crate) struct OfferGuard<'a> {
    usage: &'a Usage,
}

impl<'a> OfferGuard<'a> {
    pub(crate) fn new(usage: &'a Usage) -> Self {
        usage.offers.fetch_add(1, Ordering::SeqCst);
        OfferGuard { usage }
    }
}

impl Drop for OfferGuard<'_> {
    fn drop(&mut self) {
        self.usage.offers.fetch_sub(1, Ordering::SeqCst);
    }
}
