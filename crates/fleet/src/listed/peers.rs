//! The nodes that a node in listed mode tells its summary to, and what it has heard of them.

use model::time::Time;
use rand::{
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{message::Digest, source};

/// Summaries that a node sends in a second. At 40, and about as many received, they take under
/// 1 % of a core; with up to eight other nodes each is told five times a second.
const DIGESTS_PER_SECOND: usize = 40;

/// Shortest time between two rounds of summaries, however few the nodes are.
const ROUND_LEAST: Duration = Duration::from_millis(200);

/// Longest time in which every other node is told once.
const ROUND_MOST: Duration = Duration::from_secs(2);

/// Rounds without a summary of another node after which it counts as out of reach.
///
/// One or two summaries may be lost on the way; four in a row are not.
const SILENT_ROUNDS: u32 = 4;

/// Added to [`SILENT_ROUNDS`] for the time that a slow node needs.
const SILENT_EXTRA: Duration = Duration::from_millis(400);

/// How long a node that is no longer listed is still told.
///
/// One that was killed while the platform was down knows nobody when it returns; it learns of the
/// others from their summaries.
const REMEMBERED: Duration = Duration::from_secs(60);

/// For how long what a node holds counts as known after its last word. Four times the longest round, in
/// which every node that goes on working speaks.
const KNOWN: Duration = Duration::from_secs(8);

/// How much an answer of another node can be counted on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Trust {
    /// It is not to be asked now.
    None,
    /// It is silent, or did not answer lately.
    Low,
    /// Nothing speaks against it.
    Usual,
}

/// How well a node is placed to be asked; what comes first weighs most.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    trust: Trust,
    /// Whether it is in the own data centre.
    near: bool,
    link_mbps: u32,
}

/// What is known of another node.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) digest: Option<Digest>,
    heard: Time,
    listed: Time,
    /// Place in the rendezvous order.
    weight: u64,
}

impl Peer {
    fn new(address: SocketAddr, now: Time) -> Self {
        Peer { digest: None, heard: now, listed: now, weight: source::weight(address) }
    }
}

/// Standing of another node, by its own word or its silence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reach {
    /// It was heard of lately, or is new.
    Heard,
    /// It said that it takes no more work.
    Leaving,
    /// It was heard before and is silent now.
    Silent,
}

/// All other nodes, by address for messages between nodes.
#[derive(Debug)]
pub(super) struct Peers {
    own: SocketAddr,
    link_mbps: u32,
    data_centre: String,
    /// Nodes that were not within reach when last looked at.
    missing: Vec<(SocketAddr, Reach)>,
    peers: BTreeMap<SocketAddr, Peer>,
    order: Vec<SocketAddr>,
    due: Time,
}

