//! Accepts connections up to a limit.

use snafu::{ResultExt, Snafu};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{sleep, timeout},
};

use crate::{connection::Connection, limits::Policy, registry::ListenerId, stream::Stream};

pub use crate::registry::Context;

/// Delay after a failed accept, such as with too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Interval at which connections are searched that can give way to a new one.
const REPLACE_INTERVAL: Duration = Duration::from_millis(20);

/// Failure to listen.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen at {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// A socket that clients connect to.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Listens at `address`.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = TcpListener::bind(address).await.context(Snafu { address })?;
        Ok(Listener { socket })
    }

    /// Returns the bound address, with the port that the system assigned.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Passes connections to `handle` until the task is dropped; at most `max_connections` are open at a time.
    ///
    /// Beyond them, those that wait for their clients are closed in favour of new ones.
    pub async fn serve(
        self,
        context: Arc<Context>,
        policy: Arc<dyn Policy>,
        max_connections: usize,
        handle: impl Fn(Accepted),
    ) {
        let id = context.next_id();
        let places = Arc::new(Semaphore::new(max_connections));
        loop {
            let Ok((socket, _)) = self.socket.accept().await else {
                sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let Some(permit) = acquire(&places, &context, id).await else { return };
            policy.set_open(max_connections - places.available_permits());
            if let Some(accepted) = Accepted::new(socket, &context, &policy, id, permit) {
                handle(accepted);
            }
        }
    }
}

/// Waits for a place; closes connections that can give theirs away.
async fn acquire(
    places: &Arc<Semaphore>,
    context: &Context,
    listener: ListenerId,
) -> Option<OwnedSemaphorePermit> {
    loop {
        if places.available_permits() == 0 {
            context.replace(listener);
        }
        // A closed connection gives its place away once its task has ended.
        if let Ok(permit) = timeout(REPLACE_INTERVAL, places.clone().acquire_owned()).await {
            return permit.ok();
        }
    }
}

/// An accepted connection, before it is served.
pub struct Accepted {
    /// The connection's stream.
    pub stream: Stream,
    pub(crate) connection: Arc<Connection>,
    context: Arc<Context>,
    id: u64,
    _permit: OwnedSemaphorePermit,
}

impl Accepted {
    /// Registers a connection; none if it is broken already.
    fn new(
        socket: TcpStream,
        context: &Arc<Context>,
        policy: &Arc<dyn Policy>,
        listener: ListenerId,
        permit: OwnedSemaphorePermit,
    ) -> Option<Self> {
        let mut stream = Stream::new(socket).ok()?;
        let connection = Connection::new(context.clone(), policy.clone(), stream.probe());
        let connection = Arc::new(connection);
        stream.set_connection(connection.clone());
        let id = context.next_id();
        context.insert(id, listener, connection.clone());
        Some(Accepted { stream, connection, context: context.clone(), id, _permit: permit })
    }
}

impl Accepted {
    /// Splits off the stream; the rest stays registered until it is dropped.
    pub(crate) fn into_parts(self) -> (Stream, Registration) {
        let registration = Registration {
            connection: self.connection,
            context: self.context,
            id: self.id,
            _permit: self._permit,
        };
        (self.stream, registration)
    }
}

/// Keeps a connection registered; counts why it was closed when it is dropped.
pub(crate) struct Registration {
    pub(crate) connection: Arc<Connection>,
    context: Arc<Context>,
    id: u64,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.context.remove(self.id);
        if let Some(reason) = self.connection.reason() {
            self.connection.policy().count_closed(reason);
        }
    }
}
