//! One exchange with the own upstream.

pub(crate) mod crash;
mod validation;

use hyper::{Request, Response, header::HeaderValue};
use model::profile::Profile;
use policy::outcome::{Cause, Doubt, Loss, Outcome, Step, of_loss};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

use crate::{
    admission::semaphore::Permit,
    call::{Answer, Offer},
    net::{
        body,
        pool::{ConnectError, Connection, SendError},
    },
    proxy::Proxy,
    upstream::validation::{is_authentic, matches_request, refusal_cause},
    wire,
};

/// How sending a call to the upstream failed.
pub(crate) enum Failure {
    /// Nothing was written.
    Unsent,
    /// As told.
    Final(Outcome),
}

impl Failure {
    /// Returns the outcome of a call that is not sent again.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            Failure::Unsent => of_loss(Step::Dial, Loss::Closed),
            Failure::Final(outcome) => outcome,
        }
    }
}

/// Opens a connection to the upstream.
pub(crate) async fn dial(proxy: &Arc<Proxy>, offer: &Offer) -> Result<Connection, Outcome> {
    let remaining = offer.deadline.since(proxy.clock.now());
    let limit = proxy.tuning().connect_timeout.min(remaining);
    let opened = proxy.pool.open(proxy.settings.upstream, limit).await;
    if opened.is_ok() {
        proxy.crashes.mark_alive();
    }
    opened.map_err(|error| {
        // All callers of a process may have left before it ended; only the next call notices the end.
        if error == ConnectError::Refused && proxy.crashes.has_recent_loss(proxy.clock.now()) {
            crash::probe(proxy);
        }
        of_loss(Step::Dial, Loss::Closed)
    })
}

/// Returns the request as the upstream is to see it, with the time that is left now.
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
        && let Ok(identity) = HeaderValue::from_str(identity)
    {
        headers.insert(name.clone(), identity);
    }
    request
}

/// Sends a claimed call and receives its answer; notes how long the slot was used.
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
    let exchange = async {
        let head = match connection.send(request).await {
            Ok(head) => head,
            Err(SendError::Unsent) => return Err(Failure::Unsent),
            Err(SendError::Broken) => return Err(Failure::Final(of_loss(Step::Run, Loss::Closed))),
        };
        receive(proxy, profile, offer, head, remaining).await.map_err(Failure::Final)
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
        // An upstream may reject a long request before it has read all of it and read on later;
        // the next request on the connection would be taken for the rest.
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

/// Receives the upstream's answer whole and checks that it belongs to this call.
async fn receive(
    proxy: &Proxy,
    profile: &Profile,
    offer: &Offer,
    head: Response<hyper::body::Incoming>,
    time: Duration,
) -> Result<Answer, Outcome> {
    if !matches_request(proxy, offer, &head) || !is_authentic(proxy, &head) {
        return Err(Outcome::Unknown(Doubt::BadAnswer));
    }
    let (parts, incoming) = head.into_parts();
    let body = body::receive(incoming, profile.max_answer_bytes, time).await;
    let body = body.map_err(|fault| match fault {
        body::Fault::TimedOut => of_loss(Step::Answer, Loss::Timeout),
        body::Fault::TooLarge | body::Fault::Truncated => of_loss(Step::Answer, Loss::Malformed),
    })?;
    Ok(Answer { head: Response::from_parts(parts, ()), body })
}
