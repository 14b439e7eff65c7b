//! Aggregates events of calls into counts for the timeline.
//!
//! Under overload, one timeline entry per refused call would evict all other entries.

use fleet::timeline::Kind;
use ingress::limits::Reason;
use policy::outcome::{Cause, Uncertainty};
use std::{collections::HashMap, net::SocketAddr, sync::Mutex};

use crate::lock::lock;

/// Maximum number of distinct events between two collections.
const MAX_KINDS: usize = 256;

/// An event of a call or an upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A call to a service was not run.
    NotRun(String, Cause),
    /// The outcome of a call to a service is unknown.
    Unknown(String, Uncertainty),
    /// A call to a service was retried after this upstream failed for this reason.
    Retried(String, SocketAddr, &'static str),
    /// An attempt or a call counted towards a service's retry budget.
    Budget(String, BudgetUse),
    /// An upstream of a service used more than half of a call's remaining time.
    Slow(String, SocketAddr),
    /// An upstream of a service was ejected.
    Ejected(String, SocketAddr),
    /// A connection to this listener was closed.
    Closed(&'static str, Reason),
}

/// How an attempt or a call counts towards the retry budget of the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum BudgetUse {
    /// The entry node took a retry from the budget.
    Granted,
    /// The entry node made no retry, since none was left.
    Refused,
    /// The entry node made no retry, since what was left is reserved for more useful ones.
    Reserved,
    /// The entry node returned a retry that reached no upstream.
    Returned,
    /// The entry node received a call nested in a retry.
    Nested,
    /// The serving node passed an attempt on to its upstream as a retry.
    Delivered,
}

impl BudgetUse {
    /// Returns the name in metrics and events.
    pub fn name(self) -> &'static str {
        match self {
            BudgetUse::Granted => "granted",
            BudgetUse::Refused => "refused",
            BudgetUse::Reserved => "reserved",
            BudgetUse::Returned => "returned",
            BudgetUse::Nested => "nested",
            BudgetUse::Delivered => "delivered",
        }
    }
}

/// Event counts since the last collection.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    counts: Mutex<HashMap<Event, u64>>,
}

impl Counters {
    pub(crate) fn add(&self, event: Event) {
        let mut counts = lock(&self.counts);
        if counts.len() < MAX_KINDS || counts.contains_key(&event) {
            *counts.entry(event).or_default() += 1;
        }
    }

    /// Returns the counts since the last call as events.
    pub(crate) fn take(&self) -> Vec<Kind> {
        let counts = std::mem::take(&mut *lock(&self.counts));
        counts.into_iter().map(|(event, count)| timeline_event(event, count)).collect()
    }
}

fn timeline_event(event: Event, count: u64) -> Kind {
    match event {
        Event::NotRun(service, cause) => Kind::NotRun { service, cause: cause.to_string(), count },
        Event::Unknown(service, uncertainty) => {
            Kind::Unknown { service, doubt: uncertainty.to_string(), count }
        }
        Event::Retried(service, peer, reason) => {
            Kind::Retried { service, peer, reason: reason.to_owned(), count }
        }
        Event::Budget(service, how) => {
            Kind::RetryBudget { service, how: how.name().to_owned(), count }
        }
        Event::Slow(service, peer) => Kind::Slow { service, peer, count },
        Event::Ejected(service, peer) => Kind::Ejected { service, peer },
        Event::Closed(listener, reason) => Kind::ConnectionsClosed {
            listener: listener.to_owned(),
            reason: reason.name().to_owned(),
            count,
        },
    }
}
