//! The control state machine of a node that discovers its peers by gossip.
//!
//! It never blocks. The node's control thread drives it with real sockets, tests with a virtual clock.
//!
//! Invariant *single entry point*: only [`Control::apply`] changes the state. It takes one event and the
//! time, and returns the effects to carry out.

mod fleet;
mod port;
mod version;

pub use self::port::{Effect, Error, Event, Machine, Method};

use model::{
    config::{Snapshot, Version},
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{
    catchup::Transfer,
    clock::{Clock, Now, Stamp},
    directory::Update,
    dissemination::{Epidemic, Strategy},
    fence::{Announced, Fence},
    member::{Record, State},
    message::{Heartbeat, Request, Response, Sender, Sync},
    probe::{self, Prober},
    quarantine::{Crash, REPORTS_PER_MESSAGE, Register},
    roster::Roster,
    source::{self, Query, Role, Schedule, Topic},
    status,
    timeline::{Event as TimelineEvent, Kind, Ring},
    view::View,
};

/// Timeout of a configuration pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of an anti-entropy exchange of member records.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between two anti-entropy exchanges started by this node.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two rounds of heartbeats that announce membership changes.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of checks for expired suspicions and old tombstones.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Nodes to which a node announces that it leaves or stops.
const LEAVE_FANOUT: usize = 8;

/// Nodes contacted at once: seeds at the start, peers after a pause.
const SEED_FANOUT: usize = 3;

/// Settings of a [`Control`].
pub struct Settings {
    /// Initial record of this node: addresses, instance, service, data centre, incarnation.
    pub own: Record,
    /// Addresses of seed nodes; may be outdated or empty.
    pub seeds: Vec<SocketAddr>,
    /// How long a starting node waits for peers before it pulls or calls the platform.
    pub join_wait: Duration,
    /// Upper bound of the random delay added to `join_wait` before the first platform call, so that
    /// nodes restarted together do not call at once.
    pub start_jitter: Duration,
    /// How new versions are announced to other nodes.
    pub dissemination: Box<dyn Strategy>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Product version shown to operators.
    pub product: String,
}

impl Settings {
    /// Returns the default settings for a node with the initial record `own`.
    pub fn new(own: Record) -> Self {
        Settings {
            own,
            seeds: Vec::new(),
            join_wait: Duration::from_millis(400),
            start_jitter: Duration::from_millis(2_000),
            dissemination: Box::new(Epidemic::default()),
            seed: 0,
            product: String::new(),
        }
    }
}

/// The control state of a node.
pub struct Control {
    settings: Settings,
    clock: Clock,
    events: Ring,
    random: SmallRng,
    roster: Roster,
    fence: Fence,
    transfer: Transfer,
    /// Consecutive failed pulls.
    failed_pulls: u32,
    announced: Announced,
    quarantine: Register,
    schedule: Schedule,
    prober: Prober,
    candidates: Vec<SocketAddr>,
    listing: BTreeMap<SocketAddr, String>,
    listing_revision: u64,
    source_revision: u64,
    stale_source: Option<u64>,
    conflicts: BTreeSet<Version>,
    offers: BTreeMap<SocketAddr, Version>,
    pulling: Option<SocketAddr>,
    join_at: Time,
    has_joined: bool,
    sync_due: Time,
    announce_pending: bool,
    announce_due: Time,
    maintenance_due: Time,
    view_stale: bool,
    rank: usize,
    effects: Vec<Effect>,
}

impl Control {
    /// Creates the state of a starting node.
    pub fn new(settings: Settings, now: Now) -> Self {
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let begin = now.time + settings.join_wait;
        let jitter = settings.start_jitter.mul_f64(random.random_range(0.0..1.0));
        let roster = Roster::new(settings.own.clone(), now.time);
        let candidates =
            settings.seeds.iter().copied().filter(|&a| a != settings.own.address).collect();
        let mut control = Control {
            clock: Clock::default(),
            events: Ring::default(),
            roster,
            fence: Fence::default(),
            transfer: Transfer::default(),
            failed_pulls: 0,
            announced: Announced::default(),
            quarantine: Register::default(),
            schedule: Schedule::new(begin + jitter),
            prober: Prober::new(begin),
            candidates,
            listing: BTreeMap::new(),
            listing_revision: 0,
            source_revision: 0,
            stale_source: None,
            conflicts: BTreeSet::new(),
            offers: BTreeMap::new(),
            pulling: None,
            join_at: begin,
            has_joined: false,
            sync_due: now.time,
            announce_pending: false,
            announce_due: now.time,
            maintenance_due: now.time,
            view_stale: true,
            rank: 0,
            effects: Vec::new(),
            random,
            settings,
        };
        let incarnation = control.roster.own().incarnation;
        control.record(Kind::Started { incarnation }, now);
        control.contact_seeds(now);
        control
    }

    /// Processes one event and returns the effects to carry out, in order.
    pub fn apply(&mut self, event: Event, now: Now) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Resumed(pause) => self.handle_pause(pause, now),
            Event::Request(request) => self.handle_request(request, now),
            Event::Response(peer, response) => self.handle_response(peer, response, now),
            Event::Failed(peer, error) => self.handle_failure(peer, error, now),
            // Only nodes in list mode send digests.
            Event::Digest(_) => {}
            Event::Source(answer) => self.handle_source(answer, now),
            Event::Record(kind) => self.record(kind, now),
            Event::UpstreamCrashed(crash) => self.record_crash(crash, now),
            Event::Cleared(request) => {
                self.quarantine.record_answer(request, now.time);
                self.announce_pending = true;
            }
            Event::Leave => self.leave(now),
            Event::Stop => self.stop(now),
        }
        self.announce_changes(now);
        self.refresh();
        self.refresh_quarantine(now);
        self.effects.extend(self.announced.update(&self.fence).map(Effect::Expected));
        std::mem::take(&mut self.effects)
    }

    /// Returns the configuration snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.fence.snapshot()
    }

    /// Returns the membership table.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the recorded events after `stamp`, oldest first.
    pub fn events_after(&self, stamp: Stamp) -> Vec<TimelineEvent> {
        self.events.after(stamp)
    }

    /// Returns the state shown to operators.
    pub fn status(&mut self, now: Now) -> status::Node {
        let own = self.roster.own().clone();
        status::Node {
            product: self.settings.product.clone(),
            version: self.fence.version(),
            stamp: self.clock.stamp(now),
            rejected: self.fence.rejections(),
            refusing: self.fence.refusing(),
            quarantined: self.quarantine.status(now.time),
            evacuated: Vec::new(),
            reader_rank: self.rank,
            source_age_ms: self.schedule.contact(now.time).map(|c| c.age_ms),
            stale_source: self.stale_source,
            members: self.roster.iter().map(member_status).collect(),
            instance: own.instance,
            address: own.address,
            service: own.service,
            data_centre: own.data_centre,
            incarnation: own.incarnation,
            state: own.state,
        }
    }

    fn tick(&mut self, now: Now) {
        if !self.has_joined && now.time >= self.join_at {
            self.has_joined = true;
            self.pull(now);
        }
        if now.time >= self.maintenance_due {
            self.maintenance_due = now.time + MAINTENANCE_INTERVAL;
            for address in self.prober.expired_suspects(&self.roster, now.time) {
                self.set_state(address, State::Unreachable, now);
            }
            self.roster.prune();
        }
        let candidates = std::mem::take(&mut self.candidates);
        let targets = self.prober.targets(&self.roster, &candidates, now.time, &mut self.random);
        self.candidates = candidates;
        for target in targets {
            self.send_heartbeat(target, now);
        }
        self.poll_source(now);
    }

    fn handle_pause(&mut self, pause: Duration, now: Now) {
        self.record(Kind::Paused { ms: pause.as_millis() as u64 }, now);
        self.prober.record_pause(now.time);
        // Requests sent before the pause may have timed out; do not wait for them. The fence
        // rejects old versions, so late responses are harmless.
        self.pulling = None;
        let targets = self.roster.sample(SEED_FANOUT, &mut self.random, |r| r.state.takes_work());
        for target in targets {
            self.send_heartbeat(target, now);
        }
    }

    fn handle_request(&mut self, request: Request, now: Now) {
        let response = match request {
            Request::Heartbeat(heartbeat) => {
                let (peer, members) = (heartbeat.from.address, heartbeat.members);
                self.handle_heartbeat(heartbeat, now);
                let mut reply = self.heartbeat_for(peer, now);
                if members == self.roster.digest() {
                    // The sender holds the same records already.
                    reply.rumours.clear();
                }
                Response::Heartbeat(reply)
            }
            Request::Pull(pull) => Response::Pull(self.bundle(pull)),
            Request::Sync(sync) => Response::Sync(self.handle_sync(sync, now)),
            // This node holds no list of upstreams; an empty update at revision 0 changes nothing.
            Request::Fetch(_) => Response::Fetch(Update::default()),
        };
        self.effects.push(Effect::Reply(response));
    }

    fn handle_response(&mut self, peer: SocketAddr, response: Response, now: Now) {
        match response {
            Response::Heartbeat(heartbeat) => {
                self.prober.record_success();
                self.handle_heartbeat(heartbeat, now);
            }
            Response::Pull(bundle) => self.handle_bundle(peer, bundle, now),
            Response::Sync(sync) => self.handle_sync_response(peer, sync, now),
            Response::Fetch(_) => {}
        }
    }

    fn handle_failure(&mut self, peer: SocketAddr, error: Error, now: Now) {
        if let Some(reason) = error.malformed {
            self.record(Kind::BadMessage { peer, reason }, now);
        }
        match error.method {
            Method::Heartbeat => self.suspect(peer, now),
            Method::Pull => self.abandon_pull(peer, now),
            Method::Sync | Method::Fetch => {}
        }
    }

    /// Starts the due platform calls if this node is a reader or standby.
    fn poll_source(&mut self, now: Now) {
        if self.schedule.role(self.rank, now.time) == Role::Idle {
            return;
        }
        let wait = source::WATCH_TIMEOUT;
        if self.schedule.begin(Topic::Config, now.time) {
            let base = self.fence.held();
            let after = self.source_revision.max(base.unwrap_or(0));
            self.effects.push(Effect::Read(Query::Config { base, after, wait }));
        }
        if self.schedule.begin(Topic::List, now.time) {
            let after = self.listing_revision;
            self.effects.push(Effect::Read(Query::List { after, wait }));
        }
    }

    /// Returns this node's rank among the readers of its data centre.
    fn find_rank(&self) -> usize {
        source::rank(self.roster.own().address, self.roster.working_neighbours())
    }

    fn sender(&self) -> Sender {
        let own = self.roster.own();
        Sender { address: own.address, incarnation: own.incarnation }
    }

    fn heartbeat(&mut self, now: Now) -> Heartbeat {
        Heartbeat {
            from: self.sender(),
            stamp: self.clock.stamp(now),
            version: self.fence.version(),
            members: self.roster.digest(),
            contact: self.schedule.contact(now.time),
            data_centre: self.roster.own().data_centre.clone(),
            rumours: self.roster.take_rumours(),
            reports: self.quarantine.next_reports(REPORTS_PER_MESSAGE, now.time),
        }
    }

    /// Returns a heartbeat that also contains the record of `peer` if that is not live.
    ///
    /// Only the node itself can refute a suspicion, so it has to receive it.
    fn heartbeat_for(&mut self, peer: SocketAddr, now: Now) -> Heartbeat {
        let mut heartbeat = self.heartbeat(now);
        let suspected = self.roster.get(peer).filter(|r| r.state != State::Live);
        if let Some(record) = suspected.filter(|r| !heartbeat.rumours.contains(r)).cloned() {
            heartbeat.rumours.push(record);
        }
        heartbeat
    }

    fn send_heartbeat(&mut self, target: SocketAddr, now: Now) {
        let heartbeat = self.heartbeat_for(target, now);
        self.effects.push(Effect::Send(target, Request::Heartbeat(heartbeat), probe::TIMEOUT));
    }

    /// Requests the records and the version of some seed nodes.
    fn contact_seeds(&mut self, now: Now) {
        let first: Vec<SocketAddr> =
            self.candidates.sample(&mut self.random, SEED_FANOUT).copied().collect();
        for contact in first {
            self.send_sync(contact, Vec::new());
            self.send_heartbeat(contact, now);
        }
    }

    fn send_sync(&mut self, target: SocketAddr, buckets: Vec<u64>) {
        let records = vec![self.roster.own().clone()];
        let sync = Sync { from: self.sender(), buckets, records };
        self.effects.push(Effect::Send(target, Request::Sync(sync), SYNC_TIMEOUT));
    }

    /// Sends heartbeats that announce urgent changes, at most one round per interval.
    fn announce_changes(&mut self, now: Now) {
        if !self.announce_pending || now.time < self.announce_due {
            return;
        }
        self.announce_pending = false;
        self.announce_due = now.time + ANNOUNCE_INTERVAL;
        let weight = self.fence.snapshot().convergence_weight();
        for target in self.dissemination_targets(0, weight) {
            self.send_heartbeat(target, now);
        }
    }

    /// Reports the requests that ran when this node's upstream crashed.
    fn record_crash(&mut self, crash: Crash, now: Now) {
        self.quarantine.record_crash(&crash, now.time);
        self.record(Kind::UpstreamEnded { requests: crash.labels() }, now);
        self.announce_pending = true;
    }

    fn refresh_quarantine(&mut self, now: Now) {
        let Some(changes) = self.quarantine.refresh(now.time) else { return };
        for change in changes {
            self.record(change.event(now.time), now);
        }
        self.effects.push(Effect::Quarantine(self.quarantine.current().clone()));
    }

    /// Rebuilds the view and the reader rank if the membership table has changed.
    fn refresh(&mut self) {
        if std::mem::replace(&mut self.view_stale, false) {
            let view = View::new(self.roster.iter(), &self.roster.own().data_centre);
            self.effects.push(Effect::View(Arc::new(view)));
            self.rank = self.find_rank();
        }
    }

    fn record(&mut self, kind: Kind, now: Now) {
        let stamp = self.clock.stamp(now);
        self.events.push(TimelineEvent { stamp, node: self.settings.own.instance.clone(), kind });
    }
}

impl Machine for Control {
    fn apply(&mut self, event: Event, now: Now) -> Vec<Effect> {
        Control::apply(self, event, now)
    }

    fn status(&mut self, now: Now) -> status::Node {
        Control::status(self, now)
    }

    fn events_after(&self, stamp: Stamp) -> Vec<TimelineEvent> {
        Control::events_after(self, stamp)
    }

    fn known_revision(&self) -> u64 {
        self.fence.known()
    }

    fn contact_age(&self, now: Time) -> Option<Duration> {
        self.schedule.contact(now).map(|contact| Duration::from_millis(contact.age_ms))
    }

    fn count(&self, state: State) -> usize {
        self.roster.iter().filter(|r| r.state == state).count()
    }
}

fn member_status(record: &Record) -> status::Member {
    status::Member {
        instance: record.instance.clone(),
        address: record.address,
        service: record.service.clone(),
        data_centre: record.data_centre.clone(),
        state: record.state,
    }
}
