//! Delivery of messages and platform answers to nodes, and execution of their effects.

use fleet::{
    control::{Effect, Error, Event, Method},
    message::{Request, Response},
    source::{Answer, Failure, Query, Topic},
};
use model::{config, time::Time};
use rand::RngExt;
use std::{net::SocketAddr, time::Duration};

use super::{Net, Source, TICK, address, index_of, queue::Item};

/// Estimated HTTP header bytes of a request and its response; TCP/IP is not counted.
const HEADER_BYTES: u64 = 330;

impl Net {
    /// Processes an event. A dead node's events are dropped and its calls refused; a paused node's
    /// events are deferred.
    pub(super) fn dispatch(&mut self, item: Item) {
        let (node, incarnation) = match &item {
            Item::Tick(node, incarnation) => (*node, *incarnation),
            Item::Request { to, .. } => (*to, self.nodes[*to].incarnation),
            Item::Response { to, incarnation, .. }
            | Item::Failed { to, incarnation, .. }
            | Item::Source { to, incarnation, .. }
            | Item::Poll { to, incarnation, .. } => (*to, *incarnation),
        };
        if self.nodes[node].control.is_none() || self.nodes[node].incarnation != incarnation {
            if let Item::Request { call, from, to, request } = item {
                self.refuse(call, from, to, method_of(&request));
            }
            return;
        }
        if let Some(until) = self.nodes[node].paused_until {
            if self.now < until {
                self.defer(node, item, until);
                return;
            }
            self.resume(node);
        }
        match item {
            Item::Tick(node, incarnation) => {
                self.apply(node, Event::Tick);
                self.schedule(TICK, Item::Tick(node, incarnation));
            }
            Item::Request { call, from, to, request } => self.serve(call, from, to, request),
            Item::Response { call, from, to, response, .. } => {
                if self.pending_calls.remove(&call) {
                    self.apply(to, Event::Response(from, response));
                }
            }
            Item::Failed { call, from, to, error, .. } => {
                if self.pending_calls.remove(&call) {
                    self.apply(to, Event::Failed(from, error));
                }
            }
            Item::Source { to, answer, .. } => self.apply(to, Event::Source(answer)),
            Item::Poll { to, query, until, .. } => self.poll_source(to, query, until),
        }
    }

    /// Keeps a paused node's event until the node resumes.
    fn defer(&mut self, node: usize, item: Item, until: Time) {
        if self.nodes[node].deferred.is_empty() {
            let incarnation = self.nodes[node].incarnation;
            self.schedule(until.since(self.now), Item::Tick(node, incarnation));
        }
        match item {
            // A paused process doesn't tick; the tick scheduled above resumes the cycle.
            Item::Tick(..) if !self.nodes[node].deferred.is_empty() => {}
            item => self.nodes[node].deferred.push(item),
        }
    }

    fn resume(&mut self, node: usize) {
        let span = self.now.since(self.nodes[node].paused_at);
        self.nodes[node].paused_until = None;
        let deferred = std::mem::take(&mut self.nodes[node].deferred);
        // A real node may notice the pause before or after the messages that arrived meanwhile.
        let pause_first = self.random.random_bool(0.5);
        if pause_first {
            self.apply(node, Event::Resumed(span));
        }
        for item in deferred.into_iter().filter(|item| !matches!(item, Item::Tick(..))) {
            self.dispatch(item);
        }
        if !pause_first {
            self.apply(node, Event::Resumed(span));
        }
    }

    fn serve(&mut self, call: u64, from: usize, to: usize, request: Request) {
        let incarnation = self.nodes[from].incarnation;
        for effect in self.effects_of(to, Event::Request(request)) {
            if let Effect::Reply(response) = effect {
                self.count(size_of_response(&response));
                if !self.is_lost(from, to) {
                    let from_address = address(to);
                    let reply = Item::Response {
                        call,
                        from: from_address,
                        to: from,
                        incarnation,
                        response,
                    };
                    self.schedule(self.options.latency, reply);
                }
            } else {
                self.carry_out(to, effect);
            }
        }
    }

    /// Fails a call to a dead node after one network delay.
    fn refuse(&mut self, call: u64, from: usize, to: usize, method: Method) {
        let error = Error { method, malformed: None };
        let incarnation = self.nodes[from].incarnation;
        let item = Item::Failed { call, from: address(to), to: from, incarnation, error };
        self.schedule(self.options.latency, item);
    }

    pub(super) fn apply(&mut self, node: usize, event: Event) {
        for effect in self.effects_of(node, event) {
            self.carry_out(node, effect);
        }
    }

