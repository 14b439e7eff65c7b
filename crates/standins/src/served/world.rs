//! The state of a day and the one way in which it changes.
//!
//! Invariant: everything that happens is a [`Due`] taken off the agenda by [`World::apply`].

use model::time::Time;
use policy::{
    admission::{Class, Decision, Rank, Ticket},
    budget::Window,
    client_retry::Attempt,
    health::{Load, Record, Sample},
    latency::Estimate,
    outcome::{Cause, Doubt, Outcome},
    placement::Locality,
    retry::{self, Hedge, Kind},
    urgency::{self, Origin, Parent, Timing},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use super::{
    choice::{self, Seen},
    parts::{Call, CallKey, EntryNode, Offer, OfferKey, State, Upstream, Word, upstreams},
    report::Report,
    settings::{Mechanism, Order, Route, Settings, Trouble},
};

/// Most upstreams that a call is offered to, as at the product's entry nodes.
const OFFERS_MOST: usize = 4;

/// Most upstreams that a call may have reached.
const ARRIVALS_MOST: u32 = 3;

/// Most calls that wait for a slot of one upstream.
const QUEUE_LIMIT: usize = 64;

/// Time from an entry node to the upstream beside it.
const BESIDE: Duration = Duration::from_micros(50);

/// Part of its work that an upstream does before a call fails.
const FAILED_WORK: f64 = 0.3;

/// Something that is due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Due {
    /// A new caller of a route.
    Begin(usize),
    /// A caller's attempt is at its entry node.
    Ask(CallKey),
    /// An offer is at the serving node.
    Arrive(OfferKey),
    /// An offer has waited long enough.
    Expire(OfferKey),
    /// An upstream's own work on an offer is done.
    Worked(OfferKey),
    /// The serving node's word is at the entry node.
    Hear(OfferKey, Word),
    /// An offer has been silent for long.
    Double(OfferKey),
    /// A call's time is over.
    Deadline(CallKey),
}

/// All state of a day.
pub(super) struct World<'a> {
    pub(super) settings: &'a Settings,
    pub(super) random: SmallRng,
    pub(super) now: Time,
    pub(super) agenda: BinaryHeap<Reverse<(Time, u64, Due)>>,
    pub(super) number: u64,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) entries: Vec<EntryNode>,
    pub(super) calls: Vec<Call>,
    pub(super) offers: Vec<Offer>,
    pub(super) report: Report,
}

impl<'a> World<'a> {
    pub(super) fn new(settings: &'a Settings, seed: u64) -> Self {
        let upstreams = upstreams(settings);
        let node = || EntryNode {
            records: upstreams.iter().map(|_| Record::new(Time::default())).collect(),
            latencies: vec![None; settings.routes.len()],
            windows: vec![Window::default(); settings.services.len()],
            turn: 0,
        };
        let entries = upstreams.iter().map(|_| node()).collect();
        let report = Report {
            routes: settings.routes.iter().map(|_| Default::default()).collect(),
            ..Report::default()
        };
        World {
            settings,
            random: SmallRng::seed_from_u64(seed),
            now: Time::default(),
            agenda: BinaryHeap::new(),
            number: 0,
            upstreams,
            entries,
            calls: Vec::new(),
            offers: Vec::new(),
            report,
        }
    }

    /// Plays until nothing more is due.
    pub(super) fn run(mut self) -> Report {
        for route in 0..self.settings.routes.len() {
            if self.settings.routes[route].per_second > 0.0 {
                self.put(Duration::ZERO, Due::Begin(route));
            }
        }
        while let Some(Reverse((at, _, due))) = self.agenda.pop() {
            self.now = at;
            self.apply(due);
        }
        self.report
    }

    fn apply(&mut self, due: Due) {
        match due {
            Due::Begin(route) => self.begin(route),
            Due::Ask(call) => self.ask(call),
            Due::Arrive(offer) => self.arrive(offer),
            Due::Expire(offer) => self.expire(offer),
            Due::Worked(offer) => self.worked(offer),
            Due::Hear(offer, word) => self.hear(offer, word),
            Due::Double(offer) => self.double(offer),
            Due::Deadline(call) => self.end(call, Word::Failed),
        }
    }

    /// Tells whether a part of the product's way of deciding is switched off.
    pub(super) fn lacks(&self, mechanism: Mechanism) -> bool {
        self.settings.way.without == Some(mechanism)
    }

    pub(super) fn put(&mut self, after: Duration, due: Due) {
        self.number += 1;
        self.agenda.push(Reverse((self.now + after, self.number, due)));
    }

