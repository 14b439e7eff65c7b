//! Delivers messages and the platform's answers to nodes, and carries out their effects.

use fleet::{
    control::{Effect, Error, Event, Method},
    message::{Request, Response},
    source::{Answer, Failure, Query, Topic},
};
use model::{config, time::Time};
use rand::RngExt;
use std::{net::SocketAddr, time::Duration};

use super::{Net, Source, TICK, address, agenda::Due, index_of};

/// Bytes of HTTP headers of a request and its answer, estimated; TCP/IP is not counted.
const HEADER_BYTES: u64 = 330;

impl Net {
    /// Carries out what is due, unless the node it concerns is dead or paused.
    pub(super) fn happen(&mut self, due: Due) {
        let (node, life) = match &due {
            Due::Tick(node, life) => (*node, *life),
            Due::Request { to, .. } => (*to, self.slots[*to].life),
            Due::Response { to, life, .. }
            | Due::Lost { to, life, .. }
            | Due::Source { to, life, .. }
            | Due::Watch { to, life, .. } => (*to, *life),
        };
        if self.slots[node].control.is_none() || self.slots[node].life != life {
            if let Due::Request { call, from, to, request } = due {
                self.refuse(call, from, to, kind_of(&request));
            }
            return;
        }
        if let Some(until) = self.slots[node].paused_until {
            if self.now < until {
                self.hold(node, due, until);
                return;
            }
            self.wake(node);
        }
        match due {
            Due::Tick(node, life) => {
                self.apply(node, Event::Tick);
                self.put(TICK, Due::Tick(node, life));
            }
            Due::Request { call, from, to, request } => self.serve(call, from, to, request),
            Due::Response { call, from, to, response, .. } => {
                if self.open.remove(&call) {
                    self.apply(to, Event::Response(from, response));
                }
            }
            Due::Lost { call, from, to, lost, .. } => {
                if self.open.remove(&call) {
                    self.apply(to, Event::Failed(from, lost));
                }
            }
            Due::Source { to, answer, .. } => self.apply(to, Event::Source(answer)),
            Due::Watch { to, query, until, .. } => self.look(to, query, until),
        }
    }

    /// Keeps what is due at a paused node until it wakes.
    fn hold(&mut self, node: usize, due: Due, until: Time) {
        if self.slots[node].held.is_empty() {
            let life = self.slots[node].life;
            self.put(until.since(self.now), Due::Tick(node, life));
        }
        match due {
            // A paused process has no ticks; the one scheduled above goes on.
            Due::Tick(..) if !self.slots[node].held.is_empty() => {}
            due => self.slots[node].held.push(due),
        }
    }

    fn wake(&mut self, node: usize) {
        let span = self.now.since(self.slots[node].paused_at);
        self.slots[node].paused_until = None;
        let held = std::mem::take(&mut self.slots[node].held);
        // Whether the pause or a waiting message is noticed first is a matter of chance.
        let pause_first = self.random.random_bool(0.5);
        if pause_first {
            self.apply(node, Event::Resumed(span));
        }
        for due in held.into_iter().filter(|due| !matches!(due, Due::Tick(..))) {
            self.happen(due);
        }
        if !pause_first {
            self.apply(node, Event::Resumed(span));
        }
    }

    fn serve(&mut self, call: u64, from: usize, to: usize, request: Request) {
        let life = self.slots[from].life;
        for effect in self.effects_of(to, Event::Request(request)) {
            if let Effect::Reply(response) = effect {
                self.count(size_of_response(&response));
                if !self.is_lost(from, to) {
                    let from_address = address(to);
                    let back = Due::Response { call, from: from_address, to: from, life, response };
                    self.put(self.options.latency, back);
                }
            } else {
                self.carry_out(to, effect);
            }
        }
    }

    /// Tells a caller at once that nobody listens.
    fn refuse(&mut self, call: u64, from: usize, to: usize, method: Method) {
        let lost = Error { method, malformed: None };
        let life = self.slots[from].life;
        let due = Due::Lost { call, from: address(to), to: from, life, lost };
        self.put(self.options.latency, due);
    }

    pub(super) fn apply(&mut self, node: usize, event: Event) {
        for effect in self.effects_of(node, event) {
            self.carry_out(node, effect);
        }
    }

