//! Eras of the platform's store, which may come back from an older copy without its last writes.
//!
//! What was lost is written again by whoever wrote it, within [`GRACE`] where the writer still runs. Until then
//! the copy says nothing new: what it lacks stays, and what it shows again, although it was seen to leave or to
//! be withdrawn, does not come back.

use model::revision;
use std::time::Duration;

/// Time from the end of an outage, or from a return of the store, within which live upstreams register again.
pub const GRACE: Duration = Duration::from_millis(2_200);

/// The current era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Era {
    /// First revision known of this era; earlier ones may be of writes in the copy.
    origin: u64,
}

impl Era {
    /// Returns the era of `origin`, the first revision known of it.
    pub fn new(origin: u64) -> Self {
        Era { origin }
    }

    /// Returns the first revision known of the era; 0 if no era has begun.
    pub fn origin(self) -> u64 {
        self.origin
    }

    /// Returns whether a write with revision `written` may be part of the copy and not newer than `latest`, which
    /// is known of its key from an earlier era.
    ///
    /// Numbers below the origin may have been given out twice. Above `latest`, the write is newer in either case.
    ///
    /// ```
    /// use fleet::era::Era;
    /// use model::revision::pack;
    /// let at = |era, number| pack(era, number).unwrap();
    /// let era = Era::new(at(1, 83));
    /// assert!(era.is_copy(at(1, 50), at(0, 95)));
    /// assert!(!era.is_copy(at(1, 82), at(0, 70)));
    /// assert!(!era.is_copy(at(1, 84), at(0, 95)));
    /// ```
    pub fn is_copy(self, written: u64, latest: u64) -> bool {
        revision::era(latest) < revision::era(written)
            && written <= self.origin
            && revision::number(written) <= revision::number(latest)
    }

    /// Returns whether a write with revision `a` is later than one of another key with revision `b`.
    ///
    /// ```
    /// use fleet::era::Era;
    /// use model::revision::pack;
    /// let at = |era, number| pack(era, number).unwrap();
    /// let era = Era::new(at(1, 83));
    /// assert!(era.is_later(at(0, 95), at(1, 50)));
    /// assert!(era.is_later(at(1, 84), at(0, 95)));
    /// ```
    pub fn is_later(self, a: u64, b: u64) -> bool {
        match (self.is_copy(a, b), self.is_copy(b, a)) {
            (true, _) => false,
            (_, true) => true,
            _ => a > b,
        }
    }
}
