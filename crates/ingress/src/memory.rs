//! Accounting of memory that others decide on: of answers from their first byte until they are read, and of
//! requests while they arrive.
//!
//! Without it, a few upstreams whose answers do not end, or clients that do not finish a request or read an
//! answer, exhaust the node: the limit on each does not bound their sum.

use bytes::Bytes;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that are held for one purpose; clones share the account.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    held: Arc<AtomicUsize>,
}

impl Memory {
    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    /// Returns a lease of no bytes.
    pub fn lease(&self) -> Lease {
        Lease { memory: self.clone(), bytes: 0 }
    }
}

/// A part of the memory, released on drop.
#[derive(Debug)]
pub struct Lease {
    memory: Memory,
    bytes: usize,
}

impl Lease {
    /// Returns the number of bytes of this lease.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes `more` bytes if all leases then hold at most `limit`; returns whether they do.
    ///
    /// ```
    /// let memory = ingress::memory::Memory::default();
    /// let mut lease = memory.lease();
    /// assert!(lease.extend(60, 100) && !lease.extend(60, 100));
    /// assert_eq!((lease.bytes(), memory.held()), (60, 60));
    /// ```
    pub fn extend(&mut self, more: usize, limit: usize) -> bool {
        let add = |held: usize| held.checked_add(more).filter(|sum| *sum <= limit);
        let taken = self.memory.held.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        if taken.is_ok() {
            self.bytes += more;
        }
        taken.is_ok()
    }

    /// Releases `fewer` bytes.
    pub fn shrink(&mut self, fewer: usize) {
        let fewer = fewer.min(self.bytes);
        self.bytes -= fewer;
        self.memory.held.fetch_sub(fewer, Ordering::SeqCst);
    }

    /// Returns `bytes` as a buffer that keeps this lease until its last clone is dropped.
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Leased { bytes, _lease: self })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// Bytes with the lease of their memory.
struct Leased<T> {
    bytes: T,
    _lease: Lease,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Leased<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

#[cfg(test)]
mod tests;
