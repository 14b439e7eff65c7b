//! Recent refusals of one upstream for lack of capacity.

use model::time::Time;
use std::time::Duration;

/// Age up to which a refusal or a load report shows that an upstream is full.
///
/// A few calls end within this time, so that older knowledge says little about the next call.
pub(super) const MAX_AGE: Duration = Duration::from_millis(250);

/// Maximum number of remembered refusals; the oldest is dropped first.
const MAX_ENTRIES: usize = 4;

/// The refusals that no later one of the same or a more urgent priority replaces, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
    entries: Vec<Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Time,
    priority: u8,
}

impl Refusals {
    /// Remembers the refusal of a call of `priority`.
    pub(super) fn record(&mut self, priority: u8, now: Time) {
        self.entries.retain(|entry| entry.priority < priority && is_recent(entry.at, now));
        if self.entries.len() == MAX_ENTRIES {
            self.entries.remove(0);
        }
        self.entries.push(Entry { at: now, priority });
    }

    /// Returns whether a call of `priority` or of a more urgent one was refused recently.
    pub(super) fn covers(&self, priority: u8, now: Time) -> bool {
        self.entries.iter().any(|entry| entry.priority <= priority && is_recent(entry.at, now))
    }

    /// Forgets all refusals.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }
}

/// Returns whether knowledge of the time `at` still shows that an upstream is full.
pub(super) fn is_recent(at: Time, now: Time) -> bool {
    now.since(at) <= MAX_AGE
}
