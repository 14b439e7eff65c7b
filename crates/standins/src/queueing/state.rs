//! Data types of a run's state.

use model::time::Time;
use policy::{
    admission::{Limiter, Rank},
    budget::Window,
    health::{Load, Record},
    latency::Estimate,
};

use super::settings::Settings;

/// Index into `Simulation::calls`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct CallKey(pub(super) usize);

/// Index into `Simulation::offers`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OfferKey(pub(super) usize);

/// A serving node's reply to an offer, and the outcome of a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Reply {
    Answered,
    Failed,
    Refused,
}

/// One attempt of a caller, or a nested call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) route: usize,
    pub(super) entry: usize,
    /// The run that makes the call, if it is nested.
    pub(super) parent: Option<OfferKey>,
    /// Time of the caller's first attempt.
    pub(super) started: Time,
    pub(super) received: Time,
    pub(super) deadline: Time,
    /// Attempt number, from 1.
    pub(super) attempt: u32,
    /// Number of earlier attempts that were refused.
    pub(super) refusals: u32,
    pub(super) rank: Rank,
    pub(super) offers: Vec<OfferKey>,
    /// Number of offers without a reply.
    pub(super) pending: u32,
    pub(super) reached: u32,
    /// Whether a failed offer may have run.
    pub(super) may_have_run: bool,
    pub(super) ended: bool,
}

impl Call {
    /// Creates a caller's first attempt, or a nested call of the run `parent`.
    pub(super) fn new(
        route: usize,
        entry: usize,
        parent: Option<OfferKey>,
        started: Time,
        deadline: Time,
    ) -> Self {
        Call {
            route,
            entry,
            parent,
            started,
            received: started,
            deadline,
            attempt: 1,
            refusals: 0,
            rank: Rank::default(),
            offers: Vec::new(),
            pending: 0,
            reached: 0,
            may_have_run: false,
            ended: false,
        }
    }
}

/// An offer of a call to an upstream.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) call: CallKey,
    pub(super) upstream: usize,
    pub(super) sent: Time,
    pub(super) started: Time,
    /// Number of parts that the run waits for: its own service time and nested calls.
    pub(super) pending: u32,
    /// Number of the run's nested calls that were answered.
    pub(super) answered: usize,
    pub(super) failed: bool,
    pub(super) state: State,
    /// Whether the entry node has received the reply.
    pub(super) replied: bool,
    /// Load that the serving node reported with its reply.
    pub(super) load: Load,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    Sent,
    Waiting,
    Running,
    Ended,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) service: usize,
    /// Index among the upstreams of its service.
    pub(super) position: usize,
    pub(super) data_centre: usize,
    pub(super) slowness: f64,
    pub(super) limiter: Limiter,
}

/// An entry node, colocated with the upstream of the same index.
#[derive(Debug)]
pub(super) struct EntryNode {
    pub(super) records: Vec<Record>,
    pub(super) latencies: Vec<Option<Estimate>>,
    pub(super) windows: Vec<Window>,
    /// Number of offers chosen here, for round-robin.
    pub(super) choices: usize,
}

pub(super) fn upstreams(settings: &Settings) -> Vec<Upstream> {
    let mut all = Vec::new();
    for (index, service) in settings.services.iter().enumerate() {
        for position in 0..service.upstreams {
            let slowness = service.slowness.get(position % service.slowness.len().max(1));
            all.push(Upstream {
                service: index,
                position,
                data_centre: position % settings.data_centres.max(1),
                slowness: slowness.copied().unwrap_or(1.0),
                limiter: Limiter::new(service.slots),
            });
        }
    }
    all
}
