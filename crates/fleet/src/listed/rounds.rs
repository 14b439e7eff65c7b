//! Selects gossip targets, in shuffled round-robin order, at a rate that does not grow with the fleet.
//!
//! In a full mesh each peer gets a digest within two seconds. In larger fleets a node sends a fixed
//! number per slice, mostly within its data centre; `partition` and `rumours` then
//! complement the failure detector.

use model::time::Time;
use rand::{rngs::SmallRng, seq::SliceRandom};
use std::{net::SocketAddr, time::Duration};

/// Digests that a node sends per second in a full mesh.
const DIGESTS_PER_SECOND: usize = 40;

/// Interval between slices of a round, and minimum length of a round; avoids bursts of datagrams.
const SLICE: Duration = Duration::from_millis(200);

/// Maximum length of a round in a full mesh.
const MAX_ROUND: Duration = Duration::from_secs(2);

/// Maximum number of peers of a full mesh; the rate of digests does not suffice for more.
pub const MAX_FULL_MESH: usize = DIGESTS_PER_SECOND * MAX_ROUND.as_secs() as usize;

/// Digests per slice to nodes of the local data centre, beyond a full mesh.
///
/// With the far ones this makes 17.5 digests a second each way, some 5 KB with network headers; a node may spend
/// 8 KB/s on control.
const NEAR_PER_SLICE: usize = 3;

/// Slices per digest to a node of another data centre, beyond a full mesh; limits traffic between data
/// centres, whose nodes tell each other what they received from the others.
const SLICES_PER_FAR: u32 = 2;

/// A candidate for the next digest.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    /// Whether it is in the same data centre.
    pub(super) near: bool,
}

/// Shuffled orders of the remaining targets.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Maximum number of peers of a full mesh in this fleet.
    full_mesh: usize,
    all: Vec<SocketAddr>,
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    due: Time,
    /// Number of slices sent; wraps around.
    slices: u32,
}

impl Rounds {
    /// Creates empty rounds of a fleet in which up to `full_mesh` peers form a full mesh.
    pub(super) fn new(full_mesh: usize) -> Self {
        Rounds { full_mesh: full_mesh.min(MAX_FULL_MESH), ..Rounds::default() }
    }

    /// Returns whether each of `nodes` peers gets a digest within [`MAX_ROUND`].
    pub(super) fn is_full_mesh(&self, nodes: usize) -> bool {
        nodes <= self.full_mesh
    }

    /// Returns the time within which each of `group` peers, out of `nodes` in all, sends this node a digest;
    /// `near` states whether the group is the local data centre.
    pub(super) fn round_time(&self, nodes: usize, group: usize, near: bool) -> Duration {
        if self.is_full_mesh(nodes) {
            return full_mesh_round(nodes, DIGESTS_PER_SECOND);
        }
        if near {
            SLICE * group.div_ceil(NEAR_PER_SLICE) as u32
        } else {
            SLICE * SLICES_PER_FAR * group as u32
        }
    }

    /// Returns the additional propagation delay beyond a full mesh: two more hops, each of up to one slice.
    pub(super) fn propagation_delay(&self, nodes: usize) -> Duration {
        if self.is_full_mesh(nodes) { Duration::ZERO } else { SLICE * 2 }
    }

    /// Returns the targets of the next slice; empty until it is due.
    pub(super) fn next_targets(
        &mut self,
        targets: impl ExactSizeIterator<Item = Target> + Clone,
        now: Time,
        random: &mut SmallRng,
    ) -> Vec<SocketAddr> {
        if now < self.due || targets.len() == 0 {
            return Vec::new();
        }
        self.due = now + SLICE;
        if self.is_full_mesh(targets.len()) {
            let slices =
                full_mesh_round(targets.len(), DIGESTS_PER_SECOND).div_duration_f64(SLICE).max(1.0);
            let count = (targets.len() as f64 / slices).ceil() as usize;
            return draw(&mut self.all, count, targets.map(|t| t.address), random);
        }
        let near = targets.clone().filter(|t| t.near).map(|t| t.address);
        let far = targets.filter(|t| !t.near).map(|t| t.address);
        let mut drawn = draw(&mut self.near, NEAR_PER_SLICE, near, random);
        let missing = NEAR_PER_SLICE - drawn.len();
        self.slices = self.slices.wrapping_add(1);
        let far_due = usize::from(self.slices.is_multiple_of(SLICES_PER_FAR));
        drawn.extend(draw(&mut self.far, far_due + missing, far, random));
        drawn
    }
}

fn full_mesh_round(nodes: usize, per_second: usize) -> Duration {
    let round = Duration::from_secs(1) * nodes as u32 / per_second as u32;
    round.max(SLICE)
}

/// Takes `count` nodes off the end of `order`, which is refilled and shuffled if it holds fewer.
fn draw(
    order: &mut Vec<SocketAddr>,
    count: usize,
    nodes: impl Iterator<Item = SocketAddr>,
    random: &mut SmallRng,
) -> Vec<SocketAddr> {
    if order.len() < count {
        *order = nodes.collect();
        order.shuffle(random);
    }
    order.split_off(order.len().saturating_sub(count))
}
