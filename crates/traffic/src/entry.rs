//! The entry node's side of a call: chooses an upstream and retries at others if an attempt fails.

mod attempt;
mod choice;
mod hedge;
mod level;
mod retries;

use fleet::{member::State, view::Upstream};
use ingress::stream::SocketState;
use policy::{
    outcome::{Cause, Outcome},
    overflow::Stage,
    retry,
};
use std::sync::Arc;
use trace::Step;

use crate::{
    call::{Answer, Call},
    entry::{
        choice::{choose, choose_after_timeout},
        retries::{Failure, Next, Retry, deadline, next_step, record_call},
    },
    proxy::Proxy,
    record::events::Event,
};

/// Offers the call to one upstream at a time until one answers or no further attempt is allowed.
///
/// Fails with the outcome to report to the caller.
pub(crate) async fn run(proxy: &Arc<Proxy>, call: &Call<'_>) -> Result<Answer, Outcome> {
    let _nested = record_call(proxy, call)?;
    let nested = level::begin_nested(proxy, call);
    let mut spent: Option<Retry<'_>> = None;
    let mut tried: Vec<Upstream> = Vec::new();
    let mut reached = 0;
    let mut stage = Stage::First;
    let mut chosen_early = None;
    let mut last = no_upstream_cause(proxy, call.service).outcome();
    loop {
        if let Some(outcome) = stop_outcome(proxy, call) {
            return Err(if tried.is_empty() { outcome } else { outcome.after(last) });
        }
        let chosen = chosen_early
            .take()
            .or_else(|| choose(proxy, call, &tried, stage))
            .or_else(|| choose_after_timeout(proxy, call, last));
        let Some(upstream) = chosen else { return Err(last) };
        tried.push(upstream.clone());
        let reached_before = reached;
        let result = match proxy.tuning().budget {
            Some(_) => hedge::run(proxy, call, &upstream, &mut tried, &mut reached).await,
            None => {
                let deadline = deadline(proxy, call, tried.len());
                attempt::run(proxy, call, &upstream, call.standing_after(reached), deadline).await
            }
        };
        let outcome = match result {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        let address = upstream.address;
        reached += u32::from(retry::may_have_reached_upstream(outcome));
        match spent.take() {
            Some(retry) if reached == reached_before => retry.give_back(),
            ended => drop(ended),
        }
        last = outcome.after(last);
        let failure = Failure { outcome, offers: tried.len(), reached, reached_before };
        match next_step(proxy, call, nested.as_ref(), failure).await {
            Next::GiveUp => return Err(last),
            Next::Stop(outcome) => return Err(outcome.after(last)),
            Next::Offer(retry) => spent = retry,
        }
        stage = Stage::after(last, reached);
        if stage == Stage::Refused && proxy.uses_overflow() {
            // Without an upstream that may accept the call, no retry is counted.
            chosen_early = choose(proxy, call, &tried, stage);
            if chosen_early.is_none() {
                return Err(last);
            }
        }
        proxy.meter.count_retry(call.service);
        proxy.events.add(Event::Retried(call.service.to_owned(), address, outcome.reason()));
    }
}

/// Returns the cause to report if `service` has no available upstream.
fn no_upstream_cause(proxy: &Proxy, service: &str) -> Cause {
    let view = proxy.view();
    let is_evacuated = |upstream: &Upstream| upstream.state == State::Evacuated;
    match view.upstreams(service).iter().any(is_evacuated) {
        true => Cause::Evacuated,
        false => Cause::NoUpstream,
    }
}

/// Returns the outcome that forbids a further attempt: the deadline has passed, the caller has
/// disconnected, this node was paused, or the request is quarantined.
fn stop_outcome(proxy: &Proxy, call: &Call<'_>) -> Option<Outcome> {
    let now = proxy.clock.now();
    let state = retry::CallState {
        now,
        deadline: call.deadline,
        paused: proxy.may_be_stale(call.received, now),
        connected: call.origin.socket_state() != SocketState::Closed,
    };
    retry::stop_cause(state).map(Cause::outcome).or_else(|| quarantined(proxy, call))
}

/// Returns the outcome of a quarantined request, and adds its fingerprint to the trace.
fn quarantined(proxy: &Proxy, call: &Call<'_>) -> Option<Outcome> {
    let outcome = proxy.quarantined(&call.payload, call.service)?;
    let request = proxy.fingerprint(&call.payload, call.service).to_string();
    call.trace.record(&proxy.log, Step::Quarantined { request });
    Some(outcome)
}
