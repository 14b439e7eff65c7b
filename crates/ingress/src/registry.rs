//! Open connections of a process, and which of them give way when connections or memory are short.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

use crate::{connection::Connection, limits::Reason, memory::Memory};

/// Part of a listener's connections that gives way at once, so that a search serves many new ones.
const REPLACED_DIVISOR: usize = 32;

/// Stalled connections that are closed at once when memory is short.
const MAX_RELIEVED: usize = 8;

/// Interval between two searches for stalled connections.
const RELIEF_INTERVAL: Duration = Duration::from_millis(10);

/// Number of a listener.
pub(crate) type ListenerId = u64;

/// What the listeners of a process share.
#[derive(Default)]
pub struct Context {
    /// Memory of unfinished heads and of requests in progress.
    pub heads: Memory,
    next_id: AtomicU64,
    open: Mutex<HashMap<u64, (ListenerId, Arc<Connection>)>>,
    last_relief: Mutex<Option<Instant>>,
}

impl Context {
    /// Returns a number that is unique within the context.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn insert(&self, id: u64, listener: ListenerId, connection: Arc<Connection>) {
        self.lock().insert(id, (listener, connection));
    }

    pub(crate) fn remove(&self, id: u64) {
        self.lock().remove(&id);
    }

    /// Closes connections of `listener` that wait for their clients, those first that have asked nothing and
    /// wait longest.
    pub(crate) fn replace(&self, listener: ListenerId) {
        let now = Instant::now();
        let connections: Vec<Arc<Connection>> = {
            let open = self.lock();
            let own = open.values().filter(|(other, _)| *other == listener);
            own.map(|(_, connection)| connection.clone()).collect()
        };
        let count = connections.len().div_ceil(REPLACED_DIVISOR);
        let rank = |connection: Arc<Connection>| Some((connection.replaceable(now)?, connection));
        let mut waiting: Vec<_> = connections.into_iter().filter_map(rank).collect();
        waiting.sort_by_key(|(rank, _)| *rank);
        // A request that has just arrived is served.
        let waiting = waiting.into_iter().filter(|(_, connection)| connection.is_quiet());
        waiting.take(count).for_each(|(_, connection)| connection.close(Reason::Replaced));
    }

    /// Returns the number of connections whose clients have not read the whole of an answer yet.
    ///
    /// ```
    /// assert_eq!(ingress::listener::Context::default().unread_answers(), 0);
    /// ```
    pub fn unread_answers(&self) -> usize {
        self.lock().values().filter(|(_, connection)| connection.is_writing()).count()
    }

    /// Closes connections that hold memory and whose clients have stalled, the longest first.
    pub fn relieve(&self) {
        let now = Instant::now();
        {
            let mut last = self.last_relief.lock().unwrap_or_else(PoisonError::into_inner);
            if last.is_some_and(|last| now < last + RELIEF_INTERVAL) {
                return;
            }
            *last = Some(now);
        }
        let connections: Vec<Arc<Connection>> =
            self.lock().values().map(|(_, connection)| connection.clone()).collect();
        let rank = |connection: Arc<Connection>| Some((connection.stalled(now)?, connection));
        let mut stalled: Vec<_> = connections.into_iter().filter_map(rank).collect();
        stalled.sort_by_key(|(since, _)| *since);
        let longest = stalled.into_iter().take(MAX_RELIEVED);
        longest.for_each(|(_, connection)| connection.close(Reason::Memory));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, (ListenerId, Arc<Connection>)>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
