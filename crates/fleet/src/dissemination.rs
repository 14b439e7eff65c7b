//! To whom a node passes on a version that is new to it.
//!
//! Three ways were weighed on convergence time and control bytes; see docs/SPREADING.md for their
//! figures. All three rest on the beats: a node that missed an announcement finds out from the
//! version in the next beat.

use rand::rngs::SmallRng;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    member::{Record, State},
    roster::Roster,
};

/// What a plan may look at.
pub struct Context<'a> {
    /// All known nodes.
    pub roster: &'a Roster,
    /// Revision that is new here.
    pub revision: u64,
    /// Weight of convergence time against control bytes, in %.
    pub weight: u32,
}

/// A way of passing on a new version.
pub trait Strategy: Send {
    /// Returns the nodes to announce the version to.
    fn targets(&self, context: &Context<'_>, random: &mut SmallRng) -> Vec<SocketAddr>;
}

/// Announces to random nodes, most of them in the own data centre, and to the next one in a ring.
///
/// Every node that hears of a version for the first time does the same, so that no single node's
/// death can cut off a part of the fleet. Random announcements alone leave out one node in
/// hundreds, which then waits for a beat; the ring reaches each node from its predecessor.
#[derive(Clone, Copy, Debug)]
pub struct Epidemic {
    /// Random targets in the own data centre at weight 0.
    pub min_local: usize,
    /// Random targets in the own data centre at weight 100.
    pub max_local: usize,
    /// Random targets in other data centres.
    pub remote: usize,
    /// Next nodes in the ring of the own data centre.
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
        let span = self.max_local - self.min_local;
        let near = self.min_local + span * context.weight.min(100) as usize / 100;
        let is_near = |r: &Record| r.state != State::Gone && r.data_centre == own.data_centre;
        let is_far = |r: &Record| r.state.takes_work() && r.data_centre != own.data_centre;
        let mut targets = successors(context.roster, self.successors);
        let fresh = |r: &Record| is_near(r) && !targets.contains(&r.address);
        let mut drawn = context.roster.sample(near, random, fresh);
        drawn.extend(context.roster.sample(self.remote, random, is_far));
        targets.append(&mut drawn);
        targets
    }
}

/// Returns the working nodes of the own data centre that follow this one by address, in a ring.
fn successors(roster: &Roster, count: usize) -> Vec<SocketAddr> {
    let own = roster.own();
    let all: Vec<SocketAddr> = roster.working_neighbours().collect();
    let after = all.iter().filter(|&&a| a > own.address);
    let before = all.iter().filter(|&&a| a < own.address);
    after.chain(before).take(count).copied().collect()
}

/// Announces to the children in a tree over all nodes, ordered by a hash of address and revision.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// Children of each node.
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
            live.map(|r| (order_of(r.address, context.revision), r.address)).collect();
        order.sort();
        let own = context.roster.own().address;
        let place = order.iter().position(|&(_, address)| address == own).unwrap_or(0);
        let first = place * self.arity + 1;
        order.iter().skip(first).take(self.arity).map(|&(_, address)| address).collect()
    }
}

/// Announces to nobody: others find the version in the next beat.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pull;

impl Strategy for Pull {
    fn targets(&self, _occasion: &Context<'_>, _random: &mut SmallRng) -> Vec<SocketAddr> {
        Vec::new()
    }
}

fn order_of(address: SocketAddr, revision: u64) -> u64 {
    xxh3_64(format!("{address}/{revision}").as_bytes())
}
