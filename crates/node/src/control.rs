//! The control thread, which drives the state machine of `fleet`, and the client through which
//! other threads send it events and requests.

use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use fleet::{
    clock::Stamp,
    control::{self, Control, Effect, Event, Machine, Method},
    dissemination, listed,
    member::{Record, State},
    message::{Digest, Request, Response},
    source::{Answer, Failure, Query, Topic},
    status,
    timeline::{self, Kind},
};
use peer::{
    Reply,
    datagram::{self, Socket},
};
use snafu::ResultExt;
use source::Source;
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};
use telemetry::metric::Meter;
use tokio::{runtime::Handle, sync::oneshot};
use traffic::{Clock, Proxy};

use crate::{
    DigestsSnafu, Error, ThreadSnafu, VERSION, now,
    settings::{Discovery, Dissemination, Settings},
};

/// Interval of [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of the first call to the platform with [`Discovery::List`]; covers the opening of sockets.
const JOIN_WAIT: Duration = Duration::from_millis(20);

/// Interval at which events of `traffic` are collected and gauges updated.
const COLLECT_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity of the control thread's queue, in messages. Requests of other nodes that exceed it get no
/// response, which the sender counts as a failed probe.
const QUEUE_CAPACITY: usize = 4_096;

/// Member states and their labels in the gauge of members.
const REPORTED_STATES: [(State, &str); 6] = [
    (State::Live, "live"),
    (State::Suspect, "suspect"),
    (State::Unreachable, "unreachable"),
    (State::Leaving, "leaving"),
    (State::Gone, "gone"),
    (State::Evacuated, "evacuated"),
];

/// Dependencies of the control thread besides the settings.
pub(crate) struct Dependencies {
    pub(crate) own: Record,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) clock: Clock,
    pub(crate) meter: Arc<Meter>,
    pub(crate) peers: Handle,
}

/// A message to the control thread.
enum Message {
    Event(Event),
    Request(Request, oneshot::Sender<Response>),
    Status(oneshot::Sender<status::Node>),
    Events(Stamp, oneshot::Sender<Vec<timeline::Event>>),
}

/// Sends events and requests to the control thread.
#[derive(Clone)]
pub(crate) struct Client {
    sender: Sender<Message>,
}

impl Client {
    /// Queues an event; blocks while the queue is full.
    pub(crate) fn send(&self, event: Event) {
        // Fails only after the control thread has ended, during shutdown.
        let _ = self.sender.send(Message::Event(event));
    }

    /// Returns whether the control thread is running.
    pub(crate) fn is_open(&self) -> bool {
        !matches!(
            self.sender.try_send(Message::Event(Event::Tick)),
            Err(TrySendError::Disconnected(_))
        )
    }

    fn request<T: Send + 'static>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Reply<T> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.sender.try_send(message(sender)).is_ok();
        Box::pin(async move { if sent { receiver.await.ok() } else { None } })
    }
}

impl peer::Handler for Client {
    fn handle(&self, request: Request) -> Reply<Response> {
        Client::request(self, |reply| Message::Request(request, reply))
    }

    fn status(&self) -> Reply<status::Node> {
        Client::request(self, Message::Status)
    }

    fn events(&self, stamp: Stamp) -> Reply<Vec<timeline::Event>> {
        Client::request(self, |reply| Message::Events(stamp, reply))
    }
}

/// Starts the control thread, the platform readers and, where digests are used, their receiver.
pub(crate) fn start(settings: &Settings, deps: Dependencies) -> Result<Client, Error> {
    let (sender, receiver) = channel::bounded(QUEUE_CAPACITY);
    let client = Client { sender };
    let start_reader =
        |number| start_reader(number, deps.source.clone(), client.clone()).context(ThreadSnafu);
    let (config_reader, list_reader) = (start_reader(0)?, start_reader(1)?);
    let mut digest_socket = None;
    let started = now(&deps.clock);
    let machine: Box<dyn Machine> = match settings.discovery {
        Discovery::Gossip => Box::new(Control::new(control_settings(settings, &deps), started)),
        Discovery::List => {
            let socket = Arc::new(Socket::bind(settings.listen.peers).context(DigestsSnafu)?);
            start_digest_receiver(socket.clone(), client.clone()).context(ThreadSnafu)?;
            digest_socket = Some(socket);
            Box::new(listed::Control::new(listed_settings(settings, &deps), started))
        }
    };
    let last_logged = Stamp::default();
    let mut driver = Driver {
        machine,
        deps,
        client: client.clone(),
        config_reader,
        list_reader,
        digest_socket,
        last_logged,
    };
    let thread = thread::Builder::new().name("control".to_owned());
    thread.spawn(move || driver.run(&receiver)).context(ThreadSnafu)?;
    Ok(client)
}

