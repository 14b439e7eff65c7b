//! The state machine of a node whose platform lists the upstreams.
//!
//! [`crate::control`] finds the other nodes by their own word: it suits a platform that knows no
//! more than addresses. Where the platform lists every upstream with its service, address and
//! standing, that list decides who gets calls, and nodes need to tell each other only how far they
//! hold configuration and list. They do so with small datagrams, [`Digest`]s, to others in turn, as many a
//! second however many nodes there are. Small changes travel with them; what a node lacks besides it pulls
//! from one that is ahead. Silence of a node that spoke before, or of a whole data centre, shows that it is
//! out of reach.
//!
//! Invariant *one way in*: [`Control::apply`] is the only way to change the state.

mod changes;
mod partition;
mod peers;
mod pull;
mod reports;
mod rounds;
mod rumours;
mod updates;
mod view;
pub mod watch;

use model::time::Time;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    catchup::{Progress, Transfer},
    clock::{Clock, Now, Stamp},
    control::{Effect, Event, Machine, Method},
    directory::Directory,
    fence::{Announced, Fence},
    listed::{peers::Peers, pull::Pulls, watch::Watch},
    member::State,
    message::{Bundle, Digest, Piggyback, Request, Response, Sender},
    quarantine::{REPORTS_PER_DIGEST, Register},
    source::Query,
    status,
    timeline::{Event as Note, Kind, Ring},
    view::View,
};

/// How long removals are in doubt after the platform's return.
///
/// Entries that lapsed while it was away are back within two seconds if their upstreams live.
const DOUBT: Duration = Duration::from_millis(2_200);

/// Nodes of each other data centre that are told at once of news from the platform.
const FAR_AUDIENCE: usize = 2;

/// Nodes that are told at once of news from another node.
const PASSED_ON: usize = 3;

/// Most changes of the list that travel with a summary. With five entries of some 170 bytes it is still one
/// packet.
const NEWS_CHANGES: usize = 5;

/// Most bytes of documents that travel with a summary, for the same reason.
const NEWS_BYTES: usize = 700;

/// How long a node without configuration waits for the platform before it asks another node for
/// the whole of it. Twice the time that the largest answers take on a slow link would be more; a
/// platform that fails says so sooner, or is down.
const PLATFORM_FIRST: Duration = Duration::from_millis(1_000);

/// Speed of a link, in Mbit/s, below which a starting node listens for others before it calls the
/// platform.
///
/// The platform's answer holds half a megabyte for 2,000 routes, 0.8 s at 5 Mbit/s; other nodes send
/// a fraction of that, compressed.
const SLOW_LINK_MBPS: u32 = 25;

/// How long such a node listens. One that goes on working speaks to it within two seconds over their
/// number; after the end of all processes the first ones on fast links are ready after half a
/// second.
const LISTEN: Duration = Duration::from_millis(800);

/// Random time added to [`LISTEN`], so that nodes that heard nobody do not all call at once.
const LISTEN_SPREAD: Duration = Duration::from_millis(200);

/// Time between two looks at who is silent.
const UPKEEP: Duration = Duration::from_millis(100);

/// Settings of a [`Control`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The platform's name of the instance.
    pub instance: String,
    /// Service of its upstream.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address of this node for messages between nodes; all nodes use the same port.
    pub address: SocketAddr,
    /// Port at which all nodes take calls of other nodes.
    pub traffic_port: u16,
    /// Address of the upstream beside this node.
    pub upstream: SocketAddr,
    /// Life of this process.
    pub incarnation: u64,
    /// Speed of this node's link, in Mbit/s; 0 where it is not known.
    pub link_mbps: u32,
    /// How long a starting node listens for others before it turns to the platform.
    pub join_wait: Duration,
    /// When the platform is called.
    pub watch: watch::Settings,
    /// Seed of all random choices.
    pub seed: u64,
    /// Product version told to operators.
    pub product: String,
}

