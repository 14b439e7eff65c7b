//! The daemon: reads its settings and runs a node until a planned stop.

use node::{
    Node,
    reload::{self, Signals},
    settings,
};
use pico_args::Arguments;
use std::{fs, process::ExitCode};

const HELP: &str = "\
baobabrelayd: proxies calls to the services of a mesh, beside one upstream

usage: baobabrelayd --settings FILE [--check]

  --settings FILE  JSON settings; docs/SETTINGS.md lists them
  --check          validates the settings, prints every fault and exits
  --help           prints this text
  --version        prints the version

SIGTERM and SIGINT begin a planned stop: new calls are refused, calls in flight are finished. SIGHUP
reloads the settings; so does a change of the file, within a few seconds.
exit status: 0 success, 1 the node could not start, 2 invalid usage or settings
";

/// Exit status for invalid usage or settings.
const INVALID_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("baobabrelayd {}", node::VERSION);
        return ExitCode::SUCCESS;
    }
    let check = arguments.contains("--check");
    let file: String = match arguments.value_from_str("--settings") {
        Ok(file) => file,
        Err(error) => return usage(&error.to_string()),
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        return usage(&format!("unknown argument {:?}", rest[0]));
    }
    let settings = match read(&file) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(INVALID_USAGE);
        }
    };
    if check {
        println!("{file}: no faults");
        return ExitCode::SUCCESS;
    }
    run(&file, &settings)
}

fn read(file: &str) -> Result<settings::Settings, Vec<String>> {
    let text = fs::read_to_string(file).map_err(|e| vec![format!("{file}: {e}")])?;
    parse(file, &text)
}

fn parse(file: &str, text: &str) -> Result<settings::Settings, Vec<String>> {
    settings::read(file, text).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

fn run(file: &str, settings: &settings::Settings) -> ExitCode {
    let signals = match Signals::register() {
        Ok(signals) => signals,
        Err(error) => return fail(&format!("cannot install signal handlers: {error}")),
    };
    let node = match Node::start(settings) {
        Ok(node) => node,
        Err(error) => return fail(&error.to_string()),
    };
    match reload::run(signals, node, file, &|text| parse(file, text)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&format!("cannot wait for signals: {error}")),
    }
}

fn usage(reason: &str) -> ExitCode {
    eprintln!("baobabrelayd: {reason}; see --help");
    ExitCode::from(INVALID_USAGE)
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("baobabrelayd: {reason}");
    ExitCode::FAILURE
}
