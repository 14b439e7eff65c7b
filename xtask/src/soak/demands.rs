//! Random limits that upstreams name, lower and lift; they overlap with each other and with all faults.

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

/// Divides a limit that is lowered.
const LOWERED_BY: f64 = 4.0;

/// Length of the window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from the first answer that names a limit until it must hold.
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

/// Limits in force and the time of the next one.
///
/// They have their own random generator, so that a seed yields the same faults with and without them.
#[derive(Debug)]
pub(crate) struct Demands {
    random: SmallRng,
    /// When the next limit is named.
    due: Instant,
    /// When each limit changes next, the instance and the limit.
    limits: Vec<(Instant, usize, f64)>,
    /// Number of limits so far.
    pub(crate) count: usize,
}

impl Demands {
    pub(crate) fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed.rotate_left(32));
        Demands { random, due: Instant::now(), limits: Vec::new(), count: 0 }
    }

    /// Lowers or lifts the limits whose time is over, and names the next one if it is due.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        let now = Instant::now();
        let (expired, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.limits).into_iter().partition(|(at, ..)| *at <= now);
        self.limits = rest;
        for (_, number, limit) in expired {
            if self.random.random_bool(0.5) {
                self.name(cluster, number, limit / LOWERED_BY);
            } else {
                cluster.instances[number].upstream.set_limit(None);
            }
        }
        if now < self.due {
            return;
        }
        self.due = now + Duration::from_millis(self.random.random_range(INTERVAL_MS));
        let number = self.random.random_range(0..cluster.instances.len());
        let limit = self.random.random_range(LIMIT_PER_S);
        if self.limits.iter().all(|(_, known, _)| *known != number) {
            self.name(cluster, number, limit);
        }
    }

    /// Lifts all limits.
    pub(crate) fn end(&mut self, cluster: &mut Cluster) {
        for (_, number, _) in std::mem::take(&mut self.limits) {
            cluster.instances[number].upstream.set_limit(None);
        }
    }

    fn name(&mut self, cluster: &mut Cluster, number: usize, limit: f64) {
        cluster.instances[number].upstream.set_limit(Some(limit));
        let duration = Duration::from_millis(self.random.random_range(DURATION_MS));
        self.limits.push((Instant::now() + duration, number, limit));
        self.count += 1;
    }
}

/// Returns a violation for each window in which an upstream got more calls than it had named.
pub(crate) fn violations(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        for process in instance.processes() {
            let found = excess(instance, &process.ledger());
            violations.extend(found.map(|text| format!("instance {number}: {text}")));
        }
    }
    violations
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
