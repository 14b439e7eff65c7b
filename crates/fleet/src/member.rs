//! What is known of one node, and which of two statements about it holds.
//!
//! Statements reach a node in any order and more than once. [`Record::supersedes`] is a total order on
//! the statements about one address, so that all nodes end up with the same one.

use model::read::is_name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// Largest incarnation and sequence that a record may carry; leaves room for contradictions.
const NUMBER_LIMIT: u64 = 1 << 62;

/// Standing of a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    Live,
    /// Somebody could not reach it a moment ago; it still takes work.
    Suspect,
    /// Nobody reached it for a while; it gets no work until it speaks again.
    Unreachable,
    /// It finishes its work in hand and takes no more. Final for its incarnation.
    Leaving,
    /// It has stopped. Final for its incarnation.
    Gone,
    /// Operators had its data centre evacuated; it gets no work until they take that back.
    Evacuated,
}

impl State {
    /// Tells whether the state can never be left by the same incarnation.
    pub fn is_final(self) -> bool {
        matches!(self, State::Leaving | State::Gone)
    }

    /// Tells whether new work may go to a node in this state.
    pub fn takes_work(self) -> bool {
        self <= State::Suspect
    }
}

/// A statement about one life of a node.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// Address for messages between nodes; names the place, not the life.
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
    /// One life of the process: larger than those of all earlier lives at this address.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Raised by the node itself whenever it contradicts what others say of it.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Its standing.
    #[serde(rename = "z")]
    pub state: State,
}

impl Record {
    /// Tells whether this statement replaces `other`, which is about the same address.
    ///
    /// A later life replaces an earlier one. Within a life, a final state replaces any other,
    /// whatever its sequence: an old "live" that is still on its way cannot revive a node that
    /// said that it leaves. Otherwise the node's own later word wins, and of two statements with
    /// the same sequence the graver one.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.rank() > other.rank()
    }

    /// Returns what is wrong with a record that came from elsewhere, if anything.
    ///
    /// A node of a faulty build could otherwise fill every table with names of any length, or with
    /// numbers that nobody can exceed and so contradict.
    pub fn fault(&self) -> Option<&'static str> {
        let names = [&self.instance, &self.service, &self.data_centre];
        if !names.into_iter().all(|name| is_name(name)) {
            return Some("a record's name is not 1 to 63 of a-z, 0-9 and -");
        }
        if self.state == State::Evacuated {
            return Some("a record tells a state that only operators' orders give");
        }
        let numbers = [self.incarnation, self.sequence];
        numbers
            .into_iter()
            .any(|number| number > NUMBER_LIMIT)
            .then_some("a record's incarnation or sequence is too large")
    }

    /// Returns a hash of the statement, equal on all nodes.
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
