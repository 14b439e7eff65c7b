//! Rumour mongering: forwards status changes of nodes (leaving, new incarnation) beyond a full mesh.
//!
//! A leaving node may stop right after one digest, which not every node receives. A rumour takes
//! effect, and is forwarded, only after two nodes have reported it, so that one faulty node cannot mark
//! others as leaving.

use std::collections::VecDeque;

use crate::message::Rumour;

/// Maximum number of rumours in a digest.
const MAX_PER_DIGEST: usize = 6;

/// Number of slices in which a rumour is sent, so that nearly every node gets it from two others.
///
/// Three near nodes get it in each slice. With half as many slices, one in two hundred nodes that missed the first
/// digest would not get it from two others.
const TRANSMISSIONS: u32 = 6;

/// Maximum number of pending rumours; the oldest are dropped. Holds one of every node after a restart of
/// the whole fleet.
const MAX_PENDING: usize = 1_200;

/// Rumours that are still to be sent, with the remaining transmissions.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    pending: VecDeque<(Rumour, u32)>,
}

impl Rumours {
    /// Adds a rumour and drops any earlier one about the same node.
    pub(super) fn add(&mut self, rumour: Rumour) {
        self.pending.retain(|(other, _)| other.of.address != rumour.of.address);
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((rumour, TRANSMISSIONS));
    }

    /// Returns the rumours of the next digest, in FIFO order, and requeues those with transmissions left.
    pub(super) fn next(&mut self) -> Vec<Rumour> {
        let count = self.pending.len().min(MAX_PER_DIGEST);
        let sent: Vec<(Rumour, u32)> = self.pending.drain(..count).collect();
        let again = sent.iter().filter(|(_, remaining)| *remaining > 1);
        self.pending.extend(again.map(|(rumour, remaining)| (*rumour, remaining - 1)));
        sent.into_iter().map(|(rumour, _)| rumour).collect()
    }
}
