//! Event queue of the simulation.

use fleet::{
    control::Error,
    message::{Request, Response},
    source::{Answer, Query},
};
use model::time::Time;
use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

/// A scheduled event; events of an earlier incarnation are dropped.
#[derive(Debug)]
pub(super) enum Item {
    Tick(usize, u64),
    Request { call: u64, from: usize, to: usize, request: Request },
    Response { call: u64, from: SocketAddr, to: usize, incarnation: u64, response: Response },
    Failed { call: u64, from: SocketAddr, to: usize, incarnation: u64, error: Error },
    Source { to: usize, incarnation: u64, answer: Answer },
    Poll { to: usize, incarnation: u64, query: Query, until: Time },
}

/// Scheduled events in order of time, then of insertion.
#[derive(Debug, Default)]
pub(super) struct Queue {
    sequence: u64,
    entries: BinaryHeap<Reverse<Entry>>,
}

impl Queue {
    /// Schedules an event at `at`.
    pub(super) fn schedule(&mut self, at: Time, item: Item) {
        self.sequence += 1;
        self.entries.push(Reverse(Entry { at, sequence: self.sequence, item }));
    }

    /// Removes the first event that is due no later than `until`.
    pub(super) fn pop(&mut self, until: Time) -> Option<(Time, Item)> {
        if self.entries.peek()?.0.at > until {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.item))
    }
}

/// A queue entry, ordered by time, then by insertion.
#[derive(Debug)]
struct Entry {
    at: Time,
    sequence: u64,
    item: Item,
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
