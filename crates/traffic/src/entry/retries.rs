//! Applies `policy::retry` and `policy::budget`: whether and when a call is offered again.

use fleet::view::Upstream;
use model::time::Time;
use policy::{
    budget::Lineage,
    latency::Estimate,
    outcome::Outcome,
    retry::{self, Kind},
};
use std::time::Duration;

use crate::{call::Call, proxy::Proxy, record::events::BudgetUse};

/// Counts a call towards the service's retry budget.
pub(super) fn record_call(proxy: &Proxy, call: &Call<'_>) {
    let now = proxy.clock.now();
    let budget = proxy.tuning().budget;
    proxy.services.with(call.service, |service| match &budget {
        Some(settings) => service.record_call(settings, call.rank.class, call.lineage, now),
        None => service.budget.earn(call.profile.retry_budget_percent),
    });
    if budget.is_some() && call.lineage == Lineage::Retry {
        proxy.count_budget_use(call.service, BudgetUse::Nested);
    }
}

/// Decides whether to retry after a failed attempt.
///
/// `offers` counts all upstreams tried, `reached` those that may have received the call.
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
        // A retry could crash another upstream before this crash is reported.
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
    let part = proxy.budget_part(&settings);
    let now = proxy.clock.now();
    retry::decide_reached(attempt, || {
        let granted =
            proxy.services.with(call.service, |s| s.window.try_retry(&settings, part, now));
        let how = if granted { BudgetUse::Granted } else { BudgetUse::Refused };
        proxy.count_budget_use(call.service, how);
        granted
    })
}

/// Returns a retry that reached no upstream to the service's budget.
pub(super) fn give_back(proxy: &Proxy, call: &Call<'_>) {
    if proxy.tuning().budget.is_some() {
        proxy.services.with(call.service, |service| service.window.give_back());
        proxy.count_budget_use(call.service, BudgetUse::Returned);
    }
}

/// Returns the deadline of attempt number `made`, counted from 1.
pub(super) fn deadline(proxy: &Proxy, call: &Call<'_>, made: usize) -> Time {
    let now = proxy.clock.now();
    let remaining = call.deadline.since(now);
    now + retry::attempt_timeout(remaining, call.kind(), made as u32 - 1, call.options.attempts)
}

/// Returns how long to wait for the first attempt before hedging; none if the call may run only
/// once.
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
