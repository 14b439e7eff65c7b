//! The entry node's part: finds an upstream for a call, and another if the first fails.

mod contest;

use fleet::view::Upstream;
use model::time::Time;
use policy::{
    choice::{self, Reach},
    health::{Change, Record, Sample},
    latency::Estimate,
    outcome::{Cause, Doubt, Outcome},
    placement,
    retry::{self, Kind},
};
use std::{sync::Arc, time::Duration};

use crate::{
    call::{Answer, Call},
    hub::{self, Hub},
    link::offer,
    net::stream::Look,
    record::tally::Count,
    wire,
};

/// Most nodes that one call is offered to, whether its upstream sees it or not.
///
/// Each refusal costs a round trip of about 2 ms; four of them stay within an eighth of the
/// shortest objectives, 100 ms.
const OFFER_LIMIT: usize = 4;

/// Offers the call to one upstream after the other until one answers or nothing more may be tried.
pub(crate) async fn run(hub: &Arc<Hub>, call: &Call<'_>) -> Result<Answer, Outcome> {
    note_call(hub, call);
    let mut tried: Vec<Upstream> = Vec::new();
    let mut arrivals = 0;
    let mut last = Cause::NoUpstream.outcome();
    loop {
        if let Some(outcome) = lost_meanwhile(hub, call) {
            return Err(if tried.is_empty() { outcome } else { graver(last, outcome) });
        }
        let chosen = choose(hub, call, &tried).or_else(|| choose_again(hub, call, last));
        let Some(upstream) = chosen else { return Err(last) };
        tried.push(upstream.clone());
        let result = match hub.tuning().budget {
            Some(_) => contest::run(hub, call, &upstream, &mut tried, &mut arrivals).await,
            None => observed(hub, call, &upstream, patience(hub, call, tried.len())).await,
        };
        let outcome = match result {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        let address = upstream.address;
        arrivals += u32::from(retry::is_arrival(outcome));
        last = graver(last, outcome);
        if next_step(hub, call, outcome, tried.len(), arrivals) == retry::Step::GiveUp {
            return Err(last);
        }
        hub.meter.retry(call.service);
        hub.tally.add(Count::Retried(call.service.to_owned(), address, outcome.reason()));
    }
}

/// Counts a call towards the budget for repeats.
fn note_call(hub: &Hub, call: &Call<'_>) {
    let now = hub.clock.now();
    let budget = hub.tuning().budget;
    hub.with_service(call.service, |service| match &budget {
        Some(settings) => service.window.call(settings, now),
        None => service.budget.earn(call.profile.retry_budget_percent),
    });
}

/// Decides whether a failed attempt is followed by another one.
pub(crate) fn next_step(
    hub: &Hub,
    call: &Call<'_>,
    outcome: Outcome,
    offers: usize,
    arrivals: u32,
) -> retry::Step {
    let limit = call.terms.attempts;
    let kind = call.kind();
    let Some(settings) = hub.tuning().budget else {
        let attempt = retry::Attempt { outcome, kind, made: offers as u32, limit };
        return hub.with_service(call.service, |s| retry::decide(attempt, &mut s.budget));
    };
    if offers >= OFFER_LIMIT {
        return retry::Step::GiveUp;
    }
    let attempt = retry::Attempt { outcome, kind, made: arrivals, limit };
    let nodes = hub.fleet_size();
    let now = hub.clock.now();
    retry::decide_arrivals(attempt, || {
        hub.with_service(call.service, |s| s.window.repeat(&settings, nodes, now))
    })
}

/// Returns the outcome that holds for all attempts together.
///
/// If one attempt may have run, "not run" of a later one does not make the call not run.
pub(crate) fn graver(earlier: Outcome, later: Outcome) -> Outcome {
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

pub(crate) fn choose(hub: &Hub, call: &Call<'_>, tried: &[Upstream]) -> Option<Upstream> {
    let view = hub.view();
    let now = hub.clock.now();
    let able: Vec<&Upstream> =
        view.upstreams(call.service).iter().filter(|u| u.state.takes_work()).collect();
    hub.with_service(call.service, |service| {
        for upstream in &able {
            service.record(upstream, now);
        }
        let records: Vec<&Record> = able.iter().map(|u| service.seen(u)).collect::<Option<_>>()?;
        let chosen = match hub.settings.incarnation {
            Some(_) => choose_near(call, &able, &records, tried, now),
            None => choose_room(hub, call, &able, &records, tried, now),
        };
        chosen.map(|index| able[index].clone())
    })
}

/// Chooses by what this node has seen alone.
fn choose_near(
    call: &Call<'_>,
    able: &[&Upstream],
    records: &[&Record],
    tried: &[Upstream],
    now: Time,
) -> Option<usize> {
    let reach = if call.profile.spill { Reach::Spill } else { Reach::OwnOnly };
    let slow_start = Duration::from_millis(call.profile.slow_start_ms);
    let candidates: Vec<choice::Candidate<'_>> = able
        .iter()
        .zip(records)
        .map(|(u, record)| choice::Candidate { record, near: u.near, tried: is_tried(tried, u) })
        .collect();
    choice::choose(&candidates, reach, call.kind(), slow_start, now, &mut rand::rng())
}

/// Chooses by the room that upstreams are known to have.
fn choose_room(
    hub: &Hub,
    call: &Call<'_>,
    able: &[&Upstream],
    records: &[&Record],
    tried: &[Upstream],
    now: Time,
) -> Option<usize> {
    let returning = hub.answer_bytes(call.service, &call.terms.route);
    let candidates: Vec<placement::Candidate<'_>> = able
        .iter()
        .zip(records)
        .map(|(u, record)| placement::Candidate {
            record,
            slots: u.slots,
            way: way(hub, u),
            tried: is_tried(tried, u),
            crossing: call.payload.body.len(),
            returning,
            refusals: tried.len() as u32,
            cold: record.age(now) < Duration::from_millis(u.cold_ms),
        })
        .collect();
    placement::choose(&candidates, call.kind(), now, &mut rand::rng())
}

/// Tells whether the call was offered to this life of `upstream`. What else its entry says may have
/// changed since.
fn is_tried(tried: &[Upstream], upstream: &Upstream) -> bool {
    tried.iter().any(|earlier| hub::is_same_life(earlier, upstream))
}

fn way(hub: &Hub, upstream: &Upstream) -> placement::Way {
    match upstream {
        own if hub.is_own(own) => placement::Way::Own,
        near if near.near => placement::Way::Near,
        _ => placement::Way::Far,
    }
}

/// Chooses among all upstreams again, where every one was tried and the last was silent.
///
/// The connection may have been silent and not the upstream; the next attempt uses a new one.
fn choose_again(hub: &Hub, call: &Call<'_>, last: Outcome) -> Option<Upstream> {
    let silent = last == Outcome::Unknown(Doubt::Timeout) && call.kind() == Kind::Idempotent;
    if silent { choose(hub, call, &[]) } else { None }
}

/// Returns until when the attempt number `made` may take.
fn patience(hub: &Hub, call: &Call<'_>, made: usize) -> Time {
    let now = hub.clock.now();
    let remaining = call.deadline.since(now);
    now + retry::attempt_time(remaining, call.kind(), made as u32 - 1, call.terms.attempts)
}

/// Returns how long the first attempt may be silent before a second one is made beside it; none
/// where the call may run only once.
pub(crate) fn second_delay(hub: &Hub, call: &Call<'_>, first: &Upstream) -> Option<Duration> {
    if call.kind() == Kind::Once {
        return None;
    }
    let now = hub.clock.now();
    let remaining = call.deadline.since(now);
    let due = call.due.map_or(remaining, |due| due.since(now));
    let latency = hub.latency(call.service, &call.terms.route);
    let latency = latency.unwrap_or_else(|| Estimate::new(due / 3));
    let (slowness, failure_share) = hub.with_service(call.service, |s| {
        let record = s.record(first, now);
        (record.slowness(now), record.failure_share(now))
    });
    let prospect = retry::Prospect { latency, slowness, failure_share, due, remaining };
    Some(retry::second_delay(prospect))
}

/// Makes one attempt and notes what it shows about the upstream.
pub(crate) async fn observed(
    hub: &Arc<Hub>,
    call: &Call<'_>,
    upstream: &Upstream,
    patience: Time,
) -> Result<Answer, Outcome> {
    let begun = hub.clock.now();
    let id = hub.next_id();
    note_offer(hub, call, upstream, id, begun);
    let mut watch = Watch::new(hub, call.service, upstream, begun);
    let remaining = call.deadline.since(begun);
    let result = offer::attempt(hub, call, upstream, id, patience).await;
    let elapsed = hub.clock.now().since(begun);
    note_end(hub, call, id, &result, elapsed);
    if result.is_ok() && elapsed > remaining / 2 {
        hub.tally.add(Count::Slow(call.service.to_owned(), upstream.address));
    }
    let sample = match &result {
        Ok(answer) if answer.head.status().is_server_error() => Sample::Erred(elapsed),
        Ok(_) => Sample::Answered(elapsed),
        Err(outcome) => sample_of(*outcome, elapsed),
    };
    watch.end(sample);
    if let (Ok(answer), Sample::Answered(_)) = (&result, sample) {
        hub.note_answer_bytes(call.service, &call.terms.route, answer.body.len());
    }
    compare(hub, call, upstream, sample);
    result
}

/// Notes how the time of an attempt compares with that of other calls of the route.
fn compare(hub: &Hub, call: &Call<'_>, upstream: &Upstream, sample: Sample) {
    let route = &call.terms.route;
    let latency = hub.latency(call.service, route);
    let ratio = match sample {
        Sample::Answered(time) => {
            hub.note_latency(call.service, route, time);
            latency.map_or(1.0, |latency| latency.ratio(time))
        }
        Sample::Silent(time) => latency.map_or(1.0, |latency| latency.ratio(time)).max(1.0),
        // A failure may come sooner or later than an answer; its time tells nothing.
        Sample::Refused | Sample::Erred(_) | Sample::Failed | Sample::Unreachable => return,
    };
    let now = hub.clock.now();
    hub.with_service(call.service, |s| s.record(upstream, now).compare(ratio, now));
}

/// Notes that a call to `first` was answered by another upstream after `waited`.
pub(crate) fn note_overtaken(hub: &Hub, call: &Call<'_>, first: &Upstream, waited: Duration) {
    let now = hub.clock.now();
    hub.with_service(call.service, |s| s.record(first, now).overtaken(waited, now));
    compare(hub, call, first, Sample::Silent(waited));
}

fn note_offer(hub: &Hub, call: &Call<'_>, upstream: &Upstream, attempt: u64, now: Time) {
    let candidates = hub.view().upstreams(call.service).len();
    let step = hub.with_service(call.service, |service| {
        let record = service.record(upstream, now);
        trail::Step::Offered {
            attempt,
            upstream: upstream.instance.clone(),
            peer: upstream.traffic.to_string(),
            near: upstream.near,
            in_flight: record.in_flight(),
            expected_load: record.expected_load(now),
            failure_share: record.failure_share(now),
            candidates,
        }
    });
    call.trail.note(&hub.log, step);
}

fn note_end(
    hub: &Hub,
    call: &Call<'_>,
    attempt: u64,
    result: &Result<Answer, Outcome>,
    elapsed: Duration,
) {
    let (outcome, reason, status) = match result {
        Ok(answer) => (wire::ANSWERED, "", answer.head.status().as_u16()),
        Err(outcome @ Outcome::NotRun(..)) => (wire::NOT_RUN, outcome.reason(), 0),
        Err(outcome @ Outcome::Unknown(_)) => (wire::UNKNOWN, outcome.reason(), 0),
    };
    call.trail.note(
        &hub.log,
        trail::Step::Attempted {
            attempt,
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            status,
            ms: elapsed.as_millis() as u64,
        },
    );
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
