//! An accepted connection, shared by its stream, its service and the registry.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::Waker,
};
use tokio::time::Instant;

use crate::{
    limits::{Policy, Reason},
    memory::Lease,
    phase::{Rank, State},
    registry::Context,
    stream::{Probe, SocketState},
};

/// Bytes of a head that are part of the memory of each connection.
const FREE_HEAD_BYTES: usize = 4 << 10;

/// Memory that a head takes for each of its bytes: in the buffer of `hyper`, which doubles as it grows, and in
/// that of the parser ahead of it.
const HEAD_MEMORY_FACTOR: usize = 3;

/// An accepted connection.
pub(crate) struct Connection {
    context: Arc<Context>,
    policy: Arc<dyn Policy>,
    probe: Probe,
    inner: Mutex<Inner>,
}

struct Inner {
    state: State,
    /// Memory of the head.
    lease: Lease,
    /// Bytes of the head so far.
    head_bytes: usize,
    /// Why the connection is being closed.
    reason: Option<Reason>,
    /// Reader that waits without a deadline, until the request or its answer ends.
    reader: Option<Waker>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

impl Connection {
    pub(crate) fn new(context: Arc<Context>, policy: Arc<dyn Policy>, probe: Probe) -> Self {
        let inner = Inner {
            state: State::new(Instant::now()),
            lease: context.heads.lease(),
            head_bytes: 0,
            reason: None,
            reader: None,
        };
        Connection { context, policy, probe, inner: Mutex::new(inner) }
    }

    pub(crate) fn policy(&self) -> &Arc<dyn Policy> {
        &self.policy
    }

    /// Records bytes that were read; fails if the connection must be closed.
    pub(crate) fn read(&self, bytes: &[u8]) -> Result<(), Reason> {
        let mut inner = self.lock();
        let more = inner.state.read(bytes, Instant::now())?;
        let before = inner.head_bytes.max(FREE_HEAD_BYTES);
        inner.head_bytes += more;
        let charged = inner.head_bytes.saturating_sub(before) * HEAD_MEMORY_FACTOR;
        if charged == 0 || inner.lease.extend(charged, self.policy.head_memory()) {
            return Ok(());
        }
        drop(inner);
        self.context.relieve();
        Err(Reason::Memory)
    }

    pub(crate) fn begin_request(&self, has_body: bool) {
        self.lock().state.begin_request(has_body, Instant::now());
    }

    pub(crate) fn receive_content(&self, bytes: usize) {
        self.lock().state.receive_content(bytes);
    }

    pub(crate) fn end_body(&self) {
        self.lock().state.end_body();
    }

    pub(crate) fn end_request(&self) {
        let mut inner = self.lock();
        inner.state.end_request(Instant::now());
        let held = inner.lease.bytes();
        inner.lease.shrink(held);
        inner.head_bytes = 0;
        wake(inner);
    }

    pub(crate) fn begin_write(&self) {
        self.lock().state.begin_write(Instant::now());
    }

    pub(crate) fn write(&self) {
        self.lock().state.write(Instant::now());
    }

    pub(crate) fn end_write(&self) {
        let mut inner = self.lock();
        if inner.state.end_write(Instant::now()) {
            wake(inner);
        }
    }

    pub(crate) fn begin_close(&self) {
        self.lock().state.begin_close(Instant::now());
    }

    pub(crate) fn read_deadline(&self) -> Option<(Instant, Reason)> {
        self.lock().state.read_deadline(&self.policy.limits())
    }

    /// Wakes a reader once it has a deadline.
    pub(crate) fn wake_at_deadline(&self, reader: &Waker) {
        self.lock().reader = Some(reader.clone());
    }

    pub(crate) fn write_deadline(&self) -> Option<Instant> {
        self.lock().state.write_deadline(&self.policy.limits())
    }

    pub(crate) fn is_writing(&self) -> bool {
        self.lock().state.is_writing()
    }

    pub(crate) fn replaceable(&self, now: Instant) -> Option<Rank> {
        self.lock().state.replaceable(now)
    }

    pub(crate) fn stalled(&self, now: Instant) -> Option<Instant> {
        self.lock().state.stalled(now)
    }

    /// Returns whether nothing has arrived that was not read.
    pub(crate) fn is_quiet(&self) -> bool {
        self.probe.socket_state() != SocketState::Readable
    }

    /// Sets why the connection is being closed, unless it is already.
    pub(crate) fn set_reason(&self, reason: Reason) {
        self.lock().reason.get_or_insert(reason);
    }

    /// Returns why the connection is being closed.
    pub(crate) fn reason(&self) -> Option<Reason> {
        self.lock().reason
    }

    /// Closes the connection in both directions; its task then ends.
    pub(crate) fn close(&self, reason: Reason) {
        self.set_reason(reason);
        self.probe.close();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes the reader that waits without a deadline, after the lock is released.
fn wake(mut inner: MutexGuard<'_, Inner>) {
    let reader = inner.reader.take();
    drop(inner);
    if let Some(reader) = reader {
        reader.wake();
    }
}
