//! State and event loop of the queueing model.
//!
//! Invariant *single entry point*: only [`Simulation::apply`], which handles one [`Event`] of the queue,
//! changes the state.

use model::time::Time;
use policy::{
    admission::{Class, Decision, Rank, Ticket},
    budget::{self, Part, Window},
    client_retry::Attempt,
    health::{Load, Record, Sample},
    latency::Estimate,
    outcome::{Cause, Outcome, Uncertainty},
    placement::Locality,
    retry::{self, Hedge, Kind},
    urgency::{self, Origin, Parent, Timing},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use super::{
    choice::{self, Target},
    report::Report,
    settings::{Degradation, Discipline, Mechanism, Route, Settings},
    state::{Call, CallKey, EntryNode, Offer, OfferKey, Reply, State, Upstream, upstreams},
};

/// Maximum number of upstreams that a call is offered to, as in the proxy.
const MAX_OFFERS: usize = 4;

/// Maximum number of upstreams that may run a call.
const MAX_REACHED: u32 = 3;

/// Capacity of an upstream's queue, in calls.
const MAX_QUEUE: usize = 64;

/// One-way delay between an entry node and its colocated upstream.
const COLOCATED_DELAY: Duration = Duration::from_micros(50);

/// Share of the service time after which a failing run fails.
const FAILED_WORK_SHARE: f64 = 0.3;

/// A scheduled event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    /// A caller of a route starts.
    NewCaller(usize),
    /// A call arrives at its entry node.
    Receive(CallKey),
    /// An offer arrives at the serving node.
    Arrive(OfferKey),
    /// An offer's time in the queue is over.
    Expire(OfferKey),
    /// An upstream's own service time for an offer is over.
    ServiceDone(OfferKey),
    /// The serving node's reply arrives at the entry node.
    Reply(OfferKey, Reply),
    /// An offer's hedge delay is over.
    Hedge(OfferKey),
    /// A call's deadline passes.
    Deadline(CallKey),
}

