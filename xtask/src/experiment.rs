//! Compares ways of deciding on the model of the served systems: `cargo xtask experiment`.
//!
//! `--without NAME` compares the product with itself less one mechanism; `--list` names them.
//!
//! A decision is tried here before it is measured on real processes: seconds in the place of
//! minutes, and as many seeds as a difference needs. What the model leaves out is told in
//! [`standins::queueing`]; a difference that shows only there must be looked for elsewhere.

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

/// Seeds of each comparison: with ten, differences of a hundredth stand out of chance.
const SEEDS: u64 = 10;

/// How the product decides.
const PRODUCT: Strategy =
    Strategy { choice: Choice::Capacity, discipline: Discipline::Ranked, without: None };

/// The ways that are compared. The first is the product's.
const WAYS: [(&str, Strategy); 4] = [
    ("product", PRODUCT),
    ("by-arrival", Strategy { discipline: Discipline::Fifo, ..PRODUCT }),
    ("least-in-flight", Strategy { choice: Choice::LeastInFlight, ..PRODUCT }),
    ("in-turn", Strategy { choice: Choice::RoundRobin, discipline: Discipline::Fifo, ..PRODUCT }),
];

/// Plays every scene with every way.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    let usage = |e: pico_args::Error| Failure::Usage(e.to_string());
    if arguments.contains("--list") {
        tools::finish(arguments)?;
        Mechanism::ALL.iter().for_each(|(name, _)| println!("{name}"));
        return Ok(());
    }
    let without: Option<String> = arguments.opt_value_from_str("--without").map_err(usage)?;
    let seeds = arguments.opt_value_from_str("--seeds").map_err(usage)?.unwrap_or(SEEDS);
    let nodes: usize = arguments.opt_value_from_str("--nodes").map_err(usage)?.unwrap_or(12);
    let only: Option<String> = arguments.opt_value_from_str("--scene").map_err(usage)?;
    let lines: Option<PathBuf> = arguments.opt_value_from_str("--json").map_err(usage)?;
    let picture: Option<PathBuf> = arguments.opt_value_from_str("--plot").map_err(usage)?;
    tools::finish(arguments)?;
    if seeds == 0 || nodes < 3 {
        return Err(Failure::Usage("at least one seed and three nodes".to_owned()));
    }
    let scenes = scene::all(nodes);
    let wanted: Vec<Scene> =
        scenes.into_iter().filter(|s| only.as_ref().is_none_or(|name| name == s.name)).collect();
    if wanted.is_empty() {
        let names: Vec<&str> = scene::all(nodes).iter().map(|s| s.name).collect();
        return Err(Failure::Usage(format!("no such scene; there are {}", names.join(", "))));
    }
    let ways = without.map_or(Ok(WAYS.to_vec()), |name| ablation(&name))?;
    let summaries = compare(&wanted, &ways, seeds);
    table(&summaries);
    if let Some(path) = lines {
        let mut file = File::create(path)?;
        for summary in &summaries {
            writeln!(file, "{}", summary.to_json(nodes, seeds))?;
        }
    }
    picture.map_or(Ok(()), |path| plot::draw(&path, &summaries))
}

/// Returns the product's way, and that without the mechanism `name` or, for `all`, without each.
fn ablation(name: &str) -> Result<Vec<(&'static str, Strategy)>, Failure> {
    let off = |mechanism| Strategy { without: Some(mechanism), ..PRODUCT };
    let wanted = Mechanism::ALL.into_iter().filter(|(known, _)| name == "all" || *known == name);
    let mut ways = vec![("product", PRODUCT)];
    ways.extend(wanted.map(|(known, mechanism)| (known, off(mechanism))));
    if ways.len() == 1 {
        return Err(Failure::Usage(format!("no mechanism {name:?}; see experiment --list")));
    }
    Ok(ways)
}

fn compare(scenes: &[Scene], ways: &[(&'static str, Strategy)], seeds: u64) -> Vec<Summary> {
    let mut summaries = Vec::new();
    for scene in scenes {
        for &(name, way) in ways {
            let settings = Settings { strategy: way, ..scene.settings.clone() };
            let reports: Vec<_> = (0..seeds).map(|seed| simulate(&settings, seed)).collect();
            summaries.push(Summary::of(scene.name, name, &reports));
        }
    }
    summaries
}

fn table(summaries: &[Summary]) {
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
    let spread = |estimate: Estimate| format!("{:.3} +- {:.3}", estimate.mean, estimate.margin);
    for summary in summaries {
        println!(
            "{:<14} {:<16} {:>15} {:>15} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.0} {:>9.3}",
            summary.scene,
            summary.way,
            spread(summary.earned),
            spread(summary.worst),
            summary.late.mean,
            summary.refused.mean,
            summary.again.mean,
            summary.failed.mean,
            summary.p99_ms.mean,
            summary.repeats.mean,
        );
    }
}
