//! A loopback proxy that treats connections as a bad network does.

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

/// How connections are treated, those that exist and new ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Bytes pass.
    Pass,
    /// Bytes pass late.
    Delay,
    /// Connections are reset.
    Reset,
    /// Bytes vanish in both directions.
    Silent,
    /// Answers vanish, requests pass.
    OneWay,
}

/// Speed of what a proxy stands for, in bytes a second each way; none does not limit it.
pub(crate) type Speed = Option<u32>;

/// Delay of each piece of bytes under [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(80);

/// Bytes of one piece, at most.
const PIECE: usize = 16 * 1024;

/// A running proxy; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    mode: Arc<watch::Sender<Mode>>,
    requests: Arc<Lane>,
    answers: Arc<Lane>,
}

impl Proxy {
    /// Passes connections to `listen` on to `target`.
    pub(crate) fn start(
        listen: SocketAddr,
        target: SocketAddr,
        speed: Speed,
        handle: &Handle,
    ) -> io::Result<(Self, SocketAddr)> {
        let _guard = handle.enter();
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        let (requests, answers) = (Arc::new(Lane::new(speed)), Arc::new(Lane::new(speed)));
        let proxy = Proxy { mode, requests, answers };
        handle.spawn(proxy.clone().accept(listener, target));
        Ok((proxy, address))
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let served = self.clone();
            tokio::spawn(async move {
                let mut mode = served.mode.subscribe();
                // Dropped connections are closed at once; with bytes unread the system resets them.
                tokio::select! {
                    _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
                    () = served.serve(near, target) => {}
                }
            });
        }
    }

    async fn serve(&self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else { return };
        // A connection that is gone already shows when it is used.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            self.relay(near_read, far_write, Way::Requests),
            self.relay(far_read, near_write, Way::Answers),
        );
    }

    async fn relay(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Way) {
        let lane = if way == Way::Requests { &self.requests } else { &self.answers };
        let mut piece = vec![0; PIECE];
        while let Ok(count @ 1..) = from.read(&mut piece).await {
            let mode = *self.mode.borrow();
            match (mode, way) {
                (Mode::Silent, _) | (Mode::OneWay, Way::Answers) => continue,
                (Mode::Delay, _) => sleep(DELAY).await,
                _ => {}
            }
            lane.pass(count).await;
            if to.write_all(&piece[..count]).await.is_err() {
                break;
            }
        }
        // The other side may have closed already.
        let _ = to.shutdown().await;
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Requests,
    Answers,
}

/// One direction of a link, which all connections share.
#[derive(Debug)]
struct Lane {
    speed: Speed,
    /// When the bytes so far are through.
    free: Mutex<Instant>,
}

impl Lane {
    fn new(speed: Speed) -> Self {
        Lane { speed, free: Mutex::new(Instant::now()) }
    }

    /// Waits until `count` bytes are through.
    async fn pass(&self, count: usize) {
        let Some(speed) = self.speed else { return };
        let span = Duration::from_secs_f64(count as f64 / f64::from(speed));
        let through = {
            let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
            *free = (*free).max(Instant::now()) + span;
            *free
        };
        sleep_until(through).await;
    }
}
