//! Which node is asked for what another one is ahead with.

use model::time::Time;
use rand::rngs::SmallRng;
use std::{net::SocketAddr, time::Duration};

use crate::{
    control::Asked,
    fence::Fence,
    listed::peers::{Health, Peers},
    message::{Digest, Fetch, Request},
};

/// How long a pull may take. A node that does not answer by then is left for another one, so that
/// two nodes can be asked within the time in which a change must be in force. What does not cross a
/// link in that time comes in pieces, see [`crate::catchup`].
pub(super) const TIMEOUT: Duration = Duration::from_millis(1_000);

/// For how long a node that did not answer is not asked again.
const EXCLUSION: Duration = Duration::from_secs(1);

/// For how long any other node is asked before one that did not answer.
///
/// Two fast nodes that fell silent together are each given a second and avoided for a second; with no
/// more than that one of them would always be due, and nodes elsewhere never asked.
const SUSPICION: Duration = Duration::from_secs(5);

/// The pull of one thing.
#[derive(Debug, Default)]
pub(super) struct Slot {
    in_flight: Option<SocketAddr>,
    /// Nodes that did not answer, and when.
    failed: Vec<(SocketAddr, Time)>,
    /// The node that holds more of what the last pull brought.
    unfinished: Option<SocketAddr>,
    /// Pulls in a row that brought no answer.
    failures: u32,
}

/// Pulls under way.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    pub(super) config: Slot,
    pub(super) list: Slot,
    /// The next pull of the list asks for every entry.
    pub(super) full_list: bool,
}

impl Slot {
    /// Notes an answer of `peer`; returns whether it is one to the pull under way.
    pub(super) fn complete(&mut self, peer: SocketAddr) -> bool {
        if self.in_flight != Some(peer) {
            return false;
        }
        self.in_flight = None;
        self.failures = 0;
        true
    }

    /// Has the next pull ask `peer`, which has not told everything yet.
    pub(super) fn continue_with(&mut self, peer: SocketAddr) {
        self.unfinished = Some(peer);
    }

    /// Asks `peer` nothing more for a while.
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
        // What was refused here must not keep out what lies between it and the version in force.
        let revision_of = |digest: &Digest| match digest.config {
            refused if fence.has_refused(refused) => 0,
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

    /// Notes that `peer` did not answer; returns how many pulls in a row brought no answer.
    pub(super) fn fail(&mut self, asked: Asked, peer: SocketAddr, now: Time) -> u32 {
        match asked {
            Asked::Pull => self.config.fail(peer, now),
            Asked::Fetch => self.list.fail(peer, now),
            Asked::Beat | Asked::Sync => 0,
        }
    }
}
