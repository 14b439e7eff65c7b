//! The serving node's side of a call: every call to the colocated upstream is admitted here.
//!
//! Slots, deadlines and all conditions of the claim are checked here, right before the call runs.

use ingress::stream::SocketState;
use model::profile::Profile;
use policy::{
    admission::Rank,
    budget::Lineage,
    claim,
    fairness::Level,
    outcome::{Cause, Outcome},
};
use std::{sync::Arc, time::Duration};

use crate::{
    admission::semaphore::Permit,
    call::{Answer, Offer},
    net::pool::Connection,
    proxy::{Proxy, in_flight::OfferGuard},
    record::{Interest, Trace, events::BudgetUse},
    upstream::{self, Failure, crash, probe},
    wire,
};

/// Runs an offered call on the colocated upstream, if the claim and the admission queue allow it.
pub(crate) async fn run(
    proxy: &Arc<Proxy>,
    profile: &Profile,
    offer: Offer,
) -> Result<Answer, Outcome> {
    let trace = Trace::new(offer_id(proxy, &offer));
    let result = attempt(proxy, profile, &offer, &trace).await;
    if let Err(Outcome::NotRun(cause, _)) = result {
        proxy.meter.count_refusal(cause.name());
        trace_claim(proxy, &offer, &trace, cause.name());
    }
    let interest = match &result {
        Ok(answer) if !answer.head.status().is_server_error() => Interest::Usual,
        _ => Interest::Notable,
    };
    trace.write(&proxy.log, interest);
    result
}

/// Returns the caller's request id of an offer, or the attempt's id if the caller sent none.
fn offer_id(proxy: &Proxy, offer: &Offer) -> String {
    let name = proxy.settings.names.request.as_ref();
    let given = name.and_then(|name| offer.payload.headers.get(name)?.to_str().ok());
    given.map_or_else(|| offer.id.to_string(), str::to_owned)
}

async fn attempt(
    proxy: &Arc<Proxy>,
    profile: &Profile,
    offer: &Offer,
    trace: &Trace,
) -> Result<Answer, Outcome> {
    let _guard = OfferGuard::new(&proxy.in_flight);
    check_claim(proxy, offer)?;
    if offer.standing.lineage == Lineage::Retry && !proxy.may_run_retry() {
        return Err(Cause::Overloaded.outcome());
    }
    proxy.refresh_warm_up();
    probe::start_if_due(proxy);
    proxy.adopt_named_limit(offer.limit);
    let parent = proxy.nested_run(&offer.payload);
    if !offer.is_reserved {
        proxy.admit_nested(parent.as_ref())?;
    }
    let mut slot = proxy.slots.acquire(offer.rank, offer.deadline, profile.queue_limit).await?;
    let idle = proxy.pool.take(proxy.settings.upstream, idle_timeout(profile), offer.kind);
    let was_reused = idle.is_some();
    let connection = match idle {
        Some(connection) => connection,
        None => upstream::dial(proxy, offer).await?,
    };
    trace_claim(proxy, offer, trace, "run");
    let lineage = offer.standing.at(proxy.clock.now());
    let running = proxy.running.begin(trace.id(), offer.rank, lineage, offer.deadline);
    if let Some(parent) = parent {
        running.set_nested(parent);
    }
    let run = crash::Run::begin(proxy, offer);
    let result = send_once(proxy, profile, offer, trace, connection, &mut slot).await;
    let result = match result {
        // The upstream closed the idle connection before anything was written.
        Err(Failure::Unsent) if was_reused => match upstream::dial(proxy, offer).await {
            Ok(connection) => send_once(proxy, profile, offer, trace, connection, &mut slot).await,
            Err(outcome) => Err(Failure::Final(outcome)),
        },
        result => result,
    };
    run.end(&result);
    let result = result.map_err(Failure::outcome);
    if !matches!(result, Err(Outcome::NotRun(..))) {
        proxy.record_nested_run(running.take_nested());
    }
    result
}

/// Sends the call on one connection and traces the result.
async fn send_once(
    proxy: &Proxy,
    profile: &Profile,
    offer: &Offer,
    trace: &Trace,
    connection: Connection,
    slot: &mut Permit,
) -> Result<Answer, Failure> {
    if offer.standing.lineage == Lineage::Retry {
        proxy.count_budget_use(&proxy.settings.service, BudgetUse::Delivered);
    }
    let begun = proxy.clock.now();
    let result = send(proxy, profile, offer, connection, slot).await;
    trace_run(proxy, offer, trace, &result, proxy.clock.now().since(begun));
    result
}

