//! Port allocation for the processes and stand-ins of a run.

use rand::{RngExt, rngs::SmallRng};
use std::{io, net::TcpListener, ops::Range};

/// Ports below the ephemeral range of the operating system.
const SHARED_PORTS: Range<u16> = 20_000..30_000;

/// Limit of the attempts to find a free port in [`SHARED_PORTS`].
const MAX_TRIES: usize = 100;

/// Returns different ports assigned by the system that are currently free on every loopback address.
///
/// All are held until the last one is assigned; the system may assign a released port again.
pub(crate) fn free<const COUNT: usize>() -> io::Result<[u16; COUNT]> {
    let mut held = Vec::new();
    let mut ports = [0; COUNT];
    for port in &mut ports {
        let listener = listen(0)?;
        *port = listener.local_addr()?.port();
        held.push(listener);
    }
    Ok(ports)
}

/// Returns a port at which every node can listen at its own address.
///
/// It lies outside the ephemeral range: an upstream listens at an ephemeral port of the same address, which
/// must differ from this one.
pub(crate) fn shared(random: &mut SmallRng) -> io::Result<u16> {
    let mut last = Ok(0);
    for _ in 0..MAX_TRIES {
        last = probe_port(random.random_range(SHARED_PORTS));
        if last.is_ok() {
            break;
        }
    }
    last
}

fn probe_port(port: u16) -> io::Result<u16> {
    Ok(listen(port)?.local_addr()?.port())
}

fn listen(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind(("0.0.0.0", port))
}

#[cfg(test)]
mod tests;