    pub(super) fn route(&self, call: CallKey) -> &'a Route {
        &self.settings.routes[self.calls[call.0].route]
    }

    fn ask(&mut self, key: CallKey) {
        let (now, route) = (self.now, self.route(key));
        let origin = self.origin(key);
        let is_known = !self.lacks(Mechanism::Returning);
        let call = &mut self.calls[key.0];
        call.received = now;
        let deadline = call.deadline;
        let node = &mut self.entries[call.entry];
        node.windows[route.service].record_call(&self.settings.budget, now);
        let expected =
            node.latencies[call.route].map_or(route.objective / 2, |latency| latency.mean());
        let clock = Timing {
            received: now,
            deadline,
            attempt: if call.attempt > 1 && is_known { Attempt::Retry } else { Attempt::First },
            elapsed: now.since(call.begun),
            objective: route.objective,
            expected,
        };
        call.rank = match self.settings.way.order {
            Order::Ranked => {
                adjust(self.settings.way.without, urgency::rank(origin, route.priority, clock))
            }
            Order::Arrival => Rank::default(),
        };
        self.put(deadline.since(now), Due::Deadline(key));
        self.offer(key);
    }

    /// Returns on whose behalf a call is made.
    fn origin(&self, key: CallKey) -> Origin {
        let Some(parent) = self.calls[key.0].parent else { return Origin::Caller };
        let Offer { call, answered, .. } = self.offers[parent.0];
        Origin::Upstream(Parent { rank: self.calls[call.0].rank, answered })
    }

    /// Offers a call to the next upstream, or ends it where none is left.
    fn offer(&mut self, key: CallKey) {
        match self.choose(key) {
            Some(upstream) => self.send(key, upstream),
            None => self.end(key, Word::Refused),
        }
    }

    fn choose(&mut self, key: CallKey) -> Option<usize> {
        let call = &self.calls[key.0];
        let route = self.route(key);
        let own = &self.upstreams[call.entry];
        let of_service: Vec<usize> = (0..self.upstreams.len())
            .filter(|&u| self.upstreams[u].service == route.service)
            .collect();
        let node = &mut self.entries[call.entry];
        node.turn += 1;
        let seen: Vec<Seen<'_>> = of_service
            .iter()
            .map(|&u| Seen {
                record: &node.records[u],
                slots: self.settings.services[route.service].slots,
                locality: match &self.upstreams[u] {
                    _ if u == call.entry => Locality::Instance,
                    other if other.data_centre == own.data_centre => Locality::DataCentre,
                    _ => Locality::Remote,
                },
                tried: call.offers.iter().any(|o| self.offers[o.0].upstream == u),
            })
            .collect();
        let choice = self.settings.way.choice;
        choice::choose(choice, &seen, route.kind, node.turn, self.now, &mut self.random)
            .map(|index| of_service[index])
    }

    fn send(&mut self, key: CallKey, upstream: usize) {
        let offer = OfferKey(self.offers.len());
        self.offers.push(Offer {
            call: key,
            upstream,
            sent: self.now,
            begun: self.now,
            pending: 0,
            answered: 0,
            broken: false,
            state: State::Sent,
            heard: false,
            load: Load::default(),
        });
        let call = &mut self.calls[key.0];
        call.offers.push(offer);
        call.open += 1;
        let entry = call.entry;
        self.entries[entry].records[upstream].begin();
        self.put(self.distance(entry, upstream), Due::Arrive(offer));
        if let Some(delay) = self.second_delay(key, upstream) {
            self.put(delay, Due::Double(offer));
        }
    }

    fn distance(&self, entry: usize, upstream: usize) -> Duration {
        let (a, b) = (&self.upstreams[entry], &self.upstreams[upstream]);
        match () {
            () if entry == upstream => BESIDE,
            () if a.data_centre == b.data_centre => self.settings.near,
            () => self.settings.far,
        }
    }

    fn second_delay(&self, key: CallKey, upstream: usize) -> Option<Duration> {
        let (call, route) = (&self.calls[key.0], self.route(key));
        let never = route.kind == Kind::Once || self.lacks(Mechanism::Second);
        if never || call.offers.len() > 1 {
            return None;
        }
        let record = &self.entries[call.entry].records[upstream];
        let due = (call.begun + route.objective).since(self.now);
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
        if call.ended || offer.state == State::Over {
            return;
        }
        let (rank, deadline) = (call.rank, call.deadline);
        let gate = &mut self.upstreams[offer.upstream].gate;
        match gate.admit_ranked(Ticket(key.0 as u64), rank, self.now, deadline, QUEUE_LIMIT) {
            Decision::Run => self.start(key),
            Decision::Refuse(_) => self.tell(key, Word::Refused),
            Decision::Wait(until) => {
                self.offers[key.0].state = State::Waiting;
                self.put(until.since(self.now), Due::Expire(key));
            }
        }
    }

    fn expire(&mut self, key: OfferKey) {
        if self.offers[key.0].state != State::Waiting {
            return;
        }
        let upstream = self.offers[key.0].upstream;
        self.upstreams[upstream].gate.cancel(Ticket(key.0 as u64));
        self.tell(key, Word::Refused);
    }

    fn start(&mut self, key: OfferKey) {
        let (call, upstream) = (self.offers[key.0].call, self.offers[key.0].upstream);
        let route = self.route(call);
        self.report.arrivals += 1;
        self.report.repeats += u64::from(self.calls[call.0].arrivals > 0);
        self.calls[call.0].arrivals += 1;
        let mut work = self.draw(route).mul_f64(self.upstreams[upstream].speed);
        let mut broken = false;
        match self.trouble(upstream) {
            Some(Trouble::Slow(factor)) => work = work.mul_f64(factor),
            Some(Trouble::Failing(share)) if self.random.random_bool(share) => {
                broken = true;
                work = work.mul_f64(FAILED_WORK);
            }
            _ => {}
        }
        let deadline = self.calls[call.0].deadline;
        let offer = &mut self.offers[key.0];
        offer.state = State::Running;
        offer.begun = self.now;
        offer.broken = broken;
        offer.pending = 1;
        self.put(work.min(deadline.since(self.now)), Due::Worked(key));
        let Some(calls) = route.calls else { return };
        if self.random.random_bool(calls.share) {
            self.offers[key.0].pending += calls.times;
            let limit = self.now + self.settings.routes[calls.route].deadline;
            for _ in 0..calls.times {
                self.open_call(calls.route, upstream, Some(key), limit.min(deadline));
            }
        }
    }

    fn draw(&mut self, route: &Route) -> Duration {
        let radius = (-2.0 * self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.random_range(0.0..1.0_f64);
        let normal = radius * angle.cos();
        route.work.mul_f64((route.spread * normal - route.spread * route.spread / 2.0).exp())
    }

    fn trouble(&self, upstream: usize) -> Option<Trouble> {
        let elapsed = self.now.since(Time::default());
        let Upstream { service, place, .. } = self.upstreams[upstream];
        let mut faults = self.settings.faults.iter();
        let strikes = faults.find(|fault| {
            let is_now = fault.begin <= elapsed && elapsed < fault.end;
            is_now && fault.service == service && place < fault.upstreams
        });
        strikes.map(|fault| fault.trouble)
    }

    fn worked(&mut self, key: OfferKey) {
        if self.offers[key.0].state != State::Running {
            return;
        }
        self.offers[key.0].pending -= 1;
        if self.offers[key.0].pending == 0 {
            self.finish(key);
        }
    }

    /// Ends a run and gives its slot to the next call.
    fn finish(&mut self, key: OfferKey) {
        self.free(key);
        let upstream = self.offers[key.0].upstream;
        let silent = match self.trouble(upstream) {
            Some(Trouble::Silent(share)) => self.random.random_bool(share),
            _ => false,
        };
        if !silent {
            let word = if self.offers[key.0].broken { Word::Failed } else { Word::Answered };
            self.tell(key, word);
        }
    }

    fn free(&mut self, key: OfferKey) {
        let Offer { upstream, begun, .. } = self.offers[key.0];
        self.offers[key.0].state = State::Over;
        let mut next = self.upstreams[upstream].gate.finish(
            Ticket(key.0 as u64),
            self.now,
            Some(self.now.since(begun)),
        );
        while let Some(Ticket(ticket)) = next {
            let waiter = OfferKey(ticket as usize);
            if self.offers[waiter.0].state == State::Waiting {
                self.start(waiter);
                return;
            }
            next = self.upstreams[upstream].gate.finish(Ticket(ticket), self.now, None);
        }
    }

    fn tell(&mut self, key: OfferKey, word: Word) {
        let Offer { call, upstream, .. } = self.offers[key.0];
        let gate = &self.upstreams[upstream].gate;
        let load = Load { busy: gate.busy(), waiting: gate.waiting(), bodies: 0 };
        self.offers[key.0].state = State::Over;
        self.offers[key.0].load = load;
        let entry = self.calls[call.0].entry;
        self.put(self.distance(entry, upstream), Due::Hear(key, word));
    }

    fn hear(&mut self, key: OfferKey, word: Word) {
        let Offer { call, upstream, sent, load, .. } = self.offers[key.0];
        if self.calls[call.0].ended {
            return;
        }
        self.offers[key.0].heard = true;
        let took = self.now.since(sent);
        self.observe(call, upstream, word, took);
        let entry = self.calls[call.0].entry;
        if !self.lacks(Mechanism::Load) {
            self.entries[entry].records[upstream].update_load(load, self.now);
        }
        self.calls[call.0].open -= 1;
        self.calls[call.0].unknown |= word == Word::Failed;
        match word {
            Word::Answered => self.end(call, Word::Answered),
            _ if self.calls[call.0].open > 0 => {}
            Word::Failed | Word::Refused => self.go_on(call, word),
        }
    }

    fn observe(&mut self, call: CallKey, upstream: usize, word: Word, took: Duration) {
        let Call { route, entry, .. } = self.calls[call.0];
        let sees_failures = !self.lacks(Mechanism::Failures);
        let compares = !self.lacks(Mechanism::Slowness);
        let EntryNode { records, latencies, .. } = &mut self.entries[entry];
        let sample = match word {
            Word::Answered => Sample::Answered(took),
            Word::Failed if sees_failures => Sample::ErrorAnswer(took),
            Word::Failed => Sample::Answered(took),
            Word::Refused => Sample::Refused,
        };
        records[upstream].end(self.now, sample);
        if word != Word::Answered {
            return;
        }
        let latency = latencies[route].get_or_insert(Estimate::new(took));
        if compares {
            records[upstream].record_slowness(latency.ratio(took), self.now);
        }
        latency.record(took);
    }

    /// Offers a call again whose last offer failed, or ends it.
    fn go_on(&mut self, key: CallKey, word: Word) {
        let outcome = match word {
            Word::Failed => Outcome::Unknown(Doubt::Broken),
            Word::Answered | Word::Refused => Cause::Overloaded.outcome(),
        };
        if self.may_repeat(key, outcome) {
            return self.offer(key);
        }
        let unknown = self.calls[key.0].unknown;
        self.end(key, if unknown { Word::Failed } else { Word::Refused });
    }

    fn may_repeat(&mut self, key: CallKey, outcome: Outcome) -> bool {
        let route = self.route(key);
        let call = &self.calls[key.0];
        let most = if self.lacks(Mechanism::Offers) { 1 } else { OFFERS_MOST };
        if call.offers.len() >= most {
            return false;
        }
        let attempt =
            retry::Attempt { outcome, kind: route.kind, made: call.arrivals, limit: ARRIVALS_MOST };
        let nodes = self.entries.len();
        let window = &mut self.entries[call.entry].windows[route.service];
        let budget = &self.settings.budget;
        let step = retry::decide_reached(attempt, || window.try_retry(budget, nodes, self.now));
        step == retry::Step::Retry
    }

    fn double(&mut self, key: OfferKey) {
        let call = self.offers[key.0].call;
        let is_silent = !self.offers[key.0].heard && self.calls[call.0].open == 1;
        if self.calls[call.0].ended || !is_silent {
            return;
        }
        let Some(second) = self.choose(call) else { return };
        if self.may_repeat(call, retry::TIMED_OUT) {
            self.send(call, second);
        }
    }

    /// Ends an attempt; what is still on its way for it is cancelled.
    fn end(&mut self, key: CallKey, word: Word) {
        if self.calls[key.0].ended {
            return;
        }
        self.calls[key.0].ended = true;
        for offer in std::mem::take(&mut self.calls[key.0].offers) {
            self.cancel(key, offer);
        }
        match self.calls[key.0].parent {
            Some(parent) => self.end_nested(parent, word),
            None => self.end_attempt(key, word),
        }
    }

    fn cancel(&mut self, call: CallKey, key: OfferKey) {
        let Offer { upstream, state, heard, .. } = self.offers[key.0];
        if heard {
            return;
        }
        match state {
            State::Over | State::Sent => {}
            State::Waiting => {
                self.upstreams[upstream].gate.cancel(Ticket(key.0 as u64));
            }
            State::Running => self.free(key),
        }
        self.offers[key.0].state = State::Over;
        let entry = self.calls[call.0].entry;
        self.entries[entry].records[upstream].abandon();
    }

    fn end_nested(&mut self, parent: OfferKey, word: Word) {
        let offer = &mut self.offers[parent.0];
        if offer.state != State::Running {
            return;
        }
        offer.broken |= word != Word::Answered;
        offer.answered += usize::from(word == Word::Answered);
        self.worked(parent);
    }
}

/// Returns `rank` as it is without a mechanism.
fn adjust(without: Option<Mechanism>, rank: Rank) -> Rank {
    match without {
        Some(Mechanism::Half) => Rank { class: Class::External, ..rank },
        Some(Mechanism::Priority) => Rank { priority: 0, ..rank },
        Some(Mechanism::ShortWaits) => Rank { start_by: None, ..rank },
        _ => rank,
    }
}
