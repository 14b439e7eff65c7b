//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks state that stays sound when a holder panics, since each change is a single step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
