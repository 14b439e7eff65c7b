//! State machine of a node in list mode, where the platform's list names every upstream.
//!
//! Nodes gossip [`Digest`]s as datagrams at a bounded rate: the revisions they hold, with small changes
//! piggybacked. A node that is behind pulls from one that is ahead, and missing digests mark nodes and data
//! centres unreachable.
//!
//! Invariant *single entry point*: only [`Control::apply`] changes the state.

mod changes;
pub mod joining;
mod partition;
mod peers;
mod pull;
mod reports;
pub mod rounds;
mod rumours;
mod updates;
mod view;
pub mod watch;

use model::time::Time;
use rand::{SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    catchup::{Progress, Transfer},
    clock::{Clock, Now, Stamp},
    control::{Effect, Event, Machine, Method},
    directory::Directory,
    fence::{Announced, Fence},
    listed::{
        joining::Occasion,
        peers::Peers,
        pull::Pulls,
        watch::{Duty, Watch},
    },
    member::State,
    message::{Bundle, Digest, Piggyback, Request, Response, Sender},
    quarantine::{REPORTS_PER_DIGEST, Register},
    source::Query,
    status,
    timeline::{Event as TimelineEvent, Kind, Ring},
    view::View,
};

/// Nodes of each other data centre that get changes from the platform at once.
const FAR_FANOUT: usize = 2;

/// Nodes to which changes received from another node are forwarded at once.
const FORWARD_FANOUT: usize = 3;

/// Maximum number of list changes piggybacked on a digest; keeps it within one packet.
const MAX_PIGGYBACK_CHANGES: usize = 5;

/// Maximum size of documents piggybacked on a digest, in bytes; keeps it within one packet.
const MAX_PIGGYBACK_BYTES: usize = 700;

/// How long a node without configuration waits for the platform before it pulls a full copy from a peer.
const PLATFORM_WAIT: Duration = Duration::from_millis(1_000);

/// How long a node may take to pull the configuration that a peer holds before it calls the platform.
const PULL_WAIT: Duration = Duration::from_secs(2);

/// Uptime after which a node counts itself among the readers in a first start; until then those before it
/// may not have registered.
const FIRST_RANK_WAIT: Duration = Duration::from_secs(6);

/// Interval between liveness checks and removals of expired entries.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of a [`Control`] state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The platform's name of the instance.
    pub instance: String,
    /// Service of this node's upstream.
    pub service: String,
    /// Data centre of this node.
    pub data_centre: String,
    /// Address of this node for messages between nodes; all nodes use the same port.
    pub address: SocketAddr,
    /// Port on which every node accepts requests forwarded by other nodes.
    pub traffic_port: u16,
    /// Address of this node's upstream.
    pub upstream: SocketAddr,
    /// Incarnation of this process; increases with each restart.
    pub incarnation: u64,
    /// Speed of this node's link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Largest number of peers that all gossip with each other; the same on all nodes, since it determines
    /// how often each expects to hear from the others.
    pub full_mesh: usize,
    /// Whether the whole fleet starts for the first time.
    pub occasion: Occasion,
    /// How long a starting node waits for peers before its first call to the platform.
    pub join_wait: Duration,
    /// When the platform is called.
    pub watch: watch::Settings,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Product version reported in the status.
    pub product: String,
}

/// Control state of a node in list mode.
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
    /// When each cold upstream counts as warm, by its identity.
    cold_until: BTreeMap<String, Time>,
    /// When the evacuation of each data centre was withdrawn.
    readmitted_at: BTreeMap<String, Time>,
    /// Revision of the latest platform answer that this node read itself.
    read_revision: Option<u64>,
    /// Revision of the platform up to which the configuration in force is known to be the newest one.
    ///
    /// Configurations have revisions of their own, which do not go back when the platform's do.
    config_as_of: u64,
    started: Time,
    leaving: bool,
    ready: bool,
    maintenance_due: Time,
    view_stale: bool,
    view: Arc<View>,
    announced: Announced,
    effects: Vec<Effect>,
}

