//! Records what is decided about each request and logs it, within a bound.
//!
//! A request's steps are kept in memory until it ends. Those of a request that failed are logged
//! whole; of the others one in [`SAMPLE`] is, chosen by the request's id, so that all nodes choose
//! the same ones. What exceeds the bound is counted, and the count is logged.

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

/// Of so many requests that went well, one is logged: enough to see what is usual, at about 1 % of
/// the processor time that a request costs.
const SAMPLE: u64 = 32;

/// Lines a second for requests that failed. A node on a fifth of a core refuses a few hundred
/// requests a second at most; beyond this bound more lines tell nothing new.
const NOTABLE_LINES: u32 = 400;

/// Lines a second for requests that went well.
const USUAL_LINES: u32 = 60;

/// How much a request matters to whoever reads the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Interest {
    /// It has no answer, a failure as answer, or a late one.
    Notable,
    /// It went well.
    Usual,
}

/// The steps of one request at one node.
#[derive(Debug)]
pub(crate) struct Trace {
    id: String,
    /// When an answer becomes late.
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

    /// Notes when an answer becomes late.
    pub(crate) fn set_due(&self, due: Time) {
        // Each request is routed once, so the first value is the only one.
        let _ = self.due.set(due);
    }

    /// Tells whether an answer now is late.
    pub(crate) fn is_late(&self, now: Time) -> bool {
        self.due.get().is_some_and(|due| now > *due)
    }

    /// Notes a step.
    pub(crate) fn note(&self, log: &Log, step: Step) {
        self.lock().push((log.clock.now(), step));
    }

    /// Returns how many times the request was offered so far.
    pub(crate) fn attempts(&self) -> usize {
        self.lock().iter().filter(|(_, step)| matches!(step, Step::Offered { .. })).count()
    }

    /// Logs the steps, if the request matters enough and the bound allows it.
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

/// The log of requests, its bounds, and what exceeded them.
#[derive(Debug)]
pub(crate) struct Log {
    clock: Clock,
    /// The platform's name of the instance.
    instance: String,
    /// Whether requests are logged.
    is_enabled: bool,
    notable: Mutex<Window>,
    usual: Mutex<Window>,
    dropped: AtomicU64,
}

impl Log {
    /// Creates a log in which nothing is written.
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

    /// Writes requests from now on, as lines of `instance`.
    pub(crate) fn enable(self, instance: &str) -> Self {
        Log { instance: instance.to_owned(), is_enabled: true, ..self }
    }

    fn admits(&self, id: &str, interest: Interest, lines: usize) -> bool {
        let (allowance, limit) = match interest {
            Interest::Notable => (&self.notable, NOTABLE_LINES),
            Interest::Usual if !xxh3_64(id.as_bytes()).is_multiple_of(SAMPLE) => return false,
            Interest::Usual => (&self.usual, USUAL_LINES),
        };
        let mut allowance = lock(allowance);
        let admitted = allowance.take(lines as u32, limit, self.clock.now());
        if !admitted {
            self.dropped.fetch_add(lines as u64, Ordering::Relaxed);
        }
        admitted
    }

    /// Returns the event that tells what was left out since the last call, if anything was.
    pub(crate) fn take_dropped(&self) -> Option<Kind> {
        let count = self.dropped.swap(0, Ordering::Relaxed);
        (count > 0).then_some(Kind::LinesLeftOut { count })
    }
}

/// Lines written in the present second.
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
