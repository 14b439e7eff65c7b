//! The requests that the own upstream works on, by their ids.
//!
//! An upstream makes calls of its own while it works on a request, through the node beside it, and
//! the work waits for their answers. They come from the same address as the calls of callers. Their
//! ids tell them apart: an upstream makes each one out of the id of the request that it works on,
//! a dot, and something of its own.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// What stands between the id of a request and that of a call made for it.
const SEPARATOR: char = '.';

/// Ids of the requests that the upstream works on, and how often each is there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Running {
    ids: Arc<Mutex<HashMap<String, usize>>>,
}

/// A request that the upstream works on, until this is dropped.
#[derive(Debug)]
pub(crate) struct Entry {
    running: Running,
    id: String,
}

impl Running {
    /// Notes that the upstream begins to work on `id`.
    pub(crate) fn begin(&self, id: &str) -> Entry {
        *self.lock().entry(id.to_owned()).or_default() += 1;
        Entry { running: self.clone(), id: id.to_owned() }
    }

    /// Tells whether `id` is that of a call made for a request that the upstream works on.
    pub(crate) fn is_parent_of(&self, id: &str) -> bool {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return false };
        self.lock().contains_key(parent)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut ids = self.running.lock();
        let left = ids.get_mut(&self.id).map(|count| {
            *count -= 1;
            *count
        });
        if left == Some(0) {
            ids.remove(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
