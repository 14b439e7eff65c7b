//! Records of this node's calls, by service and upstream.

use fleet::{
    status::EntryLoad,
    view::{Upstream, View},
};
use model::time::Time;
use policy::{
    admission::Class,
    budget::{self, Lineage, Part},
    client_retry::returns::Promises,
    fairness::Usage,
    health::Record,
    overflow::Acceptances,
    retry::Budget,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use crate::{lock::lock, proxy::load::Counts};

/// Records by service name.
#[derive(Default)]
pub(crate) struct Services {
    known: Mutex<HashMap<String, Service>>,
}

impl Services {
    /// Calls `work` with the records of one service.
    pub(crate) fn with<T>(&self, name: &str, work: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = lock(&self.known);
        if !services.contains_key(name) {
            services.insert(name.to_owned(), Service::new());
        }
        work(services.get_mut(name).expect("the service was just inserted"))
    }

    /// Returns the usage of each service.
    pub(crate) fn usages(&self, now: Time) -> Vec<(String, u64)> {
        let services = lock(&self.known);
        services.iter().map(|(name, service)| (name.clone(), service.usage.count(now))).collect()
    }

    /// Returns the number of promised returns in force of each service.
    pub(crate) fn promises(&self, now: Time) -> Vec<(String, u64)> {
        let services = lock(&self.known);
        let count = |service: &Service| service.promises.in_force(now) as u64;
        services.iter().map(|(name, service)| (name.clone(), count(service))).collect()
    }

    /// Returns what `describe` returns for each service, by name.
    pub(crate) fn entry_loads(
        &self,
        describe: impl Fn(&str, &Service) -> Option<EntryLoad>,
    ) -> Vec<EntryLoad> {
        let services = lock(&self.known);
        let described = services.iter().filter_map(|(name, service)| describe(name, service));
        let mut loads: Vec<EntryLoad> = described.collect();
        drop(services);
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        loads
    }

    /// Returns whether `calls` retries are left for each service that the colocated upstream calls.
    pub(crate) fn may_retry_nested(
        &self,
        settings: &budget::Settings,
        part: Part,
        calls: usize,
        now: Time,
    ) -> bool {
        let mut services = lock(&self.known);
        let mut nested = services.values_mut().filter(|service| service.is_nested);
        nested.all(|service| service.window.available(settings, part, now) >= calls)
    }

    /// Removes the records of upstreams that are not in `view`, creates those of new upstreams, and
    /// reinstates upstreams that were unreachable `before`.
    pub(crate) fn update(&self, view: &View, before: &View, now: Time) {
        let mut services = lock(&self.known);
        for (name, service) in services.iter_mut() {
            let known = view.upstreams(name);
            let is_known = |key: &Incarnation| known.iter().any(|u| Incarnation::of(u) == *key);
            service
                .upstreams
                .retain(|incarnation, record| is_known(incarnation) || record.in_flight() > 0);
        }
        // Slow start begins when an upstream becomes known, not with its first call.
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

/// Records of one service.
pub(crate) struct Service {
    pub(crate) budget: Budget,
    pub(crate) window: budget::Window,
    pub(crate) demand: budget::Demand,
    pub(crate) in_flight: usize,
    /// Calls for operators.
    pub(crate) counts: Counts,
    /// Share of offers that other data centres do not refuse.
    pub(crate) acceptances: Acceptances,
    /// Calls from callers that were answered recently.
    pub(crate) usage: Usage,
    /// Times at which refused callers return.
    pub(crate) promises: Promises,
    /// Whether the colocated upstream calls it.
    is_nested: bool,
    upstreams: HashMap<Incarnation, Record>,
}

/// Identifies one process of an upstream.
///
/// Records don't carry over a restart: latencies and failures of the previous process say nothing
/// about the new one, and its calls in flight are gone.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Incarnation {
    /// Address of its node.
    address: SocketAddr,
    /// Incarnation of the node if the upstream has no identity, otherwise 0.
    incarnation: u64,
    identity: Option<Arc<str>>,
    /// Start of the process, in ms of Unix time; an upstream may restart under its identity.
    started_ms: Option<u64>,
}

/// Returns whether two entries are of the same process of the same upstream.
///
/// Equivalent to comparing their [`Incarnation`], without constructing one for each comparison.
pub(crate) fn is_same_incarnation(a: &Upstream, b: &Upstream) -> bool {
    let is_same_node = a.identity.is_some() || a.incarnation == b.incarnation;
    a.address == b.address
        && a.identity == b.identity
        && a.started_ms == b.started_ms
        && is_same_node
}

/// Returns whether an upstream's node is reachable again or has restarted.
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
    fn new() -> Self {
        Service {
            budget: Budget::default(),
            window: budget::Window::default(),
            demand: budget::Demand::default(),
            in_flight: 0,
            counts: Counts::default(),
            acceptances: Acceptances::default(),
            usage: Usage::default(),
            promises: Promises::default(),
            is_nested: false,
            upstreams: HashMap::new(),
        }
    }

    /// Counts a call of `class` before its first attempt. One that is nested in a retry earns none.
    pub(crate) fn record_call(
        &mut self,
        settings: &budget::Settings,
        class: Class,
        lineage: Lineage,
        now: Time,
    ) {
        self.is_nested |= class == Class::Nested;
        if lineage == Lineage::First {
            self.window.record_call(settings, now);
            self.demand.record_call(now);
        }
    }

    /// Returns the record of `upstream`, created now if there is none.
    pub(crate) fn record(&mut self, upstream: &Upstream, now: Time) -> &mut Record {
        self.upstreams.entry(Incarnation::of(upstream)).or_insert_with(|| Record::new(now))
    }

    /// Returns the record of `upstream`, if there is one.
    pub(crate) fn existing_record(&self, upstream: &Upstream) -> Option<&Record> {
        self.upstreams.get(&Incarnation::of(upstream))
    }
}
