//! Gossip digests between nodes as UDP datagrams.
//!
//! Every node sends every other node its revisions of configuration and instance list a few times
//! per second. Delivery is best effort: each digest supersedes the previous one.

use fleet::message::{Digest, Piggyback};
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::{SocketAddr, UdpSocket},
};

/// Maximum size of a digest, in bytes; fits into one packet on any link.
const MAX_DIGEST_BYTES: usize = 1_200;

/// Failure to send or receive digests.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket could not be bound.
    #[snafu(display("cannot bind UDP socket at {address}: {source}"))]
    Bind {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Receiving failed; the caller may try again.
    #[snafu(display("cannot receive a datagram: {source}"))]
    Receive {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The datagram is not a valid digest.
    #[snafu(display("malformed digest from {from}: {source}"))]
    Malformed {
        /// Address of the sender.
        from: SocketAddr,
        /// Error of the parser.
        source: serde_json::Error,
    },
}

/// A UDP socket for digests.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds a socket to `address`.
    pub fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        Ok(Socket { socket })
    }

    /// Sends a digest to each of `targets`; returns how many sends failed.
    ///
    /// A failed send needs no retry, since the next digest follows soon.
    pub fn send(&self, targets: &[SocketAddr], digest: &Digest) -> usize {
        let Ok(text) = encode(digest) else { return targets.len() };
        targets.iter().filter(|target| self.socket.send_to(&text, target).is_err()).count()
    }

    /// Blocks until the next digest is received.
    pub fn receive(&self) -> Result<Digest, Error> {
        let mut buffer = [0; MAX_DIGEST_BYTES];
        let (size, from) = self.socket.recv_from(&mut buffer).context(ReceiveSnafu)?;
        serde_json::from_slice(&buffer[..size]).context(MalformedSnafu { from })
    }
}

/// Encodes a digest in one packet. If it does not fit, drops the piggybacked changes, which
/// receivers then pull, and as many reports and rumours as necessary, which later digests carry. Without
/// contact ages, which long names of data centres make large, receivers rely on their own.
fn encode(digest: &Digest) -> Result<Vec<u8>, serde_json::Error> {
    let text = serde_json::to_vec(digest)?;
    if text.len() <= MAX_DIGEST_BYTES {
        return Ok(text);
    }
    let mut reduced = Digest { piggyback: Piggyback::default(), ..digest.clone() };
    loop {
        let text = serde_json::to_vec(&reduced)?;
        let is_reduced = reduced.reports.pop().is_some()
            || reduced.rumours.pop().is_some()
            || reduced.contact_ages_ms.pop_last().is_some();
        if text.len() <= MAX_DIGEST_BYTES || !is_reduced {
            return Ok(text);
        }
    }
}
