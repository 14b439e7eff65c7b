//! Strategies for announcing a new configuration version to other nodes.
//!
//! A node that misses an announcement learns of the version from the next heartbeat. See
//! docs/SPREADING.md for a comparison of the strategies.

use rand::rngs::SmallRng;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    member::{Record, State},
    roster::Roster,
};

/// Inputs of a strategy.
pub struct Context<'a> {
    /// The membership table.
    pub roster: &'a Roster,
    /// The new revision.
    pub revision: u64,
    /// Weight of convergence time against control traffic, in %.
    pub weight: u32,
}

/// Selects the nodes to which a new version is announced.
pub trait Strategy: Send {
    /// Returns the nodes to announce the version to.
    fn targets(&self, context: &Context<'_>, random: &mut SmallRng) -> Vec<SocketAddr>;
}

/// Announces to random nodes, mostly of the local data centre, and to the next nodes in a ring.
///
/// Every node does so when it first learns of a version, so that others learn of it even if one node
/// fails. The ring reaches the few nodes that random announcements miss.
#[derive(Clone, Copy, Debug)]
pub struct Epidemic {
    /// Random targets in the local data centre at weight 0.
    pub min_local: usize,
    /// Random targets in the local data centre at weight 100.
    pub max_local: usize,
    /// Random targets in other data centres.
    pub remote: usize,
    /// Next nodes in the ring of the local data centre.
    pub successors: usize,
}

impl Default for Epidemic {
    fn default() -> Self {
        Epidemic { min_local: 1, max_local: 4, remote: 1, successors: 1 }
    }
}

impl Strategy for Epidemic {
    fn targets(&self, context: &Context<'_>, random: &mut SmallRng) -> Vec<SocketAddr> {
        let own = context.roster.own();
        let range = self.max_local - self.min_local;
        let local = self.min_local + range * context.weight.min(100) as usize / 100;
        let is_local = |r: &Record| r.state != State::Gone && r.data_centre == own.data_centre;
        let is_remote = |r: &Record| r.state.takes_work() && r.data_centre != own.data_centre;
        let mut targets = successors(context.roster, self.successors);
        let is_new_target = |r: &Record| is_local(r) && !targets.contains(&r.address);
        let mut sampled = context.roster.sample(local, random, is_new_target);
        sampled.extend(context.roster.sample(self.remote, random, is_remote));
        targets.append(&mut sampled);
        targets
    }
}

/// Returns the next `count` working nodes of the local data centre, in a ring ordered by address.
fn successors(roster: &Roster, count: usize) -> Vec<SocketAddr> {
    let own = roster.own();
    let all: Vec<SocketAddr> = roster.working_neighbours().collect();
    let after = all.iter().filter(|&&a| a > own.address);
    let before = all.iter().filter(|&&a| a < own.address);
    after.chain(before).take(count).copied().collect()
}

/// Announces to the children in a tree of all nodes, ordered by a hash of address and revision.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// Number of children of each node.
    pub arity: usize,
}

impl Default for Tree {
    fn default() -> Self {
        Tree { arity: 4 }
    }
}

impl Strategy for Tree {
    fn targets(&self, context: &Context<'_>, _random: &mut SmallRng) -> Vec<SocketAddr> {
        let live = context.roster.iter().filter(|r| r.state.takes_work());
        let mut order: Vec<(u64, SocketAddr)> =
            live.map(|r| (order_key(r.address, context.revision), r.address)).collect();
        order.sort();
        let own = context.roster.own().address;
        let position = order.iter().position(|&(_, address)| address == own).unwrap_or(0);
        let first = position * self.arity + 1;
        order.iter().skip(first).take(self.arity).map(|&(_, address)| address).collect()
    }
}

/// Announces to no node; others learn of the version from heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pull;

impl Strategy for Pull {
    fn targets(&self, _context: &Context<'_>, _random: &mut SmallRng) -> Vec<SocketAddr> {
        Vec::new()
    }
}

fn order_key(address: SocketAddr, revision: u64) -> u64 {
    xxh3_64(format!("{address}/{revision}").as_bytes())
}
