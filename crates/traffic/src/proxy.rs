//! What all calls of a node share.

mod colocated;
pub(crate) mod crashes;
mod estimates;
mod explain;
pub(crate) mod in_flight;
mod lifecycle;
mod quarantine;
pub(crate) mod services;
pub(crate) mod settings;
mod warmup;

use arc_swap::ArcSwap;
use fleet::{
    quarantine::Quarantine,
    timeline::Kind,
    view::{Upstream, View},
};
use model::{config::Snapshot, time::Time};
use policy::{client_retry, health, pause, split::Split};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use telemetry::metric::Meter;

use crate::{
    admission::{running::Registry, semaphore::Semaphore, transfer::Transfers},
    clock::Clock,
    lock::lock,
    net::pool::Pool,
    proxy::{
        crashes::Crashes,
        estimates::Estimates,
        in_flight::Usage,
        lifecycle::Lifecycle,
        services::Services,
        settings::{Settings, Tuning},
    },
    record::{Log, events::Counters},
};

/// What all calls of a node share.
pub struct Proxy {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) meter: Arc<Meter>,
    pub(crate) pool: Pool,
    pub(crate) events: Counters,
    pub(crate) log: Log,
    pub(crate) running: Registry,
    tuning: ArcSwap<Tuning>,
    config: ArcSwap<Snapshot>,
    /// Highest revision of the configuration that this node holds or is going to.
    expected_revision: AtomicU64,
    view: ArcSwap<View>,
    watch: Mutex<pause::Detector>,
    ids: AtomicU64,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) services: Services,
    pub(crate) estimates: Estimates,
    /// Crashes of the own upstream.
    pub(crate) crashes: Crashes,
    /// Requests that are not to be run.
    quarantine: ArcSwap<Quarantine>,
    /// The slots of the own upstream.
    pub(crate) slots: Arc<Semaphore>,
    /// Turns of large bodies on the own link.
    pub(crate) transfers: Transfers,
    splits: Mutex<HashMap<String, Split>>,
    /// Callers that were refused and may come back.
    refused: Mutex<client_retry::History>,
    pub(crate) in_flight: Usage,
}

impl Proxy {
    /// Creates the shared state; nothing is in force and no upstream is known yet.
    pub fn new(settings: Settings, clock: Clock, meter: Arc<Meter>) -> Arc<Self> {
        let tuning = settings.tuning;
        let slots = Semaphore::new(clock, settings.slots);
        let transfers = Transfers::new(clock, settings.link_mbps);
        let log = Log::new(clock);
        let log = if settings.log { log.enable(&settings.instance) } else { log };
        let watch = pause::Detector::new(settings.pause, clock.now());
        Arc::new(Proxy {
            settings,
            clock,
            meter,
            pool: Pool::default(),
            events: Counters::default(),
            log,
            running: Registry::default(),
            tuning: ArcSwap::from_pointee(tuning),
            config: ArcSwap::default(),
            expected_revision: AtomicU64::new(0),
            view: ArcSwap::default(),
            watch: Mutex::new(watch),
            ids: AtomicU64::new(1),
            slots,
            transfers,
            services: Services::default(),
            estimates: Estimates::default(),
            crashes: Crashes::default(),
            quarantine: ArcSwap::default(),
            lifecycle: Lifecycle::default(),
            splits: Mutex::default(),
            refused: Mutex::default(),
            in_flight: Usage::default(),
        })
    }

    /// Works under `tuning` from now on.
    pub fn set_tuning(&self, tuning: Tuning) {
        self.tuning.store(Arc::new(tuning));
    }

    /// Returns the settings that may change.
    pub(crate) fn tuning(&self) -> Tuning {
        **self.tuning.load()
    }

    /// Routes by `snapshot` from now on.
    pub fn set_config(&self, snapshot: Arc<Snapshot>) {
        self.config.store(snapshot);
    }

    /// Takes note that `revision` is the highest that this node holds or is going to.
    pub fn set_expected_revision(&self, revision: u64) {
        self.expected_revision.store(revision, Ordering::Relaxed);
    }

    /// Returns the highest revision of the configuration that this node holds or is going to.
    pub(crate) fn expected_revision(&self) -> u64 {
        self.expected_revision.load(Ordering::Relaxed)
    }

