//! State shared by all calls that a node proxies.

mod colocated;
pub(crate) mod crashes;
mod demand;
mod estimates;
mod explain;
mod fairness;
pub(crate) mod in_flight;
mod lifecycle;
mod load;
mod nested;
mod quarantine;
mod retry_budget;
mod returns;
pub(crate) mod services;
pub(crate) mod settings;
mod warmth;
mod warmup;

use arc_swap::ArcSwap;
use bytes::Bytes;
use fleet::{
    quarantine::Quarantine,
    timeline::Kind,
    view::{Upstream, View},
};
use hyper::{HeaderMap, body::Body};
use ingress::{
    limits::Reason,
    listener::Context,
    memory::{Lease, Memory},
};
use model::{config::Snapshot, time::Time};
use policy::{
    budget::Share, client_retry, health, nested::Throttle, pause, share::Capacity, split::Split,
};
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
    net::{body, pool::Pool},
    proxy::{
        crashes::Crashes,
        demand::Demand,
        estimates::Estimates,
        in_flight::{Reservation, Usage},
        lifecycle::Lifecycle,
        services::Services,
        settings::{Settings, Tuning},
        warmth::Warmth,
    },
    record::{
        Log,
        events::{Counters, Event},
    },
    wire,
};

/// Divisor of the limit on bodies that gives what bodies, answers, heads and calls may hold beyond it together.
const SHARED_DIVISOR: usize = 4;

/// Divisor of the limit on bodies that gives the memory that is left to answers.
const ANSWER_RESERVE_DIVISOR: usize = 16;

/// Memory that is left to calls without bodies however low the limit on bodies is, in bytes.
const MIN_SHARED_BYTES: usize = 1 << 20;

/// Memory of a call in flight besides its body and its headers, in bytes: its task, buffers and copies of the
/// head for its attempts.
const CALL_BYTES: usize = 32 << 10;

/// State shared by all calls that a node proxies: configuration, upstreams, limits and records.
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
    /// Highest known revision of the configuration, held or still to be fetched.
    expected_revision: AtomicU64,
    view: ArcSwap<View>,
    pauses: Mutex<pause::Detector>,
    ids: AtomicU64,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) services: Services,
    pub(crate) estimates: Estimates,
    /// Crashes of the colocated upstream.
    pub(crate) crashes: Crashes,
    /// Demands of the colocated upstream.
    pub(crate) demand: Demand,
    /// Warm-up of the colocated upstream.
    pub(crate) warmth: Warmth,
    /// Requests that must not run.
    quarantine: ArcSwap<Quarantine>,
    /// Concurrency limit of the colocated upstream.
    pub(crate) slots: Arc<Semaphore>,
    /// Transfers of large bodies over this instance's link.
    pub(crate) transfers: Transfers,
    splits: Mutex<HashMap<String, Split>>,
    /// Refused callers that may retry.
    refused: Mutex<client_retry::History>,
    /// Part of the fleet's retry budget.
    share: Mutex<Share>,
    /// Nested calls of the colocated upstream.
    nested: Mutex<Throttle>,
    pub(crate) in_flight: Usage,
    /// Memory of answers, from their first byte until they are passed on.
    pub(crate) answers: Memory,
    /// Connections of callers and other nodes.
    pub(crate) ingress: Arc<Context>,
}

impl Proxy {
    /// Creates the state, with an empty configuration and no known upstreams.
    pub fn new(settings: Settings, clock: Clock, meter: Arc<Meter>) -> Arc<Self> {
        let tuning = settings.tuning;
        let slots = Semaphore::new(clock, settings.slots);
        let transfers = Transfers::new(clock, settings.link_mbps);
        let log = Log::new(clock);
        let log = if settings.log { log.enable(&settings.instance) } else { log };
        let pauses = pause::Detector::new(settings.pause, clock.now());
        let max_outgoing = settings.max_outgoing_connections;
        Arc::new(Proxy {
            settings,
            clock,
            meter,
            pool: Pool::new(max_outgoing),
            events: Counters::default(),
            log,
            running: Registry::default(),
            tuning: ArcSwap::from_pointee(tuning),
            config: ArcSwap::default(),
            expected_revision: AtomicU64::new(0),
            view: ArcSwap::default(),
            pauses: Mutex::new(pauses),
            ids: AtomicU64::new(1),
            slots,
            transfers,
            services: Services::default(),
            estimates: Estimates::default(),
            crashes: Crashes::default(),
            demand: Demand::default(),
            warmth: Warmth::default(),
            quarantine: ArcSwap::default(),
            lifecycle: Lifecycle::default(),
            splits: Mutex::default(),
            refused: Mutex::default(),
            share: Mutex::new(Share::new(rand::random())),
            nested: Mutex::default(),
            in_flight: Usage::default(),
            answers: Memory::default(),
            ingress: Arc::default(),
        })
    }

