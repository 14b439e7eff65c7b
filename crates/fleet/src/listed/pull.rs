//! Selects the peer for each pull of configuration or list and tracks failed peers.

use model::time::Time;
use rand::rngs::SmallRng;
use std::{net::SocketAddr, time::Duration};

use crate::{
    control::Method,
    fence::Fence,
    listed::peers::{Health, Peers},
    message::{Digest, Fetch, Request},
};

/// Timeout of a pull; allows a pull from a second peer before a change must be in force. Larger transfers
/// are split into chunks, see [`crate::catchup`].
pub(super) const TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a node that did not answer is excluded.
const EXCLUSION: Duration = Duration::from_secs(1);

/// How long nodes without a recent failure are preferred over one that did not answer.
///
/// Longer than [`TIMEOUT`] and [`EXCLUSION`] together: otherwise two unresponsive nodes with fast links
/// would alternate, and nodes of other data centres would get no pull.
const SUSPICION: Duration = Duration::from_secs(5);

/// Pull state of one resource; at most one pull is in flight.
#[derive(Debug, Default)]
pub(super) struct Slot {
    in_flight: Option<SocketAddr>,
    /// Nodes that did not answer, with the time of the failure.
    failed: Vec<(SocketAddr, Time)>,
    /// Node that has more chunks of the last transfer.
    unfinished: Option<SocketAddr>,
    /// Consecutive pulls without an answer.
    failures: u32,
}

/// Pull state of configuration and list.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    pub(super) config: Slot,
    pub(super) list: Slot,
    /// Whether the next pull of the list requests a full copy.
    pub(super) full_list: bool,
}

impl Slot {
    /// Records an answer of `peer`; returns whether it belongs to the pull in flight.
    pub(super) fn complete(&mut self, peer: SocketAddr) -> bool {
        if self.in_flight != Some(peer) {
            return false;
        }
        self.in_flight = None;
        self.failures = 0;
        true
    }

    /// Directs the next pull to `peer`, which has more chunks to send.
    pub(super) fn continue_with(&mut self, peer: SocketAddr) {
        self.unfinished = Some(peer);
    }

    /// Excludes `peer` for [`EXCLUSION`].
    pub(super) fn exclude(&mut self, peer: SocketAddr, now: Time) {
        self.failed.push((peer, now));
    }

    fn health(&self, peer: SocketAddr, now: Time) -> Health {
        let recent = self.failed.iter().filter(|(address, _)| *address == peer);
        match recent.map(|(_, at)| now.since(*at)).min() {
            Some(age) if age < EXCLUSION => Health::Excluded,
            Some(_) => Health::Suspect,
            None => Health::Good,
        }
    }

    fn fail(&mut self, peer: SocketAddr, now: Time) -> u32 {
        if self.in_flight == Some(peer) {
            self.in_flight = None;
        }
        self.failures += 1;
        self.exclude(peer, now);
        self.failures
    }

    fn start(
        &mut self,
        peers: &Peers,
        held: u64,
        now: Time,
        random: &mut SmallRng,
        revision_of: impl Fn(&Digest) -> u64,
    ) -> Option<SocketAddr> {
        self.failed.retain(|(_, at)| now.since(*at) < SUSPICION);
        if self.in_flight.is_some() {
            return None;
        }
        let unfinished = self.unfinished.take();
        let health = |peer| self.health(peer, now);
        let next = unfinished.filter(|peer| peers.is_ahead(*peer, held, &revision_of));
        self.in_flight = next.or_else(|| peers.pick_ahead(held, revision_of, health, now, random));
        self.in_flight
    }
}

impl Pulls {
    pub(super) fn next_config(
        &mut self,
        peers: &Peers,
        fence: &Fence,
        now: Time,
        random: &mut SmallRng,
    ) -> Option<SocketAddr> {
        // A rejected version must not hide older acceptable ones that other peers hold.
        let revision_of = |digest: &Digest| match digest.config {
            rejected if fence.has_rejected(rejected) => 0,
            config => config,
        };
        self.config.start(peers, fence.version().revision, now, random, revision_of)
    }

    pub(super) fn next_list(
        &mut self,
        peers: &Peers,
        held: u64,
        now: Time,
        random: &mut SmallRng,
    ) -> Option<(SocketAddr, Request)> {
        let peer = self.list.start(peers, held, now, random, |digest| digest.list)?;
        let full = std::mem::replace(&mut self.full_list, false) || held == 0;
        let have = if full { None } else { Some(held) };
        Some((peer, Request::Fetch(Fetch { have })))
    }

    /// Records that `peer` did not answer; returns the number of consecutive failures.
    pub(super) fn fail(&mut self, method: Method, peer: SocketAddr, now: Time) -> u32 {
        match method {
            Method::Pull => self.config.fail(peer, now),
            Method::Fetch => self.list.fail(peer, now),
            Method::Heartbeat | Method::Sync => 0,
        }
    }
}
