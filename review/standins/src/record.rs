//! What was sent, run and answered, in seconds since one origin.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

/// One run at a backend.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub backend: String,
    /// Method and path as they arrived.
    pub request: String,
    pub begun: f64,
    pub ended: Option<(f64, String)>,
}

impl Run {
    /// Returns when it ended.
    pub fn end(&self) -> Option<f64> {
        self.ended.as_ref().map(|(at, _)| *at)
    }

    /// Returns whether it ended because its caller left.
    pub fn was_left(&self) -> bool {
        self.ended.as_ref().is_some_and(|(_, how)| how.starts_with(LEFT))
    }
}

/// Beginning of the text for a run that ended because its caller left.
pub const LEFT: &str = "left by its caller";

/// Shared record of a test.
#[derive(Clone)]
pub struct Record {
    origin: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { origin: Instant::now(), runs: Arc::default(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl Into<String>) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    pub fn begin(&self, id: &str, backend: &str, request: &str) {
        let begun = self.note(format!("run begins: {id} at {backend}: {request}"));
        let [id, backend, request] = [id, backend, request].map(str::to_owned);
        self.runs.lock().unwrap().push(Run { id, backend, request, begun, ended: None });
    }

    pub fn end(&self, id: &str, backend: &str, how: &str) {
        let now = self.note(format!("run ends: {id} at {backend}: {how}"));
        let mut runs = self.runs.lock().unwrap();
        let run = runs.iter_mut().rev().find(|run| run.id == id && run.backend == backend);
        if let Some(run) = run {
            run.ended = Some((now, how.to_owned()));
        }
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs.lock().unwrap().iter().filter(|run| run.id == id).cloned().collect()
    }

    /// Returns all lines in order of time, relative to `zero`.
    pub fn text(&self, zero: f64) -> String {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        lines.iter().map(|(at, text)| format!("{:9.3}  {text}\n", at - zero)).collect()
    }
}
