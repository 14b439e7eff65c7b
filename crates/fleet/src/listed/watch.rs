//! When a node in listed mode calls the platform.
//!
//! Calls are priced and limited, so in each data centre only the nodes that come first in a
//! rendezvous order watch, three in the whole fleet or one in each data centre. The others step in when no answer of the platform has been heard of for
//! longer than a watch takes, one after the other by their places in the order.

use model::time::Time;
use rand::{RngExt, rngs::SmallRng};
use std::time::Duration;

/// When a node calls the platform.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Nodes that watch in the whole fleet, at least one in each data centre. Three, so that two
    /// may be refused, silent or restarting while the third still hears of a change at once.
    pub readers: usize,
    /// How long the platform may hold a call of a node that knows no other one, as when the whole
    /// fleet starts and nobody is listed yet.
    pub bootstrap_wait: Duration,
    /// How long the platform may hold a call. A connection that went silent shows only when this
    /// time and the adapter's patience are over, so it is well under the two seconds in which an
    /// upstream that leaves must be left alone.
    pub wait: Duration,
    /// Pause after an answer with news, so that a storm of changes costs few calls. An eighth of
    /// the time in which a version must be in force.
    pub pause: Duration,
    /// Age of the freshest contact after which the first node that is no reader steps in: the
    /// wait of a watch and the time until its answer is heard of.
    pub standby_after: Duration,
    /// Added to `standby_after` for each further place, so that one node steps in and not all.
    pub standby_step: Duration,
    /// Most places that are counted for `standby_step`.
    pub max_standby_steps: usize,
    /// Time without any node's contact that counts as an outage of the platform. Entries lapse
    /// after three missed heartbeats, which take longer; a call of one node that was lost, while
    /// others were answered, is none.
    pub outage: Duration,
    /// First upper bound of the random pause after a failed call; doubled up to `max_backoff`.
    pub min_backoff: Duration,
    /// Upper bound of the random pause after failed calls. Below the two seconds in which entries
    /// of upstreams are back after an outage.
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

/// The calls of one node to the platform.
#[derive(Debug)]
pub(super) struct Watch {
    settings: Settings,
    in_flight: bool,
    due: Time,
    failures: u32,
    /// First failure of those in a row.
    failing_since: Option<Time>,
    /// First answer after the latest outage.
    recovered_at: Option<Time>,
    /// Latest moment at which the platform answered any node, as far as known.
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

    /// Tells whether no call is under way and the last pause is over.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        !self.in_flight && now >= self.due
    }

    /// Returns how many nodes of one data centre watch where there are so many data centres.
    pub(super) fn readers(&self, data_centres: usize) -> usize {
        self.settings.readers.div_ceil(data_centres.max(1))
    }

    /// Tells whether an idle node at place `rank` of its data centre's order calls the platform, where
    /// word of a contact takes up to `spread` from node to node.
    pub(super) fn should_call(
        &self,
        rank: usize,
        readers: usize,
        propagation_delay: Duration,
        now: Time,
    ) -> bool {
        if rank < readers {
            return true;
        }
        let step = (rank - readers).min(self.settings.max_standby_steps) as u32;
        let limit =
            self.settings.standby_after + propagation_delay + self.settings.standby_step * step;
        let is_stale = self.contact.is_none_or(|contact| now.since(contact) > limit);
        if is_stale {
            cov_mark::hit!(listed_standby);
        }
        is_stale
    }

    /// Begins a call; returns how long the platform may hold it.
    pub(super) fn start_call(&mut self, is_alone: bool) -> Duration {
        self.in_flight = true;
        if is_alone { self.settings.bootstrap_wait } else { self.settings.wait }
    }

    /// Notes an answer; returns whether the platform had failed this node before.
    pub(super) fn record_success(&mut self, has_news: bool, now: Time) -> bool {
        self.in_flight = false;
        self.due = if has_news { now + self.settings.pause } else { now };
        self.failures = 0;
        let failed = self.failing_since.take().is_some();
        self.record_contact(now);
        failed
    }

    /// Notes a failed call; returns whether it is the first in a row.
    ///
    /// The pause is random, or nodes that failed together would come back together.
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

    /// Calls again as soon as possible, as after a pause of the process.
    pub(super) fn call_now(&mut self, now: Time) {
        self.due = now;
    }

    /// Takes note of a contact that another node has heard of.
    pub(super) fn record_remote_contact(&mut self, age: Duration, now: Time) {
        let at = Time::at(now.since(Time::default()).saturating_sub(age));
        if self.contact.is_none_or(|contact| contact < at) {
            self.record_contact(at);
        }
    }

    /// Notes that the platform answered a node, and whether that ends an outage.
    ///
    /// A node that did not call in the outage, or hears of its end from others first, must not
    /// believe at once what lapsed.
    fn record_contact(&mut self, at: Time) {
        if self.contact.is_some_and(|contact| at.since(contact) > self.settings.outage) {
            self.recovered_at = Some(at);
        }
        self.contact = Some(at);
    }

    /// Returns the age of the freshest known contact.
    pub(super) fn contact_age(&self, now: Time) -> Option<Duration> {
        self.contact.map(|contact| now.since(contact))
    }

    /// Tells whether the platform fails this node.
    pub(super) fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns for how much longer removals are in doubt: `period` from the platform's return.
    pub(super) fn removal_grace(&self, period: Duration, now: Time) -> Duration {
        let grace = self.recovered_at.map(|at| (at + period).since(now));
        grace.unwrap_or_default()
    }
}
