//! Division of a node's capacity among the services that it calls.
//!
//! Each service may use as much as is still free (dynamic threshold, as in shared-memory switches),
//! so that one with unresponsive upstreams leaves capacity for others.

/// Capacity of a node for calls in flight and for the bytes of their bodies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Upper bound of calls in flight.
    pub calls: usize,
    /// Upper bound of body bytes in memory.
    pub bytes: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { calls: 2_048, bytes: 128 << 20 }
    }
}

impl Capacity {
    /// Returns whether a service with `used` calls in flight, out of `total` of all services, may add
    /// one.
    ///
    /// ```
    /// let capacity = policy::share::Capacity { calls: 100, ..Default::default() };
    /// assert!(capacity.admits(49, 49));
    /// assert!(!capacity.admits(51, 51));
    /// assert!(capacity.admits(0, 51));
    /// ```
    pub fn admits(&self, used: usize, total: usize) -> bool {
        used < self.calls.saturating_sub(total)
    }

    /// Returns whether `more` bytes fit in addition to `held` bytes.
    pub fn fits(&self, held: usize, more: usize) -> bool {
        held.saturating_add(more) <= self.bytes
    }
}
