//! The requests that the own upstream works on, by their ids.
//!
//! An upstream makes calls of its own while it works on a request, through the node beside it, and
//! the work waits for their answers. They come from the same address as the calls of callers. Their
//! ids tell them apart: an upstream makes each one out of the id of the request that it works on,
//! a dot, and something of its own.

use policy::{admission::Rank, urgency::Parent};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use crate::lock::lock;

/// What stands between the id of a request and that of a call made for it.
const SEPARATOR: char = '.';

/// Requests that the upstream works on, by their ids.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    ids: Arc<Mutex<HashMap<String, Run>>>,
}

/// What is known of a request that the upstream works on.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// How often it is there.
    count: usize,
    work: Parent,
}

/// A request that the upstream works on, until this is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    running: Registry,
    id: String,
}

impl Registry {
    /// Notes that the upstream begins to work on `id`, which was let in under `rank`.
    pub(crate) fn begin(&self, id: &str, rank: Rank) -> Guard {
        let run = Run { count: 0, work: Parent { rank, answered: 0 } };
        self.lock().entry(id.to_owned()).or_insert(run).count += 1;
        Guard { running: self.clone(), id: id.to_owned() }
    }

    /// Returns the work that the call `id` is made for, if the upstream works on it.
    pub(crate) fn parent_of(&self, id: &str) -> Option<Parent> {
        let (parent, _) = id.rsplit_once(SEPARATOR)?;
        self.lock().get(parent).map(|run| run.work)
    }

    /// Notes that the call `id`, made for running work, was answered.
    pub(crate) fn answered(&self, id: &str) {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return };
        if let Some(run) = self.lock().get_mut(parent) {
            run.work.answered += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Run>> {
        lock(&self.ids)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut ids = self.running.lock();
        let left = ids.get_mut(&self.id).map(|run| {
            run.count -= 1;
            run.count
        });
        if left == Some(0) {
            ids.remove(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
