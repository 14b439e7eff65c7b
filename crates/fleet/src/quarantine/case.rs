//! What is known of one request that is suspected of crashing upstreams.

use model::{request::EXONERATION_WINDOW, time::Time};
use std::{collections::BTreeSet, time::Duration};

use crate::quarantine::{ENDS_THRESHOLD, End};

/// Most crashes kept; later ones only restart the quarantine.
const MAX_ENDS: usize = 8;

/// Length of a quarantine after [`ENDS_THRESHOLD`] crashes, from the last one; doubled for each
/// further crash.
const BASE_PERIOD: Duration = Duration::from_secs(600);

/// A request under suspicion.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    pub(super) ends: BTreeSet<End>,
    /// Time of the latest crash.
    pub(super) ended: Time,
    pub(super) answered: Option<Time>,
    /// Digests in which a change is still to be sent.
    pub(super) transmissions: u32,
    /// Whether a change is also to be sent at once.
    pub(super) is_urgent: bool,
}

impl Case {
    /// Returns the length of the quarantine.
    fn period(&self) -> Duration {
        let further = self.ends.len().saturating_sub(ENDS_THRESHOLD) as u32;
        BASE_PERIOD * 2u32.pow(further)
    }

    /// Returns the end of the quarantine, if the request is the cause of its crashes.
    pub(super) fn until(&self) -> Time {
        self.ended + self.period()
    }

    /// Tells whether the case can be dropped.
    ///
    /// Crashes count for another period after a quarantine: the next one quarantines the request
    /// again.
    pub(super) fn is_over(&self, now: Time) -> bool {
        let last = self.answered.map_or(self.ended, |answered| answered.max(self.ended));
        let rounds = if self.ends.len() < ENDS_THRESHOLD { 1 } else { 2 };
        now >= last + self.period() * rounds
    }

    /// Tells whether an answer at `answered` exonerates the request from a crash at `ended`.
    fn clears(answered: Option<Time>, ended: Time) -> bool {
        answered.is_some_and(|answered| ended < answered + EXONERATION_WINDOW)
    }

    /// Adds crashes, the latest of which was at `ended`; returns whether that changed the case.
    pub(super) fn add_ends(&mut self, ends: &[End], ended: Time) -> bool {
        if Case::clears(self.answered, ended) {
            return false;
        }
        let before = self.ends.clone();
        self.ends.extend(ends);
        // Deterministic, so that all nodes keep the same ones and reports about them stop.
        while self.ends.len() > MAX_ENDS {
            self.ends.pop_last();
        }
        let is_later = before.len() == MAX_ENDS && ended > self.ended + EXONERATION_WINDOW;
        let is_news = self.ends != before || is_later;
        if is_news {
            self.ended = self.ended.max(ended);
        }
        is_news
    }

    /// Records an answer at `answered`; returns whether that changed the case.
    ///
    /// An answer that arrives before the crashes that it clears is kept, since reports may be
    /// reordered.
    pub(super) fn answer(&mut self, answered: Time) -> bool {
        let clears = Case::clears(Some(answered), self.ended);
        let is_later = self.answered.is_none_or(|known| answered > known + EXONERATION_WINDOW);
        let is_news = if self.ends.is_empty() { is_later } else { clears };
        if is_news {
            self.ends.clear();
            self.answered = self.answered.max(Some(answered));
        }
        is_news
    }
}
