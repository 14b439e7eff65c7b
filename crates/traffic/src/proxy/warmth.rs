//! What the node knows of the warm-up of the colocated upstream, and what it shows of that to operators.

use fleet::{status, timeline::Kind};
use model::time::Time;
use policy::warmup::{Evidence, Report, Source, Trust};
use std::{sync::Mutex, time::Duration};

use crate::{lock::lock, proxy::Proxy};

/// Maximum number of events kept until they are collected.
const MAX_EVENTS: usize = 64;

/// Shortest time from a failed probe to the next one; doubles with each failure in a row.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest exponent of the delay after failed probes.
const MAX_DOUBLINGS: u32 = 4;

/// Difference between two reports of the end of a warm-up that is no event.
const REPORT_TOLERANCE: Duration = Duration::from_millis(250);

/// Reports on the warm-up of the colocated upstream.
#[derive(Debug, Default)]
pub(crate) struct Warmth {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    evidence: Evidence,
    /// Whether a probe is running.
    is_probing: bool,
    /// Failed probes since the last answer.
    failures: u32,
    /// When the next probe may be sent.
    retry_at: Time,
    /// The report of the latest event.
    shown: Option<Report>,
    events: Vec<Kind>,
}

impl State {
    /// Adds an event if the report in force says something new.
    fn show_report(&mut self, starts: usize) {
        let Some(report) = self.evidence.report() else { return };
        let before = self.shown.filter(|before| before.source == report.source);
        if before.is_some_and(|before| is_similar(&before, &report)) {
            return;
        }
        let since = self.shown.map(|before| report.known_at.since(before.known_at));
        self.shown = Some(report);
        self.push(Kind::UpstreamWarmUp {
            source: report.source.name().to_owned(),
            cold_ms: report.until.since(report.known_at).as_millis() as u64,
            since_ms: since.map(|since| since.as_millis() as u64),
            starts,
        });
    }

    fn push(&mut self, event: Kind) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }
}

/// Returns whether two reports of one source say the same.
fn is_similar(a: &Report, b: &Report) -> bool {
    let difference = a.until.since(b.until).max(b.until.since(a.until));
    a.is_warm() == b.is_warm() && (a.is_warm() || difference < REPORT_TOLERANCE)
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
        let starts = self.slots.recent_starts();
        let mut state = lock(&self.warmth.state);
        if state.evidence.set_listed(source, until, self.clock.now()) {
            state.show_report(starts);
        }
        state.evidence.cold_until()
    }

    /// Returns whether the colocated upstream counts as warm while it is not reported as cold.
    pub(super) fn trust(&self) -> Trust {
        match self.probe_path() {
            Some(_) => lock(&self.warmth.state).evidence.trust(),
            None => Trust::Assumed,
        }
    }

    /// Returns the path of health probes of the colocated upstream; `None` if their answers do not say whether it is
    /// cold.
    pub(super) fn probe_path(&self) -> Option<String> {
        self.settings.names.cold.as_ref().filter(|_| self.settings.incarnation.is_none())?;
        self.config.load().service(&self.settings.service)?.health_path.clone()
    }

    /// Returns the path of a health probe that is due; [`Proxy::finish_probe`] or [`Proxy::fail_probe`] must follow.
    pub(crate) fn begin_probe(&self) -> Option<String> {
        let path = self.probe_path()?;
        let (now, is_needed) = (self.clock.now(), self.slots.needs_probe());
        let mut state = lock(&self.warmth.state);
        let is_due = is_needed || state.evidence.is_outdated(now);
        if !is_due || state.is_probing || now < state.retry_at {
            return None;
        }
        state.is_probing = true;
        Some(path)
    }

    /// Records the answer to a health probe that was sent at `sent_at`.
    pub(crate) fn finish_probe(&self, sent_at: Time, cold_left: Duration) {
        let (now, starts) = (self.clock.now(), self.slots.recent_starts());
        let until = if cold_left.is_zero() { sent_at } else { now + cold_left };
        let mut state = lock(&self.warmth.state);
        (state.is_probing, state.failures) = (false, 0);
        state.evidence.set_probed(sent_at, until);
        state.show_report(starts);
        drop(state);
        self.meter.count_probe(if cold_left.is_zero() { "warm" } else { "cold" });
        self.refresh_window();
        self.slots.grant_ready();
    }

    /// Records that a health probe failed for `reason`.
    pub(crate) fn fail_probe(&self, reason: String) {
        let mut state = lock(&self.warmth.state);
        state.is_probing = false;
        state.failures += 1;
        let failures = state.failures;
        let delay = MIN_RETRY_DELAY * (1 << (failures - 1).min(MAX_DOUBLINGS));
        state.retry_at = self.clock.now() + delay;
        state.evidence.set_unanswered();
        if failures.is_power_of_two() {
            state.push(Kind::UpstreamProbeFailed { reason, failures });
        }
        drop(state);
        self.meter.count_probe("failed");
        self.refresh_window();
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
