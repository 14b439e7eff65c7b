//! Upstreams that become cold at random moments, and the check that none of them gets more calls than it bears.
//! They overlap with each other and with all faults.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

use crate::soak::cluster::Cluster;

/// Calls per minute that a cold upstream takes, as its service's configuration says.
pub(crate) const CALLS_PER_MIN: u32 = 660;

/// Time for which an upstream is cold.
pub(crate) const LENGTH: Duration = Duration::from_millis(1_500);

/// Percentage of the rate that may reach a cold upstream in any second, and calls in addition to it, as the nodes'
/// settings say.
pub(crate) const EXCESS: (u32, u32) = (150, 8);

/// Period in which calls are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Range of the time between two upstreams that become cold, in ms.
const INTERVAL_MS: std::ops::Range<u64> = 50..600;

/// Range of the time until the platform lists an upstream as cold, in ms; often after it is warm again.
const HEARTBEAT_MS: std::ops::Range<u64> = 0..2_500;

/// Whether upstreams are cold after a start and at random moments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WarmUps {
    Absent,
    Random,
}

/// Upstreams that became cold and are not listed so, and the time of the next one.
///
/// They have their own random generator, so that a seed yields the same faults with and without them.
#[derive(Debug)]
pub(crate) struct ColdSpells {
    random: SmallRng,
    /// When the next upstream becomes cold.
    due: Instant,
    /// When each instance's entry is written.
    unlisted: Vec<(Instant, usize)>,
    /// Number of upstreams so far.
    pub(crate) count: usize,
}

impl ColdSpells {
    pub(crate) fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed.rotate_left(48));
        ColdSpells { random, due: Instant::now(), unlisted: Vec::new(), count: 0 }
    }

    /// Writes the entries that are due, and makes the next upstream cold if that is due.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        let now = Instant::now();
        for (_, number) in self.unlisted.extract_if(.., |(at, _)| *at <= now) {
            cluster.renew_entry(number);
        }
        if now < self.due {
            return;
        }
        self.due = now + Duration::from_millis(self.random.random_range(INTERVAL_MS));
        let number = self.random.random_range(0..cluster.instances.len());
        let delay = Duration::from_millis(self.random.random_range(HEARTBEAT_MS));
        cluster.instances[number].upstream.become_cold(LENGTH);
        self.unlisted.push((now + delay, number));
        self.count += 1;
    }
}

/// Returns a violation for each process of an upstream that got more calls in a second than it bears while it is
/// cold.
pub(crate) fn violations(cluster: &Cluster) -> Vec<String> {
    let allowed = CALLS_PER_MIN * EXCESS.0 / 60 / 100 + EXCESS.1;
    let mut violations = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        for process in instance.processes() {
            let Some((calls, at)) = process.ledger().peak_while_cold(PERIOD) else { continue };
            if calls > allowed as usize {
                let arrivals = process.ledger().arrivals;
                let within = arrivals.iter().filter(|time| (at..at + PERIOD).contains(*time));
                let ms = |time: &Instant| (*time - cluster.started).as_millis();
                violations.push(format!(
                    "instance {number}: a cold upstream gets {calls} calls in a second, {allowed} are allowed; they arrive at {:?} ms",
                    within.map(ms).collect::<Vec<_>>()
                ));
            }
        }
    }
    violations
}