/// Checks the claim again and sends the call; from here on its outcome may be unknown.
async fn send(
    proxy: &Proxy,
    profile: &Profile,
    offer: &Offer,
    connection: Connection,
    slot: &mut Permit,
) -> Result<Answer, Failure> {
    let request = upstream::request(proxy, offer);
    if let Err(outcome) = check_claim(proxy, offer) {
        proxy.pool.put(proxy.settings.upstream, connection);
        return Err(Failure::Final(outcome));
    }
    upstream::exchange(proxy, profile, offer, connection, request, slot).await
}

fn trace_claim(proxy: &Proxy, offer: &Offer, trace: &Trace, decision: &str) {
    let load = proxy.slots.load();
    let now = proxy.clock.now();
    trace.record(
        &proxy.log,
        trace::Step::Claimed {
            attempt: offer.id,
            upstream: offer.identity.as_deref().unwrap_or_default().to_owned(),
            decision: decision.to_owned(),
            busy: load.busy,
            waiting: load.waiting,
            waited_ms: now.since(offer.received).as_millis() as u64,
            left_ms: offer.deadline.since(now).as_millis() as u64,
        },
    );
}

fn trace_run(
    proxy: &Proxy,
    offer: &Offer,
    trace: &Trace,
    result: &Result<Answer, Failure>,
    elapsed: Duration,
) {
    let (outcome, status) = match result {
        Ok(answer) => (wire::ANSWERED, answer.head.status().as_u16()),
        Err(Failure::Final(outcome)) => (outcome.reason(), 0),
        Err(Failure::Unsent) => return,
    };
    let ms = elapsed.as_millis() as u64;
    let step = trace::Step::Ran { attempt: offer.id, outcome: outcome.to_owned(), status, ms };
    trace.record(&proxy.log, step);
}

/// Reserves a transfer slot for the body of an offer, if the call would be admitted.
///
/// Returns the ticket that the body must be sent with.
pub(crate) async fn reserve(
    proxy: &Proxy,
    profile: &Profile,
    offer: &Offer,
) -> Result<u64, Outcome> {
    check_claim(proxy, offer)?;
    proxy.refresh_warm_up();
    proxy.adopt_named_limit(offer.limit);
    if !proxy.slots.admits(offer.rank, offer.deadline, profile.queue_limit) {
        return Err(Cause::Overloaded.outcome());
    }
    // Refused before its body is sent.
    proxy.admit_nested(proxy.nested_run(&offer.payload).as_ref())?;
    let ticket = proxy.next_id();
    // Levels order the queue for slots only.
    let rank = Rank { level: Level::default(), ..offer.rank };
    proxy.transfers.reserve(ticket, rank, offer.deadline).await?;
    Ok(ticket)
}

/// Checks every condition of the claim at the present time; fails with the outcome to report.
fn check_claim(proxy: &Proxy, offer: &Offer) -> Result<(), Outcome> {
    let now = proxy.clock.now();
    let quarantined = proxy.quarantined(&offer.payload, &proxy.settings.service);
    let conditions = claim::Conditions {
        now,
        deadline: offer.deadline,
        paused: proxy.may_be_stale(offer.received, now),
        connected: offer.origin.socket_state() != SocketState::Closed,
        leaving: proxy.lifecycle.is_leaving()
            || proxy.has_left(offer.identity.as_deref(), offer.started_ms),
        current_incarnation: proxy
            .settings
            .incarnation
            .is_none_or(|incarnation| incarnation == offer.incarnation)
            && !proxy.has_restarted(offer.identity.as_deref(), offer.started_ms),
        evacuated: proxy.is_evacuated(),
        quarantined: quarantined.is_some(),
    };
    match (claim::refusal(conditions), quarantined) {
        (None, _) => Ok(()),
        (Some(Cause::Quarantined), Some(outcome)) => Err(outcome),
        (Some(cause), _) => Err(cause.outcome()),
    }
}

fn idle_timeout(profile: &Profile) -> Duration {
    Duration::from_millis(profile.idle_ms)
}
