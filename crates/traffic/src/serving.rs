//! The serving node's part: the only way to its upstream.
//!
//! Slots, leaving, deadlines and the claim are decided here, next to the upstream, on fresh facts.

use model::profile::Profile;
use policy::{
    claim,
    outcome::{Cause, Outcome},
};
use std::{sync::Arc, time::Duration};

use crate::{
    call::{Answer, Offer},
    gate::turnstile::Pass,
    hub::{Hub, room::Offered},
    net::{pool::Connection, stream::Look},
    record::{Interest, Trail},
    upstream::{self, Sent, end},
    wire,
};

/// Runs an offered call on the own upstream, if it may be run.
pub(crate) async fn run(
    hub: &Arc<Hub>,
    profile: &Profile,
    offer: Offer,
) -> Result<Answer, Outcome> {
    let trail = Trail::new(offer_id(hub, &offer));
    let result = attempt(hub, profile, &offer, &trail).await;
    if let Err(Outcome::NotRun(cause, _)) = result {
        hub.meter.count_refusal(cause.name());
        note_claim(hub, &offer, &trail, cause.name());
    }
    let interest = match &result {
        Ok(answer) if !answer.head.status().is_server_error() => Interest::Usual,
        _ => Interest::Notable,
    };
    trail.write(&hub.log, interest);
    result
}

/// Returns the caller's id of an offered request, or the attempt's number where it gave none.
fn offer_id(hub: &Hub, offer: &Offer) -> String {
    let name = hub.settings.names.request.as_ref();
    let given = name.and_then(|name| offer.payload.headers.get(name)?.to_str().ok());
    given.map_or_else(|| offer.id.to_string(), str::to_owned)
}

async fn attempt(
    hub: &Arc<Hub>,
    profile: &Profile,
    offer: &Offer,
    trail: &Trail,
) -> Result<Answer, Outcome> {
    let _in_hand = Offered::new(&hub.held);
    check_claim(hub, offer)?;
    hub.refresh_warm_up();
    let mut slot = hub.slots.enter(offer.rank, offer.deadline, profile.queue_limit).await?;
    let kept = hub.pool.take(hub.settings.upstream, idle_limit(profile), offer.kind);
    let was_kept = kept.is_some();
    let connection = match kept {
        Some(connection) => connection,
        None => upstream::dial(hub, offer).await?,
    };
    note_claim(hub, offer, trail, "run");
    let _running = hub.running.begin(trail.id(), offer.rank);
    let run = end::Run::begin(hub, offer);
    let result = send_noted(hub, profile, offer, trail, connection, &mut slot).await;
    let result = match result {
        // The upstream closed the kept connection in this moment; nothing was written on it.
        Err(Sent::Not) if was_kept => match upstream::dial(hub, offer).await {
            Ok(connection) => send_noted(hub, profile, offer, trail, connection, &mut slot).await,
            Err(outcome) => Err(Sent::Lost(outcome)),
        },
        result => result,
    };
    run.end(&result);
    result.map_err(Sent::outcome)
}

/// Claims the call and sends it, and notes how that ended.
async fn send_noted(
    hub: &Hub,
    profile: &Profile,
    offer: &Offer,
    trail: &Trail,
    connection: Connection,
    slot: &mut Pass,
) -> Result<Answer, Sent> {
    let begun = hub.clock.now();
    let result = send(hub, profile, offer, connection, slot).await;
    note_run(hub, offer, trail, &result, hub.clock.now().since(begun));
    result
}

/// Claims the call and sends it: from here on only a whole answer proves what happened.
async fn send(
    hub: &Hub,
    profile: &Profile,
    offer: &Offer,
    connection: Connection,
    slot: &mut Pass,
) -> Result<Answer, Sent> {
    let request = upstream::request(hub, offer);
    if let Err(outcome) = check_claim(hub, offer) {
        hub.pool.put(hub.settings.upstream, connection);
        return Err(Sent::Lost(outcome));
    }
    upstream::exchange(hub, profile, offer, connection, request, slot).await
}

fn note_claim(hub: &Hub, offer: &Offer, trail: &Trail, decision: &str) {
    let load = hub.slots.load();
    let now = hub.clock.now();
    trail.note(
        &hub.log,
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

fn note_run(
    hub: &Hub,
    offer: &Offer,
    trail: &Trail,
    result: &Result<Answer, Sent>,
    span: Duration,
) {
    let (outcome, status) = match result {
        Ok(answer) => (wire::ANSWERED, answer.head.status().as_u16()),
        Err(Sent::Lost(outcome)) => (outcome.reason(), 0),
        Err(Sent::Not) => return,
    };
    let ms = span.as_millis() as u64;
    let step = trace::Step::Ran { attempt: offer.id, outcome: outcome.to_owned(), status, ms };
    trail.note(&hub.log, step);
}

/// Keeps a turn for the body of an offer that is still to come, if the call would be taken.
pub(crate) async fn reserve(hub: &Hub, profile: &Profile, offer: &Offer) -> Result<u64, Outcome> {
    check_claim(hub, offer)?;
    hub.refresh_warm_up();
    if !hub.slots.admits(offer.rank, offer.deadline, profile.queue_limit) {
        return Err(Cause::Overloaded.outcome());
    }
    let ticket = hub.next_id();
    hub.transfers.reserve(ticket, offer.rank, offer.deadline).await?;
    Ok(ticket)
}

/// Checks every reason not to run the call on the facts of this moment.
fn check_claim(hub: &Hub, offer: &Offer) -> Result<(), Outcome> {
    let now = hub.clock.now();
    let quarantined = hub.quarantined(&offer.payload, &hub.settings.service);
    let facts = claim::Conditions {
        now,
        deadline: offer.deadline,
        paused: hub.in_doubt(offer.received, now),
        connected: offer.origin.look() != Look::Closed,
        leaving: hub.state.is_leaving() || hub.has_left(offer.identity.as_deref()),
        current_incarnation: hub.settings.incarnation.is_none_or(|own| own == offer.incarnation)
            && !hub.has_restarted(offer.identity.as_deref(), offer.started_ms),
        evacuated: hub.is_evacuated(),
        quarantined: quarantined.is_some(),
    };
    match (claim::refusal(facts), quarantined) {
        (None, _) => Ok(()),
        (Some(Cause::Quarantined), Some(outcome)) => Err(outcome),
        (Some(cause), _) => Err(cause.outcome()),
    }
}

fn idle_limit(profile: &Profile) -> Duration {
    Duration::from_millis(profile.idle_ms)
}
