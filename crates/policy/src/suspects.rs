//! Finds the requests that may have crashed the colocated upstream (poison requests).
//!
//! A crash breaks all calls in flight at once, including the one that caused it. A single broken
//! call is a lost connection or a malformed answer.

use model::{
    request::{EXONERATION_WINDOW, Fingerprint, Suspect},
    time::Time,
};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Time before a crash in which a lost call is a suspect.
///
/// An abandoned call may still be running at the upstream.
const LOSS_WINDOW: Duration = Duration::from_secs(1);

/// Upper bound of remembered lost calls, a few times the slots of an upstream.
const MAX_LOST: usize = 256;

/// Upper bound of remembered answers, at about 50 bytes each.
const MAX_ANSWERS: usize = 2_048;

/// How a call to the upstream was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection broke.
    Broken,
    /// The caller cancelled the call.
    Abandoned,
}

/// Recently finished calls of the colocated upstream.
#[derive(Debug, Default)]
pub struct History {
    lost: VecDeque<(Time, Loss, Suspect)>,
    answers: HashMap<Fingerprint, Time>,
    /// Answers by time, for eviction.
    order: VecDeque<(Time, Fingerprint)>,
}

impl History {
    /// Records that the upstream answered a call.
    pub fn record_answer(&mut self, request: Fingerprint, now: Time) {
        self.answers.insert(request, now);
        self.order.push_back((now, request));
        while let Some((at, oldest)) = self.order.front().copied() {
            if now.since(at) < EXONERATION_WINDOW && self.order.len() <= MAX_ANSWERS {
                break;
            }
            self.order.pop_front();
            // The entry may have a newer answer.
            if self.answers.get(&oldest) == Some(&at) {
                self.answers.remove(&oldest);
            }
        }
    }

    /// Records that a call was lost.
    pub fn record_loss(&mut self, suspect: Suspect, loss: Loss, now: Time) {
        self.evict(now);
        if self.lost.len() == MAX_LOST {
            self.lost.pop_front();
        }
        self.lost.push_back((now, loss, suspect));
    }

    /// Returns whether the upstream recently answered a call with this fingerprint.
    pub fn was_answered(&self, request: Fingerprint, now: Time) -> bool {
        self.answers.get(&request).is_some_and(|at| now.since(*at) < EXONERATION_WINDOW)
    }

    /// Returns whether the upstream answered any call after `since`.
    pub fn has_answered_after(&self, since: Time) -> bool {
        self.order.back().is_some_and(|(at, _)| *at > since)
    }

    /// Returns whether any call was lost recently.
    pub fn has_lost(&mut self, now: Time) -> bool {
        self.evict(now);
        !self.lost.is_empty()
    }

    /// Removes and returns the suspects of a crash detected at `now`, without duplicates.
    ///
    /// ```
    /// use model::{request::{Fingerprint, Suspect}, time::Time};
    /// use policy::suspects::{Loss, History};
    /// let now = Time::from_millis(5);
    /// let mut history = History::default();
    /// let lost = Suspect { request: Fingerprint(7), label: "GET /".to_owned() };
    /// history.record_loss(lost.clone(), Loss::Broken, now);
    /// assert_eq!(history.take_suspects(now), [lost]);
    /// ```
    pub fn take_suspects(&mut self, now: Time) -> Vec<Suspect> {
        self.evict(now);
        let lost = std::mem::take(&mut self.lost);
        let mut suspects: Vec<Suspect> = lost.into_iter().map(|(_, _, suspect)| suspect).collect();
        suspects.retain(|suspect| !self.was_answered(suspect.request, now));
        suspects.sort_by_key(|suspect| suspect.request);
        suspects.dedup_by_key(|suspect| suspect.request);
        suspects
    }

    /// Drops calls with broken connections after the upstream proved to be alive.
    pub fn clear_broken(&mut self) {
        self.lost.retain(|(_, loss, _)| *loss == Loss::Abandoned);
    }

    fn evict(&mut self, now: Time) {
        self.lost.retain(|(at, _, _)| now.since(*at) < LOSS_WINDOW);
    }
}
