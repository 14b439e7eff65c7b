//! Connection pool for nodes and the upstream, with one call in flight per connection.

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use ingress::stream::{Probe, SocketState, Stream};
use model::time::Time;
use policy::{
    connection::{self, Use},
    retry::Kind,
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    task::AbortHandle,
    time::timeout,
};

use crate::{clock::Clock, lock::lock, wire::Body};

/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 64;

/// Time after which an idle connection is closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60);

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Idle connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    /// Connections that may still be opened.
    free: Arc<Semaphore>,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
}

/// An open connection. Dropping it closes it and so cancels a call in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Body>,
    probe: Probe,
    task: TaskGuard,
    _permit: OwnedSemaphorePermit,
}

/// Aborts the task that drives a connection on drop.
#[derive(Debug)]
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why no response head was received.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    Unsent,
    /// The request may have been read.
    Broken,
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectError {
    /// The address refused the connection.
    Refused,
    /// Any other error, or a timeout.
    Failed,
}

impl ConnectError {
    fn of(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => ConnectError::Refused,
            _ => ConnectError::Failed,
        }
    }
}

impl Pool {
    /// Creates a pool that opens at most `max_connections` at a time, idle ones included.
    pub(crate) fn new(max_connections: usize) -> Self {
        let free = Arc::new(Semaphore::new(max_connections));
        Pool { clock: Clock::default(), idle: Mutex::default(), free }
    }

    /// Takes a usable idle connection to `address`. `limit` is the maximum idle time for calls that
    /// must not run twice.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        limit: Duration,
        kind: Kind,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        // Most recently used first, so that surplus connections expire.
        while let Some(candidate) = kept.pop() {
            let fresh = connection::decide(now.since(candidate.since), limit, kind) == Use::Reuse;
            if fresh && candidate.connection.is_usable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a connection to `address` within `time`.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        time: Duration,
    ) -> Result<Connection, ConnectError> {
        let permit = self.acquire().ok_or(ConnectError::Failed)?;
        let connected = timeout(time, Stream::connect(address)).await;
        let stream = connected.map_err(|_| ConnectError::Failed)?.map_err(ConnectError::of)?;
        let probe = stream.probe();
        // Bounds the memory of a head that does not end, for each connection.
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream);
        let (sender, driver) = handshake.await.map_err(|_| ConnectError::Failed)?;
        let socket = probe.clone();
        let task = tokio::spawn(async move {
            // The call in flight receives the error through its own channel.
            let _ = driver.await;
            // An idle connection keeps its socket open, into which the peer could go on sending.
            socket.close();
        });
        let task = TaskGuard(task.abort_handle());
        Ok(Connection { sender, probe, task, _permit: permit })
    }

    /// Takes a place for a connection, that of an idle one if all are taken.
    fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        let take = || self.free.clone().try_acquire_owned().ok();
        take().or_else(|| {
            let mut idle = self.lock();
            let longest = idle.iter().filter_map(|(address, kept)| Some((kept.first()?, *address)));
            let (_, address) = longest.min_by_key(|(oldest, _)| oldest.since)?;
            idle.get_mut(&address)?.remove(0);
            drop(idle);
            take()
        })
    }

    /// Returns a connection to the pool, after its answer was received completely.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection) {
        let now = self.clock.now();
        let mut idle = self.lock();
        let kept = idle.entry(address).or_default();
        kept.retain(|i| now.since(i.since) < MAX_IDLE_TIME);
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, since: now });
        }
    }

    /// Closes every idle connection to `address`.
    ///
    /// Used after a timeout on a pooled connection: a middlebox that dropped its state has probably
    /// dropped that of the others too.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that are closed by the peer or idle for too long.
    pub(crate) fn remove_expired(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, kept| {
            kept.retain(|i| now.since(i.since) < MAX_IDLE_TIME && i.connection.is_usable());
            !kept.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        lock(&self.idle)
    }
}

impl Connection {
    /// Sends a request and returns the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.sender.try_send_request(request).await.map_err(|mut e| {
            // `hyper` returns the request only if it has not begun to write it.
            if e.take_message().is_some() { SendError::Unsent } else { SendError::Broken }
        })
    }

    /// Returns whether the other side has closed the connection in order, so that a body until its end is whole.
    pub(crate) fn has_ended_in_order(&self) -> bool {
        self.probe.has_ended_in_order()
    }

    /// Returns whether the connection is open and has no unread bytes.
    ///
    /// Unread bytes, such as a duplicate response, would be taken for the answer of the next request.
    fn is_usable(&self) -> bool {
        !self.sender.is_closed()
            && !self.task.0.is_finished()
            && self.probe.socket_state() == SocketState::Idle
    }
}