/// All control state of a node in listed mode.
pub struct Control {
    settings: Settings,
    clock: Clock,
    ring: Ring,
    random: SmallRng,
    fence: Fence,
    transfer: Transfer,
    directory: Directory,
    watch: Watch,
    peers: Peers,
    pulls: Pulls,
    quarantine: Register,
    /// Until when upstreams are cold, by their identities.
    cold_until: BTreeMap<String, Time>,
    /// When orders to evacuate a data centre were withdrawn.
    taken_back: BTreeMap<String, Time>,
    /// Revision up to which the platform's own answers are held.
    read_to: Option<u64>,
    started: Time,
    leaving: bool,
    ready: bool,
    upkeep_due: Time,
    view_stale: bool,
    shown: Arc<View>,
    announced: Announced,
    effects: Vec<Effect>,
}

impl Control {
    /// Creates the state of a starting node.
    pub fn new(settings: Settings, now: Now) -> Self {
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let first_call = now.time + settings.join_wait + listening(settings.link_mbps, &mut random);
        let mut control = Control {
            clock: Clock::default(),
            ring: Ring::default(),
            random,
            fence: Fence::default(),
            transfer: Transfer::default(),
            directory: Directory::default(),
            watch: Watch::new(settings.watch, first_call),
            peers: Peers::new(settings.address, settings.link_mbps, settings.data_centre.clone()),
            pulls: Pulls::default(),
            quarantine: Register::default(),
            cold_until: BTreeMap::new(),
            taken_back: BTreeMap::new(),
            read_to: None,
            started: now.time,
            leaving: false,
            ready: false,
            upkeep_due: now.time,
            view_stale: false,
            shown: Arc::default(),
            announced: Announced::default(),
            effects: Vec::new(),
            settings,
        };
        let incarnation = control.settings.incarnation;
        control.note(Kind::Started { incarnation }, now);
        control
    }

