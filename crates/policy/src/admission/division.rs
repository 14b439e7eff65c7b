//! Division of the starts of a cold upstream among kinds of calls, under an overload of several
//! kinds.

use std::collections::VecDeque;

use crate::{admission::Class, urgency};

/// Waiting kinds get at least one in this many starts.
const MIN_SHARE: usize = 8;

/// Kind of a call for the division of starts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Kind {
    /// Priority of the route, or of the parent's route for a nested call; 0 is the most urgent.
    pub priority: u8,
    /// Traffic class.
    pub class: Class,
}

impl Kind {
    /// Returns the kind of a call with the queue priority `rank`.
    ///
    /// ```
    /// use policy::admission::{Class, Kind};
    /// assert_eq!(Kind::new(13, Class::Nested), Kind { priority: 2, class: Class::Nested });
    /// ```
    pub fn new(rank: u8, class: Class) -> Self {
        Kind { priority: rank / urgency::RANKS_PER_PRIORITY, class }
    }
}

/// Order in which waiting calls get starts, as an iterator over their kinds.
///
/// More urgent priorities go first. Within a priority, nested calls get at most half of the starts
/// while external calls wait. Every kind that waits gets at least an eighth of the starts, or an
/// equal share if more than eight kinds wait; these starts are spaced, since a burst of them would
/// delay urgent calls.
#[derive(Clone, Debug)]
pub(super) struct Division {
    /// Number of starts that are divided.
    starts: usize,
    /// Kinds of the latest starts, oldest first; one fewer than are divided, since the next is one
    /// of them.
    latest: VecDeque<Option<Kind>>,
    shares: Vec<Share>,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    kind: Kind,
    waiting: usize,
    /// Its number of the latest starts.
    held: usize,
}

impl Division {
    /// Divides the starts of a window of `per_period` starts among the kinds of the `waiting`
    /// calls, given the kinds of its latest starts, latest first.
    pub(super) fn new(
        per_period: usize,
        latest: impl Iterator<Item = Option<Kind>>,
        waiting: impl Iterator<Item = Kind>,
    ) -> Self {
        // With fewer starts than kinds may get a share of, the starts of several periods are
        // divided.
        let starts = per_period.max(MIN_SHARE);
        let latest = latest.take(starts - 1).collect::<Vec<_>>().into_iter().rev().collect();
        let mut division = Division { starts, latest, shares: Vec::new() };
        waiting.for_each(|kind| division.add(kind));
        division
    }

    fn add(&mut self, kind: Kind) {
        if let Some(share) = self.shares.iter_mut().find(|share| share.kind == kind) {
            share.waiting += 1;
            return;
        }
        let held = self.latest.iter().filter(|start| **start == Some(kind)).count();
        self.shares.push(Share { kind, waiting: 1, held });
    }

    /// Returns the kind of the next start.
    fn choose(&self) -> Option<Kind> {
        let waiting = || self.shares.iter().filter(|share| share.waiting > 0);
        let parts = waiting().count().max(MIN_SHARE);
        let owed = waiting().filter(|share| self.is_owed(share, parts));
        let is_nested = |share: &Share| share.kind.class == Class::Nested;
        let least = owed.min_by_key(|share| (share.held, share.kind.priority, is_nested(share)));
        if let Some(share) = least {
            return Some(share.kind);
        }
        let priority = waiting().map(|share| share.kind.priority).min()?;
        // Of two classes, the one with fewer starts goes first, and external calls at equality:
        // with nested calls first, they would get more than half of an odd number of starts.
        let share = waiting()
            .filter(|share| share.kind.priority == priority)
            .min_by_key(|share| (share.held, is_nested(share)))?;
        Some(share.kind)
    }

    /// Returns whether a kind has less than one of `parts` shares of the starts, and no recent
    /// start.
    fn is_owed(&self, share: &Share, parts: usize) -> bool {
        let due = self.starts.div_ceil(parts);
        // Half of the mean distance, so that a kind whose calls arrive at random gets its share.
        let spacing = (self.starts / due / 2).max(1);
        let recent = self.latest.iter().rev().take(spacing - 1);
        share.held < due && recent.into_iter().all(|start| *start != Some(share.kind))
    }

    fn share(&mut self, kind: Kind) -> Option<&mut Share> {
        self.shares.iter_mut().find(|share| share.kind == kind)
    }

    /// Counts a start of a waiting call of `kind`.
    fn start(&mut self, kind: Kind) {
        self.latest.push_back(Some(kind));
        if let Some(share) = self.share(kind) {
            share.waiting -= 1;
            share.held += 1;
        }
        if self.latest.len() < self.starts {
            return;
        }
        let forgotten = self.latest.pop_front().flatten();
        if let Some(share) = forgotten.and_then(|kind| self.share(kind)) {
            share.held -= 1;
        }
    }
}

impl Iterator for Division {
    type Item = Kind;

    fn next(&mut self) -> Option<Kind> {
        let kind = self.choose()?;
        self.start(kind);
        Some(kind)
    }
}
