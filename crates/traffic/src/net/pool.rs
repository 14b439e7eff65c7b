//! Kept connections to nodes and to the upstream, one call in flight on each.

use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use model::time::Time;
use policy::{
    connection::{self, Use},
    retry::Kind,
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};
use tokio::{task::AbortHandle, time::timeout};

use crate::{
    clock::Clock,
    lock::lock,
    net::stream::{Probe, SocketState, Stream},
    wire::Body,
};

/// Most idle connections kept to one address.
const MAX_IDLE: usize = 64;

/// Longest time for which an idle connection is kept at all.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60);

/// Connections by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

/// An open connection without a call on it.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
}

/// An open connection. Dropping it closes it at once, which cancels a call in flight on it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Body>,
    probe: Probe,
    task: TaskGuard,
}

/// Ends the task that drives a connection.
#[derive(Debug)]
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request got no answer's head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// Not one byte of it was written.
    Unsent,
    /// It may have been read.
    Broken,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectError {
    /// Nobody listens at the address.
    Refused,
    /// Somebody may.
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
    /// Takes a kept connection to `address` that may carry a call, if there is one.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        limit: Duration,
        kind: Kind,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        // The most recently used one first: the others grow old and are closed.
        while let Some(candidate) = kept.pop() {
            let fresh = connection::decide(now.since(candidate.since), limit, kind) == Use::Reuse;
            if fresh && candidate.connection.is_usable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a connection to `address`, or tells why that failed or took longer than `time`.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        time: Duration,
    ) -> Result<Connection, ConnectError> {
        let connected = timeout(time, Stream::connect(address)).await;
        let stream = connected.map_err(|_| ConnectError::Failed)?.map_err(ConnectError::of)?;
        let probe = stream.probe();
        let (sender, driver) = http1::handshake(stream).await.map_err(|_| ConnectError::Failed)?;
        let task = tokio::spawn(async move {
            // An error ends the connection; the call on it learns of it by its own channel.
            let _ = driver.await;
        });
        Ok(Connection { sender, probe, task: TaskGuard(task.abort_handle()) })
    }

    /// Keeps a connection whose answer was received whole.
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
    /// When a call on a kept connection gets no answer, whatever forgot that connection has most
    /// likely forgotten the others to the same place as well; only a new one proves the contrary.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that were idle for too long.
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
    /// Sends a request and returns the answer's head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<bytes::Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.sender.try_send_request(request).await.map_err(|mut e| {
            // The library hands the request back only if it has not begun to write it.
            if e.take_message().is_some() { SendError::Unsent } else { SendError::Broken }
        })
    }

    /// Tells whether the other side has neither closed the connection nor sent anything unasked.
    ///
    /// Bytes that wait here belong to an earlier request, such as a doubled answer; the next
    /// request would take them for its own.
    fn is_usable(&self) -> bool {
        !self.sender.is_closed()
            && !self.task.0.is_finished()
            && self.probe.socket_state() == SocketState::Idle
    }
}
