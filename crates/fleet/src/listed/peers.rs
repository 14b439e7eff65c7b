//! Peer table: last digest, liveness and gossip targets of every other node.

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
        rounds::{Rounds, Target},
        rumours::Rumours,
    },
    message::{Digest, Piggyback, Rumour},
    source,
};

/// Gossip rounds without a digest of a node after which it counts as unreachable; tolerates lost datagrams.
const MISSED_ROUNDS: u32 = 4;

/// Margin added to [`MISSED_ROUNDS`] for scheduling delays on a loaded node.
const DIGEST_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// How long a node counts as leaving after its last announcement. Longer than a planned stop; expires in
/// case the digest of the next incarnation was missed.
const LEAVING_TTL: Duration = Duration::from_secs(10);

/// Maximum number of nodes of the local data centre that get changes at once; they forward them to the
/// rest.
const MAX_NEAR_FANOUT: usize = 64;

/// How long a node stays in the table after it was last listed or sent a digest.
///
/// A node that restarts during a platform outage learns of its peers only from their digests.
const RETENTION: Duration = Duration::from_secs(60);

/// How long the revisions in a digest count as known; four times the longest full-mesh round.
const DIGEST_TTL: Duration = Duration::from_secs(8);

/// How likely a node is to answer a pull.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Health {
    /// Failed recently; gets no pull.
    Excluded,
    /// Unreachable, or failed within the suspicion period.
    Suspect,
    /// No known failure.
    Good,
}

/// Preference among nodes to pull from, compared field by field.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Score {
    health: Health,
    /// Whether it is in the same data centre.
    near: bool,
    link_mbps: u32,
}

/// State of another node.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its last digest, without rumours, contact ages, changes and reports.
    pub(super) digest: Option<Digest>,
    received_at: Time,
    listed: Time,
    /// Whether it is in the same data centre.
    near: bool,
    /// Rendezvous hash weight.
    weight: u64,
    claim: Option<Claim>,
}

/// The latest rumour about a node that is newer than its last digest.
#[derive(Clone, Copy, Debug)]
struct Claim {
    rumour: Rumour,
    /// Node that sent it first.
    reporter: SocketAddr,
    /// When a second node confirmed it; none until then.
    confirmed: Option<Time>,
}

impl Rumour {
    /// Returns the status of the sender of `digest`.
    fn of(digest: &Digest) -> Rumour {
        Rumour { of: digest.from, leaving: digest.leaving }
    }

    /// Returns whether this is newer than `other` about the same node: by incarnation, then by leaving,
    /// which is final within an incarnation.
    fn supersedes(&self, other: &Rumour) -> bool {
        (self.of.incarnation, self.leaving) > (other.of.incarnation, other.leaving)
    }
}

impl Peer {
    fn new(address: SocketAddr, near: bool, now: Time) -> Self {
        let weight = source::weight(address);
        Peer { digest: None, received_at: now, listed: now, near, weight, claim: None }
    }

    /// Returns the node's latest status and its time: from a confirmed rumour, or else from its digest.
    fn last_status(&self) -> Option<(Rumour, Time)> {
        let claimed = self.claim.and_then(|claim| Some((claim.rumour, claim.confirmed?)));
        let own = || Some((Rumour::of(self.digest.as_ref()?), self.received_at));
        claimed.or_else(own)
    }
}

/// Verdict of the failure detector on a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// Sent a digest within the timeout, or none so far.
    Alive,
    /// Announced that it accepts no more work.
    Leaving,
    /// Sent a digest before, but none within the timeout.
    Unreachable,
}

/// All other nodes, by peer address.
#[derive(Debug)]
pub(super) struct Peers {
    own: SocketAddr,
    link_mbps: u32,
    data_centre: String,
    /// Nodes that were not alive at the last check.
    unreachable: Vec<(SocketAddr, Liveness)>,
    /// Data centres that were unreachable at the last check.
    unreachable_data_centres: Vec<String>,
    /// Number of other nodes in the same data centre at the last check.
    near: usize,
    peers: BTreeMap<SocketAddr, Peer>,
    partitions: Detector,
    rounds: Rounds,
    rumours: Rumours,
}

