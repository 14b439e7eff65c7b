//! Member records, and which of two records about a node is newer.
//!
//! Records arrive in any order and repeatedly. [`Record::supersedes`] is a total order on the records of
//! one address, so all nodes converge to the same one.

use model::read::{is_label, is_service};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// Largest valid incarnation and sequence; leaves room for refutations above them.
const MAX_COUNTER: u64 = 1 << 62;

/// State of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    Live,
    /// A recent probe of it failed; it still takes work and may refute the suspicion.
    Suspect,
    /// The suspicion timed out; it gets no work until it refutes that.
    Unreachable,
    /// It drains and takes no more work. Final for its incarnation.
    Leaving,
    /// It has stopped. Final for its incarnation.
    Gone,
    /// Its data centre is evacuated; it gets no work until the order is withdrawn.
    Evacuated,
}

impl State {
    /// Returns whether an incarnation never leaves this state.
    pub fn is_final(self) -> bool {
        matches!(self, State::Leaving | State::Gone)
    }

    /// Returns whether a node in this state gets new work.
    pub fn takes_work(self) -> bool {
        self <= State::Suspect
    }
}

/// The state of one incarnation of a node, as gossiped.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// Address for messages between nodes; the same for all incarnations.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Address for calls.
    #[serde(rename = "t")]
    pub traffic: SocketAddr,
    /// The platform's name of the instance.
    #[serde(rename = "n")]
    pub instance: String,
    /// Service of the instance's upstream.
    #[serde(rename = "s")]
    pub service: String,
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Number of the process start; increases with each start at this address.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Raised by the node itself whenever it refutes a record about it.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Its state.
    #[serde(rename = "z")]
    pub state: State,
}

impl Record {
    /// Returns whether this record replaces `other`, a record of the same address.
    ///
    /// A higher incarnation wins. Within one incarnation, a final state wins over any other, so
    /// that a delayed "live" cannot revive a leaving node. Otherwise the higher sequence wins, then
    /// the worse state.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.rank() > other.rank()
    }

    /// Returns what is invalid about a received record, if anything.
    ///
    /// Bounds the names, which fill the tables of all nodes, and rejects numbers too large to be refuted.
    pub fn fault(&self) -> Option<&'static str> {
        let are_valid =
            is_label(&self.instance) && is_service(&self.service) && is_label(&self.data_centre);
        if !are_valid {
            return Some("a name in a member record is empty, too long or has control characters");
        }
        if self.state == State::Evacuated {
            return Some("a member record has the state \"evacuated\", which nodes never gossip");
        }
        let numbers = [self.incarnation, self.sequence];
        numbers
            .into_iter()
            .any(|number| number > MAX_COUNTER)
            .then_some("the incarnation or sequence of a member record exceeds 2^62")
    }

    /// Returns a hash of the record that is the same on all nodes.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.address.to_string().as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&self.sequence.to_le_bytes());
        hasher.update(&[self.state as u8]);
        hasher.digest()
    }

    fn rank(&self) -> (u64, bool, u64, State) {
        (self.incarnation, self.state.is_final(), self.sequence, self.state)
    }
}
