//! Aggregates events of calls into counts for the timeline.
//!
//! Under overload, one timeline entry per refused call would evict all other entries.

use fleet::timeline::Kind;
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
    /// An upstream of a service used more than half of a call's remaining time.
    Slow(String, SocketAddr),
    /// An upstream of a service was ejected.
    Ejected(String, SocketAddr),
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
        Event::Slow(service, peer) => Kind::Slow { service, peer, count },
        Event::Ejected(service, peer) => Kind::Ejected { service, peer },
    }
}