    fn effects_of(&mut self, node: usize, event: Event) -> Vec<Effect> {
        let now = self.clock_of(node);
        let state = &mut self.nodes[node];
        state.control.as_mut().map_or_else(Vec::new, |control| control.apply(event, now))
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send(peer, request, timeout) => self.send(node, peer, request, timeout),
            Effect::Read(query) => self.read_source(node, query),
            Effect::InForce(snapshot) => self.check_in_force(node, &snapshot),
            Effect::Drain => self.nodes[node].drained = true,
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
        let (call, incarnation) = (self.calls, self.nodes[from].incarnation);
        self.pending_calls.insert(call);
        let error = Error { method: method_of(&request), malformed: None };
        self.schedule(timeout, Item::Failed { call, from: peer, to: from, incarnation, error });
        if self.is_lost(from, to) {
            return;
        }
        if self.random.random_range(0..100) < self.duplication {
            let late = Duration::from_millis(self.random.random_range(1..10_000));
            self.schedule(late, Item::Request { call, from, to, request: request.clone() });
        }
        self.schedule(self.options.latency, Item::Request { call, from, to, request });
    }

    fn read_source(&mut self, node: usize, query: Query) {
        while self.reads.front().is_some_and(|&at| self.now.since(at) > Duration::from_secs(1)) {
            self.reads.pop_front();
        }
        self.reads.push_back(self.now);
        self.counts.reads += 1;
        self.peak_reads = self.peak_reads.max(self.reads.len());
        let incarnation = self.nodes[node].incarnation;
        let (Query::Config { wait, .. } | Query::List { wait, .. } | Query::Changes { wait, .. }) =
            query;
        let until = self.now + wait;
        let delay =
            if let Source::Slow(delay) = self.source { delay } else { self.options.latency };
        self.schedule(delay, Item::Poll { to: node, incarnation, query, until });
    }

    /// Answers a read of the platform, or checks again later if it still waits for a change.
    fn poll_source(&mut self, node: usize, query: Query, until: Time) {
        let topic = match query {
            Query::Config { .. } => Topic::Config,
            Query::List { .. } => Topic::List,
            Query::Changes { .. } => Topic::Changes,
        };
        let incarnation = self.nodes[node].incarnation;
        if self.source == Source::Down || self.blocked.contains(&node) {
            let failure = Failure::Unreachable("down".to_owned());
            let answer = Answer::Failed(topic, failure);
            self.schedule(self.options.latency, Item::Source { to: node, incarnation, answer });
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
                self.schedule(again, Item::Poll { to: node, incarnation, query, until });
                return;
            }
            Query::Config { .. } => Answer::Unchanged(topic, self.served.version().revision),
            Query::List { .. } => Answer::Unchanged(topic, self.listing.revision),
            // Simulated nodes use gossip, which reads configuration and instances separately.
            Query::Changes { .. } => Answer::Failed(topic, Failure::RateLimited),
        };
        self.schedule(self.options.latency, Item::Source { to: node, incarnation, answer });
    }

    /// Checks the invariants of a version that comes into force.
    fn check_in_force(&mut self, node: usize, snapshot: &config::Snapshot) {
        let (old, new) = (self.nodes[node].in_force, snapshot.version);
        self.nodes[node].in_force = new;
        if new.revision <= old.revision {
            self.violations
                .push(format!("node {node} replaced version {old} by {new}, which is not newer"));
        }
        match self.history.get(&new.revision) {
            None => self
                .violations
                .push(format!("node {node} applied {new}, which was never published")),
            Some(set) if set.version() != new => {
                self.violations.push(format!("node {node} applied {new}, which is incomplete"));
            }
            Some(set) if config::build(set).is_err() => {
                self.violations.push(format!("node {node} applied {new}, which is invalid"));
            }
            Some(_) => {}
        }
        for service in snapshot.services() {
            // Panics if the service refers to a profile that the snapshot lacks.
            let _ = snapshot.profile(service);
        }
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        self.partitions[a] != self.partitions[b] || self.random.random_range(0..100) < self.loss
    }

    fn count(&mut self, bytes: u64) {
        self.counts.messages += 1;
        self.counts.bytes += bytes;
    }
}

fn method_of(request: &Request) -> Method {
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
            Request::Heartbeat(heartbeat) => size(heartbeat),
            Request::Pull(pull) => size(pull),
            Request::Sync(sync) => size(sync),
            Request::Fetch(fetch) => size(fetch),
        }
}

fn size_of_response(response: &Response) -> u64 {
    HEADER_BYTES / 2
        + match response {
            Response::Heartbeat(heartbeat) => size(heartbeat),
            Response::Pull(bundle) => size(bundle),
            Response::Sync(sync) => size(sync),
            Response::Fetch(update) => size(update),
        }
}

fn size<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_string(value).map_or(0, |text| text.len() as u64)
}