    /// Takes one event into account and returns what is to be done, in order.
    pub fn apply(&mut self, event: Event, now: Now) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Resumed(pause) => self.wake(pause, now),
            Event::Digest(digest) => self.hear(digest, now),
            Event::Request(request) => self.answer(request, now),
            Event::Response(peer, response) => self.take(peer, response, now),
            Event::Failed(peer, lost) => {
                if let Some(reason) = lost.malformed {
                    self.note(Kind::BadMessage { peer, reason }, now);
                }
                self.lose(lost.method, peer, now);
            }
            Event::Source(answer) => self.hear_source(answer, now),
            Event::Note(kind) => self.note(kind, now),
            Event::UpstreamEnded(loss) => self.note_end(loss, now),
            Event::Cleared(request) => self.note_answer(request, now),
            Event::Leave => self.leave(now),
            Event::Stop => self.tell_all(now),
        }
        self.pull(now);
        self.refresh(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the events after `stamp`.
    pub fn events_after(&self, stamp: Stamp) -> Vec<Note> {
        self.ring.after(stamp)
    }

    /// Tells whether configuration and list are held, so that calls can be judged.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.leaving
    }

    /// Returns the list as this node holds it.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the revision of the configuration in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.fence.version().revision
    }

    fn tick(&mut self, now: Now) {
        if now.time >= self.upkeep_due {
            self.upkeep_due = now.time + UPKEEP;
            let changes = self.directory.expire(now.time);
            self.note_changes(changes, None, now);
            self.peers.prune(now.time);
            self.fence.reset_observed(self.peers.known_config(now.time));
            // Silence has no event of its own.
            self.view_stale |= self.peers.look(now.time);
        }
        let targets = self.peers.turn(now.time, &mut self.random);
        self.tell(targets, now);
        if !self.watch.is_idle(now.time) {
            return;
        }
        let rank = self.peers.rank(now.time);
        let readers = self.watch.readers(self.peers.data_centres());
        let spread = self.peers.spread();
        if self.fence.held().is_none() || self.watch.is_due(rank, readers, spread, now.time) {
            let wait = self.watch.begin(self.peers.is_empty());
            let after = self.read_to.map(|read| read.max(self.held()));
            self.effects.push(Effect::Read(Query::Changes { after, wait }));
        }
    }

    /// Returns the revision up to which configuration and list are held, whoever told them.
    ///
    /// A watch need not tell again what came from others since this node's own last reading: after a
    /// storm of changes that would be every version of the configuration, a megabyte each. The word
    /// of others for one of the two things says nothing about how far the other is held.
    fn held(&self) -> u64 {
        self.directory.revision().min(self.fence.version().revision)
    }

    fn wake(&mut self, pause: Duration, now: Now) {
        self.note(Kind::Paused { ms: pause.as_millis() as u64 }, now);
        self.peers.wake(now.time);
        self.watch.hurry(now.time);
    }

    fn hear(&mut self, mut digest: Digest, now: Now) {
        if let Some(age) = digest.contact_ms {
            self.watch.hear(Duration::from_millis(age), now.time);
        }
        self.fence.observe(digest.config);
        let (from, piggyback) = (digest.from.address, std::mem::take(&mut digest.piggyback));
        let reports = std::mem::take(&mut digest.reports);
        let is_newcomer = digest.from.incarnation > self.peers.incarnation(from);
        if self.peers.hear(digest, now.time) {
            self.view_stale = true;
        }
        self.hear_piggyback(piggyback, from, now);
        self.quarantine.merge(&reports, now.time);
        if is_newcomer {
            self.tell_newcomer(from, now);
        }
    }

    fn answer(&mut self, request: Request, now: Now) {
        let response = match request {
            Request::Pull(pull) => Response::Pull(self.fence.answer(&pull)),
            Request::Fetch(fetch) => Response::Fetch(self.directory.since(fetch.have, now.time)),
            // Beats and exchanges of records belong to the mode without a list.
            Request::Heartbeat(_) | Request::Sync(_) => return,
        };
        self.effects.push(Effect::Reply(response));
    }

    fn take(&mut self, peer: SocketAddr, response: Response, now: Now) {
        match response {
            Response::Pull(bundle) => self.take_bundle(peer, bundle, now),
            Response::Fetch(update) => {
                self.pulls.list.end(peer);
                self.merge(update, Some(peer), Duration::ZERO, now);
            }
            Response::Heartbeat(_) | Response::Sync(_) => {}
        }
    }

    fn take_bundle(&mut self, peer: SocketAddr, bundle: Bundle, now: Now) {
        if !self.pulls.config.end(peer) {
            return;
        }
        match self.transfer.receive(&self.fence, bundle) {
            Progress::Complete(set) => {
                self.offer(*set, Some(peer), now);
            }
            Progress::Partial => self.pulls.config.go_on_with(peer),
            Progress::Stale => self.pulls.config.avoid(peer, now.time),
            Progress::Unusable => {
                let reason = "the documents do not have the announced digest".to_owned();
                self.note(Kind::BadMessage { peer, reason }, now);
                self.pulls.config.avoid(peer, now.time);
            }
        }
    }

    /// Pulls what another node is ahead with, unless a pull is under way.
    fn pull(&mut self, now: Now) {
        if !self.awaits_platform(now) {
            let (peers, fence) = (&self.peers, &self.fence);
            let peer = self.pulls.next_config(peers, fence, now.time, &mut self.random);
            let next = peer.map(|peer| (peer, Request::Pull(self.transfer.pull(fence))));
            self.send_pull(next);
        }
        let held = self.directory.revision();
        let next = self.pulls.next_list(&self.peers, held, now.time, &mut self.random);
        self.send_pull(next);
    }

    /// Takes into account that `peer` did not answer a pull in time.
    fn lose(&mut self, method: Method, peer: SocketAddr, now: Now) {
        if method == Method::Pull {
            self.transfer.note_timeout();
        }
        let failures = self.pulls.fail(method, peer, now.time);
        // A night of failures must not push everything else out of the ring.
        if failures.is_power_of_two() {
            let asked = method.name().to_owned();
            self.note(Kind::PullLost { peer, asked, failures }, now);
        }
    }

    fn send_pull(&mut self, next: Option<(SocketAddr, Request)>) {
        if let Some((peer, request)) = next {
            self.effects.push(Effect::Send(peer, request, pull::TIMEOUT));
        }
    }

    /// Tells whether a node without configuration should still wait for the platform's answer.
    ///
    /// After a herd restart all nodes want the whole configuration at once. The platform's link
    /// carries that; those of the nodes that went on working, which serve everybody meanwhile, may
    /// not.
    fn awaits_platform(&self, now: Now) -> bool {
        if is_slow(self.settings.link_mbps) {
            return false;
        }
        let asked = self.fence.held().is_none() && !self.watch.is_failing();
        asked && now.time.since(self.started) < PLATFORM_FIRST
    }

    fn leave(&mut self, now: Now) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.note(Kind::Leaving { peer: self.settings.address }, now);
        self.tell_all(now);
    }

    fn tell_all(&mut self, now: Now) {
        let targets = self.peers.iter().map(|(address, _)| *address).collect();
        self.tell(targets, now);
    }

    fn tell(&mut self, targets: Vec<SocketAddr>, now: Now) {
        self.tell_news(targets, Piggyback::default(), now);
    }

    fn tell_news(&mut self, targets: Vec<SocketAddr>, piggyback: Piggyback, now: Now) {
        if targets.is_empty() {
            return;
        }
        let (heard_ms, rumours) = self.peers.hearsay(now.time);
        let reports = self.quarantine.next_reports(REPORTS_PER_DIGEST, now.time);
        let digest = Digest { heard_ms, rumours, piggyback, reports, ..self.digest(now) };
        self.effects.push(Effect::Gossip(targets, digest));
    }

    /// Returns a summary of what this node holds, and nothing of others.
    fn digest(&self, now: Now) -> Digest {
        Digest {
            from: Sender { address: self.settings.address, incarnation: self.settings.incarnation },
            data_centre: self.settings.data_centre.clone(),
            config: self.fence.version().revision,
            list: self.directory.revision(),
            contact_ms: self.watch.contact_age(now.time).map(|age| age.as_millis() as u64),
            link_mbps: self.settings.link_mbps,
            failing: self.watch.is_failing(),
            leaving: self.leaving,
            heard_ms: BTreeMap::new(),
            rumours: Vec::new(),
            piggyback: Piggyback::default(),
            reports: Vec::new(),
        }
    }

    /// Works out anew what depends on list and peers, if that has changed.
    fn refresh(&mut self, now: Now) {
        if std::mem::replace(&mut self.view_stale, false) {
            let view = Arc::new(self.view(now));
            if view != self.shown {
                self.shown = view.clone();
                self.effects.push(Effect::View(view));
            }
        }
        self.effects.extend(self.announced.update(&self.fence).map(Effect::Expected));
        self.refresh_quarantine(now);
        let ready = self.fence.held().is_some() && self.directory.revision() > 0;
        if ready && !self.ready {
            self.ready = true;
            self.effects.push(Effect::Open);
            self.note(Kind::Ready { ready }, now);
            // Starting nodes on slow links wait for a word of one that they can learn from.
            let targets = self.peers.first_audience(FAR_AUDIENCE, &mut self.random);
            self.tell(targets, now);
        }
    }

    fn note(&mut self, kind: Kind, now: Now) {
        let stamp = self.clock.stamp(now);
        self.ring.push(Note { stamp, node: self.settings.instance.clone(), kind });
    }
}

/// Tells whether a link of `link_mbps` is slow; 0 stands for one of unknown speed.
fn is_slow(link_mbps: u32) -> bool {
    (1..SLOW_LINK_MBPS).contains(&link_mbps)
}

/// Returns how long a starting node listens for others before it calls the platform.
fn listening(link_mbps: u32, random: &mut SmallRng) -> Duration {
    if !is_slow(link_mbps) {
        return Duration::ZERO;
    }
    LISTEN + LISTEN_SPREAD.mul_f64(random.random_range(0.0..1.0))
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
        self.shown.iter().filter(|(_, upstream)| upstream.state == state).count()
    }
}
