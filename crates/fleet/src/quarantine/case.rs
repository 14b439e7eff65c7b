//! What is known of one request that is suspected of crashing upstreams.

use model::{request::EXONERATION_WINDOW, time::Time};
use std::{collections::BTreeSet, time::Duration};

use crate::quarantine::{CRASH_THRESHOLD, CrashId};

/// Maximum number of crashes kept; later ones only restart the quarantine.
const MAX_CRASHES: usize = 8;

/// Length of a quarantine after [`CRASH_THRESHOLD`] crashes, from the last one; doubled for each
/// further crash.
const BASE_PERIOD: Duration = Duration::from_secs(600);

/// A request under suspicion.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    pub(super) crashes: BTreeSet<CrashId>,
    /// Time of the latest crash.
    pub(super) last_crash: Time,
    pub(super) answered: Option<Time>,
    /// Digests in which a change is still to be sent.
    pub(super) transmissions: u32,
    /// Whether a change is also to be sent at once.
    pub(super) is_urgent: bool,
}

impl Case {
    /// Returns the length of the quarantine.
    fn period(&self) -> Duration {
        let further = self.crashes.len().saturating_sub(CRASH_THRESHOLD) as u32;
        BASE_PERIOD * 2u32.pow(further)
    }

    /// Returns the end of the quarantine, if the request is the cause of its crashes.
    pub(super) fn until(&self) -> Time {
        self.last_crash + self.period()
    }

    /// Returns whether the case can be dropped.
    ///
    /// Crashes count for another period after a quarantine: the next one quarantines the request
    /// again.
    pub(super) fn is_over(&self, now: Time) -> bool {
        let last = self.answered.map_or(self.last_crash, |answered| answered.max(self.last_crash));
        let periods = if self.crashes.len() < CRASH_THRESHOLD { 1 } else { 2 };
        now >= last + self.period() * periods
    }

    /// Returns whether an answer at `answered` exonerates the request from a crash at `crashed_at`.
    fn clears(answered: Option<Time>, crashed_at: Time) -> bool {
        answered.is_some_and(|answered| crashed_at < answered + EXONERATION_WINDOW)
    }

    /// Adds crashes, the latest of which was at `crashed_at`; returns whether that changed the case.
    pub(super) fn add_crashes(&mut self, crashes: &[CrashId], crashed_at: Time) -> bool {
        if Case::clears(self.answered, crashed_at) {
            return false;
        }
        let before = self.crashes.clone();
        self.crashes.extend(crashes);
        // Deterministic, so that all nodes keep the same ones and reports about them stop.
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
        let is_later =
            before.len() == MAX_CRASHES && crashed_at > self.last_crash + EXONERATION_WINDOW;
        let is_new = self.crashes != before || is_later;
        if is_new {
            self.last_crash = self.last_crash.max(crashed_at);
        }
        is_new
    }

    /// Records an answer at `answered`; returns whether that changed the case.
    ///
    /// An answer that arrives before the crashes that it clears is kept, since reports may be
    /// reordered.
    pub(super) fn answer(&mut self, answered: Time) -> bool {
        let clears = Case::clears(Some(answered), self.last_crash);
        let is_later = self.answered.is_none_or(|known| answered > known + EXONERATION_WINDOW);
        let is_new = if self.crashes.is_empty() { is_later } else { clears };
        if is_new {
            self.crashes.clear();
            self.answered = self.answered.max(Some(answered));
        }
        is_new
    }
}
