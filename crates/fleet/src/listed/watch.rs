//! Schedules the calls of a node to the platform, which are rate-limited.
//!
//! The first nodes of each data centre in rendezvous order are readers and watch the platform. The others
//! are standbys: one after the other, by rank, they call once the freshest known contact is too old.

use model::time::Time;
use rand::{RngExt, rngs::SmallRng};
use std::time::Duration;

/// Timing of the calls of a node to the platform.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Readers in the whole fleet, divided among the data centres; at least one in each. With three,
    /// two may fail without a delay.
    pub readers: usize,
    /// How long the platform may hold a call of a node without peers, as when the whole fleet starts.
    pub bootstrap_wait: Duration,
    /// How long the platform may hold a call. A dead connection is detected only after this time and the
    /// adapter's timeout, so it has to be well below the time limit for list changes.
    pub wait: Duration,
    /// Pause after an answer with changes; batches frequent changes.
    pub pause: Duration,
    /// Age of the freshest contact after which the first standby calls; covers `wait` and the time until
    /// other nodes know of the answer.
    pub standby_after: Duration,
    /// Added to `standby_after` for each further rank, so that standbys do not all call at once.
    pub standby_step: Duration,
    /// Maximum number of ranks that add `standby_step`.
    pub max_standby_steps: usize,
    /// Time without a contact of any node that counts as a platform outage. Shorter than three missed
    /// heartbeats, after which entries expire.
    pub outage: Duration,
    /// Initial upper bound of the backoff after a failed call; doubles up to `max_backoff`.
    pub min_backoff: Duration,
    /// Largest upper bound of the backoff; below the time in which upstreams register again after an
    /// outage.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            readers: 3,
            bootstrap_wait: Duration::from_millis(3_000),
            wait: Duration::from_millis(800),
            pause: Duration::from_millis(250),
            standby_after: Duration::from_millis(1_150),
            standby_step: Duration::from_millis(100),
            max_standby_steps: 6,
            outage: Duration::from_millis(2_000),
            min_backoff: Duration::from_millis(150),
            max_backoff: Duration::from_millis(1_000),
        }
    }
}

/// How a node takes part in calling the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Duty {
    /// It is one of the readers of its data centre.
    Reader,
    /// It takes over for the readers, after this many other standbys.
    Standby(usize),
}

/// State of this node's calls to the platform.
#[derive(Debug)]
pub(super) struct Watch {
    settings: Settings,
    in_flight: bool,
    due: Time,
    failures: u32,
    /// First of the current consecutive failures.
    failing_since: Option<Time>,
    /// First known contact after the latest outage, or since the platform came back from an older copy.
    recovered_at: Option<Time>,
    /// Latest known answer of the platform to any node.
    contact: Option<Time>,
}

impl Watch {
    pub(super) fn new(settings: Settings, first_call: Time) -> Self {
        Watch {
            settings,
            in_flight: false,
            due: first_call,
            failures: 0,
            failing_since: None,
            recovered_at: None,
            contact: None,
        }
    }

    /// Returns whether no call is in flight and the last pause is over.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        !self.in_flight && now >= self.due
    }

    /// Returns the number of readers in each of `data_centres` data centres.
    pub(super) fn readers(&self, data_centres: usize) -> usize {
        self.settings.readers.div_ceil(data_centres.max(1))
    }

    /// Returns whether an idle node with `duty` calls the platform. A contact takes up to
    /// `propagation_delay` longer to propagate than in a full mesh.
    pub(super) fn should_call(&self, duty: Duty, propagation_delay: Duration, now: Time) -> bool {
        let Duty::Standby(position) = duty else { return true };
        let step = position.min(self.settings.max_standby_steps) as u32;
        let limit =
            self.settings.standby_after + propagation_delay + self.settings.standby_step * step;
        let is_stale = self.contact.is_none_or(|contact| now.since(contact) > limit);
        if is_stale {
            cov_mark::hit!(listed_standby);
        }
        is_stale
    }

    /// Starts a call; returns how long the platform may hold it.
    pub(super) fn start_call(&mut self, is_alone: bool) -> Duration {
        self.in_flight = true;
        if is_alone { self.settings.bootstrap_wait } else { self.settings.wait }
    }

    /// Records an answer; returns whether it ends a series of failures.
    pub(super) fn record_success(&mut self, has_changes: bool, now: Time) -> bool {
        self.in_flight = false;
        self.due = if has_changes { now + self.settings.pause } else { now };
        self.failures = 0;
        let failed = self.failing_since.take().is_some();
        self.record_contact(now);
        failed
    }

    /// Records a failed call; returns whether it is the first in a series.
    ///
    /// The backoff has jitter, so that nodes that failed together do not call together.
    pub(super) fn record_failure(&mut self, now: Time, random: &mut SmallRng) -> bool {
        let doubled = self.settings.min_backoff * 2u32.pow(self.failures.min(8));
        let bound = doubled.min(self.settings.max_backoff);
        self.in_flight = false;
        self.failures += 1;
        self.due = now + bound.mul_f64(random.random_range(0.5..1.0));
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        first
    }

    /// Ends the current pause or backoff.
    pub(super) fn call_now(&mut self, now: Time) {
        self.due = now;
    }

    /// Records a contact known to another node, by its age.
    pub(super) fn record_remote_contact(&mut self, age: Duration, now: Time) {
        let at = Time::at(now.since(Time::default()).saturating_sub(age));
        if self.contact.is_none_or(|contact| contact < at) {
            self.record_contact(at);
        }
    }

    /// Records that the platform answered a node, and whether that ends an outage.
    ///
    /// Contacts of other nodes count too, so that the grace period of removals also applies on nodes
    /// that did not call during the outage.
    fn record_contact(&mut self, at: Time) {
        if self.contact.is_some_and(|contact| at.since(contact) > self.settings.outage) {
            self.recovered_at = Some(at);
        }
        self.contact = Some(at);
    }

    /// Records that the platform came back from an older copy: registrations may lapse as in an outage.
    pub(super) fn record_restore(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// Returns the age of the latest known contact; none if there was no contact.
    pub(super) fn contact_age(&self, now: Time) -> Option<Duration> {
        self.contact.map(|contact| now.since(contact))
    }

    /// Returns whether this node's last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns the remaining grace period of removals, `period` from the end of the latest outage.
    pub(super) fn removal_grace(&self, period: Duration, now: Time) -> Duration {
        let grace = self.recovered_at.map(|at| (at + period).since(now));
        grace.unwrap_or_default()
    }
}
