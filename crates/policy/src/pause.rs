//! Detection of pauses of the own process.
//!
//! A process that is stopped and continued finds requests in its socket buffers whose age it
//! cannot tell, since the time they still had was measured before the pause. A timer that should
//! fire every few milliseconds shows the pause as a gap.

use model::time::Time;
use std::time::Duration;

/// Settings of a [`Detector`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A gap between two beats longer than this is a pause.
    pub gap: Duration,
    /// For this long after a pause, received requests may have waited in socket buffers.
    pub stale_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { gap: Duration::from_millis(400), stale_window: Duration::from_millis(100) }
    }
}

/// A span in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    began: Time,
    woke: Time,
}

/// The last beat and the last pause.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    settings: Settings,
    last_tick: Time,
    last: Option<Pause>,
}

impl Detector {
    /// Starts with a beat at `now`.
    pub fn new(settings: Settings, now: Time) -> Self {
        Detector { settings, last_tick: now, last: None }
    }

    /// Notes a beat and returns the length of the pause that it ends, if any.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::pause::{Settings, Detector};
    /// let mut detector = Detector::new(Settings::default(), Time::from_millis(0));
    /// assert!(detector.tick(Time::from_millis(50)).is_none());
    /// assert_eq!(detector.tick(Time::from_millis(5_050)).unwrap().as_secs(), 5);
    /// ```
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last_tick);
        let began = self.last_tick;
        self.last_tick = self.last_tick.max(now);
        if gap <= self.settings.gap {
            return None;
        }
        self.last = Some(Pause { began, woke: now });
        Some(gap)
    }

    /// Tells whether a request whose head was read at `received` may have waited through a pause.
    ///
    /// The traffic threads may run before the thread that beats, so a beat that is overdue at
    /// `now` counts as a pause as well. A request read before the pause is not in doubt: its
    /// deadline was fixed then and has gone on counting.
    pub fn may_be_stale(&self, received: Time, now: Time) -> bool {
        let overdue = now.since(self.last_tick) > self.settings.gap && received >= self.last_tick;
        let woken =
            |p: Pause| p.began <= received && received <= p.woke + self.settings.stale_window;
        overdue || self.last.is_some_and(woken)
    }
}
