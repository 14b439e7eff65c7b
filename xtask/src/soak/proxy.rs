//! A loopback proxy that treats connections as a bad network does.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Handle,
    sync::watch,
    time::sleep,
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

/// Delay of each piece of bytes under [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(80);

/// Bytes of one piece, at most.
const PIECE: usize = 16 * 1024;

/// A running proxy; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    mode: Arc<watch::Sender<Mode>>,
}

impl Proxy {
    /// Passes connections to `listen` on to `target`.
    pub(crate) fn start(
        listen: SocketAddr,
        target: SocketAddr,
        handle: &Handle,
    ) -> io::Result<(Self, SocketAddr)> {
        let _guard = handle.enter();
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        let proxy = Proxy { mode };
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
        let mut piece = vec![0; PIECE];
        while let Ok(count @ 1..) = from.read(&mut piece).await {
            let mode = *self.mode.borrow();
            match (mode, way) {
                (Mode::Silent, _) | (Mode::OneWay, Way::Answers) => continue,
                (Mode::Delay, _) => sleep(DELAY).await,
                _ => {}
            }
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
