//! Stateful fuzzing of the control state machine against a simple oracle.

use quickcheck::{Gen, QuickCheck, TestResult};
use standins::script::{self, Action};

/// Seed of the scripts run by CI; `cargo xtask fuzz` runs others.
const SEED: u64 = 20_261_202;

const SCRIPTS: u64 = 150;
const MAX_ACTIONS: usize = 25;

/// Guards against sequences of faults after which a node goes back to an old version, serves a partial
/// one, or no longer updates.
#[test]
fn random_faults_never_violate_the_invariants() {
    fn property(actions: Vec<Action>, seed: u64) -> TestResult {
        match script::run(&actions, seed) {
            Ok(()) => TestResult::passed(),
            Err(reason) => TestResult::error(reason),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_ACTIONS, SEED))
        .tests(SCRIPTS)
        .quickcheck(property as fn(Vec<Action>, u64) -> TestResult);
}
