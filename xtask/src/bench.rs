//! The measures of the project, as a table and as JSON lines.

mod calls;
mod chain;
mod fleet;
mod libraries;
mod memory;
mod overload;
mod report;

use pico_args::Arguments;
use std::path::PathBuf;

use crate::tools::{self, Failure};

/// Sizes of fleets of real processes.
const NODES: [usize; 3] = [10, 40, 120];

/// Most nodes in one fleet of real processes; the stand-ins run inside this program.
const NODES_LIMIT: usize = 140;

/// Sizes of fleets on in-memory ports.
const MEMORY_NODES: [usize; 3] = [60, 120, 570];

/// Parts of the bench that can be run alone.
const PARTS: [&str; 6] = ["memory", "overload", "libraries", "fleet", "calls", "chain"];

/// Runs all measures, or those of one part.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    let usage = |e: pico_args::Error| Failure::Usage(e.to_string());
    let nodes: Option<String> = arguments.opt_value_from_str("--nodes").map_err(usage)?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json").map_err(usage)?;
    let only: Option<String> = arguments.opt_value_from_str("--only").map_err(usage)?;
    tools::finish(arguments)?;
    if let Some(part) = only.as_deref().filter(|part| !PARTS.contains(part)) {
        return Err(Failure::Usage(format!("unknown part {part}; there are {}", PARTS.join(", "))));
    }
    let nodes = sizes(nodes.as_deref())?;
    let programs = tools::build()?;
    let mut report = report::Report::default();
    let wanted = |part: &str| only.as_deref().is_none_or(|only| only == part);
    if wanted("memory") {
        memory::run(&MEMORY_NODES, &mut report);
    }
    if wanted("overload") {
        overload::run(&mut report);
    }
    if wanted("libraries") {
        libraries::run(&mut report)?;
    }
    if wanted("fleet") {
        for &count in &nodes {
            fleet::run(&programs, count, &mut report)?;
        }
    }
    if wanted("calls") {
        calls::run(&programs, &mut report)?;
    }
    if wanted("chain") {
        chain::run(&programs, &mut report)?;
    }
    if let Some(path) = json {
        report.write(&path)?;
    }
    Ok(())
}

fn sizes(text: Option<&str>) -> Result<Vec<usize>, Failure> {
    let Some(text) = text else { return Ok(NODES.to_vec()) };
    let parse = |part: &str| {
        let count = part.trim().parse().ok().filter(|count| (1..=NODES_LIMIT).contains(count));
        count.ok_or_else(|| Failure::Usage(format!("{part} is not from 1 to {NODES_LIMIT}")))
    };
    text.split(',').map(parse).collect()
}
