//! A model of the served systems on a virtual clock: callers, entry nodes, upstreams with slots.
//!
//! It exists to compare ways of deciding over many seeds before one of them is tried on real
//! processes. The product's own decisions (`policy`) stand in it unchanged beside plain ones; only
//! the sockets are missing. A day of a hundred upstreams takes some seconds.
//!
//! Left out, and so never the reason for a difference here: the processor time of nodes, links and
//! their queues, membership, and changes of the configuration.

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

/// Plays one day.
///
/// ```
/// use standins::queueing::{Settings, simulate};
/// let report = simulate(&Settings { span: std::time::Duration::from_secs(2), ..Settings::default() }, 1);
/// assert_eq!(report.total().callers, report.total().ended());
/// ```
pub fn simulate(settings: &Settings, seed: u64) -> Report {
    simulation::Simulation::new(settings, seed).run()
}
