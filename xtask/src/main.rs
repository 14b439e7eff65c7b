//! Development tasks of the project: `cargo xtask demo | ci | bench | fuzz | experiment | soak | reference`.

mod bench;
mod ci;
mod demo;
mod experiment;
mod fuzz;
mod reference;
mod soak;
mod tools;

use pico_args::Arguments;
use std::process::ExitCode;

const HELP: &str = "\
cargo xtask: development tasks of the project

  demo        starts a mesh of real processes and checks its main functions step by step
  ci          format, linter, documentation, tests and a short soak
  fuzz        random scripts against the oracle [--seed N] [--steps M]
  soak        real processes under random faults [--seed N] [--seeds M] [--seconds S] [--nodes K]
  experiment  compares call policies in a simulation [--seeds N] [--nodes K] [--scene NAME]
              [--json FILE] [--plot FILE.svg] [--without NAME | --list]
  bench       benchmarks [--nodes 10,40,120] [--json FILE] [--only PART]
  reference   writes docs/PROFILES.md, docs/SETTINGS.md and docs/METRICS.md from the code
  --help      prints this text
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let result = match arguments.subcommand() {
        Ok(Some(command)) => run(&command, arguments),
        Ok(None) => Err(tools::Failure::Usage("no command given".to_owned())),
        Err(error) => Err(tools::Failure::Usage(error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(tools::Failure::Usage(reason)) => {
            eprintln!("xtask: {reason}; see --help");
            ExitCode::from(2)
        }
        Err(tools::Failure::Task(reason)) => {
            eprintln!("xtask: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: &str, arguments: Arguments) -> Result<(), tools::Failure> {
    match command {
        "demo" => {
            tools::finish(arguments)?;
            demo::run()
        }
        "ci" => {
            tools::finish(arguments)?;
            ci::run()
        }
        "bench" => bench::run(arguments),
        "reference" => {
            tools::finish(arguments)?;
            reference::write()
        }
        "experiment" => experiment::run(arguments),
        "fuzz" => fuzz::run(arguments),
        "soak" => soak::run(arguments),
        other => Err(tools::Failure::Usage(format!("unknown command {other}"))),
    }
}
