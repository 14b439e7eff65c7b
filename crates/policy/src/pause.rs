//! Detects pauses of this process, such as SIGSTOP or a suspended virtual machine.
//!
//! After a pause, the age of requests in socket buffers is unknown, because their remaining time
//! was computed before it. A pause shows as a gap between two ticks of a periodic timer.

use model::time::Time;
use std::time::Duration;

/// Settings of a [`Detector`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Gap between two ticks above which the process was paused.
    pub gap: Duration,
    /// Time after a pause in which received requests may come from socket buffers.
    pub stale_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { gap: Duration::from_millis(400), stale_window: Duration::from_millis(100) }
    }
}

/// A time span in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    began: Time,
    ended: Time,
}

/// Detects gaps between the ticks of a periodic timer.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    settings: Settings,
    last_tick: Time,
    last: Option<Pause>,
}

impl Detector {
    /// Creates a detector with a first tick at `now`.
    pub fn new(settings: Settings, now: Time) -> Self {
        Detector { settings, last_tick: now, last: None }
    }

    /// Records a tick; returns the length of the pause that it ends, if any.
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
        self.last = Some(Pause { began, ended: now });
        Some(gap)
    }

    /// Returns whether a request whose head was read at `received` may have waited during a pause.
    ///
    /// Other threads may resume before the one that ticks, so an overdue tick counts as a pause.
    /// Requests read before the pause are not affected: their deadlines were already fixed.
    pub fn may_be_stale(&self, received: Time, now: Time) -> bool {
        let is_overdue =
            now.since(self.last_tick) > self.settings.gap && received >= self.last_tick;
        let spans =
            |p: Pause| p.began <= received && received <= p.ended + self.settings.stale_window;
        is_overdue || self.last.is_some_and(spans)
    }
}
