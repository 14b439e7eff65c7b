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
pub(super) enum Due {
    Tick(usize, u64),
    Request { call: u64, from: usize, to: usize, request: Request },
    Response { call: u64, from: SocketAddr, to: usize, life: u64, response: Response },
    Lost { call: u64, from: SocketAddr, to: usize, life: u64, lost: Error },
    Source { to: usize, life: u64, answer: Answer },
    Watch { to: usize, life: u64, query: Query, until: Time },
}

/// Everything that is due, in order of time and then of insertion.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    number: u64,
    entries: BinaryHeap<Reverse<Entry>>,
}

impl Agenda {
    /// Adds what is due at `at`.
    pub(super) fn put(&mut self, at: Time, due: Due) {
        self.number += 1;
        self.entries.push(Reverse(Entry { at, number: self.number, due }));
    }

    /// Takes the first entry that is due no later than `until`.
    pub(super) fn pop(&mut self, until: Time) -> Option<(Time, Due)> {
        if self.entries.peek()?.0.at > until {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.due))
    }
}

/// An entry of the agenda, ordered by time and then by insertion.
#[derive(Debug)]
struct Entry {
    at: Time,
    number: u64,
    due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
