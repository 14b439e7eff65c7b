//! Applies `policy::budget::Demand`: how useful a retry is, compared with others that the budget is left for.

use policy::{
    budget::{Benefit, Level, Lineage, Settings},
    outcome::Outcome,
    urgency,
};
use std::time::Duration;
use tokio::time::sleep;

use crate::{admission::running::Nested, call::Call, entry::stop_outcome, proxy::Proxy};

/// Registers a nested call with its parent, whose other nested calls then know of it; `None` for a call from
/// a caller, or if retries are granted as they come.
pub(super) fn begin_nested(proxy: &Proxy, call: &Call<'_>) -> Option<Nested> {
    if !proxy.tuning().overload.retry_priority {
        return None;
    }
    proxy.running.begin_nested(call.trace.id(), proxy.clock.now())
}

/// Returns the level of a retry after a failed attempt.
pub(super) fn of_retry(proxy: &Proxy, call: &Call<'_>, nested: Option<&Nested>) -> Level {
    let benefit = match nested {
        _ if is_late(proxy, call) => Benefit::Speculative,
        Some(nested) => nested.benefit(),
        // It is nested in a retry whose run has ended.
        None if call.lineage == Lineage::Retry => Benefit::Partial,
        None => Benefit::Completes,
    };
    level(call, benefit)
}

/// Returns the level of a hedged request: its call may be answered without it.
pub(super) fn of_hedge(call: &Call<'_>) -> Level {
    level(call, Benefit::Speculative)
}

fn level(call: &Call<'_>, benefit: Benefit) -> Level {
    Level { benefit, priority: urgency::route_priority(call.rank) }
}

/// Returns whether no answer is expected within the objective any more.
fn is_late(proxy: &Proxy, call: &Call<'_>) -> bool {
    let (Some(due), Some(objective_ms)) = (call.due, call.options.objective_ms) else {
        return false;
    };
    let latency = proxy.estimates.latency(call.service, &call.options.route);
    let expected = urgency::expected_time(latency, Duration::from_millis(objective_ms));
    proxy.clock.now() + expected > due
}

/// Waits until the siblings of a refused nested call that began just before have settled, if that may change
/// the decision.
///
/// Concurrent siblings are refused at about the same time: without the wait, the first to be refused would
/// count as the only one. Fails with the outcome that forbids a further attempt after the wait.
pub(super) async fn settle(
    proxy: &Proxy,
    call: &Call<'_>,
    settings: &Settings,
    nested: Option<&Nested>,
) -> Result<(), Outcome> {
    let now = proxy.clock.now();
    let Some(end) = nested.and_then(|nested| nested.settled_at(now)) else { return Ok(()) };
    if end >= call.deadline || is_late(proxy, call) {
        return Ok(());
    }
    let partial = level(call, Benefit::Partial);
    let part = proxy.budget_part(settings);
    let is_reserved = proxy
        .services
        .with(call.service, |s| s.demand.is_reserved(&mut s.window, settings, part, partial, now));
    if !is_reserved {
        return Ok(());
    }
    sleep(end.since(now)).await;
    stop_outcome(proxy, call).map_or(Ok(()), Err)
}

#[cfg(test)]
mod tests;
