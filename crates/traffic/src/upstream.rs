//! One exchange with the colocated upstream.

pub(crate) mod crash;
mod demand;
pub(crate) mod probe;
mod validation;

use hyper::{Request, Response};
use model::profile::Profile;
use policy::outcome::{Cause, Loss, Outcome, Step, Uncertainty, of_loss};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

use crate::{
    admission::semaphore::Permit,
    call::{Answer, Offer},
    net::{
        body,
        framing::{Framing, Unusable},
        pool::{ConnectError, Connection, SendError},
    },
    proxy::Proxy,
    upstream::validation::{is_authentic, matches_request, refusal_cause},
    wire,
};

/// A failed exchange with the upstream.
pub(crate) enum Failure {
    /// Nothing was written; the call may be sent on another connection.
    Unsent,
    /// The call is not sent again and has this outcome.
    Final(Outcome),
}

impl Failure {
    /// Returns the outcome to report if the call is not sent again.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            Failure::Unsent => of_loss(Step::Dial, Loss::Closed),
            Failure::Final(outcome) => outcome,
        }
    }
}

/// Opens a connection to the upstream; a refused connection may start a crash probe.
pub(crate) async fn dial(proxy: &Arc<Proxy>, offer: &Offer) -> Result<Connection, Outcome> {
    let remaining = offer.deadline.since(proxy.clock.now());
    let limit = proxy.tuning().connect_timeout.min(remaining);
    let opened = proxy.pool.open(proxy.settings.upstream, limit).await;
    if opened.is_ok() {
        proxy.crashes.mark_alive();
    }
    opened.map_err(|error| {
        // No call may have been pending when the process crashed; this one detects it.
        if error == ConnectError::Refused && proxy.crashes.has_recent_loss(proxy.clock.now()) {
            crash::probe(proxy);
        }
        of_loss(Step::Dial, Loss::Closed)
    })
}

/// Returns the request for the upstream, with the remaining time as its deadline header.
pub(crate) fn request(proxy: &Proxy, offer: &Offer) -> Request<wire::Body> {
    let mut request = offer.payload.request();
    let remaining = offer.deadline.since(proxy.clock.now()).as_millis() as u64;
    let names = &proxy.settings.names;
    let headers = request.headers_mut();
    headers.insert(names.deadline.clone(), wire::number(remaining));
    if names.request.is_none() {
        headers.insert(wire::ID, wire::number(offer.id));
    }
    if let (Some(name), Some(identity)) = (&names.identity, &offer.identity)
        && let Some(identity) = wire::text(identity)
    {
        headers.insert(name.clone(), identity);
    }
    request
}

/// Sends a claimed call, receives its answer and sets the permit's service time.
pub(crate) async fn exchange(
    proxy: &Proxy,
    profile: &Profile,
    offer: &Offer,
    mut connection: Connection,
    request: Request<wire::Body>,
    slot: &mut Permit,
) -> Result<Answer, Failure> {
    let begun = proxy.clock.now();
    let remaining = offer.deadline.since(begun);
    // Before the first await: if the caller leaves, this future is dropped and the call may have
    // arrived.
    slot.record_sent();
    let exchange = async {
        let head = match connection.send(request).await {
            Ok(head) => head,
            Err(SendError::Unsent) => return Err(Failure::Unsent),
            Err(SendError::Broken) => return Err(Failure::Final(of_loss(Step::Run, Loss::Closed))),
        };
        receive(proxy, profile, offer, head, &connection, remaining).await.map_err(Failure::Final)
    };
    let result = timeout(remaining, exchange).await;
    slot.service_time = Some(proxy.clock.now().since(begun));
    let Ok(result) = result else {
        proxy.pool.close_idle(proxy.settings.upstream);
        return Err(Failure::Final(of_loss(Step::Run, Loss::Timeout)));
    };
    let answer = result?;
    let rejected_early = !answer.head.status().is_success() && !offer.payload.body.is_empty();
    if !rejected_early {
        // After an early rejection, the upstream may still expect the rest of the body and would read
        // the next request on this connection as part of it.
        proxy.pool.put(proxy.settings.upstream, connection);
    }
    if let Some(cause) = refusal_cause(proxy, &answer.head) {
        return Err(Failure::Final(of_loss(Step::Run, Loss::Refusal(cause))));
    }
    if Some(answer.head.status().as_u16()) == profile.refused_status {
        return Err(Failure::Final(of_loss(Step::Run, Loss::Refusal(Cause::Refused))));
    }
    Ok(answer)
}

/// Checks that the answer belongs to this call and receives its body.
async fn receive(
    proxy: &Proxy,
    profile: &Profile,
    offer: &Offer,
    head: Response<hyper::body::Incoming>,
    connection: &Connection,
    time: Duration,
) -> Result<Answer, Outcome> {
    if !matches_request(proxy, offer, &head) || !is_authentic(proxy, &head) {
        return Err(Outcome::Unknown(Uncertainty::BadAnswer));
    }
    demand::apply(proxy, offer, &head);
    let (parts, incoming) = head.into_parts();
    let framing = Framing::of(&offer.payload.method, &parts);
    let framing = framing.map_err(|Unusable| Outcome::Unknown(Uncertainty::BadAnswer))?;
    let body = proxy.receive_answer(incoming, profile.max_answer_bytes, time).await;
    let body = body.map_err(|fault| match fault {
        body::Fault::TimedOut => of_loss(Step::Answer, Loss::Timeout),
        body::Fault::TooLarge | body::Fault::NoMemory | body::Fault::Truncated => {
            of_loss(Step::Answer, Loss::Malformed)
        }
    })?;
    if !framing.is_complete(body.len(), connection.has_ended_in_order()) {
        return Err(of_loss(Step::Answer, Loss::Malformed));
    }
    Ok(Answer { head: Response::from_parts(parts, ()), body })
}
