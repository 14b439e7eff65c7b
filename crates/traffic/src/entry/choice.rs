//! Chooses the upstream that a call is offered to.

use fleet::view::Upstream;
use model::{service::WarmUp, time::Time};
use policy::{
    choice::{self, Reach},
    health::Record,
    outcome::{Outcome, Uncertainty},
    overflow::{self, Stage},
    placement,
    retry::Kind,
};
use std::time::Duration;

use crate::{
    call::Call,
    proxy::{Proxy, services::is_same_incarnation},
};

/// An upstream that accepts work, with its health record.
type Observed<'a> = (&'a Upstream, &'a Record);

/// Chooses an upstream that is not among `tried` for an offer of `stage`.
pub(super) fn choose(
    proxy: &Proxy,
    call: &Call<'_>,
    tried: &[Upstream],
    stage: Stage,
) -> Option<Upstream> {
    let view = proxy.view();
    let now = proxy.clock.now();
    let available: Vec<&Upstream> =
        view.upstreams(call.service).iter().filter(|u| u.state.takes_work()).collect();
    proxy.services.with(call.service, |service| {
        let request = proxy.uses_overflow().then(|| overflow::Request {
            stage,
            priority: call.rank.priority,
            kind: call.kind(),
            acceptance: service.acceptances.share(call.rank.class, now),
            now,
        });
        for upstream in &available {
            service.record(upstream, now);
        }
        let observe = |upstream| Some((upstream, service.existing_record(upstream)?));
        let mut available: Vec<Observed<'_>> =
            available.into_iter().map(observe).collect::<Option<_>>()?;
        available.retain(|(_, record)| !record.is_leaving());
        let chosen = match proxy.settings.incarnation {
            Some(_) => choose_by_health(call, &available, tried, now),
            None => choose_by_capacity(proxy, call, &available, tried, request, now),
        };
        chosen.map(|index| available[index].0.clone())
    })
}

/// Chooses by this node's health records alone.
fn choose_by_health(
    call: &Call<'_>,
    available: &[Observed<'_>],
    tried: &[Upstream],
    now: Time,
) -> Option<usize> {
    let reach = if call.profile.spill { Reach::Failover } else { Reach::LocalOnly };
    let slow_start = Duration::from_millis(call.profile.slow_start_ms);
    let candidates: Vec<choice::Candidate<'_>> = available
        .iter()
        .map(|&(u, record)| choice::Candidate { record, local: u.near, tried: is_tried(tried, u) })
        .collect();
    choice::choose(&candidates, reach, call.kind(), slow_start, now, &mut rand::rng())
}

/// Chooses by the free slots of each upstream, transfer time and health, and for a `request` by where capacity is
/// expected.
fn choose_by_capacity(
    proxy: &Proxy,
    call: &Call<'_>,
    available: &[Observed<'_>],
    tried: &[Upstream],
    request: Option<overflow::Request>,
    now: Time,
) -> Option<usize> {
    let response_bytes = proxy.estimates.bytes(call.service, &call.options.route);
    let warm_up = proxy.warm_up(call.service);
    let candidates: Vec<placement::Candidate<'_>> = available
        .iter()
        .map(|&(u, record)| placement::Candidate {
            record,
            slots: u.slots,
            locality: locality(proxy, u),
            tried: is_tried(tried, u),
            request_bytes: call.payload.body.len(),
            response_bytes,
            refusals: tried.len() as u32,
            cold: cold(proxy, warm_up, u, now),
        })
        .collect();
    match request {
        Some(request) => overflow::choose(&candidates, &request, &mut rand::rng()),
        None => placement::choose(&candidates, call.kind(), now, &mut rand::rng()),
    }
}

fn cold(proxy: &Proxy, warm_up: Option<WarmUp>, upstream: &Upstream, now: Time) -> placement::Cold {
    match warm_up.and_then(|warm_up| proxy.warm_up_limit(warm_up, upstream, now)) {
        Some(limit) => placement::Cold::Limited(limit.rate),
        None if now < upstream.cold_until => placement::Cold::Slow,
        None => placement::Cold::No,
    }
}

/// Chooses among all upstreams again after each was tried and the last attempt timed out.
///
/// The connection may have failed and not the upstream; the next attempt uses a new connection.
pub(super) fn choose_after_timeout(
    proxy: &Proxy,
    call: &Call<'_>,
    last: Outcome,
) -> Option<Upstream> {
    let timed_out =
        last == Outcome::Unknown(Uncertainty::Timeout) && call.kind() == Kind::Idempotent;
    if timed_out { choose(proxy, call, &[], Stage::Failed) } else { None }
}

/// Returns whether the call was offered to this incarnation of `upstream`; its other fields may
/// have changed since.
fn is_tried(tried: &[Upstream], upstream: &Upstream) -> bool {
    tried.iter().any(|earlier| is_same_incarnation(earlier, upstream))
}

fn locality(proxy: &Proxy, upstream: &Upstream) -> placement::Locality {
    match upstream {
        upstream if proxy.is_colocated(upstream) => placement::Locality::Instance,
        upstream if upstream.near => placement::Locality::DataCentre,
        _ => placement::Locality::Remote,
    }
}
