//! Compares call policies in a discrete-event simulation: `cargo xtask experiment`.
//!
//! `--without NAME` switches off one mechanism of the node's policies; `--list` prints the names.
//! [`standins::queueing`] describes what the model covers and what it leaves out.

mod plot;
mod scene;
mod summary;

use pico_args::Arguments;
use standins::queueing::{Choice, Discipline, Mechanism, Settings, Strategy, simulate};
use std::{fs::File, io::Write, path::PathBuf};

use crate::tools::{self, Failure};

use self::{
    scene::Scene,
    summary::{Estimate, Summary},
};

/// Default number of seeds for each scene and strategy.
const DEFAULT_SEEDS: u64 = 10;

/// The node's own policies.
const PRODUCT: Strategy =
    Strategy { choice: Choice::Capacity, discipline: Discipline::Ranked, without: None };

/// The strategies that are compared; the first one is the node's.
const STRATEGIES: [(&str, Strategy); 4] = [
    ("product", PRODUCT),
    ("by-arrival", Strategy { discipline: Discipline::Fifo, ..PRODUCT }),
    ("least-in-flight", Strategy { choice: Choice::LeastInFlight, ..PRODUCT }),
    ("in-turn", Strategy { choice: Choice::RoundRobin, discipline: Discipline::Fifo, ..PRODUCT }),
];

/// Simulates every selected scene with every selected strategy and prints the results.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    let usage = |e: pico_args::Error| Failure::Usage(e.to_string());
    if arguments.contains("--list") {
        tools::finish(arguments)?;
        Mechanism::ALL.iter().for_each(|(name, _)| println!("{name}"));
        return Ok(());
    }
    let without: Option<String> = arguments.opt_value_from_str("--without").map_err(usage)?;
    let seeds = arguments.opt_value_from_str("--seeds").map_err(usage)?.unwrap_or(DEFAULT_SEEDS);
    let nodes: usize = arguments.opt_value_from_str("--nodes").map_err(usage)?.unwrap_or(12);
    let only: Option<String> = arguments.opt_value_from_str("--scene").map_err(usage)?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json").map_err(usage)?;
    let plot_file: Option<PathBuf> = arguments.opt_value_from_str("--plot").map_err(usage)?;
    tools::finish(arguments)?;
    if seeds == 0 || nodes < 3 {
        return Err(Failure::Usage(format!(
            "--seeds {seeds} --nodes {nodes}: at least 1 seed and 3 nodes are needed"
        )));
    }
    let scenes = scene::all(nodes);
    let selected: Vec<Scene> =
        scenes.into_iter().filter(|s| only.as_ref().is_none_or(|name| name == s.name)).collect();
    if selected.is_empty() {
        let names: Vec<&str> = scene::all(nodes).iter().map(|s| s.name).collect();
        return Err(Failure::Usage(format!(
            "unknown scene {}; valid scenes: {}",
            only.unwrap_or_default(),
            names.join(", ")
        )));
    }
    let strategies = without.map_or(Ok(STRATEGIES.to_vec()), |name| ablations(&name))?;
    let summaries = compare(&selected, &strategies, seeds);
    print_table(&summaries);
    if let Some(path) = json {
        let mut file = File::create(path)?;
        for summary in &summaries {
            writeln!(file, "{}", summary.to_json(nodes, seeds))?;
        }
    }
    plot_file.map_or(Ok(()), |path| plot::draw(&path, &summaries))
}

/// Returns the node's strategy and its variant without mechanism `name`, or, for `all`, one variant
/// without each mechanism.
fn ablations(name: &str) -> Result<Vec<(&'static str, Strategy)>, Failure> {
    let without = |mechanism| Strategy { without: Some(mechanism), ..PRODUCT };
    let selected = Mechanism::ALL.into_iter().filter(|(known, _)| name == "all" || *known == name);
    let mut strategies = vec![("product", PRODUCT)];
    strategies.extend(selected.map(|(known, mechanism)| (known, without(mechanism))));
    if strategies.len() == 1 {
        return Err(Failure::Usage(format!("unknown mechanism {name:?}; see experiment --list")));
    }
    Ok(strategies)
}

fn compare(scenes: &[Scene], strategies: &[(&'static str, Strategy)], seeds: u64) -> Vec<Summary> {
    let mut summaries = Vec::new();
    for scene in scenes {
        for &(name, strategy) in strategies {
            let settings = Settings { strategy, ..scene.settings.clone() };
            let reports: Vec<_> = (0..seeds).map(|seed| simulate(&settings, seed)).collect();
            summaries.push(Summary::of(scene.name, name, &reports));
        }
    }
    summaries
}

fn print_table(summaries: &[Summary]) {
    println!(
        "{:<14} {:<16} {:>15} {:>15} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "scene",
        "way",
        "earned",
        "worst route",
        "late",
        "refused",
        "again",
        "failed",
        "p99 ms",
        "repeats"
    );
    let format_estimate =
        |estimate: Estimate| format!("{:.3} +- {:.3}", estimate.mean, estimate.margin);
    for summary in summaries {
        println!(
            "{:<14} {:<16} {:>15} {:>15} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.0} {:>9.3}",
            summary.scene,
            summary.strategy,
            format_estimate(summary.earned),
            format_estimate(summary.worst),
            summary.late.mean,
            summary.refused.mean,
            summary.refused_again.mean,
            summary.failed.mean,
            summary.p99_ms.mean,
            summary.repeats.mean,
        );
    }
}