impl Peers {
    pub(super) fn new(
        own: SocketAddr,
        link_mbps: u32,
        data_centre: String,
        full_mesh: usize,
    ) -> Self {
        Peers {
            own,
            link_mbps,
            data_centre,
            unreachable: Vec::new(),
            unreachable_data_centres: Vec::new(),
            near: 0,
            peers: BTreeMap::new(),
            partitions: Detector::default(),
            rounds: Rounds::new(full_mesh),
            rumours: Rumours::default(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Updates the unreachable nodes and data centres; returns whether either set has changed.
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
        let unreachable_data_centres = match self.is_full_mesh() {
            true => Vec::new(),
            false => self.partitions.unreachable(&self.data_centre, self.near, now),
        };
        let changed = unreachable != self.unreachable
            || unreachable_data_centres != self.unreachable_data_centres;
        self.unreachable = unreachable;
        self.unreachable_data_centres = unreachable_data_centres;
        changed
    }

    /// Returns whether `data_centre` was unreachable as a whole at the last check.
    pub(super) fn is_unreachable(&self, data_centre: &str) -> bool {
        self.unreachable_data_centres.iter().any(|name| name == data_centre)
    }

    /// Returns whether every node gossips with every other within a round.
    fn is_full_mesh(&self) -> bool {
        self.rounds.is_full_mesh(self.peers.len())
    }

    /// Returns the number of data centres with a node that sent a digest, including the local one.
    pub(super) fn data_centres(&self) -> usize {
        let digests = self.peers.values().filter_map(|peer| peer.digest.as_ref());
        let others = digests.map(|d| d.data_centre.as_str());
        let all: BTreeSet<&str> = others.chain([self.data_centre.as_str()]).collect();
        all.len()
    }

    /// Adds or refreshes a node whose upstream is listed in `data_centre`.
    pub(super) fn add_listed(&mut self, address: SocketAddr, data_centre: &str, now: Time) {
        if address == self.own {
            return;
        }
        let near = data_centre == self.data_centre;
        let peer = self.peers.entry(address).or_insert_with(|| Peer::new(address, near, now));
        peer.listed = now;
        peer.near = near;
    }

    /// Applies a digest; returns whether the liveness of a node may have changed.
    pub(super) fn receive(&mut self, digest: Digest, now: Time) -> bool {
        let address = digest.from.address;
        if address == self.own {
            return false;
        }
        let near = digest.data_centre == self.data_centre;
        self.partitions.record_contact(&digest.data_centre, now);
        self.partitions.merge_ages(&digest.contact_ages_ms, now);
        let mut changed = false;
        for rumour in &digest.rumours {
            changed |= self.receive_rumour(*rumour, address, now);
        }
        let status = Rumour::of(&digest);
        let digest = Digest {
            contact_ages_ms: BTreeMap::new(),
            rumours: Vec::new(),
            piggyback: Piggyback::default(),
            reports: Vec::new(),
            ..digest
        };
        let peer = self.peers.entry(address).or_insert_with(|| Peer::new(address, near, now));
        let before = peer.last_status().map(|(status, _)| status);
        let received_before = peer.digest.as_ref().map(|_| peer.received_at);
        peer.received_at = now;
        peer.near = near;
        peer.digest = Some(digest);
        // The node's digest overrides rumours about it.
        peer.claim = None;
        if before.is_some_and(|before| before != status) && !self.is_full_mesh() {
            self.rumours.add(status);
        }
        let was_unreachable =
            received_before.is_some_and(|at| now.since(at) > self.digest_timeout(near));
        changed || before != Some(status) || was_unreachable
    }

    /// Applies a rumour from `reporter`; returns whether that confirmed it.
    fn receive_rumour(&mut self, rumour: Rumour, reporter: SocketAddr, now: Time) -> bool {
        // Unknown addresses are ignored, which bounds the table against malformed digests.
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

    /// Returns the incarnation of the node at `address`; 0 if it is unknown.
    pub(super) fn incarnation(&self, address: SocketAddr) -> u64 {
        let status = self.peers.get(&address).and_then(Peer::last_status);
        status.map_or(0, |(status, _)| status.of.incarnation)
    }

    /// Returns the contact ages, in ms, and the rumours for the next digest; empty in a full mesh.
    pub(super) fn indirect_state(&mut self, now: Time) -> (BTreeMap<String, u64>, Vec<Rumour>) {
        if self.is_full_mesh() {
            return (BTreeMap::new(), Vec::new());
        }
        (self.partitions.ages_ms(&self.data_centre, now), self.rumours.next())
    }

    /// Resets all ages after a pause of this process, during which it received nothing.
    pub(super) fn resume(&mut self, now: Time) {
        self.peers.values_mut().for_each(|peer| peer.received_at = now);
        self.partitions.resume(now);
    }

    /// Removes nodes that were neither listed nor sent a digest within [`RETENTION`].
    pub(super) fn prune(&mut self, now: Time) {
        self.peers
            .retain(|_, p| now.since(p.listed) < RETENTION || now.since(p.received_at) < RETENTION);
    }

    /// Returns the liveness of the node at `address`; unknown nodes count as alive.
    pub(super) fn liveness(&self, address: SocketAddr, now: Time) -> Liveness {
        self.peers.get(&address).map_or(Liveness::Alive, |peer| self.liveness_of(peer, now))
    }

    fn liveness_of(&self, peer: &Peer, now: Time) -> Liveness {
        let Some((status, at)) = peer.last_status() else { return Liveness::Alive };
        let age = now.since(at);
        if age > self.digest_timeout(peer.near) {
            return Liveness::Unreachable;
        }
        if status.leaving && age < LEAVING_TTL { Liveness::Leaving } else { Liveness::Alive }
    }

    /// Returns the time without a digest after which a node counts as unreachable.
    fn digest_timeout(&self, near: bool) -> Duration {
        let nodes = self.peers.len();
        let group = if near { self.near } else { nodes.saturating_sub(self.near) };
        self.rounds.round_time(nodes, group, near) * MISSED_ROUNDS + DIGEST_TIMEOUT_MARGIN
    }

    /// Returns this node's rank in the reader order of its data centre.
    ///
    /// Nodes with fast links come first: on a slow one, reading a large configuration delays requests.
    pub(super) fn rank(&self, now: Time) -> usize {
        let own = (self.link_mbps, source::weight(self.own), self.own);
        let before = |address: &SocketAddr, peer: &Peer| {
            let Some(digest) = &peer.digest else { return false };
            let can_read = digest.data_centre == self.data_centre && !digest.failing;
            can_read
                && (digest.link_mbps, peer.weight, *address) > own
                && self.liveness(*address, now) == Liveness::Alive
        };
        self.peers.iter().filter(|(address, peer)| before(address, peer)).count()
    }

    /// Returns the additional time that a platform contact takes to propagate beyond full-mesh gossip.
    pub(super) fn propagation_delay(&self) -> Duration {
        self.rounds.propagation_delay(self.peers.len())
    }

    /// Returns the targets of the next digest; empty until the next slice is due.
    pub(super) fn next_targets(&mut self, now: Time, random: &mut SmallRng) -> Vec<SocketAddr> {
        let target =
            |(address, peer): (&SocketAddr, &Peer)| Target { address: *address, near: peer.near };
        self.rounds.next_targets(self.peers.iter().map(target), now, random)
    }

    /// Returns the targets for changes read from the platform: nodes of the local data centre, and up
    /// to `far` random nodes of each other one.
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

    /// Returns the targets for urgent messages: all nodes in a full mesh, else those of [`Peers::fanout`].
    pub(super) fn broadcast_targets(&self, far: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
        if self.is_full_mesh() {
            self.peers.keys().copied().collect()
        } else {
            self.fanout(far, random)
        }
    }

    /// Returns up to `count` random nodes to forward changes to.
    ///
    /// Beyond a full mesh only nodes of the local data centre, to limit traffic between data centres;
    /// readers send the change to every data centre.
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

    /// Picks a node whose revision by `revision_of` exceeds `held`, by [`Score`]: healthy nodes before
    /// others, then the local data centre, then fast links.
    ///
    /// Ties are broken at random, to spread the load of a mass restart.
    pub(super) fn pick_ahead(
        &self,
        held: u64,
        revision_of: impl Fn(&Digest) -> u64,
        health: impl Fn(SocketAddr) -> Health,
        now: Time,
        random: &mut SmallRng,
    ) -> Option<SocketAddr> {
        let health = |address, data_centre: &str| match self.liveness(address, now) {
            Liveness::Unreachable => health(address).min(Health::Suspect),
            _ if self.is_unreachable(data_centre) => health(address).min(Health::Suspect),
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

    /// Returns the highest configuration revision in a digest no older than [`DIGEST_TTL`]; 0 if none.
    pub(super) fn highest_config(&self, now: Time) -> u64 {
        let recent = self.peers.values().filter(|peer| now.since(peer.received_at) < DIGEST_TTL);
        recent.filter_map(|peer| Some(peer.digest.as_ref()?.config)).max().unwrap_or(0)
    }

    /// Returns whether the revision of `peer` by `revision_of` exceeds `held`.
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
