//! What a serving node knows of the warm-up of its upstream, by source and age.

use model::time::Time;

/// Source of a report on the warm-up of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's list, which lags behind the upstream by a heartbeat and the way to this node.
    List,
    /// The end of an evacuation, after which an upstream may be cold.
    Evacuation,
}

impl Source {
    /// Returns the name in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Source::List => "list",
            Source::Evacuation => "evacuation",
        }
    }
}

/// A report on the warm-up of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Where it comes from.
    pub source: Source,
    /// When it became known.
    pub known_at: Time,
    /// When the upstream is warm, by this report.
    pub until: Time,
}

/// The reports in force on one upstream.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    listed: Option<Report>,
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

    /// Returns until when the upstream counts as cold.
    pub fn cold_until(&self) -> Time {
        self.report().map_or(Time::default(), |report| report.until)
    }

    /// Returns the report that decides until when the upstream counts as cold, if there is any.
    pub fn report(&self) -> Option<Report> {
        self.listed
    }
}
