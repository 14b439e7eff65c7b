//! Stateful fuzzing of the control state machine against a simple oracle.

use quickcheck::{Gen, QuickCheck, TestResult};
use standins::script::{self, Action};

/// Seed of the scripts that CI runs; `cargo xtask fuzz` runs others, and more.
const SEED: u64 = 20_261_202;

const SCRIPTS: u64 = 150;
const LENGTH: usize = 25;

/// A grocer's lookups follow an old profile for the rest of the day: after some order of restarts,
/// cuts, pauses, outages and crossed messages a node has moved back, taken half a version, or
/// stopped learning. No single cause; this looks for one.
#[test]
fn random_faults_never_break_the_promises() {
    fn property(actions: Vec<Action>, seed: u64) -> TestResult {
        match script::run(&actions, seed) {
            Ok(()) => TestResult::passed(),
            Err(reason) => TestResult::error(reason),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(LENGTH, SEED))
        .tests(SCRIPTS)
        .quickcheck(property as fn(Vec<Action>, u64) -> TestResult);
}
