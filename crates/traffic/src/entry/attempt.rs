//! One attempt of a call at an upstream, and what it shows of the upstream.

use fleet::view::Upstream;
use model::time::Time;
use policy::{
    health::{Change, Sample},
    outcome::Outcome,
};
use std::{sync::Arc, time::Duration};

use crate::{
    call::{Answer, Call},
    hub::Hub,
    link::offer,
    record::tally::Count,
    wire,
};

/// Makes one attempt and notes what it shows about the upstream.
pub(super) async fn run(
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
        Ok(answer) if answer.head.status().is_server_error() => Sample::ErrorAnswer(elapsed),
        Ok(_) => Sample::Answered(elapsed),
        Err(outcome) => Sample::of_failure(*outcome, elapsed),
    };
    watch.end(sample);
    match (&result, sample) {
        (Ok(answer), Sample::Answered(time)) => {
            note_answered(hub, call, upstream, time, answer.body.len());
        }
        (_, Sample::TimedOut(time)) => note_silent(hub, call, upstream, time),
        // A failure may come sooner or later than an answer; its time tells nothing.
        _ => {}
    }
    result
}

/// Notes an answer of `bytes` after `time`, and how that compares with other calls of the route.
fn note_answered(hub: &Hub, call: &Call<'_>, upstream: &Upstream, time: Duration, bytes: usize) {
    let before = hub.estimates.note(call.service, &call.terms.route, time, bytes);
    compare(hub, call, upstream, before.map_or(1.0, |latency| latency.ratio(time)));
}

/// Notes that there was no answer within `time`, and how that compares with other calls.
fn note_silent(hub: &Hub, call: &Call<'_>, upstream: &Upstream, time: Duration) {
    let latency = hub.estimates.latency(call.service, &call.terms.route);
    let ratio = latency.map_or(1.0, |latency| latency.ratio(time));
    compare(hub, call, upstream, ratio.max(1.0));
}

/// Notes that a call took `ratio` times as long as those of its route usually do.
fn compare(hub: &Hub, call: &Call<'_>, upstream: &Upstream, ratio: f64) {
    let now = hub.clock.now();
    hub.services.with(call.service, |s| s.record(upstream, now).record_slowness(ratio, now));
}

/// Notes that a call to `first` was answered by another upstream after `waited`.
pub(super) fn note_overtaken(hub: &Hub, call: &Call<'_>, first: &Upstream, waited: Duration) {
    let now = hub.clock.now();
    hub.services.with(call.service, |s| s.record(first, now).record_hedge_loss(waited, now));
    note_silent(hub, call, first, waited);
}

fn note_offer(hub: &Hub, call: &Call<'_>, upstream: &Upstream, attempt: u64, now: Time) {
    let candidates = hub.view().upstreams(call.service).len();
    let step = hub.services.with(call.service, |service| {
        let record = service.record(upstream, now);
        trace::Step::Offered {
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
        trace::Step::Attempted {
            attempt,
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            status,
            ms: elapsed.as_millis() as u64,
        },
    );
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
        hub.services.with(service, |s| s.record(upstream, now).begin());
        Watch { hub, service, upstream, ended: false }
    }

    fn end(&mut self, sample: Sample) {
        self.ended = true;
        let now = self.hub.clock.now();
        let change =
            self.hub.services.with(self.service, |s| s.record(self.upstream, now).end(now, sample));
        if change == Change::Ejected {
            self.hub.meter.count_ejection(self.service);
            self.hub.tally.add(Count::Ejected(self.service.to_owned(), self.upstream.address));
        }
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.hub.clock.now();
            self.hub.services.with(self.service, |s| s.record(self.upstream, now).abandon());
        }
    }
}
