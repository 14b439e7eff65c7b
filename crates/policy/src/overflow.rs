//! Overflow: which upstreams a call is offered to while capacity is short.
//!
//! It handles a demand peak in all data centres at once, in which offers to full upstreams elsewhere only cost
//! traffic and time, and a full data centre beside an idle one, which then takes the calls. Knowledge about an
//! upstream counts for a quarter of a second; without it, calls are offered as by [`placement`].

use model::time::Time;
use rand::{Rng, RngExt};
use std::time::Duration;

use crate::{
    admission::Class,
    outcome::{Cause, Outcome},
    placement::{self, Candidate, Locality},
    retry::Kind,
};

/// Acceptance below which calls stay in their data centre: more than three of four offers elsewhere are refused.
pub const MIN_ACCEPTANCE: f64 = 0.25;

/// Weight of a new offer in the acceptance.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life of the difference of the acceptance from 1, after which other data centres are tried again.
///
/// With this half-life and weight, some five refused offers a second keep the acceptance below [`MIN_ACCEPTANCE`]; a
/// node of a small instance makes few offers.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Response of another data centre to an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    /// It was not refused for lack of capacity; it may have failed otherwise.
    Taken,
    /// It was refused for lack of capacity; see [`is_refusal`].
    Refused,
}

/// Moving share of the offers to other data centres that were not refused for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptance {
    refused: f64,
    at: Time,
}

impl Acceptance {
    /// Counts an offer.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::overflow::{Acceptance, Response};
    /// let mut acceptance = Acceptance::default();
    /// let at = Time::from_millis;
    /// acceptance.record(Response::Refused, at(0));
    /// assert_eq!(acceptance.share(at(0)), 0.8);
    /// assert_eq!(acceptance.share(at(2_000)), 0.9);
    /// ```
    pub fn record(&mut self, response: Response, now: Time) {
        let sample = match response {
            Response::Taken => 0.0,
            Response::Refused => 1.0,
        };
        let old = 1.0 - self.share(now);
        self.refused = old + (sample - old) * SAMPLE_WEIGHT;
        self.at = now;
    }

    /// Returns the share, which is 1 without recent offers.
    pub fn share(&self, now: Time) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 - self.refused * (-halvings).exp2()
    }
}

/// Acceptance of a service by class; the serving nodes' queues treat the classes differently.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptances {
    external: Acceptance,
    nested: Acceptance,
}

impl Acceptances {
    /// Counts an offer of a call of `class`.
    pub fn record(&mut self, class: Class, response: Response, now: Time) {
        match class {
            Class::External => self.external.record(response, now),
            Class::Nested => self.nested.record(response, now),
        }
    }

    /// Returns the share for calls of `class`; see [`Acceptance::share`].
    pub fn share(&self, class: Class, now: Time) -> f64 {
        match class {
            Class::External => self.external.share(now),
            Class::Nested => self.nested.share(now),
        }
    }
}

/// What precedes an offer of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nothing: it is the first offer.
    First,
    /// Refusals by serving nodes for lack of capacity; nothing has reached an upstream.
    Refused,
    /// An attempt that may have reached an upstream, or a failure other than lack of capacity.
    Failed,
}

impl Stage {
    /// Returns the stage after attempts with the combined outcome `last`, of which `reached` may have reached an
    /// upstream.
    ///
    /// ```
    /// use policy::{outcome::Cause, overflow::Stage};
    /// assert_eq!(Stage::after(Cause::Overloaded.outcome(), 0), Stage::Refused);
    /// assert_eq!(Stage::after(Cause::Overloaded.outcome(), 1), Stage::Failed);
    /// assert_eq!(Stage::after(Cause::Unreachable.outcome(), 0), Stage::Failed);
    /// ```
    pub fn after(last: Outcome, reached: u32) -> Stage {
        match last {
            Outcome::NotRun(cause, _) if reached == 0 && is_refusal(cause) => Stage::Refused,
            _ => Stage::Failed,
        }
    }
}

/// A call that is to be offered.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// What precedes the offer.
    pub stage: Stage,
    /// Queue priority, as in [`Rank`](crate::admission::Rank).
    pub priority: u8,
    /// Whether the call may run more than once.
    pub kind: Kind,
    /// Acceptance of the service by other data centres.
    pub acceptance: f64,
    /// Current time.
    pub now: Time,
}

/// Returns whether a serving node that refuses for `cause` lacks capacity.
pub fn is_refusal(cause: Cause) -> bool {
    match cause {
        Cause::Overloaded | Cause::Limited | Cause::NestedOverloaded => true,
        Cause::UnknownService
        | Cause::UnusableRoute
        | Cause::Unready
        | Cause::Outdated
        | Cause::NoUpstream
        | Cause::Refused
        | Cause::Leaving
        | Cause::Unreachable
        | Cause::Late
        | Cause::Cancelled
        | Cause::Paused
        | Cause::Replaced
        | Cause::Saturated
        | Cause::Quarantined
        | Cause::Evacuated
        | Cause::BadRequest => false,
    }
}

