//! Nested admission: refuses calls whose nested calls would find no capacity.
//!
//! Load: a service that other upstreams call is short of capacity. Parents run, their nested calls
//! are refused, and the work of the parents is lost. The serving node therefore refuses a part of
//! the parents before they run, by adaptive throttling of each nested service and parent priority.
//!
//! All state is in memory and bounded. A node without recent observations admits every call.

use model::{route::PRIORITIES, time::Time};
use rand::{Rng, RngExt};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::outcome::{Cause, Outcome};

/// Maximum number of routes whose nested calls are known.
pub const MAX_ROUTES: usize = 256;

/// Maximum number of nested services per route.
pub const MAX_ROUTE_SERVICES: usize = 8;

/// Maximum number of nested services with a window; calls to further ones are not counted.
pub const MAX_SERVICES: usize = 64;

/// Weight of the latest run in the mean number of nested calls per run.
const RUN_WEIGHT: f64 = 1.0 / 16.0;

/// Mean number of nested calls per run below which a route ignores a service.
const MIN_MEAN: f64 = 0.05;

/// Mean number of nested calls per run below which a service is removed from its route.
const NEGLIGIBLE_MEAN: f64 = 0.005;

/// Nested calls that parents may make per nested call that found capacity.
///
/// Above 1, so that some calls are refused and returning capacity is noticed.
const HEADROOM: f64 = 1.25;

/// Largest share of parents that is refused, so that no route is served less than a quarter as
/// often as all calls together.
const MAX_SHARE: f64 = 0.75;

/// Refused nested calls within the window below which no parent is refused; a few refusals are no
/// lasting shortage.
const MIN_MISSING: u32 = 5;

/// Time after which refusing parents must have raised the share of nested calls that find capacity.
const TRIAL: Duration = Duration::from_secs(2);

/// Smallest rise of that share which shows that refusing parents helps.
const MIN_GAIN: f64 = 0.1;

/// Time for which no parent is refused after a trial without effect.
const PAUSE: Duration = Duration::from_secs(10);

/// Age of a route's last run from which its means count as unknown.
const MAX_RUN_AGE: Duration = Duration::from_secs(2);

/// Number of slots that the window is divided into.
const SLOTS: u64 = 20;

/// Length of a slot; the window is two seconds long.
const SLOT_LENGTH: Duration = Duration::from_millis(100);

/// Number of route priorities.
const PRIORITY_COUNT: usize = *PRIORITIES.end() as usize + 1;

/// Whether a nested call found capacity at the service that it called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Capacity {
    /// The call was served, or failed for another reason than missing capacity.
    Found,
    /// The call was not run for lack of capacity.
    Missing,
}

impl Capacity {
    /// Returns whether a call without an answer found capacity, from its final `outcome` at the
    /// node.
    ///
    /// A refusal by the upstream itself does not count as missing capacity: fewer parents would not
    /// make it rarer.
    ///
    /// ```
    /// use policy::{nested::Capacity, outcome::Cause};
    /// assert_eq!(Capacity::of_failure(Cause::Overloaded.outcome()), Capacity::Missing);
    /// assert_eq!(Capacity::of_failure(Cause::Refused.outcome()), Capacity::Found);
    /// ```
    pub fn of_failure(outcome: Outcome) -> Capacity {
        match outcome {
            Outcome::NotRun(
                Cause::Overloaded
                | Cause::Limited
                | Cause::NoUpstream
                | Cause::Unreachable
                | Cause::NestedOverloaded,
                _,
            ) => Capacity::Missing,
            _ => Capacity::Found,
        }
    }

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Capacity::Found => "found",
            Capacity::Missing => "refused",
        }
    }
}

/// A run that may make nested calls, with the number of its calls to each service.
#[derive(Clone, Debug)]
pub struct Run {
    route: Arc<str>,
    priority: u8,
    calls: Vec<(String, u32)>,
}

impl Run {
    /// Returns a run of `route`, which has `priority`, without nested calls.
    pub fn new(route: &str, priority: u8) -> Self {
        Run { route: route.into(), priority, calls: Vec::new() }
    }

    /// Returns the priority of the route.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Counts a nested call to `service`, unless the run has called [`MAX_ROUTE_SERVICES`] others.
    pub fn count(&mut self, service: &str) {
        if let Some((_, calls)) = self.calls.iter_mut().find(|(name, _)| name == service) {
            *calls += 1;
        } else if self.calls.len() < MAX_ROUTE_SERVICES {
            self.calls.push((service.to_owned(), 1));
        }
    }

    /// Returns the number of nested calls to `service`.
    fn calls_to(&self, service: &str) -> u32 {
        self.calls.iter().find(|(name, _)| name == service).map_or(0, |(_, calls)| *calls)
    }
}

/// Whether a call may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may run, as far as its nested calls are concerned.
    Admit,
    /// It is refused before it runs.
    Refuse,
}

/// Share of the parents that a node refuses for a nested service.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusals {
    /// The nested service.
    pub service: String,
    /// Share of the parents that call it and were refused for it within the window.
    pub share: f64,
}

