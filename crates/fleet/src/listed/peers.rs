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

use crate::{
    listed::{
        partition::Detector,
        rounds::{self, Rounds, Target},
        rumours::Rumours,
    },
    message::{Digest, News, Rumour},
    source,
};

/// Rounds without a summary of another node after which it counts as out of reach.
///
/// One or two summaries may be lost on the way; four in a row are not.
const SILENT_ROUNDS: u32 = 4;

/// Added to [`SILENT_ROUNDS`] for the time that a slow node needs.
const SILENCE_MARGIN: Duration = Duration::from_millis(400);

/// How long a node that said that it leaves counts as leaving without another word. A planned stop takes
/// less; a later life of the node says so, but a node that stood still may have missed it.
const LEAVING_TTL: Duration = Duration::from_secs(10);

/// Most nodes of the own data centre that are told at once of news. Beyond them those that were told pass
/// the news on.
const MAX_NEAR_FANOUT: usize = 64;

/// How long a node that is no longer listed is still told.
///
/// One that was killed while the platform was down knows nobody when it returns; it learns of the
/// others from their summaries.
const RETENTION: Duration = Duration::from_secs(60);

/// For how long what a node holds counts as known after its last word. Four times the longest round, in
/// which every node that goes on working speaks.
const DIGEST_TTL: Duration = Duration::from_secs(8);

/// How much an answer of another node can be counted on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Health {
    /// It is not to be asked now.
    Excluded,
    /// It is silent, or did not answer lately.
    Suspect,
    /// Nothing speaks against it.
    Good,
}

/// How well a node is placed to be asked; what comes first weighs most.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Score {
    health: Health,
    /// Whether it is in the own data centre.
    near: bool,
    link_mbps: u32,
}

/// What is known of another node.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its last summary, without what that told of others.
    pub(super) digest: Option<Digest>,
    heard: Time,
    listed: Time,
    /// Whether it is in the own data centre.
    near: bool,
    /// Score in the rendezvous order.
    weight: u64,
    claim: Option<Claim>,
}

/// A rumour of a node that it did not contradict itself.
#[derive(Clone, Copy, Debug)]
struct Claim {
    rumour: Rumour,
    /// Who told it first.
    reporter: SocketAddr,
    /// Since when it is confirmed: another node has told it as well.
    confirmed: Option<Time>,
}

impl Rumour {
    /// Returns what `digest` says of its sender.
    fn of(digest: &Digest) -> Rumour {
        Rumour { of: digest.from, leaving: digest.leaving }
    }

    /// Tells whether this was said after `other`, by the same node: a later life follows on an earlier one,
    /// and leaving is final within a life.
    fn supersedes(&self, other: &Rumour) -> bool {
        (self.of.incarnation, self.leaving) > (other.of.incarnation, other.leaving)
    }
}

impl Peer {
    fn new(address: SocketAddr, near: bool, now: Time) -> Self {
        let weight = source::weight(address);
        Peer { digest: None, heard: now, listed: now, near, weight, claim: None }
    }

    /// Returns what the node last said of itself and when, directly or through others.
    fn last_status(&self) -> Option<(Rumour, Time)> {
        let claimed = self.claim.and_then(|claim| Some((claim.rumour, claim.confirmed?)));
        let own = || Some((Rumour::of(self.digest.as_ref()?), self.heard));
        claimed.or_else(own)
    }
}

/// Standing of another node, by its own word or its silence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// It was heard of lately, or is new.
    Alive,
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
    unreachable: Vec<(SocketAddr, Liveness)>,
    /// Data centres that were silent when last looked at.
    silent: Vec<String>,
    /// Nodes of the own data centre when last looked at.
    near: usize,
    peers: BTreeMap<SocketAddr, Peer>,
    partitions: Detector,
    rounds: Rounds,
    rumours: Rumours,
}

