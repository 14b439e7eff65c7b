//! Random demands that upstreams make in their answers: limits, which they lower and lift, and leaves that the
//! platform does not know of. They overlap with each other and with all faults.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use standins::upstream::Ledger;
use std::time::{Duration, Instant};

use crate::soak::{cluster::Cluster, history::Condition, instance::Instance};

/// Range of the time between two changes, in ms.
const INTERVAL_MS: std::ops::Range<u64> = 300..1_500;

/// Range of the time until a limit is lowered or lifted, in ms.
const DURATION_MS: std::ops::Range<u64> = 800..5_000;

/// Range of the limits, in calls per second.
const LIMIT_PER_S: std::ops::Range<f64> = 0.0..25.0;

/// Range of the time from a leave until the upstream is replaced, in ms.
const LEAVE_MS: std::ops::Range<u64> = 2_500..5_000;

/// Share of the demands that are leaves.
const LEAVE_SHARE: f64 = 0.2;

/// Divides a limit that is lowered.
const LOWERED_BY: f64 = 4.0;

/// Length of the window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from the first answer with a demand until it must be met.
const PROPAGATION: Duration = Duration::from_millis(500);

/// Factor of the limit, and calls in addition to it, that an upstream may get in a window.
const EXCESS: (f64, f64) = (1.5, 5.0);

/// Conditions of a node in which it loses its state or falls behind.
const DISRUPTIONS: [Condition; 5] = [
    Condition::Killed,
    Condition::Paused,
    Condition::Stopping,
    Condition::Stopped,
    Condition::Crashed,
];

/// A demand in force.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Calls per second.
    Limit(f64),
    /// The upstream gets no calls.
    Leave,
}

/// Demands in force and the time of the next one.
///
/// They have their own random generator, so that a seed yields the same faults with and without them.
#[derive(Debug)]
pub(crate) struct Demands {
    random: SmallRng,
    /// When the next demand is made.
    due: Instant,
    /// When each demand changes next, and its instance.
    in_force: Vec<(Instant, usize, Demand)>,
    /// Number of limits so far.
    limits: usize,
    /// Number of leaves so far.
    leaves: usize,
}

impl Demands {
    pub(crate) fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed.rotate_left(32));
        Demands { random, due: Instant::now(), in_force: Vec::new(), limits: 0, leaves: 0 }
    }

    /// Lowers or lifts the demands whose time is over, and makes the next one if it is due.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        let now = Instant::now();
        let (expired, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_force).into_iter().partition(|(at, ..)| *at <= now);
        self.in_force = rest;
        for (_, number, demand) in expired {
            match demand {
                Demand::Limit(limit) if self.random.random_bool(0.5) => {
                    self.limit(cluster, number, limit / LOWERED_BY);
                }
                demand => end(cluster, number, demand),
            }
        }
        if now < self.due {
            return;
        }
        self.due = now + Duration::from_millis(self.random.random_range(INTERVAL_MS));
        let number = self.random.random_range(0..cluster.instances.len());
        let limit = self.random.random_range(LIMIT_PER_S);
        let leaves = self.random.random_bool(LEAVE_SHARE);
        if self.in_force.iter().any(|(_, known, _)| *known == number) {
            return;
        }
        match leaves {
            true => self.leave(cluster, number),
            false => self.limit(cluster, number, limit),
        }
    }

    /// Ends all demands.
    pub(crate) fn end(&mut self, cluster: &mut Cluster) {
        for (_, number, demand) in std::mem::take(&mut self.in_force) {
            end(cluster, number, demand);
        }
    }

    pub(crate) fn summary(&self) -> String {
        format!("limit {}, leave in answers {}", self.limits, self.leaves)
    }

    fn limit(&mut self, cluster: &mut Cluster, number: usize, limit: f64) {
        cluster.instances[number].upstream.set_limit(Some(limit));
        self.limits += 1;
        self.keep(number, Demand::Limit(limit), DURATION_MS);
    }

    fn leave(&mut self, cluster: &mut Cluster, number: usize) {
        cluster.instances[number].upstream.leave();
        self.leaves += 1;
        self.keep(number, Demand::Leave, LEAVE_MS);
    }

    fn keep(&mut self, number: usize, demand: Demand, duration_ms: std::ops::Range<u64>) {
        let duration = Duration::from_millis(self.random.random_range(duration_ms));
        self.in_force.push((Instant::now() + duration, number, demand));
    }
}

fn end(cluster: &mut Cluster, number: usize, demand: Demand) {
    match demand {
        Demand::Limit(_) => cluster.instances[number].upstream.set_limit(None),
        Demand::Leave => cluster.replace(number),
    }
}

/// Returns a violation for each process of an upstream that got more calls than it had demanded.
pub(crate) fn violations(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        for process in instance.processes() {
            let ledger = process.ledger();
            let found = excess(instance, &ledger).or_else(|| late_call(instance, &ledger));
            violations.extend(found.map(|text| format!("instance {number}: {text}")));
        }
    }
    violations
}

/// Returns the first call that an upstream got after an answer that said that it was leaving.
fn late_call(instance: &Instance, ledger: &Ledger) -> Option<String> {
    ledger.leaves.iter().find_map(|&(told, end)| {
        let is_late = |at: &Instant| *at > told + PROPAGATION && end.is_none_or(|end| *at < end);
        let is_excused = |at: Instant| instance.history.overlaps(&DISRUPTIONS, told, at);
        let mut starts = ledger.starts.iter().map(|(at, _)| *at);
        let late = starts.find(|at| is_late(at) && !is_excused(*at))?;
        let ms = (late - told).as_millis();
        Some(format!("an upstream gets no calls after an answer that said that it leaves; one came {ms} ms later"))
    })
}

/// Returns the first excess of an upstream's process over a limit that it named.
fn excess(instance: &Instance, ledger: &Ledger) -> Option<String> {
    for (index, (named, limit)) in ledger.limits.iter().enumerate() {
        let Some(limit) = limit else { continue };
        let end = ledger.limits.get(index + 1).map_or_else(Instant::now, |(next, _)| *next);
        let starts: Vec<Instant> = ledger.starts.iter().map(|(at, _)| *at).collect();
        for &from in starts.iter().filter(|at| **at >= *named + PROPAGATION && **at < end) {
            let until = (from + WINDOW).min(end);
            let got = starts.iter().filter(|at| (from..until).contains(*at)).count();
            let allowed = limit * (until - from).as_secs_f64() * EXCESS.0 + EXCESS.1;
            let is_excused = instance.history.overlaps(&DISRUPTIONS, *named, until);
            if got as f64 > allowed && !is_excused {
                let ms = (until - from).as_millis();
                return Some(format!(
                    "an upstream gets no more calls than the limit that it names; {got} calls in {ms} ms under {limit:.1} a second"
                ));
            }
        }
    }
    None
}
