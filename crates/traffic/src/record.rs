//! Traces the steps of each request and logs sampled traces, rate-limited.
//!
//! Failed and late requests are always logged, of the others one in [`SAMPLE_INTERVAL`]; sampling is by the
//! request's id, so that all nodes log the same ones. Dropped lines are counted.

pub(crate) mod events;

use fleet::timeline::Kind;
use model::time::Time;
use std::{
    sync::{
        Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use trace::{Line, Step};
use xxhash_rust::xxh3::xxh3_64;

use crate::{clock::Clock, lock::lock};

/// One in this many successful requests is logged, to limit the cost in processor time.
const SAMPLE_INTERVAL: u64 = 32;

/// Maximum log lines per second for failed and late requests.
const MAX_NOTABLE_LINES: u32 = 400;

/// Maximum log lines per second for successful requests.
const MAX_USUAL_LINES: u32 = 60;

/// Sampling class of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Interest {
    /// Without an answer, answered with a server error, or late.
    Notable,
    /// Answered in time without a server error.
    Usual,
}

/// Trace of one request at one node.
#[derive(Debug)]
pub(crate) struct Trace {
    id: String,
    /// End of the latency objective.
    due: OnceLock<Time>,
    steps: Mutex<Vec<(Time, Step)>>,
}

impl Trace {
    pub(crate) fn new(id: String) -> Self {
        Trace { id, due: OnceLock::new(), steps: Mutex::default() }
    }

    /// Returns the request's id.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Sets the end of the latency objective.
    pub(crate) fn set_due(&self, due: Time) {
        // Each request is routed once, so the value is set at most once.
        let _ = self.due.set(due);
    }

    /// Returns whether an answer at `now` misses the latency objective.
    pub(crate) fn is_late(&self, now: Time) -> bool {
        self.due.get().is_some_and(|due| now > *due)
    }

    /// Records a step with the current time.
    pub(crate) fn record(&self, log: &Log, step: Step) {
        self.lock().push((log.clock.now(), step));
    }

    /// Returns the number of attempts so far.
    pub(crate) fn attempts(&self) -> usize {
        self.lock().iter().filter(|(_, step)| matches!(step, Step::Offered { .. })).count()
    }

    /// Logs and clears the steps, unless sampling or the rate limit drops them.
    pub(crate) fn write(&self, log: &Log, interest: Interest) {
        let steps = std::mem::take(&mut *self.lock());
        if !log.is_enabled || !log.admits(&self.id, interest, steps.len()) {
            return;
        }
        let now = log.clock.now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        for (at, step) in steps {
            let t = wall.saturating_sub(now.since(at)).as_millis() as u64;
            let node = log.instance.clone();
            telemetry::log::line(&Line { t, node, id: self.id.clone(), step });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Time, Step)>> {
        lock(&self.steps)
    }
}

/// Request log with its rate limits.
#[derive(Debug)]
pub(crate) struct Log {
    clock: Clock,
    /// The platform's name of the instance.
    instance: String,
    /// Whether traces are written.
    is_enabled: bool,
    notable: Mutex<Window>,
    usual: Mutex<Window>,
    dropped: AtomicU64,
}

impl Log {
    /// Creates a disabled log.
    pub(crate) fn new(clock: Clock) -> Self {
        Log {
            clock,
            instance: String::new(),
            is_enabled: false,
            notable: Mutex::default(),
            usual: Mutex::default(),
            dropped: AtomicU64::new(0),
        }
    }

    /// Enables the log, with `instance` in its lines.
    pub(crate) fn enable(self, instance: &str) -> Self {
        Log { instance: instance.to_owned(), is_enabled: true, ..self }
    }

    fn admits(&self, id: &str, interest: Interest, lines: usize) -> bool {
        let (window, limit) = match interest {
            Interest::Notable => (&self.notable, MAX_NOTABLE_LINES),
            Interest::Usual if !xxh3_64(id.as_bytes()).is_multiple_of(SAMPLE_INTERVAL) => {
                return false;
            }
            Interest::Usual => (&self.usual, MAX_USUAL_LINES),
        };
        let mut window = lock(window);
        let admitted = window.take(lines as u32, limit, self.clock.now());
        if !admitted {
            self.dropped.fetch_add(lines as u64, Ordering::Relaxed);
        }
        admitted
    }

    /// Returns an event with the number of lines dropped since the last call, if any were.
    pub(crate) fn take_dropped(&self) -> Option<Kind> {
        let count = self.dropped.swap(0, Ordering::Relaxed);
        (count > 0).then_some(Kind::LinesLeftOut { count })
    }
}

/// Lines written in the current one-second window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Time,
    used: u32,
}

impl Window {
    fn take(&mut self, lines: u32, limit: u32, now: Time) -> bool {
        if now.since(self.since) >= Duration::from_secs(1) {
            *self = Window { since: now, used: 0 };
        }
        let admitted = self.used + lines <= limit;
        self.used += if admitted { lines } else { 0 };
        admitted
    }
}
