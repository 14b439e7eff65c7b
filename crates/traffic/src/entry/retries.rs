//! Applies `policy::retry` and `policy::budget`: whether and when a call is offered again.

use fleet::view::Upstream;
use model::time::Time;
use policy::{
    budget::{Grant, Level, Lineage, Settings},
    latency::Estimate,
    outcome::{Cause, Outcome},
    retry::{self, Kind},
};
use std::{sync::atomic::Ordering, time::Duration};

use crate::{
    admission::running::Nested, call::Call, entry::level, proxy::Proxy, record::events::BudgetUse,
};

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
    /// No further attempt, for a reason that came up during the decision.
    Stop(Outcome),
    /// An attempt at another upstream, with the retry that it takes from the budget, if any.
    Offer(Option<Retry<'a>>),
}

/// A failed attempt, or one without an answer so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) outcome: Outcome,
    /// Number of upstreams tried.
    pub(super) offers: usize,
    /// Number of those that may have received the call.
    pub(super) reached: u32,
    /// The same number before the attempt.
    pub(super) reached_before: u32,
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
        Lineage::Retry => match take(proxy, call.service, settings, None, BudgetUse::Nested) {
            None => Err(Cause::Overloaded.outcome()),
            retry => Ok(retry),
        },
    }
}

/// Decides whether to retry after a failed attempt; `nested` is the call's registration with its parent.
pub(super) async fn next_step<'a>(
    proxy: &'a Proxy,
    call: &'a Call<'_>,
    nested: Option<&Nested>,
    failure: Failure,
) -> Next<'a> {
    let Failure { outcome, offers, reached, .. } = failure;
    if let (Some(nested), Outcome::NotRun(Cause::Refused, _)) = (nested, outcome) {
        nested.record_refusal();
    }
    let attempt =
        retry::Attempt { outcome, kind: call.kind(), made: reached, limit: call.options.attempts };
    let tuning = proxy.tuning();
    if let Some(settings) = tuning.budget
        && tuning.overload.retry_priority
        && reached > failure.reached_before
        && retry::may_offer(offers)
        && retry::needs_budget(attempt)
        && let Err(outcome) = level::settle(proxy, call, &settings, nested).await
    {
        return Next::Stop(outcome);
    }
    decide(proxy, call, failure, || level::of_retry(proxy, call, nested))
}

/// Decides whether to make a hedged request.
pub(super) fn next_hedge<'a>(proxy: &'a Proxy, call: &'a Call<'_>, first: Failure) -> Next<'a> {
    decide(proxy, call, first, || level::of_hedge(call))
}

/// Decides whether to make an attempt, whose `level` matters if it takes a retry from the fleet's budget.
fn decide<'a>(
    proxy: &'a Proxy,
    call: &'a Call<'_>,
    failure: Failure,
    level: impl FnOnce() -> Level,
) -> Next<'a> {
    let Failure { outcome, offers, reached, reached_before } = failure;
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
        // A retry that reached no upstream was granted before, and is only offered again.
        let is_new = reached > reached_before;
        let level = (proxy.tuning().overload.retry_priority && is_new).then(level);
        if let Some(level) = level {
            let now = proxy.clock.now();
            proxy.services.with(call.service, |s| s.demand.record_wanted(level, now));
        }
        spent = take(proxy, call.service, settings, level, BudgetUse::Granted);
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
///
/// One of a `level` is not taken if what is left is reserved for levels above.
fn take<'a>(
    proxy: &'a Proxy,
    service: &'a str,
    settings: Settings,
    level: Option<Level>,
    granted: BudgetUse,
) -> Option<Retry<'a>> {
    let (part, now) = (proxy.budget_part(&settings), proxy.clock.now());
    let grant = proxy.services.with(service, |s| match level {
        Some(level) => s.demand.try_retry(&mut s.window, &settings, part, level, now),
        None if s.window.try_retry(&settings, part, now) => Grant::Granted,
        None => Grant::Exhausted,
    });
    let how = match grant {
        Grant::Granted => granted,
        Grant::Exhausted => BudgetUse::Refused,
        Grant::Reserved => BudgetUse::Reserved,
    };
    proxy.count_budget_use(service, how);
    (grant == Grant::Granted).then(|| Retry::new(proxy, service, settings))
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