impl Peers {
    pub(super) fn new(own: SocketAddr, link_mbps: u32, data_centre: String) -> Self {
        Peers {
            own,
            link_mbps,
            data_centre,
            unreachable: Vec::new(),
            silent: Vec::new(),
            near: 0,
            peers: BTreeMap::new(),
            partitions: Detector::default(),
            rounds: Rounds::default(),
            rumours: Rumours::default(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Looks at who is within reach; returns whether that has changed since the last look.
    pub(super) fn update_liveness(&mut self, now: Time) -> bool {
        self.near = self.peers.values().filter(|peer| peer.near).count();
        let liveness =
            |(address, peer): (&SocketAddr, &Peer)| (*address, self.liveness_of(peer, now));
        let unreachable: Vec<(SocketAddr, Liveness)> = self
            .peers
            .iter()
            .map(liveness)
            .filter(|(_, liveness)| *liveness != Liveness::Alive)
            .collect();
        let silent = match self.is_full_mesh() {
            true => Vec::new(),
            false => self.partitions.silent(&self.data_centre, self.near, now),
        };
        let changed = unreachable != self.unreachable || silent != self.silent;
        self.unreachable = unreachable;
        self.silent = silent;
        changed
    }

    /// Tells whether a data centre was silent as a whole when last looked at.
    pub(super) fn is_silent(&self, data_centre: &str) -> bool {
        self.silent.iter().any(|silent| silent == data_centre)
    }

    /// Tells whether every node tells every other one within seconds.
    fn is_full_mesh(&self) -> bool {
        rounds::is_full_mesh(self.peers.len())
    }

    /// Returns the number of data centres with a node that was heard of, the own one included.
    pub(super) fn data_centres(&self) -> usize {
        let digests = self.peers.values().filter_map(|peer| peer.digest.as_ref());
        let others = digests.map(|d| d.data_centre.as_str());
        let all: BTreeSet<&str> = others.chain([self.data_centre.as_str()]).collect();
        all.len()
    }

    /// Takes note of a node beside an upstream that is listed in `data_centre`.
    pub(super) fn add_listed(&mut self, address: SocketAddr, data_centre: &str, now: Time) {
        if address == self.own {
            return;
        }
        let near = data_centre == self.data_centre;
        let peer = self.peers.entry(address).or_insert_with(|| Peer::new(address, near, now));
        peer.listed = now;
        peer.near = near;
    }

    /// Takes a summary into account; returns whether the standing of a node may have changed.
    pub(super) fn receive(&mut self, digest: Digest, now: Time) -> bool {
        let address = digest.from.address;
        if address == self.own {
            return false;
        }
        let near = digest.data_centre == self.data_centre;
        self.partitions.record_contact(&digest.data_centre, now);
        self.partitions.merge_ages(&digest.heard_ms, now);
        let mut changed = false;
        for rumour in &digest.rumours {
            changed |= self.receive_rumour(*rumour, address, now);
        }
        let status = Rumour::of(&digest);
        let digest = Digest {
            heard_ms: BTreeMap::new(),
            rumours: Vec::new(),
            news: News::default(),
            reports: Vec::new(),
            ..digest
        };
        let peer = self.peers.entry(address).or_insert_with(|| Peer::new(address, near, now));
        let before = peer.last_status().map(|(status, _)| status);
        let heard_before = peer.digest.as_ref().map(|_| peer.heard);
        peer.heard = now;
        peer.near = near;
        peer.digest = Some(digest);
        // Its own word goes before what others say of it.
        peer.claim = None;
        if before.is_some_and(|before| before != status) && !self.is_full_mesh() {
            self.rumours.add(status);
        }
        let was_silent =
            heard_before.is_some_and(|heard| now.since(heard) > self.silence_limit(near));
        changed || before != Some(status) || was_silent
    }

    /// Takes into account what `by` tells of another node; returns whether it is news and confirmed.
    fn receive_rumour(&mut self, rumour: Rumour, reporter: SocketAddr, now: Time) -> bool {
        // Unknown names are not kept, whoever tells them: there is no bound on them.
        let Some(peer) = self.peers.get_mut(&rumour.of.address) else { return false };
        let known = peer.last_status().map(|(status, _)| status);
        if rumour.of.address == reporter || known.is_some_and(|known| !rumour.supersedes(&known)) {
            return false;
        }
        match &mut peer.claim {
            Some(claim) if claim.rumour == rumour && claim.reporter != reporter => {
                claim.confirmed = Some(now);
                self.rumours.add(rumour);
                true
            }
            Some(claim) if claim.rumour == rumour => false,
            other => {
                *other = Some(Claim { rumour, reporter, confirmed: None });
                false
            }
        }
    }

    /// Returns the life of the node at `address`; 0 where it was never heard of.
    pub(super) fn incarnation(&self, address: SocketAddr) -> u64 {
        let status = self.peers.get(&address).and_then(Peer::last_status);
        status.map_or(0, |(status, _)| status.of.incarnation)
    }

    /// Returns what is told of others with the next summary.
    pub(super) fn indirect_state(&mut self, now: Time) -> (BTreeMap<String, u64>, Vec<Rumour>) {
        if self.is_full_mesh() {
            return (BTreeMap::new(), Vec::new());
        }
        (self.partitions.ages_ms(&self.data_centre, now), self.rumours.next())
    }

    /// Forgets the silence so far: this process did not run, so it heard nobody.
    pub(super) fn resume(&mut self, now: Time) {
        self.peers.values_mut().for_each(|peer| peer.heard = now);
        self.partitions.resume(now);
    }

    /// Drops nodes that are neither listed nor heard of.
    pub(super) fn prune(&mut self, now: Time) {
        self.peers.retain(|_, p| now.since(p.listed) < RETENTION || now.since(p.heard) < RETENTION);
    }

    /// Returns the standing of the node at `address`; nodes never heard of count as heard.
    pub(super) fn liveness(&self, address: SocketAddr, now: Time) -> Liveness {
        self.peers.get(&address).map_or(Liveness::Alive, |peer| self.liveness_of(peer, now))
    }

    fn liveness_of(&self, peer: &Peer, now: Time) -> Liveness {
        let Some((status, at)) = peer.last_status() else { return Liveness::Alive };
        let age = now.since(at);
        if peer.claim.is_none_or(|claim| claim.confirmed.is_none())
            && age > self.silence_limit(peer.near)
        {
            return Liveness::Silent;
        }
        if status.leaving && age < LEAVING_TTL { Liveness::Leaving } else { Liveness::Alive }
    }

    /// Returns how long a node that was heard may be silent until it counts as out of reach.
    fn silence_limit(&self, near: bool) -> Duration {
        let nodes = self.peers.len();
        let group = if near { self.near } else { nodes.saturating_sub(self.near) };
        rounds::round_time(nodes, group, near) * SILENT_ROUNDS + SILENCE_MARGIN
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
                && self.liveness(*address, now) == Liveness::Alive
        };
        self.peers.iter().filter(|(address, peer)| before(address, peer)).count()
    }

    /// Returns how much longer than in a small fleet word of a contact with the platform may take.
    pub(super) fn propagation_delay(&self) -> Duration {
        rounds::propagation_delay(self.peers.len())
    }

    /// Returns the nodes whose turn it is to be told.
    pub(super) fn next_targets(&mut self, now: Time, random: &mut SmallRng) -> Vec<SocketAddr> {
        let target =
            |(address, peer): (&SocketAddr, &Peer)| Target { address: *address, near: peer.near };
        self.rounds.next_targets(self.peers.iter().map(target), now, random)
    }

    /// Returns the nodes to tell of news that this node was among the first to hear: those of the
    /// own data centre, and some of each other one.
    pub(super) fn fanout(&self, far: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
        let mut near = Vec::new();
        let mut others: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for (address, peer) in &self.peers {
            match peer.digest.as_ref().map(|d| d.data_centre.as_str()) {
                Some(name) if name != self.data_centre => {
                    others.entry(name).or_default().push(*address);
                }
                _ => near.push(*address),
            }
        }
        near.shuffle(random);
        near.truncate(MAX_NEAR_FANOUT);
        for mut group in others.into_values() {
            group.shuffle(random);
            near.extend(group.into_iter().take(far));
        }
        near
    }

    /// Returns the nodes to tell that this one can be learnt from.
    pub(super) fn broadcast_targets(&self, far: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
        if self.is_full_mesh() {
            self.peers.keys().copied().collect()
        } else {
            self.fanout(far, random)
        }
    }

    /// Returns some nodes drawn at random to pass news on to.
    ///
    /// Among hundreds only those of the own data centre: each data centre hears of news from its own reader
    /// and from those of others, and what everybody passed on anywhere would cross over and over again.
    pub(super) fn forward_targets(&self, count: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
        let any_data_centre = self.is_full_mesh() || self.near == 0;
        let target = |(address, peer): (&SocketAddr, &Peer)| {
            (any_data_centre || peer.near).then_some(*address)
        };
        let mut all: Vec<SocketAddr> = self.peers.iter().filter_map(target).collect();
        all.shuffle(random);
        all.truncate(count);
        all
    }

    /// Draws one of the nodes that hold more than `held` by `revision_of`, the best placed first: those
    /// that can be counted on, those of the own data centre, and those with the fastest links.
    ///
    /// A random one, since after a herd restart everybody asks at the same moment.
    pub(super) fn pick_ahead(
        &self,
        held: u64,
        revision_of: impl Fn(&Digest) -> u64,
        health: impl Fn(SocketAddr) -> Health,
        now: Time,
        random: &mut SmallRng,
    ) -> Option<SocketAddr> {
        let health = |address, data_centre: &str| match self.liveness(address, now) {
            Liveness::Silent => health(address).min(Health::Suspect),
            _ if self.is_silent(data_centre) => health(address).min(Health::Suspect),
            Liveness::Alive | Liveness::Leaving => health(address),
        };
        let score = |address, digest: &Digest| Score {
            health: health(address, &digest.data_centre),
            near: digest.data_centre == self.data_centre,
            link_mbps: digest.link_mbps,
        };
        let ahead = self.peers.iter().filter_map(|(address, peer)| {
            let digest = peer.digest.as_ref().filter(|digest| revision_of(digest) > held)?;
            Some((score(*address, digest), *address))
        });
        let ahead: Vec<(Score, SocketAddr)> =
            ahead.filter(|(score, _)| score.health > Health::Excluded).collect();
        let best = ahead.iter().map(|(score, _)| *score).max()?;
        let best: Vec<SocketAddr> =
            ahead.iter().filter(|(score, _)| *score == best).map(|(_, peer)| *peer).collect();
        best.choose(random).copied()
    }

    /// Returns the highest revision of the configuration that a node told of lately; 0 for none.
    pub(super) fn highest_config(&self, now: Time) -> u64 {
        let lately = self.peers.values().filter(|peer| now.since(peer.heard) < DIGEST_TTL);
        lately.filter_map(|peer| Some(peer.digest.as_ref()?.config)).max().unwrap_or(0)
    }

    /// Tells whether `peer` holds more than `held` by `revision_of`.
    pub(super) fn is_ahead(
        &self,
        peer: SocketAddr,
        held: u64,
        revision_of: impl Fn(&Digest) -> u64,
    ) -> bool {
        let digest = self.peers.get(&peer).and_then(|peer| peer.digest.as_ref());
        digest.is_some_and(|digest| revision_of(digest) > held)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.peers.iter()
    }
}