fn control_settings(settings: &Settings, deps: &Dependencies) -> fleet::control::Settings {
    let dissemination: Box<dyn dissemination::Strategy> = match settings.dissemination {
        Dissemination::Epidemic => Box::new(dissemination::Epidemic::default()),
        Dissemination::Tree => Box::new(dissemination::Tree::default()),
        Dissemination::Pull => Box::new(dissemination::Pull),
    };
    fleet::control::Settings {
        seeds: settings.seeds.clone(),
        dissemination,
        seed: rand::random(),
        product: VERSION.to_owned(),
        ..fleet::control::Settings::new(deps.own.clone())
    }
}

fn listed_settings(settings: &Settings, deps: &Dependencies) -> listed::Settings {
    listed::Settings {
        instance: settings.instance.clone(),
        service: settings.service.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.peers,
        traffic_port: settings.listen.nodes.unwrap_or(settings.listen.traffic).port(),
        upstream: settings.upstream.address,
        incarnation: deps.own.incarnation,
        link_mbps: settings.link_mbps,
        full_mesh: settings.full_mesh,
        occasion: settings.occasion,
        join_wait: JOIN_WAIT,
        watch: listed::watch::Settings::default(),
        seed: rand::random(),
        product: VERSION.to_owned(),
    }
}

/// Starts the thread that receives gossip digests of other nodes.
fn start_digest_receiver(socket: Arc<Socket>, client: Client) -> io::Result<()> {
    let work = move || {
        while client.is_open() {
            match socket.receive() {
                Ok(digest) => client.send(Event::Digest(digest)),
                Err(datagram::Error::Malformed { from, source }) => {
                    let reason = source.to_string();
                    client.send(Event::Record(Kind::BadMessage { peer: from, reason }));
                }
                // Keeps a persistent socket error from turning this into a busy loop.
                Err(_) => thread::sleep(TICK_INTERVAL),
            }
        }
    };
    thread::Builder::new().name("digests".to_owned()).spawn(work).map(drop)
}

/// Starts a thread that sends queries to the platform, one at a time.
fn start_reader(
    number: usize,
    source: Arc<dyn Source>,
    client: Client,
) -> io::Result<Sender<Query>> {
    let (sender, receiver) = channel::bounded::<Query>(1);
    let work = move || {
        for query in receiver {
            client.send(Event::Source(source.read(query)));
        }
    };
    thread::Builder::new().name(format!("source-{number}")).spawn(work)?;
    Ok(sender)
}

/// Owns the state machine, feeds it events and executes its effects.
struct Driver {
    machine: Box<dyn Machine>,
    deps: Dependencies,
    client: Client,
    config_reader: Sender<Query>,
    list_reader: Sender<Query>,
    digest_socket: Option<Arc<Socket>>,
    last_logged: Stamp,
}

impl Driver {
    fn run(&mut self, messages: &Receiver<Message>) {
        let ticks = channel::tick(TICK_INTERVAL);
        let collections = channel::tick(COLLECT_INTERVAL);
        loop {
            channel::select! {
                recv(messages) -> message => match message {
                    Ok(message) => self.handle(message),
                    Err(_) => return,
                },
                recv(ticks) -> _ => {
                    self.apply_crashes();
                    self.apply(Event::Tick, None);
                }
                recv(collections) -> _ => self.collect(),
            }
        }
    }

    /// Passes on crashes of the colocated upstream, and requests cleared of suspicion.
    fn apply_crashes(&mut self) {
        for crash in self.deps.proxy.take_crashes() {
            self.apply(Event::UpstreamCrashed(crash), None);
        }
        for request in self.deps.proxy.take_cleared() {
            self.apply(Event::Cleared(request), None);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            // Sent by `Client::is_open` as a liveness check; real ticks come from the timer in `run`.
            Message::Event(Event::Tick) => {}
            Message::Event(event) => self.apply(event, None),
            Message::Request(request, reply) => self.apply(Event::Request(request), Some(reply)),
            Message::Status(reply) => {
                let status = self.machine.status(now(&self.deps.clock));
                let _ = reply.send(status);
            }
            Message::Events(stamp, reply) => {
                let _ = reply.send(self.machine.events_after(stamp));
            }
        }
    }