/// State of a run.
pub(super) struct Simulation<'a> {
    pub(super) settings: &'a Settings,
    pub(super) random: SmallRng,
    pub(super) now: Time,
    pub(super) queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pub(super) sequence: u64,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) entries: Vec<EntryNode>,
    pub(super) calls: Vec<Call>,
    pub(super) offers: Vec<Offer>,
    pub(super) report: Report,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(settings: &'a Settings, seed: u64) -> Self {
        let upstreams = upstreams(settings);
        let node = || EntryNode {
            records: upstreams.iter().map(|_| Record::new(Time::default())).collect(),
            latencies: vec![None; settings.routes.len()],
            windows: vec![Window::default(); settings.services.len()],
            choices: 0,
        };
        let entries = upstreams.iter().map(|_| node()).collect();
        let report = Report {
            routes: settings.routes.iter().map(|_| Default::default()).collect(),
            ..Report::default()
        };
        Simulation {
            settings,
            random: SmallRng::seed_from_u64(seed),
            now: Time::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            upstreams,
            entries,
            calls: Vec::new(),
            offers: Vec::new(),
            report,
        }
    }

    /// Runs until the event queue is empty.
    pub(super) fn run(mut self) -> Report {
        for route in 0..self.settings.routes.len() {
            if self.settings.routes[route].per_second > 0.0 {
                self.schedule(Duration::ZERO, Event::NewCaller(route));
            }
        }
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            self.apply(event);
        }
        self.report
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::NewCaller(route) => self.start_caller(route),
            Event::Receive(call) => self.receive(call),
            Event::Arrive(offer) => self.arrive(offer),
            Event::Expire(offer) => self.expire(offer),
            Event::ServiceDone(offer) => self.finish_service(offer),
            Event::Reply(offer, reply) => self.receive_reply(offer, reply),
            Event::Hedge(offer) => self.hedge(offer),
            Event::Deadline(call) => self.end(call, Reply::Failed),
        }
    }

    /// Returns whether the strategy disables a mechanism.
    pub(super) fn is_disabled(&self, mechanism: Mechanism) -> bool {
        self.settings.strategy.without == Some(mechanism)
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence, event)));
    }

    pub(super) fn route(&self, call: CallKey) -> &'a Route {
        &self.settings.routes[self.calls[call.0].route]
    }

    fn receive(&mut self, key: CallKey) {
        let (now, route) = (self.now, self.route(key));
        let origin = self.origin(key);
        let ranks_retries = !self.is_disabled(Mechanism::ClientRetries);
        let call = &mut self.calls[key.0];
        call.received = now;
        let deadline = call.deadline;
        let node = &mut self.entries[call.entry];
        node.windows[route.service].record_call(&self.settings.budget, now);
        let expected =
            node.latencies[call.route].map_or(route.objective / 2, |latency| latency.mean());
        let timing = Timing {
            received: now,
            deadline,
            attempt: if call.attempt > 1 && ranks_retries {
                Attempt::Retry
            } else {
                Attempt::First
            },
            elapsed: now.since(call.started),
            objective: route.objective,
            expected,
        };
        call.rank = match self.settings.strategy.discipline {
            Discipline::Ranked => adjust(
                self.settings.strategy.without,
                urgency::rank(origin, route.priority, timing),
            ),
            Discipline::Fifo => Rank::default(),
        };
        self.schedule(deadline.since(now), Event::Deadline(key));
        self.offer(key);
    }

    /// Returns whether a call comes from a caller or an upstream's run.
    fn origin(&self, key: CallKey) -> Origin {
        let Some(parent) = self.calls[key.0].parent else { return Origin::Caller };
        let Offer { call, answered, .. } = self.offers[parent.0];
        Origin::Upstream(Parent { rank: self.calls[call.0].rank, answered })
    }

    /// Offers a call to the next upstream, or refuses it if none is left.
    fn offer(&mut self, key: CallKey) {
        match self.choose(key) {
            Some(upstream) => self.send(key, upstream),
            None => self.end(key, Reply::Refused),
        }
    }

    fn choose(&mut self, key: CallKey) -> Option<usize> {
        let call = &self.calls[key.0];
        let route = self.route(key);
        let colocated = &self.upstreams[call.entry];
        let of_service: Vec<usize> = (0..self.upstreams.len())
            .filter(|&u| self.upstreams[u].service == route.service)
            .collect();
        let node = &mut self.entries[call.entry];
        node.choices += 1;
        let targets: Vec<Target<'_>> = of_service
            .iter()
            .map(|&u| Target {
                record: &node.records[u],
                slots: self.settings.services[route.service].slots,
                locality: match &self.upstreams[u] {
                    _ if u == call.entry => Locality::Instance,
                    other if other.data_centre == colocated.data_centre => Locality::DataCentre,
                    _ => Locality::Remote,
                },
                tried: call.offers.iter().any(|o| self.offers[o.0].upstream == u),
            })
            .collect();
        let choice = self.settings.strategy.choice;
        choice::choose(choice, &targets, route.kind, node.choices, self.now, &mut self.random)
            .map(|index| of_service[index])
    }

    fn send(&mut self, key: CallKey, upstream: usize) {
        let offer = OfferKey(self.offers.len());
        self.offers.push(Offer {
            call: key,
            upstream,
            sent: self.now,
            started: self.now,
            pending: 0,
            answered: 0,
            failed: false,
            state: State::Sent,
            replied: false,
            load: Load::default(),
        });
        let call = &mut self.calls[key.0];
        call.offers.push(offer);
        call.pending += 1;
        let entry = call.entry;
        self.entries[entry].records[upstream].begin();
        self.schedule(self.network_delay(entry, upstream), Event::Arrive(offer));
        if let Some(delay) = self.hedge_delay(key, upstream) {
            self.schedule(delay, Event::Hedge(offer));
        }
    }

    fn network_delay(&self, entry: usize, upstream: usize) -> Duration {
        let (a, b) = (&self.upstreams[entry], &self.upstreams[upstream]);
        match () {
            () if entry == upstream => COLOCATED_DELAY,
            () if a.data_centre == b.data_centre => self.settings.local_delay,
            () => self.settings.remote_delay,
        }
    }

    fn hedge_delay(&self, key: CallKey, upstream: usize) -> Option<Duration> {
        let (call, route) = (&self.calls[key.0], self.route(key));
        let is_excluded = route.kind == Kind::Once || self.is_disabled(Mechanism::Hedging);
        if is_excluded || call.offers.len() > 1 {
            return None;
        }
        let record = &self.entries[call.entry].records[upstream];
        let due = (call.started + route.objective).since(self.now);
        Some(retry::hedge_delay(Hedge {
            latency: self.entries[call.entry].latencies[call.route]
                .unwrap_or(Estimate::new(due / 3)),
            slowness: record.slowness(self.now),
            failure_share: record.failure_share(self.now),
            due,
            remaining: call.deadline.since(self.now),
        }))
    }

    fn arrive(&mut self, key: OfferKey) {
        let offer = &self.offers[key.0];
        let call = &self.calls[offer.call.0];
        if call.ended || offer.state == State::Ended {
            return;
        }
        let (rank, deadline) = (call.rank, call.deadline);
        let limiter = &mut self.upstreams[offer.upstream].limiter;
        match limiter.admit_ranked(Ticket(key.0 as u64), rank, self.now, deadline, MAX_QUEUE) {
            Decision::Run => self.start(key),
            Decision::Refuse(_) => self.reply(key, Reply::Refused),
            Decision::Wait(until) => {
                self.offers[key.0].state = State::Waiting;
                self.schedule(until.since(self.now), Event::Expire(key));
            }
        }
    }

    fn expire(&mut self, key: OfferKey) {
        if self.offers[key.0].state != State::Waiting {
            return;
        }
        let upstream = self.offers[key.0].upstream;
        self.upstreams[upstream].limiter.cancel(Ticket(key.0 as u64));
        self.reply(key, Reply::Refused);
    }

    fn start(&mut self, key: OfferKey) {
        let (call, upstream) = (self.offers[key.0].call, self.offers[key.0].upstream);
        let route = self.route(call);
        self.report.arrivals += 1;
        self.report.retries += u64::from(self.calls[call.0].reached > 0);
        self.calls[call.0].reached += 1;
        let mut service_time =
            self.sample_service_time(route).mul_f64(self.upstreams[upstream].slowness);
        let mut failed = false;
        match self.degradation(upstream) {
            Some(Degradation::Slow(factor)) => service_time = service_time.mul_f64(factor),
            Some(Degradation::Failing(share)) if self.random.random_bool(share) => {
                failed = true;
                service_time = service_time.mul_f64(FAILED_WORK_SHARE);
            }
            _ => {}
        }
        let deadline = self.calls[call.0].deadline;
        let offer = &mut self.offers[key.0];
        offer.state = State::Running;
        offer.started = self.now;
        offer.failed = failed;
        offer.pending = 1;
        self.schedule(service_time.min(deadline.since(self.now)), Event::ServiceDone(key));
        let Some(nested) = route.nested else { return };
        if self.random.random_bool(nested.probability) {
            self.offers[key.0].pending += nested.count;
            let limit = self.now + self.settings.routes[nested.route].deadline;
            for _ in 0..nested.count {
                self.open_call(nested.route, upstream, Some(key), limit.min(deadline));
            }
        }
    }

    fn sample_service_time(&mut self, route: &Route) -> Duration {
        let radius = (-2.0 * self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.random_range(0.0..1.0_f64);
        let normal = radius * angle.cos();
        route
            .service_time
            .mul_f64((route.spread * normal - route.spread * route.spread / 2.0).exp())
    }

    fn degradation(&self, upstream: usize) -> Option<Degradation> {
        let elapsed = self.now.since(Time::default());
        let Upstream { service, position, .. } = self.upstreams[upstream];
        let mut faults = self.settings.faults.iter();
        let fault = faults.find(|fault| {
            let is_now = fault.begin <= elapsed && elapsed < fault.end;
            is_now && fault.service == service && position < fault.upstreams
        });
        fault.map(|fault| fault.degradation)
    }

    fn finish_service(&mut self, key: OfferKey) {
        if self.offers[key.0].state != State::Running {
            return;
        }
        self.offers[key.0].pending -= 1;
        if self.offers[key.0].pending == 0 {
            self.finish(key);
        }
    }

    /// Ends a run: frees its slot and sends the reply unless it is lost.
    fn finish(&mut self, key: OfferKey) {
        self.free(key);
        let upstream = self.offers[key.0].upstream;
        let is_lost = match self.degradation(upstream) {
            Some(Degradation::LostAnswers(share)) => self.random.random_bool(share),
            _ => false,
        };
        if !is_lost {
            let reply = if self.offers[key.0].failed { Reply::Failed } else { Reply::Answered };
            self.reply(key, reply);
        }
    }

    fn free(&mut self, key: OfferKey) {
        let Offer { upstream, started, .. } = self.offers[key.0];
        self.offers[key.0].state = State::Ended;
        let mut next = self.upstreams[upstream].limiter.finish(
            Ticket(key.0 as u64),
            self.now,
            Some(self.now.since(started)),
        );
        while let Some(Ticket(ticket)) = next {
            let waiter = OfferKey(ticket as usize);
            if self.offers[waiter.0].state == State::Waiting {
                self.start(waiter);
                return;
            }
            next = self.upstreams[upstream].limiter.finish(Ticket(ticket), self.now, None);
        }
    }

    fn reply(&mut self, key: OfferKey, reply: Reply) {
        let Offer { call, upstream, .. } = self.offers[key.0];
        let limiter = &self.upstreams[upstream].limiter;
        let load = Load { busy: limiter.busy(), waiting: limiter.waiting(), ..Load::default() };
        self.offers[key.0].state = State::Ended;
        self.offers[key.0].load = load;
        let entry = self.calls[call.0].entry;
        self.schedule(self.network_delay(entry, upstream), Event::Reply(key, reply));
    }

    fn receive_reply(&mut self, key: OfferKey, reply: Reply) {
        let Offer { call, upstream, sent, load, .. } = self.offers[key.0];
        if self.calls[call.0].ended {
            return;
        }
        self.offers[key.0].replied = true;
        let elapsed = self.now.since(sent);
        self.observe(call, upstream, reply, elapsed);
        let entry = self.calls[call.0].entry;
        if !self.is_disabled(Mechanism::LoadReports) {
            self.entries[entry].records[upstream].update_load(load, self.now);
        }
        self.calls[call.0].pending -= 1;
        self.calls[call.0].may_have_run |= reply == Reply::Failed;
        match reply {
            Reply::Answered => self.end(call, Reply::Answered),
            _ if self.calls[call.0].pending > 0 => {}
            Reply::Failed | Reply::Refused => self.retry_or_end(call, reply),
        }
    }

    fn observe(&mut self, call: CallKey, upstream: usize, reply: Reply, elapsed: Duration) {
        let Call { route, entry, .. } = self.calls[call.0];
        let tracks_failures = !self.is_disabled(Mechanism::FailureTracking);
        let tracks_slowness = !self.is_disabled(Mechanism::Slowness);
        let EntryNode { records, latencies, .. } = &mut self.entries[entry];
        let sample = match reply {
            Reply::Answered => Sample::Answered(elapsed),
            Reply::Failed if tracks_failures => Sample::ErrorAnswer(elapsed),
            Reply::Failed => Sample::Answered(elapsed),
            Reply::Refused => Sample::Refused,
        };
        records[upstream].end(self.now, sample);
        if reply != Reply::Answered {
            return;
        }
        let latency = latencies[route].get_or_insert(Estimate::new(elapsed));
        if tracks_slowness {
            records[upstream].record_slowness(latency.ratio(elapsed), self.now);
        }
        latency.record(elapsed);
    }

    /// Offers a call again after a failure or refusal, or ends it.
    fn retry_or_end(&mut self, key: CallKey, reply: Reply) {
        let outcome = match reply {
            Reply::Failed => Outcome::Unknown(Uncertainty::Broken),
            Reply::Answered | Reply::Refused => Cause::Overloaded.outcome(),
        };
        if self.may_retry(key, outcome) {
            return self.offer(key);
        }
        let may_have_run = self.calls[key.0].may_have_run;
        self.end(key, if may_have_run { Reply::Failed } else { Reply::Refused });
    }

    fn may_retry(&mut self, key: CallKey, outcome: Outcome) -> bool {
        let route = self.route(key);
        let call = &self.calls[key.0];
        let max = if self.is_disabled(Mechanism::RefusalRetries) { 1 } else { MAX_OFFERS };
        if call.offers.len() >= max {
            return false;
        }
        let attempt =
            retry::Attempt { outcome, kind: route.kind, made: call.reached, limit: MAX_REACHED };
        let slack = self.settings.budget.slack / self.entries.len() as f64;
        let part = Part { slack, ..Part::default() };
        let window = &mut self.entries[call.entry].windows[route.service];
        let settings = &self.settings.budget;
        let step = retry::decide_reached(attempt, || spend(window, settings, part, self.now));
        step == retry::Step::Retry
    }

    fn hedge(&mut self, key: OfferKey) {
        let call = self.offers[key.0].call;
        let is_unanswered = !self.offers[key.0].replied && self.calls[call.0].pending == 1;
        if self.calls[call.0].ended || !is_unanswered {
            return;
        }
        let Some(upstream) = self.choose(call) else { return };
        if self.may_retry(call, retry::TIMED_OUT) {
            self.send(call, upstream);
        }
    }

    /// Ends a call and cancels its remaining offers.
    fn end(&mut self, key: CallKey, reply: Reply) {
        if self.calls[key.0].ended {
            return;
        }
        self.calls[key.0].ended = true;
        for offer in std::mem::take(&mut self.calls[key.0].offers) {
            self.cancel(key, offer);
        }
        match self.calls[key.0].parent {
            Some(parent) => self.end_nested(parent, reply),
            None => self.end_attempt(key, reply),
        }
    }

    fn cancel(&mut self, call: CallKey, key: OfferKey) {
        let Offer { upstream, state, replied, .. } = self.offers[key.0];
        if replied {
            return;
        }
        match state {
            State::Ended | State::Sent => {}
            State::Waiting => {
                self.upstreams[upstream].limiter.cancel(Ticket(key.0 as u64));
            }
            State::Running => self.free(key),
        }
        self.offers[key.0].state = State::Ended;
        let entry = self.calls[call.0].entry;
        self.entries[entry].records[upstream].abandon();
    }

    fn end_nested(&mut self, parent: OfferKey, reply: Reply) {
        let offer = &mut self.offers[parent.0];
        if offer.state != State::Running {
            return;
        }
        offer.failed |= reply != Reply::Answered;
        offer.answered += usize::from(reply == Reply::Answered);
        self.finish_service(parent);
    }
}

/// Returns `rank` with the effect of a disabled mechanism removed.
fn adjust(without: Option<Mechanism>, rank: Rank) -> Rank {
    match without {
        Some(Mechanism::NestedFirst) => Rank { class: Class::External, ..rank },
        Some(Mechanism::Priority) => Rank { priority: 0, ..rank },
        Some(Mechanism::BoundedWaits) => Rank { start_by: None, ..rank },
        _ => rank,
    }
}

/// Spends one retry, which arrives at once; returns false if the budget is exhausted.
fn spend(window: &mut Window, settings: &budget::Settings, part: Part, now: Time) -> bool {
    let granted = window.try_retry(settings, part, now);
    if granted {
        window.end_retry(settings, now);
    }
    granted
}
