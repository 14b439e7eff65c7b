//! Probing: whose turn it is, and how much this node may trust its own failures.
//!
//! A node that was paused, or whose own link is bad, finds that nobody answers. Without doubt in
//! itself it would declare the whole fleet unreachable and spread that. Each failed probe raises a
//! score and each answer lowers it; a high score stretches the time before a suspicion becomes
//! more than that (the "local health" of Lifeguard).

use model::time::Time;
use rand::{rngs::SmallRng, seq::IndexedRandom};
use std::{net::SocketAddr, time::Duration};

use crate::{member::State, roster::Roster};

/// Time between two probes of one node.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// How long a probe may take.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a suspect may contradict before it counts as unreachable.
const SUSPICION: Duration = Duration::from_secs(3);

/// After a pause, for this long, failures are taken as the node's own.
const DOUBT: Duration = Duration::from_secs(2);

/// Largest score of doubt in oneself.
const SCORE_LIMIT: u32 = 4;

/// Every this many rounds, a node that is out of reach or only listed is probed as well.
const DISTANT_EVERY: u32 = 3;

/// Whose turn it is, and the score of doubt.
#[derive(Debug)]
pub struct Prober {
    due: Time,
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    rounds: u32,
    score: u32,
    doubt_until: Time,
}

impl Prober {
    /// Creates a prober that begins at `begin`.
    pub fn new(begin: Time) -> Self {
        Prober {
            due: begin,
            near: Vec::new(),
            far: Vec::new(),
            rounds: 0,
            score: 0,
            doubt_until: Time::default(),
        }
    }

    /// Returns the nodes to probe now; `contacts` are addresses not yet in the table.
    pub fn targets(
        &mut self,
        roster: &Roster,
        contacts: &[SocketAddr],
        now: Time,
        random: &mut SmallRng,
    ) -> Vec<SocketAddr> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + INTERVAL;
        self.rounds += 1;
        let mut targets = Vec::new();
        targets.extend(self.next(roster, random));
        if targets.is_empty() || self.rounds.is_multiple_of(DISTANT_EVERY) {
            targets.extend(distant(roster, contacts, random));
        }
        targets
    }

    /// Notes an answered probe.
    pub fn note_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Notes a failed probe; returns whether the failure may be held against the other node.
    pub fn note_failure(&mut self, now: Time) -> bool {
        self.score = (self.score + 1).min(SCORE_LIMIT);
        now >= self.doubt_until
    }

    /// Notes that this process was paused: it refreshes its view before it judges others.
    pub fn note_pause(&mut self, now: Time) {
        cov_mark::hit!(doubt_after_pause);
        self.doubt_until = now + DOUBT;
        self.due = now;
        self.score = SCORE_LIMIT;
    }

    /// Returns the suspects whose time to contradict is over.
    pub fn overdue(&self, roster: &Roster, now: Time) -> Vec<SocketAddr> {
        if now < self.doubt_until {
            return Vec::new();
        }
        let patience = SUSPICION + SUSPICION * self.score / 2;
        roster.in_state_for(State::Suspect, patience, now)
    }

    /// Returns the next node in turn, by turns one of the own data centre and one of the others.
    ///
    /// News of the own data centre's contact with the platform travels by beats within it; with
    /// probes drawn evenly from six data centres it would take six times as long.
    fn next(&mut self, roster: &Roster, random: &mut SmallRng) -> Option<SocketAddr> {
        let own = &roster.own().data_centre;
        let near_turn = self.rounds.is_multiple_of(2);
        for near in [near_turn, !near_turn] {
            let order = if near { &mut self.near } else { &mut self.far };
            if order.is_empty() {
                *order = roster.probe_order(random, |r| (&r.data_centre == own) == near);
            }
            if let Some(target) = order.pop() {
                return Some(target);
            }
        }
        None
    }
}

/// Draws a node that is out of reach, or an address that is only known by name.
///
/// Without this, two halves that were cut apart for longer than the suspicion would each hold the
/// other for unreachable for good.
fn distant(roster: &Roster, contacts: &[SocketAddr], random: &mut SmallRng) -> Option<SocketAddr> {
    let mut all = roster.sample(1, random, |r| r.state == State::Unreachable);
    let unknown =
        contacts.iter().filter(|&&a| roster.get(a).is_none_or(|r| r.state == State::Gone));
    all.extend(unknown.copied());
    all.choose(random).copied()
}
