//! Which node is asked for what another one is ahead with.

use model::time::Time;
use rand::rngs::SmallRng;
use std::{net::SocketAddr, time::Duration};

use crate::{
    control::Asked,
    listed::peers::Peers,
    message::{Digest, Fetch, Pull, Request},
};

/// How long a pull may take. A node that does not answer by then is left for another one, so that
/// two nodes can be asked within the time in which a change must be in force; a slow link takes half
/// a second for the largest answers.
pub(super) const TIMEOUT: Duration = Duration::from_millis(1_000);

/// For how long a node that did not answer is not asked again.
const AVOIDED: Duration = Duration::from_secs(1);

/// The pull of one thing.
#[derive(Debug, Default)]
pub(super) struct Line {
    asked: Option<SocketAddr>,
    avoided: Vec<(SocketAddr, Time)>,
}

/// Pulls under way.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    pub(super) config: Line,
    pub(super) list: Line,
    /// The next pull of the configuration asks for every document.
    pub(super) whole_config: bool,
    /// The next pull of the list asks for every entry.
    pub(super) whole_list: bool,
}

impl Line {
    pub(super) fn end(&mut self) {
        self.asked = None;
    }

    /// Asks `peer` nothing more for a while.
    pub(super) fn avoid(&mut self, peer: SocketAddr, now: Time) {
        self.avoided.push((peer, now + AVOIDED));
    }

    fn fail(&mut self, peer: SocketAddr, now: Time) {
        self.end();
        self.avoid(peer, now);
    }

    fn begin(
        &mut self,
        peers: &Peers,
        held: u64,
        now: Time,
        random: &mut SmallRng,
        measure: impl Fn(&Digest) -> u64,
    ) -> Option<SocketAddr> {
        self.avoided.retain(|(_, until)| *until > now);
        if self.asked.is_some() {
            return None;
        }
        let avoided = |peer| self.avoided.iter().any(|(address, _)| *address == peer);
        self.asked = peers.ahead(held, measure, avoided, random);
        self.asked
    }
}

impl Pulls {
    pub(super) fn next_config(
        &mut self,
        peers: &Peers,
        held: u64,
        buckets: &[u64],
        now: Time,
        random: &mut SmallRng,
    ) -> Option<(SocketAddr, Request)> {
        let peer = self.config.begin(peers, held, now, random, |digest| digest.config)?;
        let whole = std::mem::replace(&mut self.whole_config, false) || held == 0;
        let buckets = if whole { Vec::new() } else { buckets.to_vec() };
        let have = (!whole).then_some(held);
        Some((peer, Request::Pull(Pull { have, buckets })))
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

    pub(super) fn fail(&mut self, asked: Asked, peer: SocketAddr, now: Time) {
        match asked {
            Asked::Pull => self.config.fail(peer, now),
            Asked::Fetch => self.list.fail(peer, now),
            Asked::Beat | Asked::Sync => {}
        }
    }

    pub(super) fn clear(&mut self) {
        self.config.end();
        self.list.end();
    }
}
