//! The entry node's part: finds an upstream for a call, and another if the first fails.

mod attempt;
mod choice;
mod hedge;
mod repeat;

use fleet::{member::State, view::Upstream};
use policy::{
    outcome::{Cause, Outcome},
    retry,
};
use std::sync::Arc;
use trace::Step;

use crate::{
    call::{Answer, Call},
    entry::{
        choice::{choose, choose_again},
        repeat::{next_step, note_call, patience},
    },
    hub::Hub,
    net::stream::Look,
    record::tally::Count,
};

/// Offers the call to one upstream after the other until one answers or nothing more may be tried.
pub(crate) async fn run(hub: &Arc<Hub>, call: &Call<'_>) -> Result<Answer, Outcome> {
    note_call(hub, call);
    let mut tried: Vec<Upstream> = Vec::new();
    let mut arrivals = 0;
    let mut last = without_upstream(hub, call.service).outcome();
    loop {
        if let Some(outcome) = lost_meanwhile(hub, call) {
            return Err(if tried.is_empty() { outcome } else { outcome.after(last) });
        }
        let chosen = choose(hub, call, &tried).or_else(|| choose_again(hub, call, last));
        let Some(upstream) = chosen else { return Err(last) };
        tried.push(upstream.clone());
        let result = match hub.tuning().budget {
            Some(_) => hedge::run(hub, call, &upstream, &mut tried, &mut arrivals).await,
            None => attempt::run(hub, call, &upstream, patience(hub, call, tried.len())).await,
        };
        let outcome = match result {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        let address = upstream.address;
        arrivals += u32::from(retry::may_have_reached_upstream(outcome));
        last = outcome.after(last);
        if next_step(hub, call, outcome, tried.len(), arrivals) == retry::Step::GiveUp {
            return Err(last);
        }
        hub.meter.count_retry(call.service);
        hub.tally.add(Count::Retried(call.service.to_owned(), address, outcome.reason()));
    }
}

/// Returns why a call to `service` finds no upstream, if it finds none.
fn without_upstream(hub: &Hub, service: &str) -> Cause {
    let view = hub.view();
    let is_evacuated = |upstream: &Upstream| upstream.state == State::Evacuated;
    match view.upstreams(service).iter().any(is_evacuated) {
        true => Cause::Evacuated,
        false => Cause::NoUpstream,
    }
}

/// Returns why no further attempt may be made, if time is over, the caller has gone, or upstreams end under
/// such calls.
fn lost_meanwhile(hub: &Hub, call: &Call<'_>) -> Option<Outcome> {
    let now = hub.clock.now();
    let moment = retry::CallState {
        now,
        deadline: call.deadline,
        paused: hub.in_doubt(call.received, now),
        connected: call.origin.look() != Look::Closed,
    };
    retry::stop_cause(moment).map(Cause::outcome).or_else(|| quarantined(hub, call))
}

/// Returns the outcome of a call that must not run, since upstreams ended under such calls, and notes which.
fn quarantined(hub: &Hub, call: &Call<'_>) -> Option<Outcome> {
    let outcome = hub.quarantined(&call.payload, call.service)?;
    let request = hub.fingerprint(&call.payload, call.service).to_string();
    call.trail.note(&hub.log, Step::Quarantined { request });
    Some(outcome)
}
