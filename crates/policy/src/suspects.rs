//! Which requests may have ended the own upstream.
//!
//! When a process ends, every call that it works on breaks in the same moment, the guilty one among them.
//! A call that breaks alone is a lost connection or a spoiled answer, and the upstream answers others.

use model::{
    request::{EXONERATION_WINDOW, Fingerprint, Suspect},
    time::Time,
};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// How long before an end a call may have been lost to be one of its suspects.
///
/// A caller may leave, and its call with it, while the upstream works on towards its end.
const WINDOW: Duration = Duration::from_secs(1);

/// Most lost calls that are remembered; within [`WINDOW`] an upstream has a few times its slots.
const LOST_MOST: usize = 256;

/// Most answers that are remembered, at some 50 bytes each: those of ten seconds at 200 calls a second.
const ANSWERS_MOST: usize = 2_048;

/// How a call to the upstream was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its connection broke.
    Broken,
    /// Nobody waited for it any more.
    Abandoned,
}

/// How the calls that the own upstream worked on ended lately.
#[derive(Debug, Default)]
pub struct History {
    lost: VecDeque<(Time, Loss, Suspect)>,
    answers: HashMap<Fingerprint, Time>,
    /// In the order of the answers, to forget the oldest first.
    order: VecDeque<(Time, Fingerprint)>,
}

impl History {
    /// Notes that the upstream answered a call.
    pub fn record_answer(&mut self, request: Fingerprint, now: Time) {
        self.answers.insert(request, now);
        self.order.push_back((now, request));
        while let Some((at, oldest)) = self.order.front().copied() {
            if now.since(at) < EXONERATION_WINDOW && self.order.len() <= ANSWERS_MOST {
                break;
            }
            self.order.pop_front();
            // It may have been answered again since.
            if self.answers.get(&oldest) == Some(&at) {
                self.answers.remove(&oldest);
            }
        }
    }

    /// Notes that a call was lost.
    pub fn record_loss(&mut self, suspect: Suspect, loss: Loss, now: Time) {
        self.forget(now);
        if self.lost.len() == LOST_MOST {
            self.lost.pop_front();
        }
        self.lost.push_back((now, loss, suspect));
    }

    /// Tells whether the upstream answered a call like `request` lately.
    pub fn was_answered(&self, request: Fingerprint, now: Time) -> bool {
        self.answers.get(&request).is_some_and(|at| now.since(*at) < EXONERATION_WINDOW)
    }

    /// Tells whether the upstream answered anything after `since`.
    pub fn has_answered_after(&self, since: Time) -> bool {
        self.order.back().is_some_and(|(at, _)| *at > since)
    }

    /// Tells whether any call was lost lately.
    pub fn has_lost(&mut self, now: Time) -> bool {
        self.forget(now);
        !self.lost.is_empty()
    }

    /// Takes the suspects of an end of the upstream that was found at `now`, each once.
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
        self.forget(now);
        let lost = std::mem::take(&mut self.lost);
        let mut suspects: Vec<Suspect> = lost.into_iter().map(|(_, _, suspect)| suspect).collect();
        suspects.retain(|suspect| !self.was_answered(suspect.request, now));
        suspects.sort_by_key(|suspect| suspect.request);
        suspects.dedup_by_key(|suspect| suspect.request);
        suspects
    }

    /// Notes that the upstream goes on after calls were broken off.
    pub fn clear_broken(&mut self) {
        self.lost.retain(|(_, loss, _)| *loss == Loss::Abandoned);
    }

    fn forget(&mut self, now: Time) {
        self.lost.retain(|(at, _, _)| now.since(*at) < WINDOW);
    }
}
