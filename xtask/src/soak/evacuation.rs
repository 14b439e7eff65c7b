//! Data centres that are evacuated and taken back, in series that overlap with each other and with all faults.

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use standins::platform::Evacuation;
use std::time::{Duration, Instant};

use crate::soak::{DATA_CENTRES, site::Site};

/// Bounds between which the time to the next order lies, in ms.
const PAUSE_MS: std::ops::Range<u64> = 400..2_500;

/// Bounds between which the time lies after which a data centre is taken back, in ms.
const LENGTH_MS: std::ops::Range<u64> = 500..6_000;

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
    pub(crate) fn step(&mut self, site: &mut Site) {
        let now = Instant::now();
        let (over, rest) = std::mem::take(&mut self.in_force).into_iter().partition(|o| o.0 <= now);
        self.in_force = rest;
        take_back(site, over);
        if now < self.due {
            return;
        }
        self.due = now + Duration::from_millis(self.random.random_range(PAUSE_MS));
        let name = *DATA_CENTRES.choose(&mut self.random).expect("there are data centres");
        if self.in_force.iter().all(|(_, known)| *known != name) {
            site.order(name, Evacuation::Ordered);
            let length = Duration::from_millis(self.random.random_range(LENGTH_MS));
            self.in_force.push((now + length, name));
            self.count += 1;
        }
    }

    /// Takes every data centre back.
    pub(crate) fn end(&mut self, site: &mut Site) {
        take_back(site, std::mem::take(&mut self.in_force));
    }
}

fn take_back(site: &mut Site, orders: Vec<(Instant, &'static str)>) {
    for (_, name) in orders {
        site.order(name, Evacuation::Withdrawn);
    }
}
