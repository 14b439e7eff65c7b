//! Accounting of the calls in flight and of the bytes of their bodies.
//!
//! Limits on both prevent one service with unresponsive upstreams from exhausting the node.

use bytes::Bytes;
use policy::share::Capacity;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::{
    net::body::Account,
    proxy::{Proxy, services::Services},
};

/// Calls and bytes in flight.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    /// Calls in flight as entry node.
    calls: AtomicUsize,
    /// Calls in flight as serving node.
    offers: AtomicUsize,
    /// Reserved bytes of request bodies.
    bytes: AtomicUsize,
}

impl Usage {
    /// Returns the number of calls in flight as entry node.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// Returns the reserved bytes of request bodies.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::SeqCst)
    }

    /// Returns the number of calls in flight, as entry node and as serving node.
    pub(crate) fn total(&self) -> usize {
        self.calls() + self.offers.load(Ordering::SeqCst)
    }
}

/// Reserved bytes of a request body, released on drop.
pub(crate) struct Reservation<'a> {
    usage: &'a Usage,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    pub(crate) fn new(usage: &'a Usage) -> Self {
        Reservation { usage, bytes: 0 }
    }

    /// Reserves `more` bytes if `capacity` allows; returns whether it does.
    pub(crate) fn extend(&mut self, more: usize, capacity: Capacity) -> bool {
        // Checked and added in one step, since bodies of other calls are reserved concurrently.
        let add = |held: usize| capacity.fits(held, more).then(|| held + more);
        let reserved = self.usage.bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        if reserved.is_ok() {
            self.bytes += more;
        }
        reserved.is_ok()
    }
}

impl<'a> Reservation<'a> {
    /// Returns an account in which a body is received, up to the bytes reserved and then as far as the memory
    /// of `proxy` allows.
    pub(crate) fn account<'b>(&'b mut self, proxy: &'b Proxy) -> BodyAccount<'a, 'b> {
        let unused = self.bytes;
        BodyAccount { reservation: self, proxy, unused }
    }
}

/// Memory of a request body while it is received.
pub(crate) struct BodyAccount<'a, 'b> {
    reservation: &'b mut Reservation<'a>,
    proxy: &'b Proxy,
    /// Reserved bytes that hold no segment yet.
    unused: usize,
}

impl Account for BodyAccount<'_, '_> {
    // A request that was not run is refused at once.
    const ATTEMPTS: usize = 1;

    fn take(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.unused);
        let is_taken = more == 0 || self.reservation.extend(more, self.proxy.body_capacity());
        if is_taken {
            self.unused = self.unused.saturating_sub(bytes);
        }
        is_taken
    }

    fn seal(&mut self, segment: Vec<u8>) -> Bytes {
        Bytes::from(segment)
    }

    fn relieve(&self) {
        self.proxy.ingress.relieve();
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.usage.bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// Counts a call of a caller as in flight until dropped.
pub(crate) struct CallGuard<'a> {
    usage: &'a Usage,
    services: &'a Services,
    service: &'a str,
}

impl<'a> CallGuard<'a> {
    /// Counts a call to `service`; `None` if `capacity` is exhausted.
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

/// Counts a call offered to the colocated upstream as in flight until dropped.
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

#[cfg(test)]
mod tests;
