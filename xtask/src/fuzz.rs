//! Stateful fuzzing of the control state machine, with more steps than the tests run.

use pico_args::Arguments;
use quickcheck::{Arbitrary, Gen};
use standins::script::{self, Action};

use crate::tools::{self, Failure};

/// Limit of the actions in one script.
const MAX_ACTIONS: usize = 30;

/// Runs random scripts until they have run `steps` actions or one fails.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    let usage = |e: pico_args::Error| Failure::Usage(e.to_string());
    let seed: u64 = arguments.opt_value_from_str("--seed").map_err(usage)?.unwrap_or(1);
    let steps: usize = arguments.opt_value_from_str("--steps").map_err(usage)?.unwrap_or(20_000);
    tools::finish(arguments)?;
    println!("seed {seed}, {steps} steps");
    let mut generator = Gen::from_size_and_seed(MAX_ACTIONS, seed);
    let mut actions_run = 0;
    let mut scripts = 0;
    while actions_run < steps {
        let actions = Vec::<Action>::arbitrary(&mut generator);
        let net_seed = u64::arbitrary(&mut generator);
        if let Err(reason) = script::run(&actions, net_seed) {
            let (actions, reason) = shrink(actions, net_seed, reason);
            println!("seed {seed}, script {scripts}, net seed {net_seed}: {reason}\n{actions:#?}");
            return Err(Failure::Task(format!("script {scripts} of seed {seed} failed")));
        }
        actions_run += actions.len() + 1;
        scripts += 1;
    }
    println!("{scripts} scripts with {actions_run} actions passed");
    Ok(())
}

/// Returns the smallest failing script that shrinking finds and the reason of its failure.
fn shrink(mut actions: Vec<Action>, seed: u64, mut reason: String) -> (Vec<Action>, String) {
    'smaller: loop {
        for candidate in actions.shrink() {
            if let Err(smaller_reason) = script::run(&candidate, seed) {
                (actions, reason) = (candidate, smaller_reason);
                continue 'smaller;
            }
        }
        return (actions, reason);
    }
}