impl Control {
    /// Creates the state of a starting node.
    pub fn new(settings: Settings, now: Now) -> Self {
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let first_call = now.time
            + settings.join_wait
            + joining::listen_time(settings.occasion, settings.link_mbps, &mut random);
        let mut control = Control {
            clock: Clock::default(),
            ring: Ring::default(),
            random,
            fence: Fence::default(),
            transfer: Transfer::default(),
            directory: Directory::default(),
            watch: Watch::new(settings.watch, first_call),
            peers: Peers::new(
                settings.address,
                settings.link_mbps,
                settings.data_centre.clone(),
                settings.full_mesh,
            ),
            pulls: Pulls::default(),
            quarantine: Register::default(),
            cold_until: BTreeMap::new(),
            readmitted_at: BTreeMap::new(),
            read_revision: None,
            config_as_of: 0,
            started: now.time,
            leaving: false,
            ready: false,
            maintenance_due: now.time,
            view_stale: false,
            view: Arc::default(),
            announced: Announced::default(),
            effects: Vec::new(),
            settings,
        };
        let incarnation = control.settings.incarnation;
        control.record(Kind::Started { incarnation }, now);
        control
    }

    /// Applies one event and returns the resulting effects in order.
    pub fn apply(&mut self, event: Event, now: Now) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Resumed(pause) => self.resume(pause, now),
            Event::Digest(digest) => self.receive_digest(digest, now),
            Event::Request(request) => self.handle_request(request, now),
            Event::Response(peer, response) => self.handle_response(peer, response, now),
            Event::Failed(peer, error) => {
                if let Some(reason) = error.malformed {
                    self.record(Kind::BadMessage { peer, reason }, now);
                }
                self.handle_pull_failure(error.method, peer, now);
            }
            Event::Source(answer) => self.handle_answer(answer, now),
            Event::Record(kind) => self.record(kind, now),
            Event::UpstreamCrashed(crash) => self.record_crash(crash, now),
            Event::Cleared(request) => self.record_cleared(request, now),
            Event::Leave => self.leave(now),
            Event::Stop => self.gossip_to_all(now),
        }
        self.start_pulls(now);
        self.publish_changes(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the recorded events after `stamp`.
    pub fn events_after(&self, stamp: Stamp) -> Vec<TimelineEvent> {
        self.ring.after(stamp)
    }

    /// Returns whether the node holds configuration and list, and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.leaving
    }

    /// Returns this node's copy of the list of upstreams.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.fence.version().revision
    }

    fn tick(&mut self, now: Now) {
        if now.time >= self.maintenance_due {
            self.maintenance_due = now.time + MAINTENANCE_INTERVAL;
            let changes = self.directory.expire(now.time);
            let orders = self.directory.take_changed_orders();
            self.record_changes(changes, None, now);
            self.record_orders(orders, None, now);
            self.peers.prune(now.time);
            self.fence.reset_observed(self.peers.highest_config(now.time));
            // No event reports a missed digest, so liveness is polled.
            self.view_stale |= self.peers.update_liveness(now.time);
        }
        let targets = self.peers.next_targets(now.time, &mut self.random);
        self.gossip(targets, now);
        if !self.watch.is_idle(now.time) {
            return;
        }
        let delay = self.peers.propagation_delay();
        let has_duty = self.watch.should_call(self.duty(now.time), delay, now.time);
        if has_duty || self.must_fetch_config(now.time) {
            let wait = self.watch.start_call(self.peers.is_empty());
            let after = self.read_revision.map(|read| read.max(self.held_revision()));
            self.effects.push(Effect::Read(Query::Changes { after, wait }));
        }
    }

    /// Returns how this node takes part in calling the platform.
    fn duty(&self, now: Time) -> Duty {
        let readers = self.watch.readers(self.peers.data_centres());
        match self.peers.rank(now).checked_sub(readers) {
            None if self.knows_rank(now) => Duty::Reader,
            position => Duty::Standby(position.unwrap_or(0)),
        }
    }

    fn knows_rank(&self, now: Time) -> bool {
        match self.settings.occasion {
            Occasion::FirstStart => now.since(self.started) >= FIRST_RANK_WAIT,
            // What the nodes before it learn in the next seconds may not reach it in time.
            Occasion::Restart => true,
        }
    }

    /// Returns whether this node has to call the platform for its first configuration.
    fn must_fetch_config(&self, now: Time) -> bool {
        let is_overdue = match self.settings.occasion {
            Occasion::FirstStart => {
                now.since(self.started) >= PULL_WAIT && self.peers.highest_config(now) > 0
            }
            Occasion::Restart => true,
        };
        self.fence.held().is_none() && is_overdue
    }

    /// Returns the revision up to which both configuration and list are held, whatever their source.
    ///
    /// A watch that starts here does not return again what peers already sent. It is the lower of the two
    /// because peers send configuration and list separately.
    fn held_revision(&self) -> u64 {
        self.directory.revision().min(self.config_as_of)
    }

    fn resume(&mut self, pause: Duration, now: Now) {
        self.record(Kind::Paused { ms: pause.as_millis() as u64 }, now);
        self.peers.resume(now.time);
        self.watch.call_now(now.time);
    }

    fn receive_digest(&mut self, mut digest: Digest, now: Now) {
        if let Some(age) = digest.contact_ms {
            self.watch.record_remote_contact(Duration::from_millis(age), now.time);
        }
        self.fence.observe(digest.config);
        let (from, piggyback) = (digest.from.address, std::mem::take(&mut digest.piggyback));
        let newest = digest.config_is_newest.then_some((digest.config, digest.list));
        let reports = std::mem::take(&mut digest.reports);
        let is_joiner = digest.from.incarnation > self.peers.incarnation(from);
        if self.peers.receive(digest, now.time) {
            self.view_stale = true;
        }
        self.apply_piggyback(piggyback, from, now);
        if let Some((config, list)) = newest
            && self.fence.held() == Some(config)
        {
            self.config_as_of = self.config_as_of.max(list);
        }
        self.quarantine.merge(&reports, now.time);
        if is_joiner {
            self.send_reports_to_joiner(from, now);
        }
    }

    fn handle_request(&mut self, request: Request, now: Now) {
        let response = match request {
            Request::Pull(pull) => Response::Pull(self.fence.answer(&pull)),
            Request::Fetch(fetch) => Response::Fetch(self.directory.since(fetch.have, now.time)),
            // Only gossip mode uses these.
            Request::Heartbeat(_) | Request::Sync(_) => return,
        };
        self.effects.push(Effect::Reply(response));
    }

    fn handle_response(&mut self, peer: SocketAddr, response: Response, now: Now) {
        match response {
            Response::Pull(bundle) => self.handle_bundle(peer, bundle, now),
            Response::Fetch(update) => {
                self.pulls.list.complete(peer);
                self.merge_list(update, Some(peer), Duration::ZERO, now);
            }
            Response::Heartbeat(_) | Response::Sync(_) => {}
        }
    }

    fn handle_bundle(&mut self, peer: SocketAddr, bundle: Bundle, now: Now) {
        if !self.pulls.config.complete(peer) {
            return;
        }
        match self.transfer.receive(&self.fence, bundle) {
            Progress::Complete(set) => {
                self.offer_config(*set, Some(peer), now);
            }
            Progress::Partial => self.pulls.config.continue_with(peer),
            Progress::Stale => self.pulls.config.exclude(peer, now.time),
            Progress::Unusable => {
                let reason = "the documents do not have the announced digest".to_owned();
                self.record(Kind::BadMessage { peer, reason }, now);
                self.pulls.config.exclude(peer, now.time);
            }
        }
    }

    /// Starts pulls from peers that are ahead, at most one each for configuration and list.
    fn start_pulls(&mut self, now: Now) {
        if !self.should_await_platform(now) {
            let (peers, fence) = (&self.peers, &self.fence);
            let peer = self.pulls.next_config(peers, fence, now.time, &mut self.random);
            let next = peer.map(|peer| (peer, Request::Pull(self.transfer.pull(fence))));
            self.send_pull(next);
        }
        let held = self.directory.revision();
        let next = self.pulls.next_list(&self.peers, held, now.time, &mut self.random);
        self.send_pull(next);
    }

    /// Handles a pull that `peer` did not answer in time.
    fn handle_pull_failure(&mut self, method: Method, peer: SocketAddr, now: Now) {
        if method == Method::Pull {
            self.transfer.record_timeout();
        }
        let failures = self.pulls.fail(method, peer, now.time);
        // Rate-limits the event, so that a long outage does not evict all others from the ring.
        if failures.is_power_of_two() {
            let asked = method.name().to_owned();
            self.record(Kind::PullLost { peer, asked, failures }, now);
        }
    }

    fn send_pull(&mut self, next: Option<(SocketAddr, Request)>) {
        if let Some((peer, request)) = next {
            self.effects.push(Effect::Send(peer, request, pull::TIMEOUT));
        }
    }

    /// Returns whether a node without configuration should still wait for the platform's answer.
    ///
    /// After a mass restart, full copies for every node could saturate the links of the peers that still
    /// serve traffic.
    fn should_await_platform(&self, now: Now) -> bool {
        if joining::is_slow(self.settings.link_mbps) {
            return false;
        }
        let is_pending = self.fence.held().is_none() && !self.watch.is_failing();
        is_pending && now.time.since(self.started) < PLATFORM_WAIT
    }

    fn leave(&mut self, now: Now) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.record(Kind::Leaving { peer: self.settings.address }, now);
        self.gossip_to_all(now);
    }

    fn gossip_to_all(&mut self, now: Now) {
        let targets = self.peers.iter().map(|(address, _)| *address).collect();
        self.gossip(targets, now);
    }

    fn gossip(&mut self, targets: Vec<SocketAddr>, now: Now) {
        self.gossip_with(targets, Piggyback::default(), now);
    }

    fn gossip_with(&mut self, targets: Vec<SocketAddr>, piggyback: Piggyback, now: Now) {
        if targets.is_empty() {
            return;
        }
        let (contact_ages_ms, rumours) = self.peers.indirect_state(now.time);
        let reports = self.quarantine.next_reports(REPORTS_PER_DIGEST, now.time);
        let digest = Digest { contact_ages_ms, rumours, piggyback, reports, ..self.digest(now) };
        self.effects.push(Effect::Gossip(targets, digest));
    }

    /// Returns a digest of this node's state, without rumours, changes or reports.
    fn digest(&self, now: Now) -> Digest {
        Digest {
            from: Sender { address: self.settings.address, incarnation: self.settings.incarnation },
            data_centre: self.settings.data_centre.clone(),
            config: self.fence.version().revision,
            list: self.directory.revision(),
            config_is_newest: self.config_as_of >= self.directory.revision(),
            contact_ms: self.watch.contact_age(now.time).map(|age| age.as_millis() as u64),
            link_mbps: self.settings.link_mbps,
            failing: self.watch.is_failing(),
            leaving: self.leaving,
            contact_ages_ms: BTreeMap::new(),
            rumours: Vec::new(),
            piggyback: Piggyback::default(),
            reports: Vec::new(),
        }
    }

    /// Emits effects for view, expected revision, quarantine and readiness where they have changed.
    fn publish_changes(&mut self, now: Now) {
        if std::mem::replace(&mut self.view_stale, false) {
            let view = Arc::new(self.build_view(now));
            if view != self.view {
                self.view = view.clone();
                self.effects.push(Effect::View(view));
            }
        }
        self.effects.extend(self.announced.update(&self.fence).map(Effect::Expected));
        self.publish_quarantine(now);
        let ready = self.fence.held().is_some() && self.directory.revision() > 0;
        if ready && !self.ready {
            self.ready = true;
            self.effects.push(Effect::Open);
            self.record(Kind::Ready { ready }, now);
            // Starting nodes on slow links wait for the digest of a peer that they can pull from.
            let targets = self.peers.broadcast_targets(FAR_FANOUT, &mut self.random);
            self.gossip(targets, now);
        }
    }

    fn record(&mut self, kind: Kind, now: Now) {
        let stamp = self.clock.stamp(now);
        self.ring.push(TimelineEvent { stamp, node: self.settings.instance.clone(), kind });
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
        self.watch.contact_age(now)
    }

    fn count(&self, state: State) -> usize {
        self.view.iter().filter(|(_, upstream)| upstream.state == state).count()
    }
}
