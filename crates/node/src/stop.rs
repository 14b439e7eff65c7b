//! Planned stop of a node: its readiness probe fails while it still accepts calls (`linger`); it
//! announces that it is leaving and refuses calls of other nodes; it refuses those of callers too
//! (`finish`); the process ends when idle, or at `limit` with calls in flight.

use fleet::control::Event;
use policy::drain::{self, FLUSH_TIME, Plan, Progress, Step};
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};

use crate::Node;

/// Interval at which the progress of a planned stop is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Node {
    /// Announces the stop to callers and other nodes, drains calls in flight and returns.
    ///
    /// Calls still in flight after the profile's `drain_ms` or the settings' `limit_ms`, whichever ends
    /// first, are dropped, so that a caller that never reads its answer cannot block the stop.
    pub fn stop(self) {
        let signalled = Instant::now();
        self.log_step("begun", signalled);
        self.proxy.set_ready(false);
        // Callers learn of the stop at their next readiness probe and send calls until then.
        thread::sleep(self.settings.stop.linger);
        self.proxy.leave();
        self.control.send(Event::Leave);
        self.drain(signalled);
        self.log_step("ended", signalled);
        self.control.send(Event::Stop);
        thread::sleep(FLUSH_TIME);
        telemetry::log::flush();
    }

    /// Waits until calls in flight have ended or the limit of a stop that was signalled then is reached.
    fn drain(&self, signalled: Instant) {
        let begun = Instant::now();
        let stop = self.settings.stop;
        let left = stop.limit.saturating_sub(signalled.elapsed());
        let plan = Plan::new(left, self.proxy.drain_limit(), stop.finish);
        let mut last_busy = begun;
        let mut closed_at: Option<Instant> = None;
        loop {
            if self.proxy.calls_in_flight() > 0 {
                last_busy = Instant::now();
            }
            let progress = Progress {
                elapsed: begun.elapsed(),
                closed: closed_at.map(|at| at.elapsed()),
                idle: last_busy.elapsed(),
            };
            match drain::next_step(plan, progress) {
                Step::Wait => thread::sleep(POLL_INTERVAL),
                Step::Close => {
                    self.proxy.close();
                    closed_at = Some(Instant::now());
                }
                Step::End => return,
            }
        }
    }

    /// Logs a step of a planned stop. `begun` without `ended` means that the process was killed or
    /// hung.
    fn log_step(&self, step: &str, signalled: Instant) {
        telemetry::log::line(&json!({
            "node": self.settings.instance,
            "event": "stop",
            "step": step,
            "ms": signalled.elapsed().as_millis() as u64,
            "in_hand": self.proxy.calls_in_flight(),
        }));
    }
}
