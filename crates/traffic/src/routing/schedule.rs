//! The schedule of a call: deadline, objective, priority rank and attempt.

use hyper::http::request::Parts;
use model::time::Time;
use policy::{admission::Rank, claim, transfer, urgency};
use std::time::Duration;

use crate::{
    proxy::Proxy,
    routing::{
        client_retry::{self, Caller},
        target::Target,
    },
    wire,
};

/// When a call must be answered, and how urgent it is.
pub(crate) struct Schedule {
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    pub(crate) caller: Caller,
    /// Timing relative to the objective, if its route has one.
    pub(crate) timing: Option<urgency::Timing>,
    /// Whether it comes from a caller or is a nested call of an upstream.
    pub(crate) origin: urgency::Origin,
    pub(crate) rank: Rank,
}

impl Schedule {
    /// Returns when an answer becomes late, if the route has an objective.
    pub(crate) fn due(&self) -> Option<Time> {
        self.timing.map(|timing| timing.due())
    }

    /// Returns by when the transfer of a large body must start, if the route has an objective.
    pub(crate) fn transfer_by(&self) -> Option<Time> {
        self.timing.map(transfer::start_by)
    }
}

/// Reads the schedule of the call with request id `id` from its head.
///
/// Fails if the deadline header is not a number.
pub(crate) fn read(
    proxy: &Proxy,
    head: &Parts,
    target: &Target<'_>,
    id: &str,
    received: Time,
) -> Result<Schedule, wire::Malformed> {
    let remaining = wire::read_number(&head.headers, proxy.settings.names.deadline.clone())?;
    let deadline = claim::deadline(received, remaining, target.options.timeout_ms);
    let caller_remaining = remaining.map_or(deadline.since(received), Duration::from_millis);
    let caller = client_retry::identify(
        proxy,
        &head.method,
        &head.uri,
        &head.headers,
        received,
        caller_remaining,
    );
    let timing = timing(proxy, target, caller, received, deadline);
    let parent = proxy.running.parent_of(id);
    let origin = parent.map_or(urgency::Origin::Caller, urgency::Origin::Upstream);
    let rank =
        timing.map_or_else(Rank::default, |t| urgency::rank(origin, target.options.priority, t));
    Ok(Schedule { received, deadline, caller, timing, origin, rank })
}

/// Returns the timing of a call; none if its route has no objective.
fn timing(
    proxy: &Proxy,
    target: &Target<'_>,
    caller: Caller,
    received: Time,
    deadline: Time,
) -> Option<urgency::Timing> {
    let objective = Duration::from_millis(target.options.objective_ms?);
    let latency = proxy.estimates.latency(target.service, &target.options.route);
    Some(urgency::Timing {
        received,
        deadline,
        attempt: caller.attempt,
        elapsed: received.since(caller.first_received),
        objective,
        expected: urgency::expected_time(latency, objective),
    })
}
