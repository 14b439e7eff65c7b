//! A TCP stream whose socket can be inspected while `hyper` owns the stream.
//!
//! `hyper` notices a closed connection only at its next read, which may come after a buffered request
//! is processed. [`Probe`] checks the shared socket directly, just before a call runs.

use bytes::BytesMut;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    mem::MaybeUninit,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::Interest,
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

use crate::{connection::Connection, limits::Reason};

/// Answer to a head that did not arrive in time; nothing of its request was run.
const SLOW_HEAD_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Read buffer, in bytes; trades system calls against memory per call.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time after which unacknowledged bytes close a connection; leaves time for three retransmissions, so that
/// a link that loses a few packets in a hundred breaks no connection.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// A TCP stream for `hyper`.
pub struct Stream {
    socket: Arc<TcpStream>,
    end: Arc<End>,
    /// Observer of the bytes read.
    tap: Option<Arc<dyn Tap>>,
    /// The accepted connection; `None` on the side that connected.
    connection: Option<Arc<Connection>>,
    /// Wakes the owner at the next deadline.
    timer: Option<Pin<Box<Sleep>>>,
}

/// Observes the bytes read from a stream, and may read ahead of its owner.
pub trait Tap: Send + Sync {
    /// Observes bytes that are passed to the owner.
    fn observe(&self, bytes: &[u8]);

    /// Removes and returns up to `capacity` bytes that were read ahead; `None` if there are none.
    fn take_prefetched(&self, capacity: usize) -> Option<BytesMut>;
}

/// A handle that inspects the socket of a stream owned elsewhere.
#[derive(Clone, Debug)]
pub struct Probe {
    socket: Arc<TcpStream>,
    end: Arc<End>,
}

/// How the stream of a socket has ended, if it has.
#[derive(Debug, Default)]
struct End {
    is_closed: AtomicBool,
    is_broken: AtomicBool,
}

impl End {
    fn record<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if result.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock) {
            self.is_broken.store(true, Ordering::Relaxed);
        }
        result
    }
}

/// State of a socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SocketState {
    /// Open, with nothing to read.
    Idle,
    /// Open, with bytes to read.
    Readable,
    /// Closed or broken by the other side.
    Closed,
}

impl Stream {
    /// Connects to `address`.
    pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
        let stream = Stream::new(TcpStream::connect(address).await?)?;
        let socket = SockRef::from(&*stream.socket);
        // A middlebox can drop its connection state, or a network partition can swallow packets
        // without an error. Unacknowledged bytes or keepalive probes then close the connection.
        socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
        socket.set_tcp_keepalive(
            &TcpKeepalive::new().with_time(ACK_TIMEOUT).with_interval(ACK_TIMEOUT),
        )?;
        Ok(stream)
    }

    /// Wraps an open socket.
    pub fn new(socket: TcpStream) -> io::Result<Stream> {
        socket.set_nodelay(true)?;
        Ok(Stream {
            socket: Arc::new(socket),
            end: Arc::default(),
            tap: None,
            connection: None,
            timer: None,
        })
    }

    /// Applies the limits on an accepted connection.
    pub(crate) fn set_connection(&mut self, connection: Arc<Connection>) {
        self.connection = Some(connection);
    }

    /// Waits for the first byte or the end of the stream; returns `false` if neither comes in time.
    pub(crate) async fn first_byte(&self) -> bool {
        let Some(connection) = &self.connection else { return true };
        loop {
            let Some((deadline, reason)) = connection.read_deadline() else { return true };
            match tokio::time::timeout_at(deadline, self.socket.readable()).await {
                Ok(_) => return true,
                // The limit may have changed meanwhile.
                Err(_) if connection.read_deadline().is_some_and(|(at, _)| at > Instant::now()) => {
                }
                Err(_) => {
                    connection.set_reason(reason);
                    return false;
                }
            }
        }
    }

    /// Passes all bytes read from now on to `tap`.
    pub fn set_tap(&mut self, tap: Arc<dyn Tap>) {
        self.tap = Some(tap);
    }

    /// Returns a probe of this stream's socket.
    pub fn probe(&self) -> Probe {
        Probe { socket: self.socket.clone(), end: self.end.clone() }
    }
}