    /// Replaces the settings that may change at run time.
    pub fn set_tuning(&self, tuning: Tuning) {
        self.tuning.store(Arc::new(tuning));
    }

    /// Returns the settings that may change at run time.
    pub(crate) fn tuning(&self) -> Tuning {
        **self.tuning.load()
    }

    /// Returns whether offers depend on where capacity is expected; only if the platform lists the upstreams and
    /// refusals cost no retries, as they do in the budgets of profiles.
    pub(crate) fn uses_overflow(&self) -> bool {
        let tuning = self.tuning();
        self.settings.incarnation.is_none() && tuning.overload.overflow && tuning.budget.is_some()
    }

    /// Replaces the configuration.
    pub fn set_config(&self, snapshot: Arc<Snapshot>) {
        self.config.store(snapshot);
    }

    /// Sets the highest known revision of the configuration, held or still to be fetched.
    pub fn set_expected_revision(&self, revision: u64) {
        self.expected_revision.store(revision, Ordering::Relaxed);
    }

    /// Returns the highest known revision of the configuration, held or still to be fetched.
    pub(crate) fn expected_revision(&self) -> u64 {
        self.expected_revision.load(Ordering::Relaxed)
    }

    /// Replaces the known upstreams, and discards the records of those that are gone.
    pub fn set_view(&self, view: Arc<View>) {
        let before = self.view.swap(view.clone());
        self.services.update(&view, &before, self.clock.now());
        self.refresh_window();
        if let Some(slots) = colocated::slots(&view, &self.settings) {
            self.slots.resize(slots);
        }
        if colocated::is_evacuated(&view, &self.settings) {
            // Queued calls move to another data centre at once.
            self.slots.reject_waiting();
        }
        if !colocated::is_same(&before, &view, &self.settings) {
            // A call sent on a connection to the previous process would have an unknown outcome.
            self.pool.close_idle(self.settings.upstream);
            self.reset_demand();
        }
    }

    /// Returns whether `upstream` is the one colocated with this node.
    pub(crate) fn is_colocated(&self, upstream: &Upstream) -> bool {
        upstream.address == self.settings.address
    }

    /// Returns whether the colocated upstream `identity` is known to have restarted after `started_ms`.
    pub(crate) fn has_restarted(&self, identity: Option<&str>, started_ms: Option<u64>) -> bool {
        colocated::has_restarted(&self.view.load(), &self.settings, identity, started_ms)
    }

    /// Sets whether callers may send new calls here.
    pub fn set_ready(&self, ready: bool) {
        self.lifecycle.set_ready(ready);
    }

