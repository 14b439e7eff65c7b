//! The planned stop of a node.
//!
//! Its steps: callers are told that they should leave (`linger`), no offer is taken any more, then no
//! call either (`finish`), then the process ends, whatever is still in hand (`limit`).

use fleet::control::Event;
use policy::drain::{self, MIN_LEAVE_TIME, Plan, Progress, Step};
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};

use crate::Node;

/// Time for the last messages to others.
const FLUSH: Duration = Duration::from_millis(200);

/// Interval at which the progress of a planned stop is looked at.
const POLL: Duration = Duration::from_millis(10);

impl Node {
    /// Takes no more work, finishes what is in hand, tells other nodes and returns.
    ///
    /// Calls still in hand after the profile's `drain_ms` are cut; without that bound, one caller
    /// that never reads its answer could keep an instance alive for ever.
    pub fn stop(self) {
        let signalled = Instant::now();
        self.tell("begun", signalled);
        self.proxy.set_ready(false);
        // Callers find out by asking, so they still come for a while; until they have left, this
        // node and its upstream are of use to everybody.
        thread::sleep(self.settings.stop.linger);
        self.proxy.leave();
        self.link.send(Event::Leave);
        self.drain();
        self.tell("ended", signalled);
        self.link.send(Event::Stop);
        thread::sleep(FLUSH);
        telemetry::log::flush();
    }

    /// Waits for what is in hand, as long as that may take.
    fn drain(&self) {
        let begun = Instant::now();
        let plan = self.plan();
        let mut busy = begun;
        let mut closed: Option<Instant> = None;
        loop {
            if self.proxy.calls_in_flight() > 0 {
                busy = Instant::now();
            }
            let progress = Progress {
                elapsed: begun.elapsed(),
                closed: closed.map(|at| at.elapsed()),
                idle: busy.elapsed(),
            };
            match drain::next_step(plan, progress) {
                Step::Wait => thread::sleep(POLL),
                Step::Close => {
                    self.proxy.close();
                    closed = Some(Instant::now());
                }
                Step::End => return,
            }
        }
    }

    fn plan(&self) -> Plan {
        let left = self.settings.stop.limit.saturating_sub(self.settings.stop.linger);
        let limit = self.proxy.drain_limit().max(MIN_LEAVE_TIME).min(left);
        Plan { close: limit.saturating_sub(self.settings.stop.finish), limit }
    }

    /// Logs a step of a planned stop. A stop that begins and does not end was cut short: by its
    /// machine, by a kill, or by a thread that waits for ever.
    fn tell(&self, step: &str, signalled: Instant) {
        telemetry::log::line(&json!({
            "node": self.settings.instance,
            "event": "stop",
            "step": step,
            "ms": signalled.elapsed().as_millis() as u64,
            "in_hand": self.proxy.calls_in_flight(),
        }));
    }
}
