//! What all calls of a node share.

mod explain;
pub(crate) mod room;

use arc_swap::ArcSwap;
use fleet::{
    timeline::Kind,
    view::{Upstream, View},
};
use model::{config::Snapshot, time::Time};
use policy::{
    budget, comeback,
    health::{self, Record},
    latency::{Estimate, Size},
    pause,
    retry::Budget,
    share::Room,
    split::Split,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use telemetry::metric::Meter;

use crate::{
    clock::Clock,
    gate::{running::Running, transfer::Transfers, turnstile::Turnstile},
    net::pool::Pool,
    record::{Log, tally::Tally},
    wire,
};

/// Most routes whose times are remembered, some 100 bytes each; of others nothing is known.
const ESTIMATES_MOST: usize = 8_192;

/// Settings of a node's traffic.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's address for messages between nodes, by which views name it.
    pub own: SocketAddr,
    /// Life of the node, which offers must name; none where the platform's list names upstreams
    /// by identities that they confirm themselves.
    pub incarnation: Option<u64>,
    /// Service of its upstream.
    pub service: String,
    /// Address of its upstream.
    pub upstream: SocketAddr,
    /// Calls that the upstream can work on at once, until the list tells it.
    pub slots: usize,
    /// Where the sequence of each split begins; random, so that nodes begin at different parts.
    pub offset: u64,
    /// What may change while the process runs.
    pub tuning: Tuning,
    /// Most connections from callers and other nodes.
    pub connections: usize,
    /// How pauses of the process are found.
    pub pause: pause::Settings,
    /// The platform's name of the instance, in log lines.
    pub instance: String,
    /// Whether requests are logged.
    pub log: bool,
    /// Speed of the instance's link, in Mbit/s; 0 where it is not known.
    pub link_mbps: u32,
    /// Names of headers.
    pub names: wire::Names,
}

/// Settings of a node's traffic that may change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Room for calls in hand.
    pub room: Room,
    /// Longest time for opening a connection.
    pub connect: Duration,
    /// Bound on repeated calls of the whole fleet; none where profiles bound each node's.
    pub budget: Option<budget::Settings>,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { room: Room::default(), connect: Duration::from_millis(250), budget: None }
    }
}

impl Default for Settings {
    /// Values for tests and tools; a node names its own addresses.
    fn default() -> Self {
        let nowhere = SocketAddr::new(std::net::Ipv4Addr::UNSPECIFIED.into(), 0);
        Settings {
            own: nowhere,
            incarnation: None,
            service: String::new(),
            upstream: nowhere,
            slots: 10,
            offset: 0,
            tuning: Tuning::default(),
            connections: 1_024,
            pause: pause::Settings::default(),
            instance: String::new(),
            log: false,
            link_mbps: 0,
            names: wire::Names::default(),
        }
    }
}

/// What all calls of a node share.
pub struct Hub {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) meter: Arc<Meter>,
    pub(crate) pool: Pool,
    pub(crate) tally: Tally,
    pub(crate) log: Log,
    pub(crate) running: Running,
    tuning: ArcSwap<Tuning>,
    config: ArcSwap<Snapshot>,
    view: ArcSwap<View>,
    leaving: AtomicBool,
    closed: AtomicBool,
    watch: Mutex<pause::Watch>,
    ids: AtomicU64,
    /// The slots of the own upstream.
    pub(crate) slots: Arc<Turnstile>,
    /// Turns of large bodies on the own link.
    pub(crate) transfers: Transfers,
    services: Mutex<HashMap<String, Service>>,
    splits: Mutex<HashMap<String, Split>>,
    latencies: Mutex<HashMap<String, Estimate>>,
    /// Sizes of answers, by route as above.
    sizes: Mutex<HashMap<String, Size>>,
    /// Callers that were refused and may come back.
    refused: Mutex<comeback::Register>,
    /// Whether callers may send new work here.
    open: AtomicBool,
    opened: AtomicBool,
    /// Calls in hand as entry node.
    pub(crate) calls: AtomicUsize,
    /// Calls in hand as serving node.
    pub(crate) offers: AtomicUsize,
    /// Bytes of bodies in hand.
    pub(crate) bytes: AtomicUsize,
}

/// What this node has seen of one service.
#[derive(Default)]
pub(crate) struct Service {
    pub(crate) budget: Budget,
    pub(crate) window: budget::Window,
    pub(crate) in_hand: usize,
    upstreams: HashMap<Life, Record>,
}

/// One life of one upstream.
///
/// Nothing that was seen of a former life holds for this one: it may be slow again after its start,
/// and calls that hang or failures that were counted ended with the process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Life {
    /// Address of its node.
    address: SocketAddr,
    /// Life of the node, where the upstream has no identity of its own; 0 otherwise.
    incarnation: u64,
    identity: Option<Arc<str>>,
    /// Start of a life, in ms of Unix time: an upstream may start again under its identity.
    started_ms: Option<u64>,
}

