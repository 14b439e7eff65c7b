//! Applies `policy::retry` and `policy::budget`: whether and when a call is offered again.

use fleet::view::Upstream;
use model::time::Time;
use policy::{
    budget::{Lineage, Settings},
    latency::Estimate,
    outcome::{Cause, Outcome},
    retry::{self, Kind},
};
use std::{sync::atomic::Ordering, time::Duration};

use crate::{call::Call, proxy::Proxy, record::events::BudgetUse};

/// A retry taken from the fleet's budget, which may reach its upstream until this is dropped.
pub(super) struct Retry<'a> {
    proxy: &'a Proxy,
    service: &'a str,
    settings: Settings,
    reached_none: bool,
}

impl<'a> Retry<'a> {
    fn new(proxy: &'a Proxy, service: &'a str, settings: Settings) -> Self {
        Retry { proxy, service, settings, reached_none: false }
    }

    /// Returns the retry, which has reached no upstream, to the budget.
    pub(super) fn give_back(mut self) {
        self.reached_none = true;
        self.proxy.count_budget_use(self.service, BudgetUse::Returned);
    }
}

impl Drop for Retry<'_> {
    fn drop(&mut self) {
        let now = self.proxy.clock.now();
        self.proxy.services.with(self.service, |service| match self.reached_none {
            true => service.window.give_back(),
            false => service.window.end_retry(&self.settings, now),
        });
    }
}

/// What follows a failed attempt.
pub(super) enum Next<'a> {
    /// No further attempt.
    GiveUp,
    /// An attempt at another upstream, with the retry that it takes from the budget, if any.
    Offer(Option<Retry<'a>>),
}

/// Counts a call towards the service's retry budget; returns the retry that it is itself, if it is nested
/// in one.
///
/// Fails if the budget has none left for it: refused by its entry node, the call is known not to have run.
pub(super) fn record_call<'a>(
    proxy: &'a Proxy,
    call: &'a Call<'_>,
) -> Result<Option<Retry<'a>>, Outcome> {
    let now = proxy.clock.now();
    let Some(settings) = proxy.tuning().budget else {
        let percent = call.profile.retry_budget_percent;
        proxy.services.with(call.service, |service| service.budget.earn(percent));
        return Ok(None);
    };
    proxy.services.with(call.service, |service| {
        service.record_call(&settings, call.rank.class, call.lineage, now);
    });
    match call.lineage {
        Lineage::First => Ok(None),
        Lineage::Retry => match take(proxy, call.service, settings, BudgetUse::Nested) {
            None => Err(Cause::Overloaded.outcome()),
            retry => Ok(retry),
        },
    }
}

/// Decides whether to retry after a failed attempt.
///
/// `offers` counts all upstreams tried, `reached` those that may have received the call.
pub(super) fn next_step<'a>(
    proxy: &'a Proxy,
    call: &'a Call<'_>,
    outcome: Outcome,
    offers: usize,
    reached: u32,
) -> Next<'a> {
    let may_crash_upstreams =
        matches!(outcome, Outcome::Unknown(_)) && proxy.is_suspected(&call.payload, call.service);
    if may_crash_upstreams {
        // A retry could crash another upstream before this crash is reported.
        return Next::GiveUp;
    }
    if !retry::may_offer_after_nested(call.nested_refusals.load(Ordering::Relaxed)) {
        return Next::GiveUp;
    }
    let limit = call.options.attempts;
    let kind = call.kind();
    let Some(settings) = proxy.tuning().budget else {
        let attempt = retry::Attempt { outcome, kind, made: offers as u32, limit };
        let step = proxy.services.with(call.service, |s| retry::decide(attempt, &mut s.budget));
        return next(step, None);
    };
    if !retry::may_offer(offers) {
        return Next::GiveUp;
    }
    let attempt = retry::Attempt { outcome, kind, made: reached, limit };
    let mut spent = None;
    let step = retry::decide_reached(attempt, || {
        spent = take(proxy, call.service, settings, BudgetUse::Granted);
        spent.is_some()
    });
    next(step, spent)
}

fn next(step: retry::Step, spent: Option<Retry<'_>>) -> Next<'_> {
    match step {
        retry::Step::Retry => Next::Offer(spent),
        retry::Step::GiveUp => Next::GiveUp,
    }
}

/// Takes a retry from the service's budget, if one is left, and counts it as `granted`.
fn take<'a>(
    proxy: &'a Proxy,
    service: &'a str,
    settings: Settings,
    granted: BudgetUse,
) -> Option<Retry<'a>> {
    let (part, now) = (proxy.budget_part(&settings), proxy.clock.now());
    let is_left = proxy.services.with(service, |s| s.window.try_retry(&settings, part, now));
    proxy.count_budget_use(service, if is_left { granted } else { BudgetUse::Refused });
    is_left.then(|| Retry::new(proxy, service, settings))
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
