//! Which node is asked for what another one is ahead with.

use model::time::Time;
use rand::rngs::SmallRng;
use std::{net::SocketAddr, time::Duration};

use crate::{
    control::Method,
    fence::Fence,
    listed::peers::{Peers, Trust},
    message::{Digest, Fetch, Request},
};

/// How long a pull may take. A node that does not answer by then is left for another one, so that
/// two nodes can be asked within the time in which a change must be in force. What does not cross a
/// link in that time comes in pieces, see [`crate::catchup`].
pub(super) const TIMEOUT: Duration = Duration::from_millis(1_000);

/// For how long a node that did not answer is not asked again.
const AVOIDED: Duration = Duration::from_secs(1);

/// For how long any other node is asked before one that did not answer.
///
/// Two fast nodes that fell silent together are each given a second and avoided for a second; with no
/// more than that one of them would always be due, and nodes elsewhere never asked.
const DOUBTED: Duration = Duration::from_secs(5);

/// The pull of one thing.
#[derive(Debug, Default)]
pub(super) struct Line {
    asked: Option<SocketAddr>,
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
    pub(super) config: Line,
    pub(super) list: Line,
    /// The next pull of the list asks for every entry.
    pub(super) whole_list: bool,
}

impl Line {
    /// Notes an answer of `peer`; returns whether it is one to the pull under way.
    pub(super) fn end(&mut self, peer: SocketAddr) -> bool {
        if self.asked != Some(peer) {
            return false;
        }
        self.asked = None;
        self.failures = 0;
        true
    }

    /// Has the next pull ask `peer`, which has not told everything yet.
    pub(super) fn go_on_with(&mut self, peer: SocketAddr) {
        self.unfinished = Some(peer);
    }

    /// Asks `peer` nothing more for a while.
    pub(super) fn avoid(&mut self, peer: SocketAddr, now: Time) {
        self.failed.push((peer, now));
    }

    fn trust(&self, peer: SocketAddr, now: Time) -> Trust {
        let failures = self.failed.iter().filter(|(address, _)| *address == peer);
        match failures.map(|(_, at)| now.since(*at)).min() {
            Some(age) if age < AVOIDED => Trust::None,
            Some(_) => Trust::Low,
            None => Trust::Usual,
        }
    }

    fn fail(&mut self, peer: SocketAddr, now: Time) -> u32 {
        if self.asked == Some(peer) {
            self.asked = None;
        }
        self.failures += 1;
        self.avoid(peer, now);
        self.failures
    }

    fn begin(
        &mut self,
        peers: &Peers,
        held: u64,
        now: Time,
        random: &mut SmallRng,
        measure: impl Fn(&Digest) -> u64,
    ) -> Option<SocketAddr> {
        self.failed.retain(|(_, at)| now.since(*at) < DOUBTED);
        if self.asked.is_some() {
            return None;
        }
        let unfinished = self.unfinished.take();
        let trust = |peer| self.trust(peer, now);
        let next = unfinished.filter(|peer| peers.is_ahead(*peer, held, &measure));
        self.asked = next.or_else(|| peers.ahead(held, measure, trust, now, random));
        self.asked
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
        let measure = |digest: &Digest| match digest.config {
            refused if fence.has_refused(refused) => 0,
            config => config,
        };
        self.config.begin(peers, fence.version().revision, now, random, measure)
    }

    pub(super) fn next_list(
        &mut self,
        peers: &Peers,
        held: u64,
        now: Time,
        random: &mut SmallRng,
    ) -> Option<(SocketAddr, Request)> {
        let peer = self.list.begin(peers, held, now, random, |digest| digest.list)?;
        let whole = std::mem::replace(&mut self.whole_list, false) || held == 0;
        let have = if whole { None } else { Some(held) };
        Some((peer, Request::Fetch(Fetch { have })))
    }

    /// Notes that `peer` did not answer; returns how many pulls in a row brought no answer.
    pub(super) fn fail(&mut self, method: Method, peer: SocketAddr, now: Time) -> u32 {
        match method {
            Method::Pull => self.config.fail(peer, now),
            Method::Fetch => self.list.fail(peer, now),
            Method::Heartbeat | Method::Sync => 0,
        }
    }
}
