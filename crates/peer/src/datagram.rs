//! Summaries between nodes as UDP datagrams.
//!
//! Every node tells every other one a few times a second how far it holds configuration and list.
//! A datagram costs each side one system call and no connection; one that is lost is made good by
//! the next.

use fleet::message::{Digest, Piggyback};
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::{SocketAddr, UdpSocket},
};

/// Largest summary, in bytes: one packet on any link.
const SIZE_LIMIT: usize = 1_200;

/// Failure to exchange summaries.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address could not be listened on.
    #[snafu(display("cannot exchange datagrams at {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The socket failed; the next datagram may do better.
    #[snafu(display("cannot receive a datagram: {source}"))]
    Receive {
        /// What the system says.
        source: io::Error,
    },
    /// What arrived is no summary.
    #[snafu(display("{from} sent no summary: {source}"))]
    Malformed {
        /// Who sent it.
        from: SocketAddr,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// A socket for summaries.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Opens a socket at `address`.
    pub fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        Ok(Socket { socket })
    }

    /// Sends a summary to each of `targets`; returns how many could not be sent.
    ///
    /// One that could not be sent is as good as lost on the way: the next one follows soon.
    pub fn send(&self, targets: &[SocketAddr], digest: &Digest) -> usize {
        let Ok(text) = encode(digest) else { return targets.len() };
        targets.iter().filter(|target| self.socket.send_to(&text, target).is_err()).count()
    }

    /// Waits for the next summary.
    pub fn receive(&self) -> Result<Digest, Error> {
        let mut buffer = [0; SIZE_LIMIT];
        let (size, from) = self.socket.recv_from(&mut buffer).context(ReceiveSnafu)?;
        serde_json::from_slice(&buffer[..size]).context(MalformedSnafu { from })
    }
}

/// Encodes a summary in one packet: news that do not fit stay out, and whoever lacks them asks. Reports that do
/// not fit beside the rest are told in later summaries.
fn encode(digest: &Digest) -> Result<Vec<u8>, serde_json::Error> {
    let text = serde_json::to_vec(digest)?;
    if text.len() <= SIZE_LIMIT {
        return Ok(text);
    }
    let mut fitting = Digest { piggyback: Piggyback::default(), ..digest.clone() };
    loop {
        let text = serde_json::to_vec(&fitting)?;
        if text.len() <= SIZE_LIMIT || fitting.reports.pop().is_none() {
            return Ok(text);
        }
    }
}