    /// Routes to the upstreams of `view` from now on, and forgets what was seen of others.
    pub fn set_view(&self, view: Arc<View>) {
        let before = self.view.swap(view.clone());
        self.services.follow(&view, &before, self.clock.now());
        if let Some(slots) = colocated::slots(&view, &self.settings) {
            self.slots.resize(slots);
        }
        if colocated::is_evacuated(&view, &self.settings) {
            // What waits here goes to another data centre at once, not when its turn comes.
            self.slots.reject_waiting();
        }
        if !colocated::is_same(&before, &view, &self.settings) {
            // Connections to a process that has ended carry nothing: a payment sent on one would
            // be lost, and nobody could say whether it was made.
            self.pool.close_idle(self.settings.upstream);
        }
    }

    /// Tells whether `upstream` is the one beside this node.
    pub(crate) fn is_colocated(&self, upstream: &Upstream) -> bool {
        upstream.address == self.settings.address
    }

    /// Tells whether the upstream `identity` beside this node is known to have started again after
    /// `started_ms`.
    pub(crate) fn has_restarted(&self, identity: Option<&str>, started_ms: Option<u64>) -> bool {
        colocated::has_restarted(&self.view.load(), &self.settings, identity, started_ms)
    }

    /// Tells callers from now on whether they may send new work here.
    pub fn set_ready(&self, open: bool) {
        self.lifecycle.set_ready(open);
    }

    /// Tells whether callers may send new work here.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_ready()
    }

    /// Tells whether the upstream `identity` beside this node is known to take no more work.
    pub(crate) fn has_left(&self, identity: Option<&str>) -> bool {
        colocated::has_left(&self.view.load(), &self.settings, identity)
    }

    /// Tells whether operators had the data centre of the own upstream evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        colocated::is_evacuated(&self.view.load(), &self.settings)
    }

    /// Returns the part of the split of the route `name` that its next call goes to.
    pub(crate) fn next_part(&self, name: &str, weights: &[u32]) -> Option<usize> {
        if weights.len() == 1 {
            return Some(0);
        }
        let mut splits = lock(&self.splits);
        if !splits.contains_key(name) {
            splits.insert(name.to_owned(), Split::default());
        }
        let offset = self.settings.split_offset;
        splits.get_mut(name).expect("the split was just inserted").next(weights, offset)
    }

    /// Gives `work` the register of refused callers.
    pub(crate) fn with_refused<T>(&self, work: impl FnOnce(&mut client_retry::History) -> T) -> T {
        work(&mut lock(&self.refused))
    }

    /// Returns what this node holds for its upstream.
    pub(crate) fn load(&self) -> health::Load {
        health::Load { bodies: self.transfers.pending(), ..self.slots.load() }
    }

    /// Returns the number of nodes that share the fleet's budget for repeated calls.
    pub(crate) fn fleet_size(&self) -> usize {
        self.view().iter().count()
    }

    /// Takes no more work for the own upstream.
    pub fn leave(&self) {
        self.lifecycle.leave();
    }

    /// Takes no more calls of callers either: the process ends soon.
    pub fn close(&self) {
        self.lifecycle.close();
    }

    /// Tells whether the node takes no more work.
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving()
    }

    /// Returns the number of calls in hand, in either role.
    pub fn calls_in_flight(&self) -> usize {
        self.in_flight.total()
    }

    /// Returns the longest time that the profile of the own service grants for a planned stop.
    pub fn drain_limit(&self) -> Duration {
        let config = self.config();
        let profile = config.service(&self.settings.service).map(|s| config.profile(s));
        Duration::from_millis(profile.map_or(0, |p| p.drain_ms))
    }

    /// Notes a beat of the thread that watches for pauses; returns the length of one that ended.
    pub fn tick_pause_detector(&self) -> Option<Duration> {
        lock(&self.watch).tick(self.clock.now())
    }

    /// Returns the counts of notable calls since the last time, and does small upkeep.
    pub fn collect_events(&self) -> Vec<Kind> {
        self.pool.remove_expired();
        self.transfers.remove_expired(self.clock.now());
        self.meter.set_in_flight(self.in_flight.calls() as u64);
        let mut events = self.events.take();
        events.extend(self.log.take_dropped());
        events
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Snapshot> {
        self.config.load_full()
    }

    /// Returns the known upstreams.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    pub(crate) fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn may_be_stale(&self, received: Time, now: Time) -> bool {
        lock(&self.watch).may_be_stale(received, now)
    }
}
