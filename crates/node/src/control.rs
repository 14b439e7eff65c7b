//! The control thread and its link to the others.

use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use fleet::{
    clock::Stamp,
    control::{Control, Effect, Error, Event, Machine, Method},
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
use source::Source;
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};
use telemetry::metric::Meter;
use tokio::{runtime::Handle, sync::oneshot};
use traffic::{Clock, Proxy};

use crate::{
    VERSION, now,
    settings::{Discovery, Dissemination, Settings},
};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(50);

/// How long a node with the platform's list waits before it calls the platform first: nothing
/// but the time in which its sockets are opened.
const JOIN_WAIT: Duration = Duration::from_millis(20);

/// Time between two collections of traffic's counts.
const COLLECT: Duration = Duration::from_secs(1);

/// Messages that may wait for the control thread; further ones from other nodes are dropped, and
/// their senders take that as a failed probe.
const BACKLOG: usize = 4_096;

/// States that the gauge of members tells apart.
const STATES: [(State, &str); 6] = [
    (State::Live, "live"),
    (State::Suspect, "suspect"),
    (State::Unreachable, "unreachable"),
    (State::Leaving, "leaving"),
    (State::Gone, "gone"),
    (State::Evacuated, "evacuated"),
];

/// What the control thread needs besides the settings.
pub(crate) struct Parts {
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
    Ask(Request, oneshot::Sender<Response>),
    Status(oneshot::Sender<status::Node>),
    Events(Stamp, oneshot::Sender<Vec<timeline::Event>>),
}

/// The way to the control thread.
#[derive(Clone)]
pub(crate) struct Link {
    sender: Sender<Message>,
}

impl Link {
    /// Reports an event.
    pub(crate) fn send(&self, event: Event) {
        // The receiver is gone only when the process ends; then nobody misses the event.
        let _ = self.sender.send(Message::Event(event));
    }

    /// Tells whether the control thread still runs.
    pub(crate) fn is_open(&self) -> bool {
        !matches!(
            self.sender.try_send(Message::Event(Event::Tick)),
            Err(TrySendError::Disconnected(_))
        )
    }

    fn ask<T: Send + 'static>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Reply<T> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.sender.try_send(message(sender)).is_ok();
        Box::pin(async move { if sent { receiver.await.ok() } else { None } })
    }
}

impl peer::Handler for Link {
    fn handle(&self, request: Request) -> Reply<Response> {
        Link::ask(self, |reply| Message::Ask(request, reply))
    }

    fn status(&self) -> Reply<status::Node> {
        Link::ask(self, Message::Status)
    }

    fn events(&self, stamp: Stamp) -> Reply<Vec<timeline::Event>> {
        Link::ask(self, |reply| Message::Events(stamp, reply))
    }
}

/// Starts the control thread and the threads that call the platform.
pub(crate) fn start(settings: &Settings, parts: Parts) -> io::Result<Link> {
    let (sender, receiver) = channel::bounded(BACKLOG);
    let link = Link { sender };
    let config = start_reader(0, parts.source.clone(), link.clone())?;
    let list = start_reader(1, parts.source.clone(), link.clone())?;
    let mut digests = None;
    let begin = now(&parts.clock);
    let machine: Box<dyn Machine> = match settings.discovery {
        Discovery::Gossip => Box::new(Control::new(control_settings(settings, &parts), begin)),
        Discovery::List => {
            let socket = Socket::bind(settings.listen.peers).map_err(io::Error::other)?;
            let socket = Arc::new(socket);
            start_listener(socket.clone(), link.clone())?;
            digests = Some(socket);
            Box::new(listed::Control::new(listed_settings(settings, &parts), begin))
        }
    };
    let logged = Stamp::default();
    let mut driver = Driver { machine, parts, link: link.clone(), config, list, digests, logged };
    thread::Builder::new().name("control".to_owned()).spawn(move || driver.run(&receiver))?;
    Ok(link)
}

fn control_settings(settings: &Settings, parts: &Parts) -> fleet::control::Settings {
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
        ..fleet::control::Settings::new(parts.own.clone())
    }
}

fn listed_settings(settings: &Settings, parts: &Parts) -> listed::Settings {
    listed::Settings {
        instance: settings.instance.clone(),
        service: settings.service.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.peers,
        traffic_port: settings.listen.nodes.unwrap_or(settings.listen.traffic).port(),
        upstream: settings.upstream.address,
        incarnation: parts.own.incarnation,
        link_mbps: settings.link_mbps,
        join_wait: JOIN_WAIT,
        watch: listed::watch::Settings::default(),
        seed: rand::random(),
        product: VERSION.to_owned(),
    }
}

/// Starts a thread that takes the summaries of other nodes.
fn start_listener(socket: Arc<Socket>, link: Link) -> io::Result<()> {
    let work = move || {
        while link.is_open() {
            match socket.receive() {
                Ok(digest) => link.send(Event::Digest(digest)),
                Err(datagram::Error::Malformed { from, source }) => {
                    let reason = source.to_string();
                    link.send(Event::Note(Kind::BadMessage { peer: from, reason }));
                }
                // Nothing can be done about the socket; the loop must not spin on it.
                Err(_) => thread::sleep(TICK),
            }
        }
    };
    thread::Builder::new().name("digests".to_owned()).spawn(work).map(drop)
}

/// Starts a thread that makes one call to the platform after the other.
fn start_reader(number: usize, source: Arc<dyn Source>, link: Link) -> io::Result<Sender<Query>> {
    let (sender, receiver) = channel::bounded::<Query>(1);
    let work = move || {
        for query in receiver {
            link.send(Event::Source(source.read(query)));
        }
    };
    thread::Builder::new().name(format!("source-{number}")).spawn(work)?;
    Ok(sender)
}

