//! Random returns of the platform to an older copy; they overlap with all faults.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use standins::platform::Content;
use std::time::{Duration, Instant};

use crate::soak::{cluster::Cluster, history::Condition};

/// Range of the time between two copies, in ms.
const INTERVAL_MS: std::ops::Range<u64> = 800..3_000;

/// Range of the age of a copy when the platform returns to it, in ms.
const AGE_MS: std::ops::Range<u64> = 300..3_000;

/// Range of the time until what was lost is written again, in ms.
const REWRITE_MS: std::ops::Range<u64> = 50..1_500;

/// What happens next.
#[derive(Debug)]
enum Step {
    Copy,
    Restore(Box<Content>),
    WriteAgain,
}

/// The next step, and when it is due.
///
/// It has its own random generator, so that a seed yields the same faults with and without returns.
#[derive(Debug)]
pub(crate) struct Restores {
    random: SmallRng,
    due: Instant,
    next: Step,
    /// Number of returns so far.
    pub(crate) count: usize,
}

impl Restores {
    pub(crate) fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed.rotate_left(16));
        Restores { random, due: Instant::now(), next: Step::Copy, count: 0 }
    }

    /// Takes the next step if it is due.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        if Instant::now() >= self.due {
            self.advance(cluster);
        }
    }

    /// Writes again what is lost.
    pub(crate) fn end(&mut self, cluster: &mut Cluster) {
        if matches!(self.next, Step::WriteAgain) {
            self.advance(cluster);
        }
    }

    fn advance(&mut self, cluster: &mut Cluster) {
        let (next, delay_ms) = match std::mem::replace(&mut self.next, Step::Copy) {
            Step::Copy => (Step::Restore(Box::new(cluster.platform.copy())), AGE_MS),
            Step::Restore(copy) => {
                cluster.history.begin(Condition::Restored);
                cluster.platform.restore(*copy);
                self.count += 1;
                (Step::WriteAgain, REWRITE_MS)
            }
            Step::WriteAgain => {
                cluster.platform.write_again();
                cluster.history.end(Condition::Restored);
                (Step::Copy, INTERVAL_MS)
            }
        };
        self.next = next;
        self.due = Instant::now() + Duration::from_millis(self.random.random_range(delay_ms));
    }
}