    /// Returns whether callers may send new calls here.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_ready()
    }

    /// Returns whether the colocated upstream `identity`, started at `started_ms`, is listed as leaving or said
    /// so itself.
    pub(crate) fn has_left(&self, identity: Option<&str>, started_ms: Option<u64>) -> bool {
        colocated::has_left(&self.view.load(), &self.settings, identity)
            || self.said_leaving(identity, started_ms)
    }

    /// Returns whether the data centre of the colocated upstream is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        colocated::is_evacuated(&self.view.load(), &self.settings)
    }

    /// Returns the index in `weights` of the target of the next call of the route `name`.
    pub(crate) fn next_target(&self, name: &str, weights: &[u32]) -> Option<usize> {
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

    /// Calls `work` with the history of refused callers.
    pub(crate) fn with_refused<T>(&self, work: impl FnOnce(&mut client_retry::History) -> T) -> T {
        work(&mut lock(&self.refused))
    }

    /// Returns the load of the colocated upstream, including body transfers, and its limit.
    pub(crate) fn load(&self) -> health::Load {
        let (bodies, limit) = (self.transfers.pending(), self.named_limit());
        health::Load { bodies, limit, ..self.slots.load() }
    }

    /// Stops accepting calls for the colocated upstream.
    pub fn leave(&self) {
        self.lifecycle.leave();
    }

    /// Stops accepting calls of callers as well, shortly before the process exits.
    pub fn close(&self) {
        self.lifecycle.close();
    }

    /// Returns whether the node accepts no more calls for its upstream.
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving()
    }

    /// Returns the number of calls in flight, as entry node and as serving node, and of answers that are being
    /// read.
    pub fn calls_in_flight(&self) -> usize {
        self.in_flight.total() + self.ingress.unread_answers()
    }

    /// Returns the number of bytes that bodies, answers, heads and calls may hold together.
    fn shared_memory(&self) -> usize {
        let bodies = self.tuning().capacity.bytes;
        bodies + (bodies / SHARED_DIVISOR).max(MIN_SHARED_BYTES)
    }

    /// Returns the number of bytes that are kept free for the answers of calls that run.
    fn answer_reserve(&self) -> usize {
        self.tuning().capacity.bytes / ANSWER_RESERVE_DIVISOR
    }

    /// Returns the number of bytes that unfinished heads and calls may hold together.
    pub(crate) fn request_memory(&self) -> usize {
        let others = self.in_flight.bytes() + self.answers.held() + self.answer_reserve();
        self.shared_memory().saturating_sub(others)
    }

    /// Returns the capacity for calls and for the bodies of requests.
    pub(crate) fn body_capacity(&self) -> Capacity {
        let capacity = self.tuning().capacity;
        let others = self.ingress.heads.held() + self.answers.held() + self.answer_reserve();
        let bytes = capacity.bytes.min(self.shared_memory().saturating_sub(others));
        Capacity { bytes, ..capacity }
    }

    /// Returns the number of bytes that answers may hold together.
    fn answer_memory(&self) -> usize {
        let others = self.ingress.heads.held() + self.in_flight.bytes();
        self.tuning().capacity.bytes.min(self.shared_memory().saturating_sub(others))
    }

    /// Counts a connection to `listener` that was closed for `reason`.
    pub fn count_closed(&self, listener: &'static str, reason: Reason) {
        self.meter.count_closed_connection(listener, reason.name());
        // Idle connections are closed all the time, and would evict other events.
        if reason != Reason::Idle {
            self.events.add(Event::Closed(listener, reason));
        }
    }

    /// Takes the memory of a call with these headers; none if there is too little for it or for its answer.
    pub(crate) fn admit_request(&self, headers: &HeaderMap) -> Option<Lease> {
        let mut lease = self.ingress.heads.lease();
        if lease.extend(CALL_BYTES + wire::size(headers), self.request_memory()) {
            return Some(lease);
        }
        self.ingress.relieve();
        None
    }

    /// Reserves the memory of a body of a declared size; none if there is too little.
    pub(crate) fn reserve_body(&self, declared: Option<usize>) -> Option<Reservation<'_>> {
        let mut reservation = Reservation::new(&self.in_flight);
        let is_reserved = reservation.extend(declared.unwrap_or(0), self.body_capacity());
        if !is_reserved {
            self.ingress.relieve();
        }
        is_reserved.then_some(reservation)
    }

    /// Returns the number of bytes that answers hold, from their first byte until they are passed on.
    pub fn answer_bytes(&self) -> usize {
        self.answers.held()
    }

    /// Receives the body of an answer, up to `limit` bytes and within `time`.
    pub(crate) async fn receive_answer<B>(
        &self,
        body: B,
        limit: usize,
        time: Duration,
    ) -> Result<wire::Content, body::Fault>
    where
        B: Body<Data = Bytes>,
    {
        let account = body::AnswerAccount {
            memory: &self.answers,
            limit: || self.answer_memory(),
            relieve: || self.ingress.relieve(),
            lease: None,
        };
        body::receive(body, limit, time, account).await
    }

    /// Returns the drain timeout of a planned stop, from the profile of the upstream's service.
    pub fn drain_limit(&self) -> Duration {
        let config = self.config();
        let profile = config.service(&self.settings.service).map(|s| config.profile(s));
        Duration::from_millis(profile.map_or(0, |p| p.drain_ms))
    }

    /// Advances the pause detector; returns the length of a pause that ended.
    pub fn tick_pause_detector(&self) -> Option<Duration> {
        lock(&self.pauses).tick(self.clock.now())
    }

    /// Returns the event counts since the last call, and removes expired connections and grants.
    pub fn collect_events(&self) -> Vec<Kind> {
        self.pool.remove_expired();
        self.running.remove_expired(self.clock.now());
        self.transfers.remove_expired(self.clock.now());
        self.meter.set_in_flight(self.in_flight.calls() as u64);
        self.meter.set_memory("bodies", self.in_flight.bytes() as u64);
        self.meter.set_memory("answers", self.answers.held() as u64);
        self.meter.set_memory("requests", self.ingress.heads.held() as u64);
        self.record_fairness();
        self.record_promises();
        self.record_warm_up();
        let mut events = self.events.take();
        events.extend(self.log.take_dropped());
        events.extend(self.demand.take_events());
        events.extend(self.warmth.take_events());
        events.extend(self.take_nested_events());
        events
    }

    /// Returns the current configuration.
    pub fn config(&self) -> Arc<Snapshot> {
        self.config.load_full()
    }

    /// Returns the current view of the upstreams.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns an id that is unique within the process.
    pub(crate) fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether a request received at `received` may have waited through a pause of the process.
    pub(crate) fn may_be_stale(&self, received: Time, now: Time) -> bool {
        lock(&self.pauses).may_be_stale(received, now)
    }
}
