//! What a day's state is made of.

use model::time::Time;
use policy::{
    admission::{Limiter, Rank},
    budget::Window,
    health::{Load, Record},
    latency::Estimate,
};

use super::settings::Settings;

/// A call in the arena of calls.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct CallKey(pub(super) usize);

/// An offer in the arena of offers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OfferKey(pub(super) usize);

/// What a serving node says of an offer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Reply {
    Answered,
    Failed,
    Refused,
}

/// One attempt of a caller, or a call of an upstream.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) route: usize,
    pub(super) entry: usize,
    /// The run that makes the call, where it is an upstream's.
    pub(super) parent: Option<OfferKey>,
    /// When the caller's first attempt was made.
    pub(super) begun: Time,
    pub(super) received: Time,
    pub(super) deadline: Time,
    /// Number of the attempt, from 1.
    pub(super) attempt: u32,
    /// Refusals of earlier attempts.
    pub(super) refusals: u32,
    pub(super) rank: Rank,
    pub(super) offers: Vec<OfferKey>,
    /// Offers without a reply so far.
    pub(super) pending: u32,
    pub(super) reached: u32,
    /// Whether an offer may have run.
    pub(super) may_have_run: bool,
    pub(super) ended: bool,
}

impl Call {
    /// Creates a caller's first attempt, or a call of the upstream that works on `parent`.
    pub(super) fn new(
        route: usize,
        entry: usize,
        parent: Option<OfferKey>,
        begun: Time,
        deadline: Time,
    ) -> Self {
        Call {
            route,
            entry,
            parent,
            begun,
            received: begun,
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
    pub(super) begun: Time,
    /// Own work and calls that the run still waits for.
    pub(super) pending: u32,
    /// Calls of the run that were answered.
    pub(super) answered: usize,
    pub(super) failed: bool,
    pub(super) state: State,
    /// Whether its end is known at the entry node.
    pub(super) replied: bool,
    /// What the serving node held when it gave its reply.
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
    /// Its position among the upstreams of the service.
    pub(super) position: usize,
    pub(super) data_centre: usize,
    pub(super) slowness: f64,
    pub(super) limiter: Limiter,
}

/// An entry node, beside the upstream of the same index.
#[derive(Debug)]
pub(super) struct EntryNode {
    pub(super) records: Vec<Record>,
    pub(super) latencies: Vec<Option<Estimate>>,
    pub(super) windows: Vec<Window>,
    pub(super) calls: usize,
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