/// Drives the state machine.
struct Driver {
    machine: Box<dyn Machine>,
    parts: Parts,
    link: Link,
    config: Sender<Query>,
    list: Sender<Query>,
    digests: Option<Arc<Socket>>,
    logged: Stamp,
}

impl Driver {
    fn run(&mut self, messages: &Receiver<Message>) {
        let ticks = channel::tick(TICK);
        let collections = channel::tick(COLLECT);
        loop {
            channel::select! {
                recv(messages) -> message => match message {
                    Ok(message) => self.take(message),
                    Err(_) => return,
                },
                recv(ticks) -> _ => {
                    self.take_crashes();
                    self.apply(Event::Tick, None);
                }
                recv(collections) -> _ => self.collect(),
            }
        }
    }

    /// Takes what traffic found out about the ends of the own upstream.
    fn take_crashes(&mut self) {
        for loss in self.parts.proxy.take_crashes() {
            self.apply(Event::UpstreamEnded(loss), None);
        }
        for request in self.parts.proxy.take_cleared() {
            self.apply(Event::Cleared(request), None);
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            // Ticks come from this thread's own timer; one from elsewhere only asks whether this
            // thread is alive.
            Message::Event(Event::Tick) => {}
            Message::Event(event) => self.apply(event, None),
            Message::Ask(request, reply) => self.apply(Event::Request(request), Some(reply)),
            Message::Status(reply) => {
                let status = self.machine.status(now(&self.parts.clock));
                let _ = reply.send(status);
            }
            Message::Events(stamp, reply) => {
                let _ = reply.send(self.machine.events_after(stamp));
            }
        }
    }

    fn apply(&mut self, event: Event, mut reply: Option<oneshot::Sender<Response>>) {
        for effect in self.machine.apply(event, now(&self.parts.clock)) {
            match effect {
                Effect::Reply(response) => {
                    if let Some(reply) = reply.take() {
                        // The asker may have gone away; its next probe will tell it the same.
                        let _ = reply.send(response);
                    }
                }
                Effect::Send(peer, request, timeout) => self.send(peer, request, timeout),
                Effect::Read(query) => self.read(query),
                Effect::InForce(snapshot) => {
                    self.parts.meter.set_revision(snapshot.version.revision);
                    self.parts.proxy.set_config(snapshot);
                }
                Effect::Expected(revision) => self.parts.proxy.set_expected_revision(revision),
                Effect::View(view) => self.parts.proxy.set_view(view),
                Effect::Gossip(targets, digest) => self.tell(&targets, &digest),
                Effect::Quarantine(quarantine) => {
                    self.parts.meter.set_quarantined(quarantine.until.len() as u64);
                    self.parts.proxy.set_quarantine(quarantine);
                }
                Effect::Open => self.parts.proxy.set_ready(true),
                Effect::Drain => self.parts.proxy.leave(),
            }
        }
        self.log();
    }

    fn tell(&self, targets: &[SocketAddr], digest: &Digest) {
        let Some(socket) = &self.digests else { return };
        for _ in 0..targets.len() {
            self.parts.meter.count_message("digest");
        }
        // A summary that could not be sent is as good as lost; the next one follows soon.
        let _unsent = socket.send(targets, digest);
    }

    fn send(&self, peer: SocketAddr, request: Request, timeout: Duration) {
        let method = match request {
            Request::Heartbeat(_) => Method::Heartbeat,
            Request::Pull(_) => Method::Pull,
            Request::Sync(_) => Method::Sync,
            Request::Fetch(_) => Method::Fetch,
        };
        self.parts.meter.count_message(method.name());
        let link = self.link.clone();
        let meter = self.parts.meter.clone();
        self.parts.peers.spawn(async move {
            let event = match peer::send(peer, &request, timeout).await {
                Ok(response) => Event::Response(peer, response),
                Err(error) => {
                    meter.count_lost_message(method.name());
                    let malformed = matches!(
                        error,
                        peer::Error::Malformed { .. } | peer::Error::Decompress { .. }
                    );
                    let malformed = malformed.then(|| error.to_string());
                    Event::Failed(peer, Error { method, malformed })
                }
            };
            link.send(event);
        });
    }

    fn read(&mut self, query: Query) {
        self.parts.meter.count_source_read();
        let (lane, topic) = match query {
            Query::Config { .. } => (&self.config, Topic::Config),
            Query::Changes { .. } => (&self.config, Topic::Changes),
            Query::List { .. } => (&self.list, Topic::List),
        };
        if lane.try_send(query).is_err() {
            // The lane's last call has not returned although the state machine gave it up.
            let failure = Failure::Unreachable("an earlier call has not returned".to_owned());
            self.apply(Event::Source(Answer::Failed(topic, failure)), None);
        }
    }

    fn collect(&mut self) {
        for kind in self.parts.proxy.collect_events() {
            self.apply(Event::Note(kind), None);
        }
        self.parts.meter.set_control_cpu(crate::process::control_seconds());
        self.parts.meter.set_known_revision(self.machine.known_revision());
        for (state, name) in STATES {
            self.parts.meter.set_members(name, self.machine.count(state) as u64);
        }
    }

    /// Logs the events since the last time.
    fn log(&mut self) {
        for event in self.machine.events_after(self.logged) {
            self.logged = event.stamp;
            if matches!(event.kind, Kind::Rejected { .. }) {
                self.parts.meter.count_rejection();
            }
            telemetry::log::event(&event);
        }
    }
}
