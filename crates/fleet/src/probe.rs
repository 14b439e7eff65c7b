//! Failure detector: probe order, and how far this node trusts its probes.
//!
//! As in Lifeguard's local health, each failed probe raises a score and each answer lowers it. A high
//! score extends the suspicion timeout, so that a paused or disconnected node does not declare all others
//! unreachable.

use model::time::Time;
use rand::{rngs::SmallRng, seq::IndexedRandom};
use std::{net::SocketAddr, time::Duration};

use crate::{member::State, roster::Roster};

/// Interval of probe rounds.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a probe.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which a suspect may refute before it counts as unreachable.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after a pause of this process in which failed probes are not held against others.
const RESUME_GRACE: Duration = Duration::from_secs(2);

/// Upper bound of the local health score.
const MAX_HEALTH_SCORE: u32 = 4;

/// Rounds after which an unreachable or unknown node is probed as well.
const DISCONNECTED_PROBE_ROUNDS: u32 = 3;

/// Probe order and local health score.
#[derive(Debug)]
pub struct Prober {
    due: Time,
    local: Vec<SocketAddr>,
    remote: Vec<SocketAddr>,
    rounds: u32,
    health_score: u32,
    grace_until: Time,
}

impl Prober {
    /// Creates a prober whose first round is at `begin`.
    pub fn new(begin: Time) -> Self {
        Prober {
            due: begin,
            local: Vec::new(),
            remote: Vec::new(),
            rounds: 0,
            health_score: 0,
            grace_until: Time::default(),
        }
    }

    /// Returns the nodes to probe now; `candidates` are addresses that may not be in the table.
    pub fn targets(
        &mut self,
        roster: &Roster,
        candidates: &[SocketAddr],
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
        if targets.is_empty() || self.rounds.is_multiple_of(DISCONNECTED_PROBE_ROUNDS) {
            targets.extend(sample_disconnected(roster, candidates, random));
        }
        targets
    }

    /// Records an answered probe.
    pub fn record_success(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    /// Records a failed probe; returns whether the target may be suspected for it.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        now >= self.grace_until
    }

    /// Records that this process was paused: the pause probably causes its next failed probes.
    pub fn record_pause(&mut self, now: Time) {
        cov_mark::hit!(suspicion_suspended_after_pause);
        self.grace_until = now + RESUME_GRACE;
        self.due = now;
        self.health_score = MAX_HEALTH_SCORE;
    }

    /// Returns the suspects whose time to refute is over.
    pub fn expired_suspects(&self, roster: &Roster, now: Time) -> Vec<SocketAddr> {
        if now < self.grace_until {
            return Vec::new();
        }
        let timeout = SUSPICION_TIMEOUT + SUSPICION_TIMEOUT * self.health_score / 2;
        roster.in_state_for(State::Suspect, timeout, now)
    }

    /// Returns the next node in random order, alternating between the local and other data centres.
    ///
    /// Contacts with the platform spread by heartbeats within a data centre, so those get half of
    /// the probes.
    fn next(&mut self, roster: &Roster, random: &mut SmallRng) -> Option<SocketAddr> {
        let own = &roster.own().data_centre;
        let local_turn = self.rounds.is_multiple_of(2);
        for local in [local_turn, !local_turn] {
            let order = if local { &mut self.local } else { &mut self.remote };
            if order.is_empty() {
                *order = roster.probe_order(random, |r| (&r.data_centre == own) == local);
            }
            if let Some(target) = order.pop() {
                return Some(target);
            }
        }
        None
    }
}

/// Returns a random unreachable node, or an address that is not in the table.
///
/// Without these probes, two partitions would not merge again once both consider each other
/// unreachable.
fn sample_disconnected(
    roster: &Roster,
    candidates: &[SocketAddr],
    random: &mut SmallRng,
) -> Option<SocketAddr> {
    let mut all = roster.sample(1, random, |r| r.state == State::Unreachable);
    let unknown =
        candidates.iter().filter(|&&a| roster.get(a).is_none_or(|r| r.state == State::Gone));
    all.extend(unknown.copied());
    all.choose(random).copied()
}
