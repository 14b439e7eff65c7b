//! The state machine that owns all control state of a node.
//!
//! Invariant *one way in*: [`Control::apply`] is the only way to change it. It takes one event and
//! the time, and returns what is to be done; it never waits. The node's control thread drives it
//! with real sockets, tests and benches with a virtual clock.

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
    timeline::{Event as Note, Kind, Ring},
    view::View,
};

/// How long a pull of the configuration may take.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an exchange of records may take.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Least time between two exchanges of records started by one node.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two rounds of unasked announcements of membership changes.
const URGENT_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two looks through the whole table.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Nodes to which a node announces that it leaves or stops.
const END_TARGETS: usize = 8;

/// Contacts that a starting node asks for records at once.
const FIRST_CONTACTS: usize = 3;

/// Settings of a [`Control`].
pub struct Settings {
    /// How this node begins: address, instance, service, data centre, incarnation.
    pub own: Record,
    /// Addresses of nodes to ask first; may be stale or empty.
    pub seeds: Vec<SocketAddr>,
    /// How long a starting node listens to peers before it turns to the platform.
    pub join_wait: Duration,
    /// Bound of the random time added to `join_wait`, so that a herd does not call at once.
    pub start_jitter: Duration,
    /// How new versions are passed on.
    pub dissemination: Box<dyn Strategy>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Product version told to operators.
    pub product: String,
}

impl Settings {
    /// Returns the usual settings for a node that begins as `own`.
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

/// All control state of a node.
pub struct Control {
    settings: Settings,
    clock: Clock,
    ring: Ring,
    random: SmallRng,
    roster: Roster,
    fence: Fence,
    transfer: Transfer,
    /// Pulls in a row that brought no answer.
    lost_pulls: u32,
    announced: Announced,
    quarantine: Register,
    schedule: Schedule,
    prober: Prober,
    contacts: Vec<SocketAddr>,
    listed: BTreeMap<SocketAddr, String>,
    listing_revision: u64,
    source_revision: u64,
    stale_source: Option<u64>,
    conflicts: BTreeSet<Version>,
    offers: BTreeMap<SocketAddr, Version>,
    pulling: Option<SocketAddr>,
    settled_at: Time,
    settled: bool,
    sync_due: Time,
    urgent: bool,
    urgent_due: Time,
    upkeep_due: Time,
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
        let contacts =
            settings.seeds.iter().copied().filter(|&a| a != settings.own.address).collect();
        let mut control = Control {
            clock: Clock::default(),
            ring: Ring::default(),
            roster,
            fence: Fence::default(),
            transfer: Transfer::default(),
            lost_pulls: 0,
            announced: Announced::default(),
            quarantine: Register::default(),
            schedule: Schedule::new(begin + jitter),
            prober: Prober::new(begin),
            contacts,
            listed: BTreeMap::new(),
            listing_revision: 0,
            source_revision: 0,
            stale_source: None,
            conflicts: BTreeSet::new(),
            offers: BTreeMap::new(),
            pulling: None,
            settled_at: begin,
            settled: false,
            sync_due: now.time,
            urgent: false,
            urgent_due: now.time,
            upkeep_due: now.time,
            view_stale: true,
            rank: 0,
            effects: Vec::new(),
            random,
            settings,
        };
        let incarnation = control.roster.own().incarnation;
        control.note(Kind::Started { incarnation }, now);
        control.ask_contacts(now);
        control
    }

