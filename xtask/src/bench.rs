//! Benchmarks: prints each measurement and writes all of them as JSON lines.

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

/// Default fleet sizes of the benchmarks that run real processes, in nodes.
const NODES: [usize; 3] = [10, 40, 120];

/// Largest fleet of real processes, in nodes; their stand-ins run inside this process.
const MAX_NODES: usize = 140;

/// Fleet sizes of the simulation, in nodes.
const MEMORY_NODES: [usize; 3] = [60, 120, 570];

/// Parts that `--only` selects.
const PARTS: [&str; 6] = ["memory", "overload", "libraries", "fleet", "calls", "chain"];

/// Runs all parts, or the one that `--only` names.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    let usage = |e: pico_args::Error| Failure::Usage(e.to_string());
    let nodes: Option<String> = arguments.opt_value_from_str("--nodes").map_err(usage)?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json").map_err(usage)?;
    let only: Option<String> = arguments.opt_value_from_str("--only").map_err(usage)?;
    tools::finish(arguments)?;
    if let Some(part) = only.as_deref().filter(|part| !PARTS.contains(part)) {
        return Err(Failure::Usage(format!(
            "unknown part {part}; valid parts: {}",
            PARTS.join(", ")
        )));
    }
    let nodes = parse_sizes(nodes.as_deref())?;
    let programs = tools::build()?;
    let mut report = report::Report::default();
    let is_selected = |part: &str| only.as_deref().is_none_or(|only| only == part);
    if is_selected("memory") {
        memory::run(&MEMORY_NODES, &mut report);
    }
    if is_selected("overload") {
        overload::run(&mut report);
    }
    if is_selected("libraries") {
        libraries::run(&mut report)?;
    }
    if is_selected("fleet") {
        for &count in &nodes {
            fleet::run(&programs, count, &mut report)?;
        }
    }
    if is_selected("calls") {
        calls::run(&programs, &mut report)?;
    }
    if is_selected("chain") {
        chain::run(&programs, &mut report)?;
    }
    if let Some(path) = json {
        report.write(&path)?;
    }
    Ok(())
}

fn parse_sizes(text: Option<&str>) -> Result<Vec<usize>, Failure> {
    let Some(text) = text else { return Ok(NODES.to_vec()) };
    let parse = |part: &str| {
        let count = part.trim().parse().ok().filter(|count| (1..=MAX_NODES).contains(count));
        count.ok_or_else(|| Failure::Usage(format!("--nodes: {part} is not from 1 to {MAX_NODES}")))
    };
    text.split(',').map(parse).collect()
}