    fn effects_of(&mut self, node: usize, event: Event) -> Vec<Effect> {
        let now = self.moment_of(node);
        let slot = &mut self.slots[node];
        slot.control.as_mut().map_or_else(Vec::new, |control| control.apply(event, now))
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send(peer, request, timeout) => self.send(node, peer, request, timeout),
            Effect::Read(query) => self.read(node, query),
            Effect::InForce(snapshot) => self.check_in_force(node, &snapshot),
            Effect::Drain => self.slots[node].drained = true,
            Effect::Reply(_)
            | Effect::Expected(_)
            | Effect::View(_)
            | Effect::Gossip(..)
            | Effect::Quarantine(_)
            | Effect::Open => {}
        }
    }

    fn send(&mut self, from: usize, peer: SocketAddr, request: Request, timeout: Duration) {
        let Some(to) = index_of(peer).filter(|&to| to < self.len()) else { return };
        self.count(size_of_request(&request));
        self.calls += 1;
        let (call, life) = (self.calls, self.slots[from].life);
        self.open.insert(call);
        let lost = Error { method: kind_of(&request), malformed: None };
        self.put(timeout, Due::Lost { call, from: peer, to: from, life, lost });
        if self.is_lost(from, to) {
            return;
        }
        if self.random.random_range(0..100) < self.doubling {
            let late = Duration::from_millis(self.random.random_range(1..10_000));
            self.put(late, Due::Request { call, from, to, request: request.clone() });
        }
        self.put(self.options.latency, Due::Request { call, from, to, request });
    }

    fn read(&mut self, node: usize, query: Query) {
        while self.reads.front().is_some_and(|&at| self.now.since(at) > Duration::from_secs(1)) {
            self.reads.pop_front();
        }
        self.reads.push_back(self.now);
        self.counts.reads += 1;
        self.peak = self.peak.max(self.reads.len());
        let life = self.slots[node].life;
        let (Query::Config { wait, .. } | Query::List { wait, .. } | Query::Changes { wait, .. }) =
            query;
        let until = self.now + wait;
        let delay =
            if let Source::Slow(delay) = self.source { delay } else { self.options.latency };
        self.put(delay, Due::Watch { to: node, life, query, until });
    }

    /// Answers a call to the platform, or looks again in a moment.
    fn look(&mut self, node: usize, query: Query, until: Time) {
        let topic = match query {
            Query::Config { .. } => Topic::Config,
            Query::List { .. } => Topic::List,
            Query::Changes { .. } => Topic::Changes,
        };
        let life = self.slots[node].life;
        if self.source == Source::Down || self.cut.contains(&node) {
            let failure = Failure::Unreachable("down".to_owned());
            let answer = Answer::Failed(topic, failure);
            self.put(self.options.latency, Due::Source { to: node, life, answer });
            return;
        }
        let answer = match query {
            Query::Config { base, after, .. } if self.served.version().revision > after => {
                Answer::Config(self.served.since(base))
            }
            Query::List { after, .. } if self.listing.revision > after => {
                Answer::List(self.listing.clone())
            }
            _ if self.now < until => {
                let again = Duration::from_millis(10);
                self.put(again, Due::Watch { to: node, life, query, until });
                return;
            }
            Query::Config { .. } => Answer::Unchanged(topic, self.served.version().revision),
            Query::List { .. } => Answer::Unchanged(topic, self.listing.revision),
            // These nodes find each other by gossip and ask for the two things apart.
            Query::Changes { .. } => Answer::Failed(topic, Failure::RateLimited),
        };
        self.put(self.options.latency, Due::Source { to: node, life, answer });
    }

    /// Checks what must always hold when a version comes into force.
    fn check_in_force(&mut self, node: usize, snapshot: &config::Snapshot) {
        let (old, new) = (self.slots[node].in_force, snapshot.version);
        self.slots[node].in_force = new;
        if new.revision <= old.revision {
            self.broken.push(format!("node {node} went from {old} to {new}"));
        }
        match self.history.get(&new.revision) {
            None => self.broken.push(format!("node {node} took {new}, which nobody published")),
            Some(set) if set.version() != new => {
                self.broken.push(format!("node {node} took {new}, which is only part of it"));
            }
            Some(set) if config::build(set).is_err() => {
                self.broken.push(format!("node {node} took {new}, which is not acceptable"));
            }
            Some(_) => {}
        }
        for service in snapshot.services() {
            // Panics where a route points at a profile that the snapshot does not hold.
            let _ = snapshot.profile(service);
        }
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        self.groups[a] != self.groups[b] || self.random.random_range(0..100) < self.loss
    }

    fn count(&mut self, bytes: u64) {
        self.counts.messages += 1;
        self.counts.bytes += bytes;
    }
}

fn kind_of(request: &Request) -> Method {
    match request {
        Request::Heartbeat(_) => Method::Heartbeat,
        Request::Pull(_) => Method::Pull,
        Request::Sync(_) => Method::Sync,
        Request::Fetch(_) => Method::Fetch,
    }
}

fn size_of_request(request: &Request) -> u64 {
    HEADER_BYTES / 2
        + match request {
            Request::Heartbeat(beat) => size(beat),
            Request::Pull(pull) => size(pull),
            Request::Sync(sync) => size(sync),
            Request::Fetch(fetch) => size(fetch),
        }
}

fn size_of_response(response: &Response) -> u64 {
    HEADER_BYTES / 2
        + match response {
            Response::Heartbeat(beat) => size(beat),
            Response::Pull(bundle) => size(bundle),
            Response::Sync(sync) => size(sync),
            Response::Fetch(update) => size(update),
        }
}

fn size<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_string(value).map_or(0, |text| text.len() as u64)
}
