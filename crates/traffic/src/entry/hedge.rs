//! Hedged requests: a second, concurrent attempt at another upstream while the first is pending.
//!
//! An upstream may lose an answer without closing the connection. Only idempotent calls are hedged. The
//! first answer wins; until then the first attempt goes on, so a slow answer is still used.

use fleet::view::Upstream;
use policy::{
    budget::Standing,
    outcome::Outcome,
    overflow::Stage,
    retry::{self, Kind},
};
use std::{pin::pin, sync::Arc};
use tokio::{select, time::timeout};

use crate::{
    call::{Answer, Call},
    entry::{
        attempt,
        choice::choose,
        retries::{self, Failure, Next, Retry},
    },
    proxy::Proxy,
    record::events::Event,
};

/// Offers the call to `first`, and to a second upstream if no answer comes within the hedge delay.
///
/// Adds the second upstream to `tried` and counts it in `reached`.
pub(super) async fn run(
    proxy: &Arc<Proxy>,
    call: &Call<'_>,
    first: &Upstream,
    tried: &mut Vec<Upstream>,
    reached: &mut u32,
) -> Result<Answer, Outcome> {
    let begun = proxy.clock.now();
    let delay = retries::hedge_delay(proxy, call, first);
    let first_until = delay.map(|delay| begun + delay);
    let standing = Standing { first_until, ..call.standing_after(*reached) };
    let mut primary = pin!(attempt::run(proxy, call, first, standing, call.deadline));
    let Some(delay) = delay else { return primary.await };
    if let Ok(result) = timeout(delay, &mut primary).await {
        return result;
    }
    let Some((second, _spent)) = second_upstream(proxy, call, tried, *reached) else {
        return primary.await;
    };
    tried.push(second.clone());
    *reached += 1;
    proxy.meter.count_retry(call.service);
    proxy.events.add(Event::Retried(call.service.to_owned(), first.address, "silent"));
    let standing = call.standing_after(*reached);
    let mut secondary = pin!(attempt::run(proxy, call, &second, standing, call.deadline));
    let (earlier, later) = select! {
        result = &mut primary => match result {
            Ok(answer) => return Ok(answer),
            Err(outcome) => (outcome, secondary.await),
        },
        result = &mut secondary => match result {
            Ok(answer) => {
                attempt::record_hedge_loss(proxy, call, first, proxy.clock.now().since(begun));
                return Ok(answer);
            }
            Err(outcome) => (outcome, primary.await),
        },
    };
    later.map_err(|outcome| outcome.after(earlier))
}

/// Returns the upstream for the hedged request and the retry that it takes from the budget, if budget and
/// attempt limit allow one.
fn second_upstream<'a>(
    proxy: &'a Proxy,
    call: &'a Call<'_>,
    tried: &[Upstream],
    reached: u32,
) -> Option<(Upstream, Option<Retry<'a>>)> {
    if call.kind() != Kind::Idempotent {
        return None;
    }
    let second = choose(proxy, call, tried, Stage::Failed)?;
    let first = Failure {
        outcome: retry::TIMED_OUT,
        offers: tried.len(),
        reached: reached + 1,
        reached_before: reached,
    };
    match retries::next_hedge(proxy, call, first) {
        Next::Offer(spent) => Some((second, spent)),
        Next::GiveUp | Next::Stop(_) => None,
    }
}
