//! Whose turn it is to be told a summary.
//!
//! Pattern: hundreds of nodes, each on a tenth of a core. In a small fleet everybody tells everybody
//! within two seconds, so silence shows who is gone. To keep that up, a node of 295 would send and take 147
//! summaries a second, 30 KB each way, more the more nodes there are. Beyond [`MAX_FULL_MESH`] nodes a node
//! sends a fixed number, more of them within its data centre, each group in turn. News spread as fast,
//! since whoever has learnt them tells them on; who is gone is told by other means, see
//! [`super::partition`] and [`super::rumours`].

use model::time::Time;
use rand::{rngs::SmallRng, seq::SliceRandom};
use std::{net::SocketAddr, time::Duration};

/// Summaries that a node sends in a second while it tells everybody. At 40, and about as many received,
/// they take under 1 % of a core; with up to eight other nodes each is told five times a second.
const DIGESTS_PER_SECOND: usize = 40;

/// Time between two slices of a round, and the shortest time of a round.
///
/// A round is told in slices, so that many nodes cost no burst of messages.
const SLICE: Duration = Duration::from_millis(200);

/// Longest time in which every other node is told once, while everybody is told.
const MAX_ROUND: Duration = Duration::from_secs(2);

/// Most other nodes of whom each is told within [`MAX_ROUND`] at [`DIGESTS_PER_SECOND`].
const MAX_FULL_MESH: usize = DIGESTS_PER_SECOND * MAX_ROUND.as_secs() as usize;

/// Nodes of the own data centre that are told in a slice where not everybody is.
///
/// With one of another data centre in every [`SLICES_PER_FAR`]th slice this makes 17.5 summaries a second each way,
/// some 5 KB with the network's headers, under the 8 KB that a node may spend on control.
const NEAR_PER_SLICE: usize = 3;

/// Slices from one node of another data centre that is told to the next.
///
/// At two in each slice, 300 nodes sent 38 MB of summaries between data centres in a minute, three quarters of
/// all bytes there. Those within a data centre tell each other what they heard of the others.
const SLICES_PER_FAR: u32 = 2;

/// Another node, as far as turns are concerned.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    /// Whether it is in the own data centre.
    pub(super) near: bool,
}

/// The turns of all other nodes.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    all: Vec<SocketAddr>,
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    due: Time,
    /// Slices so far.
    slices: u32,
}

impl Rounds {
    /// Returns the nodes whose turn it is.
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
        if is_full_mesh(targets.len()) {
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

/// Tells whether a node tells all of `nodes` others within [`MAX_ROUND`].
pub(super) fn is_full_mesh(nodes: usize) -> bool {
    nodes <= MAX_FULL_MESH
}

/// Returns the time in which each of `nodes` others tells this one once, of whom `group` are in its own
/// part, near or far.
pub(super) fn round_time(nodes: usize, group: usize, near: bool) -> Duration {
    if is_full_mesh(nodes) {
        return full_mesh_round(nodes, DIGESTS_PER_SECOND);
    }
    if near {
        SLICE * group.div_ceil(NEAR_PER_SLICE) as u32
    } else {
        SLICE * SLICES_PER_FAR * group as u32
    }
}

/// Returns how much longer word of a node takes to reach each of `nodes` others than where everybody is
/// told: it passes over two more nodes, each of which waits for its next slice.
pub(super) fn propagation_delay(nodes: usize) -> Duration {
    if is_full_mesh(nodes) { Duration::ZERO } else { SLICE * 2 }
}

fn full_mesh_round(nodes: usize, per_second: usize) -> Duration {
    let whole = Duration::from_secs(1) * nodes as u32 / per_second as u32;
    whole.max(SLICE)
}

/// Takes `count` nodes off the end of `order`, which is drawn anew where too few are left.
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
