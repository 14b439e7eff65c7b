//! What a node holds at once: calls, and bytes of their bodies.
//!
//! Without a bound, a service whose upstreams hang fills the node until nothing else finds room.

use policy::share::Capacity;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::hub::services::Services;

/// Counts of what is in hand.
#[derive(Debug, Default)]
pub(crate) struct Held {
    /// Calls as entry node.
    calls: AtomicUsize,
    /// Calls as serving node.
    offers: AtomicUsize,
    /// Bytes of bodies.
    bytes: AtomicUsize,
}

impl Held {
    /// Returns the number of calls in hand as entry node.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// Returns the number of calls in hand, in either role.
    pub(crate) fn in_hand(&self) -> usize {
        self.calls() + self.offers.load(Ordering::SeqCst)
    }
}

/// Bytes of bodies reserved in the node's room; given back when dropped.
pub(crate) struct Reservation<'a> {
    held: &'a Held,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    pub(crate) fn new(held: &'a Held) -> Self {
        Reservation { held, bytes: 0 }
    }

    /// Reserves `more` bytes of `room`; returns whether they fit.
    pub(crate) fn extend(&mut self, more: usize, room: Capacity) -> bool {
        if !room.fits(self.held.bytes.load(Ordering::SeqCst), more) {
            return false;
        }
        self.held.bytes.fetch_add(more, Ordering::SeqCst);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A call to a service in hand; given back when dropped.
pub(crate) struct Hand<'a> {
    held: &'a Held,
    services: &'a Services,
    service: &'a str,
}

impl<'a> Hand<'a> {
    /// Takes a call to `service` into `room`; none where it is full.
    pub(crate) fn take(
        held: &'a Held,
        services: &'a Services,
        service: &'a str,
        room: Capacity,
    ) -> Option<Self> {
        let total = held.calls();
        let admitted = services.with(service, |s| {
            let admits = room.admits(s.in_hand, total);
            s.in_hand += usize::from(admits);
            admits
        });
        if !admitted {
            return None;
        }
        held.calls.fetch_add(1, Ordering::SeqCst);
        Some(Hand { held, services, service })
    }
}

impl Drop for Hand<'_> {
    fn drop(&mut self) {
        self.held.calls.fetch_sub(1, Ordering::SeqCst);
        self.services.with(self.service, |s| s.in_hand -= 1);
    }
}

/// A call that is offered to the own upstream, counted as in hand until this is dropped.
pub(crate) struct Offered<'a> {
    held: &'a Held,
}

impl<'a> Offered<'a> {
    pub(crate) fn new(held: &'a Held) -> Self {
        held.offers.fetch_add(1, Ordering::SeqCst);
        Offered { held }
    }
}

impl Drop for Offered<'_> {
    fn drop(&mut self) {
        self.held.offers.fetch_sub(1, Ordering::SeqCst);
    }
}
