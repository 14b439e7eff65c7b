//! Random evacuation orders for data centres; they overlap with each other and with all faults.

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use standins::platform::Evacuation;
use std::time::{Duration, Instant};

use crate::soak::{DATA_CENTRES, cluster::Cluster};

/// Range of the time between two orders, in ms.
const INTERVAL_MS: std::ops::Range<u64> = 400..2_500;

/// Range of the duration of an evacuation, in ms.
const DURATION_MS: std::ops::Range<u64> = 500..6_000;

/// Orders in force and the time of the next one.
///
/// They have their own random generator, so that a seed yields the same faults with and without them.
#[derive(Debug)]
pub(crate) struct Orders {
    random: SmallRng,
    /// When the next order is issued.
    due: Instant,
    /// When each order in force is withdrawn, and its data centre.
    in_force: Vec<(Instant, &'static str)>,
    /// Number of orders so far.
    pub(crate) count: usize,
}

impl Orders {
    pub(crate) fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(!seed);
        Orders { random, due: Instant::now(), in_force: Vec::new(), count: 0 }
    }

    /// Withdraws the orders that have expired and issues the next one if it is due.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        let now = Instant::now();
        let (expired, rest) =
            std::mem::take(&mut self.in_force).into_iter().partition(|(end, _)| *end <= now);
        self.in_force = rest;
        withdraw(cluster, expired);
        if now < self.due {
            return;
        }
        self.due = now + Duration::from_millis(self.random.random_range(INTERVAL_MS));
        let name = *DATA_CENTRES.choose(&mut self.random).expect("there are data centres");
        if self.in_force.iter().all(|(_, known)| *known != name) {
            cluster.set_evacuation(name, Evacuation::Ordered);
            let duration = Duration::from_millis(self.random.random_range(DURATION_MS));
            self.in_force.push((now + duration, name));
            self.count += 1;
        }
    }

    /// Withdraws all orders.
    pub(crate) fn end(&mut self, cluster: &mut Cluster) {
        withdraw(cluster, std::mem::take(&mut self.in_force));
    }
}

fn withdraw(cluster: &mut Cluster, orders: Vec<(Instant, &'static str)>) {
    for (_, name) in orders {
        cluster.set_evacuation(name, Evacuation::Withdrawn);
    }
}
