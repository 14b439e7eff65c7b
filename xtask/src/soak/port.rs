//! Ports for the processes and stand-ins of a soak.

use rand::{RngExt, rngs::SmallRng};
use std::{io, net::TcpListener, ops::Range};

/// Ports that systems do not hand out by themselves, to listeners that name none or to connections.
const SHARED_PORTS: Range<u16> = 20_000..30_000;

/// How many ports of [`SHARED_PORTS`] are tried; few of them are ever taken.
const MAX_TRIES: usize = 100;

/// Returns a port that is free on every loopback address, as far as one can tell.
pub(crate) fn free() -> io::Result<u16> {
    probe_port(0)
}

/// Returns a port at which a process can listen at each of many addresses, whatever else listens there.
///
/// All nodes of a soak share two ports, each at its own address, and an upstream listens at the address of
/// its node at a port that the system chooses. Drawn by the system as well, the shared port was that of an
/// upstream now and then, and its node ended with "address already in use". With two hundred instances that
/// was one start in some.
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

fn probe_port(wanted: u16) -> io::Result<u16> {
    Ok(TcpListener::bind(("0.0.0.0", wanted))?.local_addr()?.port())
}

#[cfg(test)]
mod tests;