/// Observations of nested calls at one node, and the decisions on their parents.
///
/// ```
/// use model::time::Time;
/// use policy::nested::{Capacity, Decision, Run, Throttle};
/// # use rand::{SeedableRng, rngs::SmallRng};
/// # let mut random = SmallRng::seed_from_u64(1);
/// let (mut throttle, now) = (Throttle::default(), Time::default());
/// let mut run = Run::new("orders", 2);
/// run.count("loyalty");
/// throttle.record_run(&run, now);
/// for _ in 0..20 {
///     throttle.record_call("loyalty", run.priority(), Capacity::Missing, now);
/// }
/// let decisions: Vec<_> = (0..20).map(|_| throttle.decide(&run, now, &mut random)).collect();
/// assert!(decisions.contains(&Decision::Refuse));
/// ```
#[derive(Debug, Default)]
pub struct Throttle {
    routes: HashMap<Arc<str>, Route>,
    services: HashMap<String, Window>,
}

impl Throttle {
    /// Records the end of a nested call to `service`, whose parent's route has `priority`.
    pub fn record_call(&mut self, service: &str, priority: u8, capacity: Capacity, now: Time) {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                self.remove_idle(now);
            }
            if self.services.len() >= MAX_SERVICES {
                return;
            }
            self.services.insert(service.to_owned(), Window::default());
        }
        if let Some(window) = self.services.get_mut(service) {
            window.record(priority, capacity, now);
        }
    }

    /// Records the end of `run`, also if it made no nested call.
    pub fn record_run(&mut self, run: &Run, now: Time) {
        match self.routes.get_mut(&run.route) {
            Some(route) => route.record(run, now),
            // A route without nested calls needs no entry.
            None if run.calls.is_empty() => {}
            None => {
                self.make_room();
                let mut route = Route::default();
                route.record(run, now);
                self.routes.insert(run.route.clone(), route);
            }
        }
    }

    /// Decides whether `run` may begin.
    ///
    /// Each service that its route calls refuses it with a probability of its own; the largest
    /// applies. The nested calls of a refused run count as wanted for the services that refuse it.
    pub fn decide(&mut self, run: &Run, now: Time, random: &mut impl Rng) -> Decision {
        let Some(route) = self.routes.get(&run.route) else { return Decision::Admit };
        if now.since(route.ended_at) > MAX_RUN_AGE {
            return Decision::Admit;
        }
        let draw = random.random();
        let mut decision = Decision::Admit;
        for (service, mean) in route.services.iter().filter(|(_, mean)| *mean >= MIN_MEAN) {
            let Some(window) = self.services.get_mut(service) else { continue };
            if window.decide(draw, run.priority, *mean, now) == Decision::Refuse {
                decision = Decision::Refuse;
            }
        }
        decision
    }

    /// Returns the services for which parents were refused within the window, by name.
    pub fn refusals(&mut self, now: Time) -> Vec<Refusals> {
        let share = |(service, window): (&String, &mut Window)| {
            let share = window.refused_share(now);
            (share > 0.0).then(|| Refusals { service: service.clone(), share })
        };
        let mut refusals: Vec<Refusals> = self.services.iter_mut().filter_map(share).collect();
        refusals.sort_by(|a, b| a.service.cmp(&b.service));
        refusals
    }

    /// Returns the services for which parents began to be refused since the last call, and with a
    /// share of zero those for which none were refused for the length of the window. Removes unused
    /// services.
    pub fn take_changes(&mut self, now: Time) -> Vec<Refusals> {
        let mut changes = Vec::new();
        for (service, window) in &mut self.services {
            let share = window.refused_share(now);
            if window.is_reported != (share > 0.0) {
                window.is_reported = share > 0.0;
                changes.push(Refusals { service: service.clone(), share });
            }
        }
        self.remove_idle(now);
        changes.sort_by(|a, b| a.service.cmp(&b.service));
        changes
    }

    /// Removes services without recent calls whose last change was taken.
    fn remove_idle(&mut self, now: Time) {
        self.services.retain(|_, window| window.is_reported || !window.is_empty(now));
    }

    /// Removes the route whose last run is the oldest, if the maximum is reached.
    fn make_room(&mut self) {
        if self.routes.len() < MAX_ROUTES {
            return;
        }
        let oldest = self.routes.iter().min_by_key(|(_, route)| route.ended_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.routes.remove(&name);
        }
    }
}

/// Moving means of the nested calls per run of one route, by service.
#[derive(Debug, Default)]
struct Route {
    services: Vec<(String, f64)>,
    ended_at: Time,
}

impl Route {
    fn record(&mut self, run: &Run, now: Time) {
        self.ended_at = now;
        for (service, _) in &run.calls {
            if !self.services.iter().any(|(name, _)| name == service) {
                self.services.push((service.clone(), 0.0));
            }
        }
        for (service, mean) in &mut self.services {
            *mean += (f64::from(run.calls_to(service)) - *mean) * RUN_WEIGHT;
        }
        self.services.retain(|(_, mean)| *mean >= NEGLIGIBLE_MEAN);
        self.services.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        self.services.truncate(MAX_ROUTE_SERVICES);
    }
}

