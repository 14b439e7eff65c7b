//! Shares of a node's hands among the services that calls go to.
//!
//! A service whose upstreams hang would otherwise fill the node with waiting calls until the calls
//! to healthy services find no room. The bound of each service is a share of what is still free
//! (the dynamic threshold of shared-memory switches): one service alone may use half of the room,
//! and there is always room left for a service that has little.

/// Room for calls in hand, in calls, and for bodies in hand, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Most calls that a node holds at once.
    pub calls: usize,
    /// Most bytes of bodies that a node holds at once.
    pub bytes: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { calls: 2_048, bytes: 128 << 20 }
    }
}

impl Capacity {
    /// Tells whether a service with `own` calls in hand may take another while all services
    /// together have `total`.
    ///
    /// ```
    /// let room = policy::share::Capacity { calls: 100, ..Default::default() };
    /// assert!(room.admits(49, 49));
    /// assert!(!room.admits(51, 51));
    /// assert!(room.admits(0, 51));
    /// ```
    pub fn admits(&self, own: usize, total: usize) -> bool {
        own < self.calls.saturating_sub(total)
    }

    /// Tells whether `more` bytes fit beside `held` bytes.
    pub fn fits(&self, held: usize, more: usize) -> bool {
        held.saturating_add(more) <= self.bytes
    }
}
