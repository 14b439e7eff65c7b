//! What nodes said of themselves, told on by those that heard it.
//!
//! Pattern: a node says that it stops and is gone the moment after; the summary is lost on the way to one
//! in a hundred others, and at hundreds of nodes no other word of it would come. Each node that has heard
//! of a leaving or of a new life says so in its next summaries, so everybody hears it from several.
//!
//! No node is moved by the word of one: a node that tells false rumours, by mistake or not, would stop all
//! work of others. What two said is believed, and only what is believed is told on.

use std::collections::VecDeque;

use crate::message::Rumour;

/// Rumours in a summary.
const MAX_PER_DIGEST: usize = 6;

/// How many slices of summaries a rumour is told in.
///
/// Three near nodes are told in each, so each node hears it from some fifteen others in the mean; at half as
/// many, one in two hundred that missed the first word never heard it from two.
const TRANSMISSIONS: u32 = 6;

/// Rumours that wait to be told; the oldest are dropped. Twice a fleet of the largest size: after the
/// restart of all of them each is told of once.
const MAX_PENDING: usize = 1_200;

/// Rumours that are still to be told.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    pending: VecDeque<(Rumour, u32)>,
}

impl Rumours {
    /// Adds a rumour, in the place of an earlier one of the same node.
    pub(super) fn add(&mut self, rumour: Rumour) {
        self.pending.retain(|(other, _)| other.of.address != rumour.of.address);
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((rumour, TRANSMISSIONS));
    }

    /// Takes the rumours of the next summary, those first that were told least.
    pub(super) fn next(&mut self) -> Vec<Rumour> {
        let count = self.pending.len().min(MAX_PER_DIGEST);
        let sent: Vec<(Rumour, u32)> = self.pending.drain(..count).collect();
        let again = sent.iter().filter(|(_, remaining)| *remaining > 1);
        self.pending.extend(again.map(|(rumour, remaining)| (*rumour, remaining - 1)));
        sent.into_iter().map(|(rumour, _)| rumour).collect()
    }
}