impl Peers {
    pub(super) fn new(own: SocketAddr, link_mbps: u32, data_centre: String) -> Self {
        Peers {
            own,
            link_mbps,
            data_centre,
            missing: Vec::new(),
            peers: BTreeMap::new(),
            order: Vec::new(),
            due: Time::default(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Looks at who is within reach; returns whether that has changed since the last look.
    pub(super) fn look(&mut self, now: Time) -> bool {
        let reach = |address: &SocketAddr| (*address, self.reach(*address, now));
        let missing: Vec<(SocketAddr, Reach)> =
            self.peers.keys().map(reach).filter(|(_, reach)| *reach != Reach::Heard).collect();
        let changed = missing != self.missing;
        self.missing = missing;
        changed
    }

    /// Returns the number of data centres with a node that was heard of, the own one included.
    pub(super) fn data_centres(&self) -> usize {
        let digests = self.peers.values().filter_map(|peer| peer.digest.as_ref());
        let others = digests.map(|d| d.data_centre.as_str());
        let all: BTreeSet<&str> = others.chain([self.data_centre.as_str()]).collect();
        all.len()
    }

    /// Takes note of a node beside a listed upstream.
    pub(super) fn list(&mut self, address: SocketAddr, now: Time) {
        if address != self.own {
            let peer = self.peers.entry(address).or_insert_with(|| Peer::new(address, now));
            peer.listed = now;
        }
    }

    /// Takes a summary into account; returns whether the node's standing may have changed.
    pub(super) fn hear(&mut self, digest: Digest, now: Time) -> bool {
        let address = digest.from.address;
        if address == self.own {
            return false;
        }
        let before = (self.reach(address, now), self.incarnation(address));
        let peer = self.peers.entry(address).or_insert_with(|| Peer::new(address, now));
        peer.heard = now;
        peer.digest = Some(digest);
        before != (self.reach(address, now), self.incarnation(address))
    }

    /// Returns the life of the node at `address`; 0 where it was never heard of.
    pub(super) fn incarnation(&self, address: SocketAddr) -> u64 {
        let digest = self.peers.get(&address).and_then(|peer| peer.digest.as_ref());
        digest.map_or(0, |digest| digest.from.incarnation)
    }

    /// Forgets the silence so far: this process did not run, so it heard nobody.
    pub(super) fn wake(&mut self, now: Time) {
        self.peers.values_mut().for_each(|peer| peer.heard = now);
    }

    /// Drops nodes that are neither listed nor heard of.
    pub(super) fn prune(&mut self, now: Time) {
        self.peers
            .retain(|_, p| now.since(p.listed) < REMEMBERED || now.since(p.heard) < REMEMBERED);
    }

    /// Returns the standing of the node at `address`; nodes never heard of count as heard.
    ///
    /// A node that has heard nobody lately is itself cut off or was starved, and learns nothing
    /// from the silence of one among them.
    pub(super) fn reach(&self, address: SocketAddr, now: Time) -> Reach {
        let Some(peer) = self.peers.get(&address) else { return Reach::Heard };
        let Some(digest) = &peer.digest else { return Reach::Heard };
        let limit = self.round() * SILENT_ROUNDS + SILENT_EXTRA;
        if now.since(peer.heard) > limit {
            return Reach::Silent;
        }
        if digest.leaving { Reach::Leaving } else { Reach::Heard }
    }

    /// Returns this node's place among the readers of its data centre.
    ///
    /// Nodes with fast links come first: on a slow one, reading a large configuration takes all of
    /// the link for the better part of a second, and calls wait behind it.
    pub(super) fn rank(&self, now: Time) -> usize {
        let own = (self.link_mbps, source::weight(self.own), self.own);
        let before = |address: &SocketAddr, peer: &Peer| {
            let Some(digest) = &peer.digest else { return false };
            let able = digest.data_centre == self.data_centre && !digest.failing;
            able && (digest.link_mbps, peer.weight, *address) > own
                && self.reach(*address, now) == Reach::Heard
        };
        self.peers.iter().filter(|(address, peer)| before(address, peer)).count()
    }

    /// Returns the nodes whose turn it is to be told.
    pub(super) fn turn(&mut self, now: Time, random: &mut SmallRng) -> Vec<SocketAddr> {
        if now < self.due || self.peers.is_empty() {
            return Vec::new();
        }
        // A round is told in slices, so that hundreds of nodes cost no burst of messages.
        let slices = self.round().div_duration_f64(ROUND_LEAST).max(1.0);
        let count = (self.peers.len() as f64 / slices).ceil() as usize;
        self.due = now + ROUND_LEAST;
        if self.order.len() < count {
            self.order = self.peers.keys().copied().collect();
            self.order.shuffle(random);
        }
        self.order.split_off(self.order.len().saturating_sub(count))
    }

    /// Returns the nodes to tell of news that this node was among the first to hear: all of the
    /// own data centre, and some of each other one.
    pub(super) fn audience(&self, far: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        let mut others: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for (address, peer) in &self.peers {
            match peer.digest.as_ref().map(|d| d.data_centre.as_str()) {
                Some(name) if name != self.data_centre => {
                    others.entry(name).or_default().push(*address);
                }
                _ => targets.push(*address),
            }
        }
        for mut group in others.into_values() {
            group.shuffle(random);
            targets.extend(group.into_iter().take(far));
        }
        targets
    }

    /// Returns some nodes drawn at random.
    pub(super) fn some(&self, count: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.peers.keys().copied().collect();
        all.shuffle(random);
        all.truncate(count);
        all
    }

    /// Draws one of the nodes that hold more than `held` by `measure`, the best placed first: those
    /// that can be counted on, those of the own data centre, and those with the fastest links.
    ///
    /// A random one, since after a herd restart everybody asks at the same moment.
    pub(super) fn ahead(
        &self,
        held: u64,
        measure: impl Fn(&Digest) -> u64,
        trust: impl Fn(SocketAddr) -> Trust,
        now: Time,
        random: &mut SmallRng,
    ) -> Option<SocketAddr> {
        let trust = |address| match self.reach(address, now) {
            Reach::Silent => trust(address).min(Trust::Low),
            Reach::Heard | Reach::Leaving => trust(address),
        };
        let place = |address, digest: &Digest| Place {
            trust: trust(address),
            near: digest.data_centre == self.data_centre,
            link_mbps: digest.link_mbps,
        };
        let ahead = self.peers.iter().filter_map(|(address, peer)| {
            let digest = peer.digest.as_ref().filter(|digest| measure(digest) > held)?;
            Some((place(*address, digest), *address))
        });
        let ahead: Vec<(Place, SocketAddr)> =
            ahead.filter(|(place, _)| place.trust > Trust::None).collect();
        let best = ahead.iter().map(|(place, _)| *place).max()?;
        let best: Vec<SocketAddr> =
            ahead.iter().filter(|(place, _)| *place == best).map(|(_, peer)| *peer).collect();
        best.choose(random).copied()
    }

    /// Returns the highest revision of the configuration that a node told of lately; 0 for none.
    pub(super) fn known_config(&self, now: Time) -> u64 {
        let lately = self.peers.values().filter(|peer| now.since(peer.heard) < KNOWN);
        lately.filter_map(|peer| Some(peer.digest.as_ref()?.config)).max().unwrap_or(0)
    }

    /// Tells whether `peer` holds more than `held` by `measure`.
    pub(super) fn is_ahead(
        &self,
        peer: SocketAddr,
        held: u64,
        measure: impl Fn(&Digest) -> u64,
    ) -> bool {
        let digest = self.peers.get(&peer).and_then(|peer| peer.digest.as_ref());
        digest.is_some_and(|digest| measure(digest) > held)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.peers.iter()
    }

    /// Returns the time in which every other node is told once.
    fn round(&self) -> Duration {
        let whole = Duration::from_secs(1) * self.peers.len() as u32 / DIGESTS_PER_SECOND as u32;
        whole.clamp(ROUND_LEAST, ROUND_MOST)
    }
}
