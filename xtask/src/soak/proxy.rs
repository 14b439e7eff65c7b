//! Loopback proxy that simulates network faults and limited bandwidth.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Handle,
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

/// Behaviour towards existing and new connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Bytes are forwarded.
    Pass,
    /// Bytes are forwarded with a delay.
    Delay,
    /// Connections are reset.
    Reset,
    /// Bytes are dropped in both directions.
    Silent,
    /// Answers are dropped, requests are forwarded.
    OneWay,
}

/// Bandwidth of each direction, in bytes per second; unlimited if none.
pub(crate) type Bandwidth = Option<u32>;

/// Delay of each chunk in [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(80);

/// Largest chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Handle of a running proxy; clones refer to the same proxy.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    mode: Arc<watch::Sender<Mode>>,
    requests: Arc<Link>,
    answers: Arc<Link>,
}

impl Proxy {
    /// Starts a proxy from `listen` to `target` and returns it with its address.
    pub(crate) fn start(
        listen: SocketAddr,
        target: SocketAddr,
        bandwidth: Bandwidth,
        handle: &Handle,
    ) -> io::Result<(Self, SocketAddr)> {
        let _guard = handle.enter();
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        let (requests, answers) = (Arc::new(Link::new(bandwidth)), Arc::new(Link::new(bandwidth)));
        let proxy = Proxy { mode, requests, answers };
        handle.spawn(proxy.clone().accept(listener, target));
        Ok((proxy, address))
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let proxy = self.clone();
            tokio::spawn(async move {
                let mut mode = proxy.mode.subscribe();
                // Dropping a socket closes it; the system resets it if it holds unread bytes.
                tokio::select! {
                    _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
                    () = proxy.serve(client, target) => {}
                }
            });
        }
    }

    async fn serve(&self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else { return };
        // An error here also occurs at the next read or write.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::join!(
            self.relay(client_read, server_write, Direction::Requests),
            self.relay(server_read, client_write, Direction::Answers),
        );
    }

    async fn relay(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let link = if direction == Direction::Requests { &self.requests } else { &self.answers };
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut chunk).await {
            let mode = *self.mode.borrow();
            match (mode, direction) {
                (Mode::Silent, _) | (Mode::OneWay, Direction::Answers) => continue,
                (Mode::Delay, _) => sleep(DELAY).await,
                _ => {}
            }
            link.transmit(count).await;
            if to.write_all(&chunk[..count]).await.is_err() {
                break;
            }
        }
        // The peer may already have closed the connection.
        let _ = to.shutdown().await;
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Requests,
    Answers,
}

/// One direction of a simulated link, shared by all connections of a proxy.
#[derive(Debug)]
struct Link {
    bandwidth: Bandwidth,
    /// When all bytes so far have been transmitted.
    idle_at: Mutex<Instant>,
}

impl Link {
    fn new(bandwidth: Bandwidth) -> Self {
        Link { bandwidth, idle_at: Mutex::new(Instant::now()) }
    }

    /// Waits until `count` bytes have been transmitted.
    async fn transmit(&self, count: usize) {
        let Some(bandwidth) = self.bandwidth else { return };
        let span = Duration::from_secs_f64(count as f64 / f64::from(bandwidth));
        let sent_at = {
            let mut idle_at = self.idle_at.lock().unwrap_or_else(PoisonError::into_inner);
            *idle_at = (*idle_at).max(Instant::now()) + span;
            *idle_at
        };
        sleep_until(sent_at).await;
    }
}
