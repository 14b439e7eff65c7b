//! Data centres that are evacuated and taken back, in series that overlap with each other and with all faults.

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use standins::platform::Evacuation;
use std::time::{Duration, Instant};

use crate::soak::{DATA_CENTRES, cluster::Cluster};

/// Bounds between which the time to the next order lies, in ms.
const PAUSE_MS: std::ops::Range<u64> = 400..2_500;

/// Bounds between which the time lies after which a data centre is taken back, in ms.
const DURATION_MS: std::ops::Range<u64> = 500..6_000;

/// Orders in force, and when the next one is due.
///
/// They are drawn apart from the other faults, so that a seed plays the same faults with and without them.
#[derive(Debug)]
pub(crate) struct Orders {
    random: SmallRng,
    due: Instant,
    in_force: Vec<(Instant, &'static str)>,
    pub(crate) count: usize,
}

impl Orders {
    pub(crate) fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(!seed);
        Orders { random, due: Instant::now(), in_force: Vec::new(), count: 0 }
    }

    /// Takes data centres back whose time is over, and evacuates the next one if it is due.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        let now = Instant::now();
        let (over, rest) = std::mem::take(&mut self.in_force).into_iter().partition(|o| o.0 <= now);
        self.in_force = rest;
        readmit(cluster, over);
        if now < self.due {
            return;
        }
        self.due = now + Duration::from_millis(self.random.random_range(PAUSE_MS));
        let name = *DATA_CENTRES.choose(&mut self.random).expect("there are data centres");
        if self.in_force.iter().all(|(_, known)| *known != name) {
            cluster.set_evacuation(name, Evacuation::Ordered);
            let length = Duration::from_millis(self.random.random_range(DURATION_MS));
            self.in_force.push((now + length, name));
            self.count += 1;
        }
    }

    /// Takes every data centre back.
    pub(crate) fn end(&mut self, cluster: &mut Cluster) {
        readmit(cluster, std::mem::take(&mut self.in_force));
    }
}

fn readmit(cluster: &mut Cluster, orders: Vec<(Instant, &'static str)>) {
    for (_, name) in orders {
        cluster.set_evacuation(name, Evacuation::Withdrawn);
    }
}
