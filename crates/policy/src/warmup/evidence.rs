//! What a serving node knows of the warm-up of its upstream, by source and age.
//!
//! An upstream may restart or become cold at any moment, and every report is older than that moment
//! may be. A report that it is warm therefore vouches only for a bounded number of calls; see
//! [`Window`](crate::warmup::Window).

use model::time::Time;

/// Source of a report on the warm-up of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's list, which lags behind the upstream by a heartbeat and the way to this node.
    List,
    /// The end of an evacuation, after which an upstream may be cold.
    Evacuation,
    /// An answer of the upstream to a health probe.
    Probe,
}

impl Source {
    /// Returns the name in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Source::List => "list",
            Source::Evacuation => "evacuation",
            Source::Probe => "probe",
        }
    }
}

/// A report on the warm-up of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Where it comes from.
    pub source: Source,
    /// When it became known, or the probe was sent.
    pub known_at: Time,
    /// When the upstream is warm, by this report; not after `known_at` if it is warm.
    pub until: Time,
}

impl Report {
    /// Returns whether the upstream was warm at `known_at`.
    pub fn is_warm(&self) -> bool {
        self.until <= self.known_at
    }
}

/// Whether an upstream that is not reported as cold is warm.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Trust {
    /// It is taken for warm, since it cannot be probed.
    #[default]
    Assumed,
    /// It may be cold since the latest probe that found it warm.
    Probed {
        /// When that probe was sent; `None` without one.
        warm_at: Option<Time>,
        /// Whether the latest probe was answered, so that an answer to the next one is expected.
        is_answered: bool,
    },
}

/// The reports in force on one upstream.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    listed: Option<Report>,
    probed: Option<Report>,
    warm_at: Option<Time>,
    /// Whether the latest probe failed.
    has_failed: bool,
}

impl Evidence {
    /// Records until when the upstream is cold by the list or an evacuation; returns whether that has changed.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::warmup::{Evidence, Source};
    /// let (now, until) = (Time::from_millis(500), Time::from_millis(3_500));
    /// let mut evidence = Evidence::default();
    /// assert!(evidence.set_listed(Source::List, until, now));
    /// assert!(!evidence.set_listed(Source::List, until, Time::from_millis(900)));
    /// assert_eq!(evidence.cold_until(), until);
    /// ```
    pub fn set_listed(&mut self, source: Source, until: Time, now: Time) -> bool {
        let before = self.listed.map_or(Time::default(), |report| report.until);
        if before == until {
            return false;
        }
        self.listed = Some(Report { source, known_at: now, until });
        true
    }

    /// Records the answer to a probe that was sent at `sent_at`: the upstream is cold until `until`.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::warmup::{Evidence, Source, Trust};
    /// let at = Time::from_millis;
    /// let mut evidence = Evidence::default();
    /// evidence.set_listed(Source::List, at(3_500), at(500));
    /// evidence.set_probed(at(600), at(0));
    /// let trust = Trust::Probed { warm_at: Some(at(600)), is_answered: true };
    /// assert_eq!((evidence.cold_until(), evidence.trust()), (at(0), trust));
    /// ```
    pub fn set_probed(&mut self, sent_at: Time, until: Time) {
        let report = Report { source: Source::Probe, known_at: sent_at, until };
        self.probed = Some(report);
        self.has_failed = false;
        if report.is_warm() {
            self.warm_at = Some(sent_at);
        }
    }

    /// Records that a probe brought no answer.
    pub fn set_unanswered(&mut self) {
        self.has_failed = true;
    }

    /// Returns until when the upstream counts as cold.
    pub fn cold_until(&self) -> Time {
        self.report().map_or(Time::default(), |report| report.until)
    }

    /// Returns whether the upstream counts as warm while it can be probed.
    pub fn trust(&self) -> Trust {
        Trust::Probed { warm_at: self.warm_at, is_answered: !self.has_failed }
    }

    /// Returns the report that decides until when the upstream counts as cold, if there is any: the answer to
    /// a probe that was sent after all others became known, else the one that lasts longest.
    pub fn report(&self) -> Option<Report> {
        match (self.listed, self.probed) {
            (Some(listed), Some(probed)) if probed.known_at < listed.known_at => {
                Some(if probed.until > listed.until { probed } else { listed })
            }
            (listed, probed) => probed.or(listed),
        }
    }

    /// Returns whether a probe would tell more than what is known: there is none yet, another report came after the
    /// latest one, or the time until which the upstream was cold is over.
    pub fn is_outdated(&self, now: Time) -> bool {
        let Some(probed) = self.probed else { return true };
        let is_superseded = self.listed.is_some_and(|listed| listed.known_at > probed.known_at);
        is_superseded || (!probed.is_warm() && now >= self.cold_until())
    }
}