fn life(upstream: &Upstream) -> Life {
    Life {
        address: upstream.address,
        incarnation: if upstream.identity.is_some() { 0 } else { upstream.incarnation },
        identity: upstream.identity.clone(),
        started_ms: upstream.started_ms,
    }
}

/// Tells whether two entries are of the same life of the same upstream, whatever else they say.
pub(crate) fn is_same_life(a: &Upstream, b: &Upstream) -> bool {
    life(a) == life(b)
}

/// Tells whether an upstream's node is within reach again, or in a new life.
fn has_returned(upstream: &Upstream, before: &[Upstream]) -> bool {
    let known = before.iter().find(|u| life(u) == life(upstream));
    let changed =
        known.is_some_and(|u| u.incarnation != upstream.incarnation || !u.state.takes_work());
    upstream.state.takes_work() && changed
}

impl Service {
    /// Returns the observations of `upstream`, begun now if there are none.
    pub(crate) fn record(&mut self, upstream: &Upstream, now: Time) -> &mut Record {
        self.upstreams.entry(life(upstream)).or_insert_with(|| Record::new(now))
    }

    /// Returns the observations of `upstream`, if there are any.
    pub(crate) fn seen(&self, upstream: &Upstream) -> Option<&Record> {
        self.upstreams.get(&life(upstream))
    }
}

