//! The entry node's part: finds an upstream for a call, and another if the first fails.

use fleet::view::Upstream;
use hyper::{Request, Response};
use model::{
    profile::{Profile, Rule},
    time::Time,
};
use policy::{
    choice::{self, Candidate, Reach},
    claim,
    health::{Change, Sample},
    outcome::{Cause, Doubt, Loss, Outcome, Step, of_loss},
    retry::{self, Kind},
};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

use crate::{
    body,
    payload::Payload,
    pool::{Connection, Failure},
    serving::{self, Answer, Offer},
    state::Hub,
    stream::{Look, Probe},
    tally::Count,
    wire,
};

/// A call with its whole request in hand.
pub(crate) struct Call<'a> {
    pub(crate) service: &'a str,
    pub(crate) profile: &'a Profile,
    pub(crate) rule: Rule,
    pub(crate) payload: Payload,
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    pub(crate) origin: Probe,
}

impl Call<'_> {
    fn kind(&self) -> Kind {
        if self.rule.idempotent { Kind::Idempotent } else { Kind::Once }
    }
}

/// Offers the call to one upstream after the other until one answers or nothing more may be tried.
pub(crate) async fn run(hub: &Arc<Hub>, call: &Call<'_>) -> Result<Answer, Outcome> {
    let percent = call.profile.retry_budget_percent;
    hub.with_service(call.service, |service| service.budget.earn(percent));
    let mut tried: Vec<Upstream> = Vec::new();
    let mut last = Cause::NoUpstream.outcome();
    loop {
        if let Some(outcome) = lost_meanwhile(hub, call) {
            return Err(if tried.is_empty() { outcome } else { graver(last, outcome) });
        }
        let chosen = choose(hub, call, &tried).or_else(|| choose_again(hub, call, last));
        let Some(upstream) = chosen else { return Err(last) };
        let made = tried.len() as u32 + 1;
        let result = observed(hub, call, &upstream, made).await;
        let outcome = match result {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        let address = upstream.address;
        tried.push(upstream);
        last = graver(last, outcome);
        let limit = call.profile.attempts;
        let attempt = retry::Attempt { outcome, kind: call.kind(), made, limit };
        let step =
            hub.with_service(call.service, |service| retry::decide(attempt, &mut service.budget));
        if step == retry::Step::GiveUp {
            return Err(last);
        }
        hub.meter.retry(call.service);
        hub.tally.add(Count::Retried(call.service.to_owned(), address, outcome.reason()));
    }
}

/// Returns the outcome that holds for all attempts together.
///
/// If one attempt may have run, "not run" of a later one does not make the call not run.
fn graver(earlier: Outcome, later: Outcome) -> Outcome {
    match (earlier, later) {
        (Outcome::Unknown(_), Outcome::NotRun(..)) => earlier,
        _ => later,
    }
}

/// Returns why no further attempt makes sense, if time is over or the caller has gone.
fn lost_meanwhile(hub: &Hub, call: &Call<'_>) -> Option<Outcome> {
    let now = hub.clock.now();
    if now >= call.deadline {
        return Some(Cause::Late.outcome());
    }
    if hub.in_doubt(call.received, now) {
        return Some(Cause::Paused.outcome());
    }
    (call.origin.look() == Look::Closed).then(|| Cause::Cancelled.outcome())
}

fn choose(hub: &Hub, call: &Call<'_>, tried: &[Upstream]) -> Option<Upstream> {
    let view = hub.view();
    let now = hub.clock.now();
    let able: Vec<&Upstream> =
        view.upstreams(call.service).iter().filter(|u| u.state.takes_work()).collect();
    let reach = if call.profile.spill { Reach::Spill } else { Reach::OwnOnly };
    let slow_start = Duration::from_millis(call.profile.slow_start_ms);
    hub.with_service(call.service, |service| {
        let records: Vec<_> = able.iter().map(|u| service.record(u, now).clone()).collect();
        let candidates: Vec<Candidate<'_>> = able
            .iter()
            .zip(&records)
            .map(|(u, record)| Candidate { record, near: u.near, tried: tried.contains(u) })
            .collect();
        let chosen =
            choice::choose(&candidates, reach, call.kind(), slow_start, now, &mut rand::rng())?;
        Some(able[chosen].clone())
    })
}

/// Chooses among all upstreams again, where every one was tried and the last was silent.
///
/// The connection may have been silent and not the upstream; the next attempt uses a new one.
fn choose_again(hub: &Hub, call: &Call<'_>, last: Outcome) -> Option<Upstream> {
    let silent = last == Outcome::Unknown(Doubt::Timeout) && call.kind() == Kind::Idempotent;
    if silent { choose(hub, call, &[]) } else { None }
}

/// Makes one attempt and notes what it shows about the upstream.
async fn observed(
    hub: &Arc<Hub>,
    call: &Call<'_>,
    upstream: &Upstream,
    made: u32,
) -> Result<Answer, Outcome> {
    let begun = hub.clock.now();
    let mut watch = Watch::new(hub, call.service, upstream, begun);
    let remaining = call.deadline.since(begun);
    let time = retry::attempt_time(remaining, call.kind(), made - 1, call.profile.attempts);
    let result = attempt(hub, call, upstream, begun + time).await;
    let elapsed = hub.clock.now().since(begun);
    if result.is_ok() && elapsed > remaining / 2 {
        hub.tally.add(Count::Slow(call.service.to_owned(), upstream.address));
    }
    let sample = match &result {
        Ok(_) => Sample::Answered(elapsed),
        Err(outcome) => sample_of(*outcome, elapsed),
    };
    watch.end(sample);
    result
}

fn sample_of(outcome: Outcome, elapsed: Duration) -> Sample {
    match outcome {
        // A node that says it leaves, or that another life has replaced, is as good as absent
        // until the view says the same.
        Outcome::NotRun(Cause::Unreachable | Cause::Leaving | Cause::Replaced, _) => {
            Sample::Unreachable
        }
        Outcome::NotRun(..) => Sample::Refused,
        Outcome::Unknown(Doubt::Timeout) => Sample::Silent(elapsed),
        Outcome::Unknown(_) => Sample::Failed,
    }
}

/// Offers the call to one upstream and waits for its answer no longer than until `patience`.
async fn attempt(
    hub: &Arc<Hub>,
    call: &Call<'_>,
    upstream: &Upstream,
    patience: Time,
) -> Result<Answer, Outcome> {
    let now = hub.clock.now();
    let offer = Offer {
        payload: call.payload.clone(),
        received: call.received,
        deadline: now + claim::passed_on(call.deadline.since(now)),
        kind: call.kind(),
        incarnation: upstream.incarnation,
        origin: call.origin.clone(),
        id: hub.next_id(),
    };
    if serving::is_own(hub, upstream) {
        let work = timeout(patience.since(now), serving::run(hub, call.profile, offer));
        return work.await.unwrap_or_else(|_| Err(of_loss(Step::Run, Loss::Silent)));
    }
    let limit = Duration::from_millis(call.profile.idle_ms);
    if let Some(connection) = hub.pool.take(upstream.traffic, limit, offer.kind) {
        match send(hub, call, upstream, &offer, connection, patience).await {
            Err(None) => {}
            result => return result.map_err(settled),
        }
    }
    let time = hub.settings.connect.min(patience.since(hub.clock.now()));
    let opened = hub.pool.open(upstream.traffic, time).await;
    let connection = opened.ok_or_else(|| of_loss(Step::Connect, Loss::Closed))?;
    send(hub, call, upstream, &offer, connection, patience).await.map_err(settled)
}

/// A failure to send of which nothing was written counts as one to connect.
fn settled(outcome: Option<Outcome>) -> Outcome {
    outcome.unwrap_or_else(|| of_loss(Step::Connect, Loss::Closed))
}

/// Offers the call to a serving node; an error without outcome means that nothing was written.
async fn send(
    hub: &Arc<Hub>,
    call: &Call<'_>,
    upstream: &Upstream,
    offer: &Offer,
    mut connection: Connection,
    patience: Time,
) -> Result<Answer, Option<Outcome>> {
    let now = hub.clock.now();
    let request = offer_request(call, offer, offer.deadline.since(now));
    let time = patience.since(now);
    let exchange = async {
        let head = match connection.send(request).await {
            Ok(head) => head,
            Err(Failure::Unsent) => return Err(None),
            Err(Failure::Broken) => return Err(Some(of_loss(Step::Offer, Loss::Closed))),
        };
        receive(call, offer, head, time).await
    };
    let result =
        timeout(time, exchange).await.unwrap_or(Err(Some(of_loss(Step::Offer, Loss::Silent))));
    let usable = matches!(result, Ok(_) | Err(Some(Outcome::NotRun(..))));
    if usable {
        hub.pool.put(upstream.traffic, connection);
    } else if matches!(result, Err(Some(Outcome::Unknown(Doubt::Timeout)))) {
        hub.pool.forget(upstream.traffic);
    }
    result
}

/// Receives a serving node's answer whole and reads the outcome it tells.
async fn receive(
    call: &Call<'_>,
    offer: &Offer,
    head: Response<hyper::body::Incoming>,
    time: Duration,
) -> Result<Answer, Option<Outcome>> {
    let (parts, incoming) = head.into_parts();
    if wire::read_number(&parts.headers, wire::ID) != Ok(Some(offer.id)) {
        return Err(Some(Outcome::Unknown(Doubt::BadAnswer)));
    }
    let body = body::receive(incoming, call.profile.max_answer_bytes, time).await;
    let body = body.map_err(|fault| match fault {
        body::Fault::Slow => Some(of_loss(Step::Answer, Loss::Silent)),
        body::Fault::Large | body::Fault::Short => Some(of_loss(Step::Answer, Loss::Garbled)),
    })?;
    match wire::outcome(&parts.headers) {
        Ok(None) => Ok(Answer { head: Response::from_parts(parts, ()), body }),
        Ok(Some(outcome)) => Err(Some(outcome)),
        Err(wire::Malformed) => Err(Some(Outcome::Unknown(Doubt::BadAnswer))),
    }
}

fn offer_request(call: &Call<'_>, offer: &Offer, remaining: Duration) -> Request<wire::Body> {
    let mut request = offer.payload.request();
    let headers = request.headers_mut();
    headers.insert(wire::OFFER, wire::number(offer.incarnation));
    headers.insert(wire::ID, wire::number(offer.id));
    headers.insert(wire::DEADLINE, wire::number(remaining.as_millis() as u64));
    headers.insert(wire::IDEMPOTENT, wire::number((offer.kind == Kind::Idempotent).into()));
    if let Ok(service) = hyper::header::HeaderValue::from_str(call.service) {
        headers.insert(wire::SERVICE, service);
    }
    request
}

/// Notes a call to an upstream, also if the call is dropped before it ends.
struct Watch<'a> {
    hub: &'a Hub,
    service: &'a str,
    upstream: &'a Upstream,
    ended: bool,
}

impl<'a> Watch<'a> {
    fn new(hub: &'a Hub, service: &'a str, upstream: &'a Upstream, now: Time) -> Self {
        hub.with_service(service, |s| s.record(upstream, now).begin());
        Watch { hub, service, upstream, ended: false }
    }

    fn end(&mut self, sample: Sample) {
        self.ended = true;
        let now = self.hub.clock.now();
        let change =
            self.hub.with_service(self.service, |s| s.record(self.upstream, now).end(now, sample));
        if change == Change::Ejected {
            self.hub.meter.ejection(self.service);
            self.hub.tally.add(Count::Ejected(self.service.to_owned(), self.upstream.address));
        }
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.hub.clock.now();
            self.hub.with_service(self.service, |s| s.record(self.upstream, now).abandon());
        }
    }
}
