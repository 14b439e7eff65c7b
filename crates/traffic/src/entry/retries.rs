//! Whether and when a call is offered once more: `policy::retry` and `policy::budget` put into effect.

use fleet::view::Upstream;
use model::time::Time;
use policy::{
    latency::Estimate,
    outcome::Outcome,
    retry::{self, Kind},
};
use std::time::Duration;

use crate::{call::Call, proxy::Proxy};

/// Counts a call towards the budget for repeats.
pub(super) fn record_call(proxy: &Proxy, call: &Call<'_>) {
    let now = proxy.clock.now();
    let budget = proxy.tuning().budget;
    proxy.services.with(call.service, |service| match &budget {
        Some(settings) => service.window.record_call(settings, now),
        None => service.budget.earn(call.profile.retry_budget_percent),
    });
}

/// Decides whether a failed attempt is followed by another one.
pub(super) fn next_step(
    proxy: &Proxy,
    call: &Call<'_>,
    outcome: Outcome,
    offers: usize,
    reached: u32,
) -> retry::Step {
    let may_crash_upstreams =
        matches!(outcome, Outcome::Unknown(_)) && proxy.is_suspected(&call.payload, call.service);
    if may_crash_upstreams {
        // A repeat in the next moment would end one more upstream before word of this one arrives.
        return retry::Step::GiveUp;
    }
    let limit = call.options.attempts;
    let kind = call.kind();
    let Some(settings) = proxy.tuning().budget else {
        let attempt = retry::Attempt { outcome, kind, made: offers as u32, limit };
        return proxy.services.with(call.service, |s| retry::decide(attempt, &mut s.budget));
    };
    if !retry::may_offer(offers) {
        return retry::Step::GiveUp;
    }
    let attempt = retry::Attempt { outcome, kind, made: reached, limit };
    let nodes = proxy.fleet_size();
    let now = proxy.clock.now();
    retry::decide_reached(attempt, || {
        proxy.services.with(call.service, |s| s.window.try_retry(&settings, nodes, now))
    })
}

/// Returns until when the attempt number `made` may take.
pub(super) fn deadline(proxy: &Proxy, call: &Call<'_>, made: usize) -> Time {
    let now = proxy.clock.now();
    let remaining = call.deadline.since(now);
    now + retry::attempt_timeout(remaining, call.kind(), made as u32 - 1, call.options.attempts)
}

/// Returns how long the first attempt may be silent before a second one is made beside it; none
/// where the call may run only once.
pub(super) fn hedge_delay(proxy: &Proxy, call: &Call<'_>, first: &Upstream) -> Option<Duration> {
    if call.kind() == Kind::Once {
        return None;
    }
    let now = proxy.clock.now();
    let remaining = call.deadline.since(now);
    let due = call.due.map_or(remaining, |due| due.since(now));
    let latency = proxy.estimates.latency(call.service, &call.options.route);
    let latency = latency.unwrap_or_else(|| Estimate::guess(due));
    let (slowness, failure_share) = proxy.services.with(call.service, |s| {
        let record = s.record(first, now);
        (record.slowness(now), record.failure_share(now))
    });
    let hedge = retry::Hedge { latency, slowness, failure_share, due, remaining };
    Some(retry::hedge_delay(hedge))
}
