//! Discrete-event queueing model of callers, entry nodes and upstreams with a limited number of slots.
//!
//! Compares load-balancing and queueing strategies over many seeds. The decisions are those of
//! `policy`, or plain alternatives to them. Not modelled: CPU time of nodes, bandwidth and queues
//! of links, membership, and configuration changes.

mod callers;
mod choice;
mod report;
mod settings;
mod simulation;
mod state;

pub use self::{
    report::{Counters, Report},
    settings::{
        Burst, Choice, Degradation, Discipline, Fault, Mechanism, Nested, Route, Service, Settings,
        Strategy,
    },
};

/// Runs the model until every call has ended; the same seed gives the same report.
///
/// ```
/// use standins::queueing::{Settings, simulate};
/// let report = simulate(&Settings { span: std::time::Duration::from_secs(2), ..Settings::default() }, 1);
/// assert_eq!(report.total().callers, report.total().ended());
/// ```
pub fn simulate(settings: &Settings, seed: u64) -> Report {
    simulation::Simulation::new(settings, seed).run()
}
