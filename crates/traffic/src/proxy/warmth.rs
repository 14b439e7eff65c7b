//! What the node knows of the warm-up of the colocated upstream, and what it shows of that to operators.

use fleet::{status, timeline::Kind};
use model::time::Time;
use policy::warmup::{Evidence, Report, Source};
use std::sync::Mutex;

use crate::{lock::lock, proxy::Proxy};

/// Maximum number of events kept until they are collected.
const MAX_EVENTS: usize = 64;

/// Reports on the warm-up of the colocated upstream.
#[derive(Debug, Default)]
pub(crate) struct Warmth {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    evidence: Evidence,
    /// The report that was in force at the last change.
    shown: Option<Report>,
    events: Vec<Kind>,
}

impl State {
    /// Adds an event for a changed report.
    fn push_event(&mut self, starts: usize) {
        let Some(report) = self.evidence.report() else { return };
        let before = self.shown.replace(report);
        if self.events.len() < MAX_EVENTS {
            let since = before.map(|before| report.known_at.since(before.known_at));
            self.events.push(Kind::UpstreamWarmUp {
                source: report.source.name().to_owned(),
                cold_ms: report.until.since(report.known_at).as_millis() as u64,
                since_ms: since.map(|since| since.as_millis() as u64),
                starts,
            });
        }
    }
}

impl Warmth {
    /// Takes the events since the last call.
    pub(crate) fn take_events(&self) -> Vec<Kind> {
        std::mem::take(&mut lock(&self.state).events)
    }
}

impl Proxy {
    /// Records until when the colocated upstream is cold by the list and evacuations, and returns until when it
    /// counts as cold.
    pub(super) fn update_listed(&self, source: Source, until: Time) -> Time {
        let mut state = lock(&self.warmth.state);
        if state.evidence.set_listed(source, until, self.clock.now()) {
            state.push_event(self.slots.recent_starts());
        }
        state.evidence.cold_until()
    }

    /// Returns the report in force on the warm-up of the colocated upstream.
    pub(super) fn warm_up_report(&self) -> Option<status::WarmUp> {
        let now = self.clock.now();
        let report = lock(&self.warmth.state).evidence.report()?;
        Some(status::WarmUp {
            source: report.source.name().to_owned(),
            age_ms: now.since(report.known_at).as_millis() as u64,
            cold_ms: report.until.since(now).as_millis() as u64,
        })
    }

    /// Updates the metrics of the colocated upstream's warm-up.
    pub(super) fn record_warm_up(&self) {
        self.meter.set_starts_peak(self.slots.take_start_peak() as u64);
        let report = lock(&self.warmth.state).evidence.report();
        if let Some(report) = report {
            self.meter.set_cold(report.until.since(self.clock.now()).as_secs_f64());
        }
    }
}