impl Hub {
    /// Creates the shared state; nothing is in force and no upstream is known yet.
    pub fn new(settings: Settings, clock: Clock, meter: Arc<Meter>) -> Arc<Self> {
        let tuning = settings.tuning;
        let slots = Turnstile::new(clock, settings.slots);
        let transfers = Transfers::new(clock, settings.link_mbps);
        let log = Log::new(clock);
        let log = if settings.log { log.keep(&settings.instance) } else { log };
        let watch = pause::Watch::new(settings.pause, clock.now());
        Arc::new(Hub {
            settings,
            clock,
            meter,
            pool: Pool::default(),
            tally: Tally::default(),
            log,
            running: Running::default(),
            tuning: ArcSwap::from_pointee(tuning),
            config: ArcSwap::default(),
            view: ArcSwap::default(),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            watch: Mutex::new(watch),
            ids: AtomicU64::new(1),
            slots,
            transfers,
            services: Mutex::default(),
            splits: Mutex::default(),
            latencies: Mutex::default(),
            sizes: Mutex::default(),
            refused: Mutex::default(),
            open: AtomicBool::new(false),
            opened: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
            offers: AtomicUsize::new(0),
            bytes: AtomicUsize::new(0),
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

    /// Routes to the upstreams of `view` from now on, and forgets what was seen of others.
    pub fn set_view(&self, view: Arc<View>) {
        let before = self.view.swap(view.clone());
        let now = self.clock.now();
        let mut services = lock(&self.services);
        for (name, service) in services.iter_mut() {
            let known = view.upstreams(name);
            let is_known = |known_life: &Life| known.iter().any(|u| life(u) == *known_life);
            service.upstreams.retain(|life, record| is_known(life) || record.in_flight() > 0);
        }
        // Slow start counts from the moment at which an upstream becomes known, not from its
        // first call, so observation begins here for services that calls have gone to.
        for (name, service) in services.iter_mut() {
            for upstream in view.upstreams(name) {
                let record = service.record(upstream, now);
                if has_returned(upstream, before.upstreams(name)) {
                    record.pardon(now);
                }
            }
        }
        drop(services);
        self.resize(&view);
        if self.own_life(&before) != self.own_life(&view) {
            // Connections to a process that has ended carry nothing: a payment sent on one would
            // be lost, and nobody could say whether it was made.
            self.pool.forget(self.settings.upstream);
        }
    }

    /// Tells whether `upstream` is the one beside this node.
    pub(crate) fn is_own(&self, upstream: &Upstream) -> bool {
        upstream.address == self.settings.own
    }

    /// Returns the life of the own upstream, if it is listed.
    fn own_life(&self, view: &View) -> Option<Life> {
        let own = view.upstreams(&self.settings.service).iter();
        own.filter(|u| u.address == self.settings.own).map(life).next()
    }

    /// Tells whether the upstream `identity` beside this node is known to have started again after
    /// `started_ms`.
    pub(crate) fn has_restarted(&self, identity: Option<&str>, started_ms: Option<u64>) -> bool {
        let view = self.view();
        let mut own = view.iter().filter(|(_, u)| u.address == self.settings.own);
        started_ms.is_some()
            && own.any(|(_, u)| u.identity.as_deref() == identity && u.started_ms > started_ms)
    }

    /// Takes the number of slots of the own upstream from the list, where that tells it.
    fn resize(&self, view: &View) {
        let own = view.upstreams(&self.settings.service).iter();
        let listed = own.filter(|u| u.address == self.settings.own && u.slots > 0);
        let Some(slots) = listed.map(|u| u.slots).max() else { return };
        self.slots.resize(slots);
    }

    /// Tells callers from now on whether they may send new work here.
    pub fn set_open(&self, open: bool) {
        self.open.store(open, Ordering::SeqCst);
        self.opened.fetch_or(open, Ordering::SeqCst);
    }

    /// Tells whether callers were ever told that they may send new work here.
    pub(crate) fn was_open(&self) -> bool {
        self.opened.load(Ordering::SeqCst)
    }

    /// Tells whether callers may send new work here.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::SeqCst)
    }

    /// Tells whether the upstream `identity` beside this node is known to take no more work.
    pub(crate) fn has_left(&self, identity: Option<&str>) -> bool {
        let view = self.view();
        let own = view.upstreams(&self.settings.service).iter();
        let mut named = own.filter(|u| u.address == self.settings.own);
        named.any(|u| u.identity.as_deref() == identity && u.state == fleet::member::State::Leaving)
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
        let offset = self.settings.offset;
        splits.get_mut(name).expect("the split was just inserted").next(weights, offset)
    }

    /// Returns the time that calls of `route` to `service` take, if one was answered so far.
    pub(crate) fn latency(&self, service: &str, route: &str) -> Option<Estimate> {
        lock(&self.latencies).get(estimate_key(service, route)).copied()
    }

    /// Notes that a call of `route` to `service` was answered after `time`.
    pub(crate) fn note_latency(&self, service: &str, route: &str, time: Duration) {
        let key = estimate_key(service, route);
        let mut latencies = lock(&self.latencies);
        if let Some(latency) = latencies.get_mut(key) {
            latency.note(time);
        } else if latencies.len() < ESTIMATES_MOST {
            latencies.insert(key.to_owned(), Estimate::new(time));
        }
    }

    /// Returns the bytes that answers of `route` to `service` usually have; 0 before the first one.
    pub(crate) fn answer_bytes(&self, service: &str, route: &str) -> usize {
        lock(&self.sizes).get(estimate_key(service, route)).map_or(0, Size::usual)
    }

    /// Notes that a call of `route` to `service` was answered with `bytes`.
    pub(crate) fn note_answer_bytes(&self, service: &str, route: &str, bytes: usize) {
        let key = estimate_key(service, route);
        let mut sizes = lock(&self.sizes);
        if let Some(size) = sizes.get_mut(key) {
            size.note(bytes);
        } else if sizes.len() < ESTIMATES_MOST {
            sizes.insert(key.to_owned(), Size::new(bytes));
        }
    }

    /// Gives `work` the register of refused callers.
    pub(crate) fn with_refused<T>(&self, work: impl FnOnce(&mut comeback::Register) -> T) -> T {
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
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Takes no more calls of callers either: the process ends soon.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether the node takes no more calls of callers.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Tells whether the node takes no more work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the number of calls in hand, in either role.
    pub fn in_hand(&self) -> usize {
        self.calls.load(Ordering::SeqCst) + self.offers.load(Ordering::SeqCst)
    }

    /// Returns the longest time that the profile of the own service grants for a planned stop.
    pub fn drain_limit(&self) -> Duration {
        let config = self.config();
        let profile = config.service(&self.settings.service).map(|s| config.profile(s));
        Duration::from_millis(profile.map_or(0, |p| p.drain_ms))
    }

    /// Notes a beat of the thread that watches for pauses; returns the length of one that ended.
    pub fn beat(&self) -> Option<Duration> {
        lock(&self.watch).beat(self.clock.now())
    }

    /// Returns the counts of notable calls since the last time, and does small upkeep.
    pub fn collect(&self) -> Vec<Kind> {
        self.pool.sweep();
        self.transfers.sweep(self.clock.now());
        self.meter.in_hand(self.calls.load(Ordering::Relaxed) as u64);
        let mut events = self.tally.take();
        events.extend(self.log.left_out());
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

    pub(crate) fn in_doubt(&self, received: Time, now: Time) -> bool {
        lock(&self.watch).in_doubt(received, now)
    }

    /// Gives `work` the observations of one service.
    pub(crate) fn with_service<T>(&self, name: &str, work: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = lock(&self.services);
        if !services.contains_key(name) {
            services.insert(name.to_owned(), Service::default());
        }
        work(services.get_mut(name).expect("the service was just inserted"))
    }
}

/// Times are kept by route, or by service where there are no routes.
fn estimate_key<'a>(service: &'a str, route: &'a str) -> &'a str {
    if route.is_empty() { service } else { route }
}

/// Locks state that stays sound when a holder panics, since each change is a single step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