/// Returns the index of the chosen candidate, or `None` if none may get the call.
///
/// After a refusal that may be so although some were not tried; otherwise only if [`placement::choose`] finds
/// none.
pub fn choose(
    candidates: &[Candidate<'_>],
    request: &Request,
    random: &mut impl Rng,
) -> Option<usize> {
    let untried = (0..candidates.len()).filter(|&i| !candidates[i].tried);
    let mut allowed = match request.stage {
        Stage::First => first_choice(candidates, request, untried.collect()),
        Stage::Refused => {
            let leaves = may_leave(candidates, request);
            untried.filter(|&i| may_follow_refusal(&candidates[i], request, leaves)).collect()
        }
        Stage::Failed => untried.collect(),
    };
    let is_remote = |&i: &usize| accepts_elsewhere(&candidates[i], request);
    let remote: Vec<usize> = allowed.iter().copied().filter(is_remote).collect();
    let drawn = draw(candidates, request, remote, random);
    allowed.retain(|i| !is_remote(i) || Some(*i) == drawn);
    placement::choose_among(candidates, &allowed, request.kind, request.now, random)
}

/// Returns the candidates for a first offer, which stays in the data centre while a slot of a sound upstream is
/// expected there, or while other data centres refuse most calls.
fn first_choice(
    candidates: &[Candidate<'_>],
    request: &Request,
    untried: Vec<usize>,
) -> Vec<usize> {
    let near = |i: &usize| accepts_near(&candidates[*i], request);
    let near: Vec<usize> = untried.iter().copied().filter(near).collect();
    let open = |i: &usize| {
        let candidate = &candidates[*i];
        placement::is_sound(candidate.record, request.now) && !is_known_full(candidate, request)
    };
    let open: Vec<usize> = near.iter().copied().filter(open).collect();
    if open.iter().any(|&i| placement::free_share(&candidates[i], request.now) >= 0.0) {
        return open;
    }
    match request.acceptance < MIN_ACCEPTANCE && !near.is_empty() {
        true => near,
        false => untried,
    }
}

/// Whether a call may be offered to other data centres after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leaves {
    Yes,
    No,
}

/// Returns whether a refused call may leave its data centre: others accept enough, or it has no upstream of its
/// own that accepts calls.
fn may_leave(candidates: &[Candidate<'_>], request: &Request) -> Leaves {
    let has_near = candidates.iter().any(|candidate| accepts_near(candidate, request));
    match request.acceptance < MIN_ACCEPTANCE && has_near {
        true => Leaves::No,
        false => Leaves::Yes,
    }
}

/// Returns whether a call may be offered to a candidate after a refusal.
///
/// An ejected upstream is not a substitute for full ones: it may lose the call.
fn may_follow_refusal(candidate: &Candidate<'_>, request: &Request, leaves: Leaves) -> bool {
    let is_open = candidate.locality != Locality::Remote || leaves == Leaves::Yes;
    is_open
        && candidate.record.accepts(request.kind, request.now)
        && !is_known_full(candidate, request)
}

/// Draws two upstreams of other data centres and returns the one with the lower cost.
///
/// The best of all would be the same for all nodes, whose calls would then fill it in one step. Upstreams that
/// are known to be full are drawn only if all are.
fn draw(
    candidates: &[Candidate<'_>],
    request: &Request,
    remote: Vec<usize>,
    random: &mut impl Rng,
) -> Option<usize> {
    let open = |i: &usize| !is_known_full(&candidates[*i], request);
    let open: Vec<usize> = remote.iter().copied().filter(open).collect();
    let pool = if open.is_empty() { remote } else { open };
    if pool.len() < 2 {
        return pool.first().copied();
    }
    let first = random.random_range(0..pool.len());
    let other = random.random_range(1..pool.len());
    let second = (first + other) % pool.len();
    let cost = |i: usize| placement::total_cost(&candidates[pool[i]], request.now);
    Some(pool[if cost(first) <= cost(second) { first } else { second }])
}

fn is_known_full(candidate: &Candidate<'_>, request: &Request) -> bool {
    candidate.record.is_known_full(candidate.slots, request.priority, request.now)
}

fn accepts_near(candidate: &Candidate<'_>, request: &Request) -> bool {
    candidate.locality != Locality::Remote && candidate.record.accepts(request.kind, request.now)
}

fn accepts_elsewhere(candidate: &Candidate<'_>, request: &Request) -> bool {
    candidate.locality == Locality::Remote && candidate.record.accepts(request.kind, request.now)
}