    fn apply(&mut self, event: Event, mut reply: Option<oneshot::Sender<Response>>) {
        for effect in self.machine.apply(event, now(&self.deps.clock)) {
            match effect {
                Effect::Reply(response) => {
                    if let Some(reply) = reply.take() {
                        // Fails if the peer has disconnected; its next probe gets the same state.
                        let _ = reply.send(response);
                    }
                }
                Effect::Send(peer, request, timeout) => self.send_request(peer, request, timeout),
                Effect::Read(query) => self.read(query),
                Effect::InForce(snapshot) => {
                    self.deps.meter.set_revision(snapshot.version.revision);
                    self.deps.proxy.set_config(snapshot);
                }
                Effect::Expected(revision) => self.deps.proxy.set_expected_revision(revision),
                Effect::View(view) => self.deps.proxy.set_view(view),
                Effect::Gossip(targets, digest) => self.send_digest(&targets, &digest),
                Effect::Quarantine(quarantine) => {
                    self.deps.meter.set_quarantined(quarantine.until.len() as u64);
                    self.deps.proxy.set_quarantine(quarantine);
                }
                Effect::Open => self.deps.proxy.set_ready(true),
                Effect::Drain => self.deps.proxy.leave(),
            }
        }
        self.log_events();
    }

    fn send_digest(&self, targets: &[SocketAddr], digest: &Digest) {
        let Some(socket) = &self.digest_socket else { return };
        for _ in 0..targets.len() {
            self.deps.meter.count_message("digest");
        }
        // Digests are sent periodically, so that one that cannot be sent needs no retry.
        let _unsent = socket.send(targets, digest);
    }

    fn send_request(&self, peer: SocketAddr, request: Request, timeout: Duration) {
        let method = match request {
            Request::Heartbeat(_) => Method::Heartbeat,
            Request::Pull(_) => Method::Pull,
            Request::Sync(_) => Method::Sync,
            Request::Fetch(_) => Method::Fetch,
        };
        self.deps.meter.count_message(method.name());
        let client = self.client.clone();
        let meter = self.deps.meter.clone();
        self.deps.peers.spawn(async move {
            let event = match peer::send(peer, &request, timeout).await {
                Ok(response) => Event::Response(peer, response),
                Err(error) => {
                    meter.count_lost_message(method.name());
                    let malformed = matches!(
                        error,
                        peer::Error::Malformed { .. } | peer::Error::Decompress { .. }
                    );
                    let malformed = malformed.then(|| error.to_string());
                    Event::Failed(peer, control::Error { method, malformed })
                }
            };
            client.send(event);
        });
    }

    fn read(&mut self, query: Query) {
        self.deps.meter.count_source_read();
        let (reader, topic) = match query {
            Query::Config { .. } => (&self.config_reader, Topic::Config),
            Query::Changes { .. } => (&self.config_reader, Topic::Changes),
            Query::List { .. } => (&self.list_reader, Topic::List),
        };
        if reader.try_send(query).is_err() {
            // The reader thread is still blocked by an earlier call that the state machine gave up.
            let failure =
                Failure::Unreachable("an earlier call to the platform has not returned".to_owned());
            self.apply(Event::Source(Answer::Failed(topic, failure)), None);
        }
    }

    fn collect(&mut self) {
        for kind in self.deps.proxy.collect_events() {
            self.apply(Event::Record(kind), None);
        }
        let contact_age = self.machine.contact_age(self.deps.clock.now());
        self.deps.proxy.update_share(contact_age);
        self.deps.meter.set_control_cpu(crate::process::control_cpu_seconds());
        self.deps.meter.set_known_revision(self.machine.known_revision());
        for (state, name) in REPORTED_STATES {
            self.deps.meter.set_members(name, self.machine.count(state) as u64);
        }
    }

    /// Logs the events since the last call.
    fn log_events(&mut self) {
        for event in self.machine.events_after(self.last_logged) {
            self.last_logged = event.stamp;
            if matches!(event.kind, Kind::Rejected { .. }) {
                self.deps.meter.count_rejection();
            }
            telemetry::log::event(&event);
        }
    }
}