impl Probe {
    /// Shuts down the write side, after everything that was written.
    pub fn shutdown(&self) -> io::Result<()> {
        SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write)
    }

    /// Reads and discards bytes; returns `false` at the end of the stream.
    pub async fn discard(&self) -> bool {
        loop {
            if self.socket.readable().await.is_err() {
                return false;
            }
            // Not kept while waiting, since the future of each connection has room for this one.
            match self.socket.try_read(&mut [0; CHUNK_BYTES]) {
                Ok(count) => return count > 0,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
    }

    /// Reads bytes from the socket; `None` at the end of the stream or on an error.
    ///
    /// The caller must pass them to the owner of the stream before it reads anything else.
    pub async fn read(&self, chunk: &mut [u8]) -> Option<usize> {
        loop {
            self.socket.readable().await.ok()?;
            match self.socket.try_read(chunk) {
                Ok(count) => return Some(count).filter(|count| *count > 0),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }

    /// Returns whether the other side has ended its stream in order, and no read or write has failed.
    pub fn has_ended_in_order(&self) -> bool {
        self.end.is_closed.load(Ordering::Relaxed) && !self.end.is_broken.load(Ordering::Relaxed)
    }

    /// Closes the connection in both directions, even while its stream is in use.
    pub fn close(&self) {
        // An error means that it is closed already.
        let _ = SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Both);
    }

    /// Waits until there is something to read; returns whether the other side has closed the connection, or its
    /// sending side, behind it.
    pub async fn is_closed_behind_input(&self) -> bool {
        let ready = self.socket.ready(Interest::READABLE).await;
        ready.map_or(true, |ready| ready.is_read_closed())
    }

    /// Returns the state of the socket without consuming bytes.
    pub fn socket_state(&self) -> SocketState {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.socket).peek(&mut byte) {
            Ok(0) => SocketState::Closed,
            Ok(_) => SocketState::Readable,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => SocketState::Idle,
            Err(_) => SocketState::Closed,
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK_BYTES];
        let capacity = target.remaining().min(CHUNK_BYTES);
        if let Some(bytes) = self.tap.as_ref().and_then(|tap| tap.take_prefetched(capacity)) {
            self.check_read(&bytes)?;
            target.put_slice(&bytes);
            return Poll::Ready(Ok(()));
        }
        loop {
            if self.socket.poll_read_ready(cx)?.is_pending() {
                return self.poll_read_deadline(cx);
            }
            match self.end.record(self.socket.try_read(&mut chunk[..capacity])) {
                Ok(count) => {
                    if count == 0 {
                        self.end.is_closed.store(true, Ordering::Relaxed);
                    }
                    self.check_read(&chunk[..count])?;
                    target.put_slice(&chunk[..count]);
                    if let Some(tap) = &self.tap {
                        tap.observe(&chunk[..count]);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_when_ready(cx, |socket| socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_when_ready(cx, |socket| socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called by `hyper` once all of its buffered bytes were written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(connection) = &self.connection {
            connection.end_write();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.probe().shutdown())
    }
}

impl Stream {
    fn poll_when_ready(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        if let Some(connection) = &self.connection {
            connection.begin_write();
        }
        loop {
            if self.socket.poll_write_ready(cx)?.is_pending() {
                return self.poll_write_deadline(cx);
            }
            match self.end.record(write(&self.socket)) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if let Some(connection) = &self.connection {
                        connection.write();
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }

    /// Records bytes that were read; fails if the connection must be closed.
    fn check_read(&self, bytes: &[u8]) -> io::Result<()> {
        let Some(connection) = &self.connection else { return Ok(()) };
        connection.read(bytes).map_err(|reason| self.refuse(reason))
    }

    /// Fails once the client has not sent in time what is expected of it.
    fn poll_read_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(connection) = &self.connection else { return Poll::Pending };
        let Some((deadline, reason)) = connection.read_deadline() else {
            connection.wake_at_deadline(cx.waker());
            return Poll::Pending;
        };
        ready!(self.poll_timer(cx, deadline));
        if reason == Reason::SlowHead {
            // No answer is being written. A failure means that the client is gone.
            let _ = self.socket.try_write(SLOW_HEAD_ANSWER);
        }
        Poll::Ready(Err(self.refuse(reason)))
    }

    /// Fails once the client has not read an answer in time.
    fn poll_write_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let deadline = self.connection.as_ref().and_then(|connection| connection.write_deadline());
        let Some(deadline) = deadline else { return Poll::Pending };
        ready!(self.poll_timer(cx, deadline));
        Poll::Ready(Err(self.refuse(Reason::UnreadAnswer)))
    }

    /// Waits until `deadline`. One timer serves both directions: it is set to the earlier deadline, and the
    /// owner then polls both.
    fn poll_timer(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        if Instant::now() >= deadline {
            return Poll::Ready(());
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.is_elapsed() || timer.deadline() > deadline {
            timer.as_mut().reset(deadline);
        }
        while timer.as_mut().poll(cx).is_ready() {
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            timer.as_mut().reset(deadline);
        }
        Poll::Pending
    }

    fn refuse(&self, reason: Reason) -> io::Error {
        if let Some(connection) = &self.connection {
            connection.set_reason(reason);
        }
        io::Error::new(io::ErrorKind::TimedOut, reason.name())
    }
}