    /// Takes one event into account and returns what is to be done, in order.
    pub fn apply(&mut self, event: Event, now: Now) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Resumed(pause) => self.wake(pause, now),
            Event::Request(request) => self.answer(request, now),
            Event::Response(peer, response) => self.hear(peer, response, now),
            Event::Failed(peer, lost) => self.lose(peer, lost, now),
            // Only nodes in listed mode send summaries.
            Event::Digest(_) => {}
            Event::Source(answer) => self.hear_source(answer, now),
            Event::Note(kind) => self.note(kind, now),
            Event::UpstreamEnded(loss) => self.note_end(loss, now),
            Event::Cleared(request) => {
                self.quarantine.note_answer(request, now.time);
                self.urgent = true;
            }
            Event::Leave => self.leave(now),
            Event::Stop => self.stop(now),
        }
        self.spread_news(now);
        self.refresh();
        self.refresh_quarantine(now);
        self.effects.extend(self.announced.update(&self.fence).map(Effect::Expected));
        std::mem::take(&mut self.effects)
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.fence.snapshot()
    }

    /// Returns the table of nodes.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the events after `stamp`.
    pub fn events_after(&self, stamp: Stamp) -> Vec<Note> {
        self.ring.after(stamp)
    }

    /// Returns what operators are told.
    pub fn status(&mut self, now: Now) -> status::Node {
        let own = self.roster.own().clone();
        status::Node {
            product: self.settings.product.clone(),
            version: self.fence.version(),
            stamp: self.clock.stamp(now),
            rejected: self.fence.rejections(),
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
        if !self.settled && now.time >= self.settled_at {
            self.settled = true;
            self.pull(now);
        }
        if now.time >= self.upkeep_due {
            self.upkeep_due = now.time + UPKEEP_INTERVAL;
            for address in self.prober.overdue(&self.roster, now.time) {
                self.judge(address, State::Unreachable, now);
            }
            self.roster.prune();
        }
        let contacts = std::mem::take(&mut self.contacts);
        let targets = self.prober.targets(&self.roster, &contacts, now.time, &mut self.random);
        self.contacts = contacts;
        for target in targets {
            self.send_beat(target, now);
        }
        self.call_source(now);
    }

    fn wake(&mut self, pause: Duration, now: Now) {
        self.note(Kind::Paused { ms: pause.as_millis() as u64 }, now);
        self.prober.note_pause(now.time);
        // What was under way before the pause is void; its late answers are harmless, since the
        // fence takes nothing old, but waiting for them would delay the refresh.
        self.pulling = None;
        let targets =
            self.roster.sample(FIRST_CONTACTS, &mut self.random, |r| r.state.takes_work());
        for target in targets {
            self.send_beat(target, now);
        }
    }

    fn answer(&mut self, request: Request, now: Now) {
        let response = match request {
            Request::Heartbeat(beat) => {
                let (peer, members) = (beat.from.address, beat.members);
                self.hear_beat(beat, now);
                let mut reply = self.beat_for(peer, now);
                if members == self.roster.digest() {
                    // The asker holds the same records and needs none of them.
                    reply.rumours.clear();
                }
                Response::Heartbeat(reply)
            }
            Request::Pull(pull) => Response::Pull(self.bundle(pull)),
            Request::Sync(sync) => Response::Sync(self.exchange(sync, now)),
            // This node holds no list of upstreams; an empty one of revision 0 changes nothing.
            Request::Fetch(_) => Response::Fetch(Update::default()),
        };
        self.effects.push(Effect::Reply(response));
    }

    fn hear(&mut self, peer: SocketAddr, response: Response, now: Now) {
        match response {
            Response::Heartbeat(beat) => {
                self.prober.note_success();
                self.hear_beat(beat, now);
            }
            Response::Pull(bundle) => self.hear_bundle(peer, bundle, now),
            Response::Sync(sync) => self.hear_sync(peer, sync, now),
            Response::Fetch(_) => {}
        }
    }

    fn lose(&mut self, peer: SocketAddr, lost: Error, now: Now) {
        if let Some(reason) = lost.malformed {
            self.note(Kind::BadMessage { peer, reason }, now);
        }
        match lost.method {
            Method::Heartbeat => self.suspect(peer, now),
            Method::Pull => self.abandon_pull(peer, now),
            Method::Sync | Method::Fetch => {}
        }
    }

    /// Calls the platform if that is this node's duty now.
    fn call_source(&mut self, now: Now) {
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

    /// Returns this node's place among the readers of its data centre.
    fn find_rank(&self) -> usize {
        source::rank(self.roster.own().address, self.roster.working_neighbours())
    }

    fn sender(&self) -> Sender {
        let own = self.roster.own();
        Sender { address: own.address, incarnation: own.incarnation }
    }

    fn beat(&mut self, now: Now) -> Heartbeat {
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

    /// Returns a beat that also tells `peer` what is believed of it, if that is not the best.
    ///
    /// Only the node itself can end a suspicion, so it must hear of it.
    fn beat_for(&mut self, peer: SocketAddr, now: Now) -> Heartbeat {
        let mut beat = self.beat(now);
        let believed = self.roster.get(peer).filter(|r| r.state != State::Live);
        if let Some(record) = believed.filter(|r| !beat.rumours.contains(r)).cloned() {
            beat.rumours.push(record);
        }
        beat
    }

    fn send_beat(&mut self, target: SocketAddr, now: Now) {
        let beat = self.beat_for(target, now);
        self.effects.push(Effect::Send(target, Request::Heartbeat(beat), probe::TIMEOUT));
    }

    /// Asks a few contacts for their records and their version.
    fn ask_contacts(&mut self, now: Now) {
        let first: Vec<SocketAddr> =
            self.contacts.sample(&mut self.random, FIRST_CONTACTS).copied().collect();
        for contact in first {
            self.send_sync(contact, Vec::new());
            self.send_beat(contact, now);
        }
    }

    fn send_sync(&mut self, target: SocketAddr, buckets: Vec<u64>) {
        let records = vec![self.roster.own().clone()];
        let sync = Sync { from: self.sender(), buckets, records };
        self.effects.push(Effect::Send(target, Request::Sync(sync), SYNC_TIMEOUT));
    }

    /// Announces membership changes that others must know within a moment.
    fn spread_news(&mut self, now: Now) {
        if !self.urgent || now.time < self.urgent_due {
            return;
        }
        self.urgent = false;
        self.urgent_due = now.time + URGENT_INTERVAL;
        let weight = self.fence.snapshot().convergence_weight();
        for target in self.dissemination_targets(0, weight) {
            self.send_beat(target, now);
        }
    }

    /// Tells the others which requests ran when the own upstream ended.
    fn note_end(&mut self, loss: Crash, now: Now) {
        self.quarantine.note_end(&loss, now.time);
        self.note(Kind::UpstreamEnded { requests: loss.labels() }, now);
        self.urgent = true;
    }

    fn refresh_quarantine(&mut self, now: Now) {
        let Some(changes) = self.quarantine.refresh(now.time) else { return };
        for change in changes {
            self.note(change.event(now.time), now);
        }
        self.effects.push(Effect::Quarantine(self.quarantine.current().clone()));
    }

    /// Works out anew what depends on the table of nodes, if that has changed.
    fn refresh(&mut self) {
        if std::mem::replace(&mut self.view_stale, false) {
            let view = View::new(self.roster.iter(), &self.roster.own().data_centre);
            self.effects.push(Effect::View(Arc::new(view)));
            self.rank = self.find_rank();
        }
    }

    fn note(&mut self, kind: Kind, now: Now) {
        let stamp = self.clock.stamp(now);
        self.ring.push(Note { stamp, node: self.settings.own.instance.clone(), kind });
    }
}

impl Machine for Control {
    fn apply(&mut self, event: Event, now: Now) -> Vec<Effect> {
        Control::apply(self, event, now)
    }

    fn status(&mut self, now: Now) -> status::Node {
        Control::status(self, now)
    }

    fn events_after(&self, stamp: Stamp) -> Vec<Note> {
        Control::events_after(self, stamp)
    }

    fn known_revision(&self) -> u64 {
        self.fence.known()
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
