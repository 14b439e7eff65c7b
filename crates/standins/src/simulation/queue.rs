//! What is due when, on the virtual clock.

use fleet::{
    control::Error,
    message::{Request, Response},
    source::{Answer, Query},
};
use model::time::Time;
use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

/// Something that is due at a time.
#[derive(Debug)]
pub(super) enum Item {
    Tick(usize, u64),
    Request { call: u64, from: usize, to: usize, request: Request },
    Response { call: u64, from: SocketAddr, to: usize, incarnation: u64, response: Response },
    Failed { call: u64, from: SocketAddr, to: usize, incarnation: u64, error: Error },
    Source { to: usize, incarnation: u64, answer: Answer },
    Poll { to: usize, incarnation: u64, query: Query, until: Time },
}

/// Everything that is due, in order of time and then of insertion.
#[derive(Debug, Default)]
pub(super) struct Queue {
    sequence: u64,
    entries: BinaryHeap<Reverse<Entry>>,
}

impl Queue {
    /// Adds what is due at `at`.
    pub(super) fn schedule(&mut self, at: Time, due: Item) {
        self.sequence += 1;
        self.entries.push(Reverse(Entry { at, sequence: self.sequence, due }));
    }

    /// Takes the first entry that is due no later than `until`.
    pub(super) fn pop(&mut self, until: Time) -> Option<(Time, Item)> {
        if self.entries.peek()?.0.at > until {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.due))
    }
}

/// An entry of the queue, ordered by time and then by insertion.
#[derive(Debug)]
struct Entry {
    at: Time,
    sequence: u64,
    due: Item,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
