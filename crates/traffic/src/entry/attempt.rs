//! One attempt of a call at an upstream; its result updates the upstream's health record.

use fleet::view::Upstream;
use model::time::Time;
use policy::{
    admission::Class,
    budget::{Lineage, Standing},
    health::{Change, Sample},
    outcome::{Cause, Outcome},
    overflow::{self, Response},
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::{
    call::{Answer, Call},
    forward::sender,
    proxy::Proxy,
    record::events::Event,
    wire,
};

/// Makes one attempt that ends by `deadline`, and records its result in the upstream's health.
pub(super) async fn run(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    upstream: &Upstream,
    standing: Standing,
    deadline: Time,
) -> Result<Answer, Outcome> {
    let begun = proxy.clock.now();
    let id = proxy.next_id();
    trace_offer(proxy, call, upstream, id, begun);
    count_remote(proxy, call, upstream);
    let mut guard = Guard::new(proxy, call.service, upstream, begun);
    let remaining = call.deadline.since(begun);
    let result = sender::attempt(proxy, call, upstream, standing, id, deadline).await;
    let elapsed = proxy.clock.now().since(begun);
    if let Ok(answer) = &result
        && wire::says_leaving(answer.head.headers(), &proxy.settings.names)
    {
        // Its node may restart and forget it.
        proxy.services.with(call.service, |s| s.record(upstream, begun).mark_leaving());
    }
    trace_end(proxy, call, id, &result, elapsed);
    if matches!(result, Err(Outcome::NotRun(Cause::NestedOverloaded, _))) {
        call.nested_refusals.fetch_add(1, Ordering::Relaxed);
    }
    if result.is_ok() && elapsed > remaining / 2 {
        proxy.events.add(Event::Slow(call.service.to_owned(), upstream.address));
    }
    let sample = match &result {
        Ok(answer) if answer.head.status().is_server_error() => Sample::ErrorAnswer(elapsed),
        Ok(_) => Sample::Answered(elapsed),
        Err(outcome) => Sample::of_failure(*outcome, elapsed),
    };
    guard.end(sample);
    record_capacity(proxy, call, upstream, standing, &result);
    match (&result, sample) {
        (Ok(answer), Sample::Answered(time)) => {
            record_answer(proxy, call, upstream, time, answer.body.len());
        }
        (_, Sample::TimedOut(time)) => record_timeout(proxy, call, upstream, time),
        // The time of any other failure says nothing about the upstream's latency.
        _ => {}
    }
    result
}

/// Counts an offer to another data centre.
fn count_remote(proxy: &Proxy, call: &Call<'_>, upstream: &Upstream) {
    if upstream.near {
        return;
    }
    proxy.meter.count_remote(match call.rank.class {
        Class::External => "call",
        Class::Nested => "nested",
    });
}

/// Records whether the serving node refused the call for lack of capacity.
fn record_capacity(
    proxy: &Proxy,
    call: &Call<'_>,
    upstream: &Upstream,
    standing: Standing,
    result: &Result<Answer, Outcome>,
) {
    let response = match result {
        Err(Outcome::NotRun(cause, _)) if overflow::is_refusal(*cause) => Response::Refused,
        _ => Response::Taken,
    };
    if response == Response::Refused && !upstream.near {
        proxy.meter.count_remote("refused");
    }
    if !proxy.uses_overflow() {
        return;
    }
    if response == Response::Refused && standing.lineage == Lineage::Retry {
        // It may have been refused for the retry budget of the serving node.
        return;
    }
    let now = proxy.clock.now();
    proxy.services.with(call.service, |service| {
        if response == Response::Refused {
            service.record(upstream, now).record_refusal(call.rank.priority, now);
        }
        if !upstream.near {
            service.acceptances.record(call.rank.class, response, now);
        }
    });
}

/// Records an answer of `bytes` bytes after `time`, relative to other calls of the route.
fn record_answer(
    proxy: &Proxy,
    call: &Call<'_>,
    upstream: &Upstream,
    time: Duration,
    bytes: usize,
) {
    let before = proxy.estimates.record(call.service, &call.options.route, time, bytes);
    record_slowness(proxy, call, upstream, before.map_or(1.0, |latency| latency.ratio(time)));
}

/// Records that no answer came within `time`, relative to other calls of the route.
fn record_timeout(proxy: &Proxy, call: &Call<'_>, upstream: &Upstream, time: Duration) {
    let latency = proxy.estimates.latency(call.service, &call.options.route);
    let ratio = latency.map_or(1.0, |latency| latency.ratio(time));
    record_slowness(proxy, call, upstream, ratio.max(1.0));
}

/// Records that a call took `ratio` times the mean latency of its route.
fn record_slowness(proxy: &Proxy, call: &Call<'_>, upstream: &Upstream, ratio: f64) {
    let now = proxy.clock.now();
    proxy.services.with(call.service, |s| s.record(upstream, now).record_slowness(ratio, now));
}

/// Records that the hedged request was answered before `first`, `waited` after the call began.
pub(super) fn record_hedge_loss(
    proxy: &Proxy,
    call: &Call<'_>,
    first: &Upstream,
    waited: Duration,
) {
    let now = proxy.clock.now();
    proxy.services.with(call.service, |s| s.record(first, now).record_hedge_loss(waited, now));
    record_timeout(proxy, call, first, waited);
}

fn trace_offer(proxy: &Proxy, call: &Call<'_>, upstream: &Upstream, attempt: u64, now: Time) {
    let candidates = proxy.view().upstreams(call.service).len();
    let step = proxy.services.with(call.service, |service| {
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
    call.trace.record(&proxy.log, step);
}

fn trace_end(
    proxy: &Proxy,
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
    call.trace.record(
        &proxy.log,
        trace::Step::Attempted {
            attempt,
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            status,
            ms: elapsed.as_millis() as u64,
        },
    );
}

/// Counts a call as in flight at an upstream until it ends or is dropped.
struct Guard<'a> {
    proxy: &'a Proxy,
    service: &'a str,
    upstream: &'a Upstream,
    ended: bool,
}

impl<'a> Guard<'a> {
    fn new(proxy: &'a Proxy, service: &'a str, upstream: &'a Upstream, now: Time) -> Self {
        proxy.services.with(service, |s| s.record(upstream, now).begin());
        Guard { proxy, service, upstream, ended: false }
    }

    fn end(&mut self, sample: Sample) {
        self.ended = true;
        let now = self.proxy.clock.now();
        let change = self
            .proxy
            .services
            .with(self.service, |s| s.record(self.upstream, now).end(now, sample));
        if change == Change::Ejected {
            self.proxy.meter.count_ejection(self.service);
            self.proxy.events.add(Event::Ejected(self.service.to_owned(), self.upstream.address));
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.proxy.clock.now();
            self.proxy.services.with(self.service, |s| s.record(self.upstream, now).abandon());
        }
    }
}
