//! A TCP stream that can be looked at while `hyper` owns it.
//!
//! The claim must know at its very moment whether the other side still wants an answer. `hyper`
//! notices a closed connection only when it next reads, which after a pause of the process may be
//! later than the request that waited in the same buffer. So the socket is shared, and
//! [`Probe`] looks at it directly.

use bytes::BytesMut;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    mem::MaybeUninit,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::net::TcpStream;

/// Bytes read from a socket at once; larger reads save system calls but cost memory per call.
const CHUNK: usize = 16 * 1024;

/// Time after which bytes that the other side has not confirmed end a connection.
///
/// Three retransmissions of a lost packet fit into it, so that a link that loses a few packets in a
/// hundred cuts no connection.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream for `hyper`.
pub(crate) struct Stream {
    socket: Arc<TcpStream>,
    /// Who reads along.
    tap: Option<Arc<dyn Tap>>,
}

/// Whoever reads along on a stream, and may read before its owner does.
pub(crate) trait Tap: Send + Sync {
    /// Reads along bytes that the owner is given.
    fn observe(&self, bytes: &[u8]);

    /// Returns up to `room` of the bytes that were read before the owner asked for them.
    fn take_prefetched(&self, room: usize) -> Option<BytesMut>;
}

/// A look at a stream that somebody else reads and writes.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    socket: Arc<TcpStream>,
}

/// What a look at a socket shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SocketState {
    /// Open, with nothing to read.
    Idle,
    /// Open, with bytes to read.
    Readable,
    /// Closed or broken by the other side.
    Closed,
}

impl Stream {
    /// Connects to `address`.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Stream> {
        let stream = Stream::new(TcpStream::connect(address).await?)?;
        let socket = SockRef::from(&*stream.socket);
        // Something between the two ends can forget a connection, or a data centre is cut off:
        // bytes vanish without an error. Unanswered bytes and probes end the connection within
        // about a second, and the call on it learns that nobody is there.
        socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
        socket.set_tcp_keepalive(
            &TcpKeepalive::new().with_time(ACK_TIMEOUT).with_interval(ACK_TIMEOUT),
        )?;
        Ok(stream)
    }

    /// Takes over an open socket.
    pub(crate) fn new(socket: TcpStream) -> io::Result<Stream> {
        socket.set_nodelay(true)?;
        Ok(Stream { socket: Arc::new(socket), tap: None })
    }

    /// Lets `tap` read along what comes from now on.
    pub(crate) fn set_tap(&mut self, tap: Arc<dyn Tap>) {
        self.tap = Some(tap);
    }

    /// Ends the own side; the other side reads everything that was written and then the end.
    pub(crate) fn shutdown(&self) -> io::Result<()> {
        SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write)
    }

    /// Waits for bytes and drops them; returns whether there may be more.
    pub(crate) async fn discard(&self) -> bool {
        let mut chunk = [0; CHUNK];
        loop {
            if self.socket.readable().await.is_err() {
                return false;
            }
            match self.socket.try_read(&mut chunk) {
                Ok(count) => return count > 0,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
    }

    /// Returns a probe of this stream.
    pub(crate) fn probe(&self) -> Probe {
        Probe { socket: self.socket.clone() }
    }
}

impl Probe {
    /// Waits for bytes and takes them off the socket; none where the other side has ended.
    ///
    /// Whoever owns the stream must be handed them before anything else is read.
    pub(crate) async fn read(&self, chunk: &mut [u8]) -> Option<usize> {
        loop {
            self.socket.readable().await.ok()?;
            match self.socket.try_read(chunk) {
                Ok(count) => return Some(count).filter(|count| *count > 0),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }

    /// Looks at the socket without reading from it.
    pub(crate) fn socket_state(&self) -> SocketState {
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
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        let room = target.remaining().min(CHUNK);
        if let Some(bytes) = self.tap.as_ref().and_then(|tap| tap.take_prefetched(room)) {
            target.put_slice(&bytes);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(&mut chunk[..room]) {
                Ok(count) => {
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

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown())
    }
}

impl Stream {
    fn poll_when_ready(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match write(&self.socket) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
