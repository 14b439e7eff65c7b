//! The serving node's part: the only way to its upstream.
//!
//! Slots, leaving, deadlines and the claim are decided here, next to the upstream, on fresh facts.

use hyper::{
    Request, Response, StatusCode,
    header::{self, HeaderValue},
};
use model::profile::Profile;
use policy::{
    claim,
    outcome::{Cause, Doubt, Loss, Outcome, Step, of_loss},
};
use std::{sync::Arc, sync::atomic::Ordering, time::Duration};
use tokio::time::timeout;

use crate::{
    call::{Answer, Offer},
    gate::turnstile::Pass,
    hub::Hub,
    net::{
        body,
        pool::{Connection, Failure},
        stream::Look,
    },
    record::{Interest, Trail},
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
        hub.meter.refusal(cause.name());
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

fn note_claim(hub: &Hub, offer: &Offer, trail: &Trail, decision: &str) {
    let load = hub.slots.load();
    let now = hub.clock.now();
    trail.note(
        &hub.log,
        trail::Step::Claimed {
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
    let step = trail::Step::Ran { attempt: offer.id, outcome: outcome.to_owned(), status, ms };
    trail.note(&hub.log, step);
}

async fn attempt(
    hub: &Arc<Hub>,
    profile: &Profile,
    offer: &Offer,
    trail: &Trail,
) -> Result<Answer, Outcome> {
    let _in_hand = InHand::new(hub);
    check_claim(hub, offer)?;
    let mut slot = hub.slots.enter(offer.rank, offer.deadline, profile.queue_limit).await?;
    let kept = hub.pool.take(hub.settings.upstream, idle_limit(profile), offer.kind);
    let was_kept = kept.is_some();
    let connection = match kept {
        Some(connection) => connection,
        None => dial(hub, offer).await?,
    };
    note_claim(hub, offer, trail, "run");
    let _running = hub.running.begin(trail.id(), offer.rank);
    let begun = hub.clock.now();
    let result = send(hub, profile, offer, connection, &mut slot).await;
    note_run(hub, offer, trail, &result, hub.clock.now().since(begun));
    match result {
        // The upstream closed the kept connection in this moment; nothing was written on it.
        Err(Sent::Not) if was_kept => {
            let connection = dial(hub, offer).await?;
            let begun = hub.clock.now();
            let result = send(hub, profile, offer, connection, &mut slot).await;
            note_run(hub, offer, trail, &result, hub.clock.now().since(begun));
            result.map_err(outcome_of)
        }
        result => result.map_err(outcome_of),
    }
}

/// How sending a call to the upstream failed.
enum Sent {
    /// Nothing was written.
    Not,
    /// As told.
    Lost(Outcome),
}

fn outcome_of(sent: Sent) -> Outcome {
    match sent {
        Sent::Not => of_loss(Step::Dial, Loss::Closed),
        Sent::Lost(outcome) => outcome,
    }
}

/// Claims the call and sends it: from here on only a whole answer proves what happened.
async fn send(
    hub: &Arc<Hub>,
    profile: &Profile,
    offer: &Offer,
    mut connection: Connection,
    slot: &mut Pass,
) -> Result<Answer, Sent> {
    let request = upstream_request(hub, offer);
    if let Err(outcome) = check_claim(hub, offer) {
        hub.pool.put(hub.settings.upstream, connection);
        return Err(Sent::Lost(outcome));
    }
    let begun = hub.clock.now();
    let remaining = offer.deadline.since(begun);
    let exchange = async {
        let head = match connection.send(request).await {
            Ok(head) => head,
            Err(Failure::Unsent) => return Err(Sent::Not),
            Err(Failure::Broken) => return Err(Sent::Lost(of_loss(Step::Run, Loss::Closed))),
        };
        receive(hub, profile, offer, head, remaining).await.map_err(Sent::Lost)
    };
    let result = timeout(remaining, exchange).await;
    slot.service_time = Some(hub.clock.now().since(begun));
    let Ok(result) = result else {
        hub.pool.forget(hub.settings.upstream);
        return Err(Sent::Lost(of_loss(Step::Run, Loss::Silent)));
    };
    let answer = result?;
    let rejected_early = !answer.head.status().is_success() && !offer.payload.body.is_empty();
    if !rejected_early {
        // An upstream may reject a long request before it has read all of it and read on later;
        // the next request on the connection would be taken for the rest.
        hub.pool.put(hub.settings.upstream, connection);
    }
    if let Some(cause) = refusal(hub, &answer.head) {
        return Err(Sent::Lost(of_loss(Step::Run, Loss::Refusal(cause))));
    }
    if Some(answer.head.status().as_u16()) == profile.refused_status {
        return Err(Sent::Lost(of_loss(Step::Run, Loss::Refusal(Cause::Refused))));
    }
    Ok(answer)
}

/// Receives the upstream's answer whole and checks that it belongs to this call.
async fn receive(
    hub: &Hub,
    profile: &Profile,
    offer: &Offer,
    head: Response<hyper::body::Incoming>,
    time: Duration,
) -> Result<Answer, Outcome> {
    if !belongs(hub, offer, &head) || !is_authentic(hub, &head) {
        return Err(Outcome::Unknown(Doubt::BadAnswer));
    }
    let (parts, incoming) = head.into_parts();
    let body = body::receive(incoming, profile.max_answer_bytes, time).await;
    let body = body.map_err(|fault| match fault {
        body::Fault::Slow => of_loss(Step::Answer, Loss::Silent),
        body::Fault::Large | body::Fault::Short => of_loss(Step::Answer, Loss::Garbled),
    })?;
    Ok(Answer { head: Response::from_parts(parts, ()), body })
}

/// Keeps a turn for the body of an offer that is still to come, if the call would be taken.
pub(crate) async fn reserve(hub: &Hub, profile: &Profile, offer: &Offer) -> Result<u64, Outcome> {
    check_claim(hub, offer)?;
    if !hub.slots.admits(offer.rank, offer.deadline, profile.queue_limit) {
        return Err(Cause::Overloaded.outcome());
    }
    let ticket = hub.next_id();
    hub.transfers.reserve(ticket, offer.rank, offer.deadline).await?;
    Ok(ticket)
}

/// Tells whether an answer is to this call.
///
/// An upstream that echoes an id lets a crossed or late answer be told from the right one;
/// HTTP/1.1 alone cannot.
fn belongs<T>(hub: &Hub, offer: &Offer, head: &Response<T>) -> bool {
    let Some(name) = &hub.settings.names.request else {
        return match wire::read_number(head.headers(), wire::ID) {
            Ok(None) => true,
            Ok(Some(id)) => id == offer.id,
            Err(wire::Malformed) => false,
        };
    };
    match (offer.payload.headers.get(name), head.headers().get(name)) {
        (Some(asked), Some(told)) => asked == told,
        (None, _) => true,
        // A refusal need not say to what: it proves nothing but that this call has not run.
        (Some(_), None) => refusal(hub, head).is_some(),
    }
}

/// Tells whether an answer can be passed on as the upstream's own.
///
/// A success without the upstream's mark, or in an encoding that nobody asked for, is not what the
/// upstream sent. A status that promises "not run" without the mark of a refusal promises more
/// than is known.
fn is_authentic<T>(hub: &Hub, head: &Response<T>) -> bool {
    let names = &hub.settings.names;
    let stamped = names.stamp.as_ref().is_none_or(|name| head.headers().contains_key(name));
    let plain = !head.headers().contains_key(header::CONTENT_ENCODING);
    let promises = names.refused.is_some() && wire::promises_not_run(head.status());
    if head.status().is_success() {
        return stamped && plain;
    }
    !promises || refusal(hub, head).is_some()
}

/// Returns why the upstream has not run the call, if its answer says that it has not.
fn refusal<T>(hub: &Hub, head: &Response<T>) -> Option<Cause> {
    let name = hub.settings.names.refused.as_ref()?;
    if head.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some(Cause::Replaced);
    }
    head.headers().contains_key(name).then_some(Cause::Refused)
}

/// Checks every reason not to run the call on the facts of this moment.
fn check_claim(hub: &Hub, offer: &Offer) -> Result<(), Outcome> {
    let now = hub.clock.now();
    let facts = claim::Facts {
        now,
        deadline: offer.deadline,
        paused: hub.in_doubt(offer.received, now),
        wanted: offer.origin.look() != Look::Closed,
        leaving: hub.is_leaving() || hub.has_left(offer.identity.as_deref()),
        own: hub.settings.incarnation.is_none_or(|own| own == offer.incarnation)
            && !hub.has_restarted(offer.identity.as_deref(), offer.started_ms),
    };
    claim::refusal(facts).map_or(Ok(()), |cause| Err(cause.outcome()))
}

async fn dial(hub: &Arc<Hub>, offer: &Offer) -> Result<Connection, Outcome> {
    let remaining = offer.deadline.since(hub.clock.now());
    let time = hub.tuning().connect.min(remaining);
    let opened = hub.pool.open(hub.settings.upstream, time).await;
    opened.ok_or_else(|| of_loss(Step::Dial, Loss::Closed))
}

fn upstream_request(hub: &Hub, offer: &Offer) -> Request<wire::Body> {
    let mut request = offer.payload.request();
    let remaining = offer.deadline.since(hub.clock.now()).as_millis() as u64;
    let names = &hub.settings.names;
    let headers = request.headers_mut();
    headers.insert(names.deadline.clone(), wire::number(remaining));
    if names.request.is_none() {
        headers.insert(wire::ID, wire::number(offer.id));
    }
    if let (Some(name), Some(identity)) = (&names.identity, &offer.identity)
        && let Ok(identity) = HeaderValue::from_str(identity)
    {
        headers.insert(name.clone(), identity);
    }
    request
}

fn idle_limit(profile: &Profile) -> Duration {
    Duration::from_millis(profile.idle_ms)
}

/// Counts a call as in hand while it exists.
struct InHand {
    hub: Arc<Hub>,
}

impl InHand {
    fn new(hub: &Arc<Hub>) -> Self {
        hub.offers.fetch_add(1, Ordering::SeqCst);
        InHand { hub: hub.clone() }
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.hub.offers.fetch_sub(1, Ordering::SeqCst);
    }
}
