//! What this node has seen of services and their upstreams.

use fleet::view::{Upstream, View};
use model::time::Time;
use policy::{budget, health::Record, retry::Budget};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use crate::lock::lock;

/// Observations by the names of services.
#[derive(Default)]
pub(crate) struct Services {
    known: Mutex<HashMap<String, Service>>,
}

impl Services {
    /// Gives `work` the observations of one service.
    pub(crate) fn with<T>(&self, name: &str, work: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = lock(&self.known);
        if !services.contains_key(name) {
            services.insert(name.to_owned(), Service::default());
        }
        work(services.get_mut(name).expect("the service was just inserted"))
    }

    /// Forgets what was seen of upstreams that are not in `view`, and begins to observe those that
    /// are new in it, or that were out of reach `before`.
    pub(crate) fn follow(&self, view: &View, before: &View, now: Time) {
        let mut services = lock(&self.known);
        for (name, service) in services.iter_mut() {
            let known = view.upstreams(name);
            let is_known = |known_incarnation: &Incarnation| {
                known.iter().any(|u| Incarnation::of(u) == *known_incarnation)
            };
            service.upstreams.retain(|life, record| is_known(life) || record.in_flight() > 0);
        }
        // Slow start counts from the moment at which an upstream becomes known, not from its
        // first call, so observation begins here for services that calls have gone to.
        for (name, service) in services.iter_mut() {
            for upstream in view.upstreams(name) {
                let record = service.record(upstream, now);
                if has_returned(upstream, before.upstreams(name)) {
                    record.reinstate(now);
                }
            }
        }
    }
}

/// What this node has seen of one service.
#[derive(Default)]
pub(crate) struct Service {
    pub(crate) budget: Budget,
    pub(crate) window: budget::Window,
    pub(crate) in_flight: usize,
    upstreams: HashMap<Incarnation, Record>,
}

/// One life of one upstream.
///
/// Nothing that was seen of a former life holds for this one: it may be slow again after its start,
/// and calls that hang or failures that were counted ended with the process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Incarnation {
    /// Address of its node.
    address: SocketAddr,
    /// Incarnation of the node, where the upstream has no identity of its own; 0 otherwise.
    incarnation: u64,
    identity: Option<Arc<str>>,
    /// Start of a life, in ms of Unix time: an upstream may start again under its identity.
    started_ms: Option<u64>,
}

/// Tells whether two entries are of the same life of the same upstream, whatever else they say.
///
/// The same as comparing their [`Incarnation`], without making it: every choice compares every upstream
/// with those that the call was offered to.
pub(crate) fn is_same_incarnation(a: &Upstream, b: &Upstream) -> bool {
    let is_same_node = a.identity.is_some() || a.incarnation == b.incarnation;
    a.address == b.address
        && a.identity == b.identity
        && a.started_ms == b.started_ms
        && is_same_node
}

/// Tells whether an upstream's node is within reach again, or in a new life.
fn has_returned(upstream: &Upstream, before: &[Upstream]) -> bool {
    let known = before.iter().find(|u| is_same_incarnation(u, upstream));
    let changed =
        known.is_some_and(|u| u.incarnation != upstream.incarnation || !u.state.takes_work());
    upstream.state.takes_work() && changed
}

impl Incarnation {
    fn of(upstream: &Upstream) -> Incarnation {
        Incarnation {
            address: upstream.address,
            incarnation: if upstream.identity.is_some() { 0 } else { upstream.incarnation },
            identity: upstream.identity.clone(),
            started_ms: upstream.started_ms,
        }
    }
}

impl Service {
    /// Returns the observations of `upstream`, begun now if there are none.
    pub(crate) fn record(&mut self, upstream: &Upstream, now: Time) -> &mut Record {
        self.upstreams.entry(Incarnation::of(upstream)).or_insert_with(|| Record::new(now))
    }

    /// Returns the observations of `upstream`, if there are any.
    pub(crate) fn seen(&self, upstream: &Upstream) -> Option<&Record> {
        self.upstreams.get(&Incarnation::of(upstream))
    }
}