/// Nested calls to one service, and the parents that would make them, in the last two seconds.
#[derive(Debug, Default)]
struct Window {
    /// Slots with their numbers since the start of the clock, oldest first.
    slots: VecDeque<(u64, Slot)>,
    /// Whether the last change that was taken is that parents are refused.
    is_reported: bool,
    /// Since when parents are refused, while that is not known to help.
    trial: Option<Trial>,
    /// No parent is refused before this time.
    paused_until: Time,
}

/// Refusals whose effect is not known yet.
///
/// Where other callers take the capacity, or the service cannot be reached, refusing parents lets no more nested
/// calls find capacity; the throttle would then refuse more and more of them.
#[derive(Clone, Copy, Debug)]
struct Trial {
    began: Time,
    /// Share of nested calls that found capacity when it began.
    found_share: f64,
}

/// Counts of a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Nested calls wanted, by the priority of the parent's route.
    wanted: [f64; PRIORITY_COUNT],
    found: u32,
    missing: u32,
    parents: u32,
    refused_parents: u32,
}

impl Window {
    fn record(&mut self, priority: u8, capacity: Capacity, now: Time) {
        let slot = self.slot(now);
        slot.wanted[index(priority)] += 1.0;
        match capacity {
            Capacity::Found => slot.found += 1,
            Capacity::Missing => slot.missing += 1,
        }
    }

    /// Decides on a parent that makes `mean` calls to the service; `draw` is a random number below
    /// 1.
    fn decide(&mut self, draw: f64, priority: u8, mean: f64, now: Time) -> Decision {
        let is_refused = draw < self.probability(priority, now);
        let slot = self.slot(now);
        slot.parents += 1;
        if !is_refused {
            return Decision::Admit;
        }
        slot.refused_parents += 1;
        slot.wanted[index(priority)] += mean;
        Decision::Refuse
    }

    /// Returns the probability with which a parent of `priority` is refused.
    fn probability(&mut self, priority: u8, now: Time) -> f64 {
        let total = self.total(now);
        if total.missing < MIN_MISSING {
            self.trial = None;
            return 0.0;
        }
        let wanted: f64 = total.wanted[..=index(priority)].iter().sum();
        let own = total.wanted[index(priority)];
        let excess = wanted - HEADROOM * f64::from(total.found);
        if excess <= 0.0 || own <= 0.0 {
            return 0.0;
        }
        match self.may_help(total.found_share(), now) {
            true => (excess / own).min(MAX_SHARE),
            false => 0.0,
        }
    }

    /// Returns whether refusing parents helps, or may do so, given the share of nested calls that found capacity.
    fn may_help(&mut self, found_share: f64, now: Time) -> bool {
        if now < self.paused_until {
            return false;
        }
        let trial = *self.trial.get_or_insert(Trial { began: now, found_share });
        if now.since(trial.began) < TRIAL {
            return true;
        }
        if found_share < trial.found_share + MIN_GAIN {
            self.trial = None;
            self.paused_until = now + PAUSE;
            return false;
        }
        true
    }

    fn refused_share(&mut self, now: Time) -> f64 {
        let total = self.total(now);
        f64::from(total.refused_parents) / f64::from(total.parents.max(1))
    }

    fn is_empty(&mut self, now: Time) -> bool {
        self.remove_expired(now);
        self.slots.is_empty()
    }

    fn total(&mut self, now: Time) -> Slot {
        self.remove_expired(now);
        self.slots.iter().fold(Slot::default(), |total, (_, slot)| total.plus(slot))
    }

    /// Returns the current slot.
    fn slot(&mut self, now: Time) -> &mut Slot {
        self.remove_expired(now);
        let number = slot_number(now);
        if self.slots.back().is_none_or(|(last, _)| *last < number) {
            self.slots.push_back((number, Slot::default()));
        }
        let (_, slot) = self.slots.back_mut().expect("a slot was pushed if there was none");
        slot
    }

    fn remove_expired(&mut self, now: Time) {
        let number = slot_number(now);
        while self.slots.front().is_some_and(|(oldest, _)| oldest + SLOTS <= number) {
            self.slots.pop_front();
        }
    }
}

impl Slot {
    fn found_share(&self) -> f64 {
        f64::from(self.found) / f64::from((self.found + self.missing).max(1))
    }

    fn plus(mut self, other: &Slot) -> Slot {
        for (total, wanted) in self.wanted.iter_mut().zip(other.wanted) {
            *total += wanted;
        }
        self.found += other.found;
        self.missing += other.missing;
        self.parents += other.parents;
        self.refused_parents += other.refused_parents;
        self
    }
}

fn slot_number(now: Time) -> u64 {
    (now.since(Time::default()).as_millis() / SLOT_LENGTH.as_millis()) as u64
}

/// Returns the index of a priority; those beyond the accepted values count as the least urgent.
fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_COUNT - 1)
}
