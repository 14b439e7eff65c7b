//! A loopback proxy that treats connections as a bad network does.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

/// How connections are treated, those that exist and new ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
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

const MODES: [Mode; 5] = [Mode::Pass, Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay];

/// Delay of each piece of bytes under [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(80);

/// Time between two looks at the mode while no bytes come.
const POLL: Duration = Duration::from_millis(50);

/// A running proxy; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Passes connections to `listen` on to `target`.
    pub(crate) fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let proxy = Proxy { mode: Arc::new(AtomicU8::new(Mode::Pass as u8)) };
        let served = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(near, target));
            }
        });
        Ok((proxy, address))
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    fn mode(&self) -> Mode {
        MODES[usize::from(self.mode.load(Ordering::SeqCst))]
    }

    fn serve(&self, near: TcpStream, target: SocketAddr) {
        if self.mode() == Mode::Reset {
            return reset(&near);
        }
        let Ok(far) = TcpStream::connect(target) else { return reset(&near) };
        let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else { return };
        let back = self.clone();
        thread::spawn(move || back.relay(far_again, near_again, Way::Answers));
        self.relay(near, far, Way::Requests);
    }

    fn relay(&self, mut from: TcpStream, mut to: TcpStream, way: Way) {
        if from.set_read_timeout(Some(POLL)).is_err() {
            return;
        }
        let mut chunk = [0; 16 * 1024];
        loop {
            let read = from.read(&mut chunk);
            let mode = self.mode();
            let count = match read {
                _ if mode == Mode::Reset => {
                    reset(&from);
                    return reset(&to);
                }
                Ok(0) => break,
                Ok(count) => count,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
                {
                    continue;
                }
                Err(_) => break,
            };
            match (mode, way) {
                (Mode::Silent, _) | (Mode::OneWay, Way::Answers) => continue,
                (Mode::Delay, _) => thread::sleep(DELAY),
                _ => {}
            }
            if to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        // The other side may have closed already.
        let _ = to.shutdown(Shutdown::Write);
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Requests,
    Answers,
}

/// Closes a connection at once; with bytes unread the system resets it.
fn reset(stream: &TcpStream) {
    // It may be closed already.
    let _ = stream.shutdown(Shutdown::Both);
}
