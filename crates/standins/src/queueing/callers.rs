//! Callers: arrival process, retries after refusals and failures, and outcome counters.

use model::time::Time;
use policy::{
    client_retry::Attempt,
    retry::Kind,
    urgency::{self, Timing},
};
use rand::RngExt;
use std::time::Duration;

use super::{
    simulation::{Event, Simulation},
    state::{Call, CallKey, OfferKey, Reply},
};

/// Utility of a late answer, as a share of the utility of one in time.
const LATE_UTILITY: f64 = 0.3;

impl Simulation<'_> {
    /// Starts a caller of a route and schedules the next one (a Poisson process).
    pub(super) fn start_caller(&mut self, index: usize) {
        let elapsed = self.now.since(Time::default());
        if elapsed >= self.settings.span {
            return;
        }
        let route = &self.settings.routes[index];
        let burst = self.settings.bursts.iter().find(|b| b.begin <= elapsed && elapsed < b.end);
        let rate = route.per_second * burst.map_or(1.0, |b| b.factor);
        let gap = -self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::NewCaller(index));
        let entry = self.random.random_range(0..self.entries.len());
        let counters = &mut self.report.routes[index];
        counters.callers += 1;
        counters.max_utility += route.utility;
        self.open_call(index, entry, None, self.now + route.deadline);
    }

    pub(super) fn open_call(
        &mut self,
        route: usize,
        entry: usize,
        parent: Option<OfferKey>,
        deadline: Time,
    ) {
        let call = Call::new(route, entry, parent, self.now, deadline);
        self.add_call(call, Duration::ZERO);
    }

    fn add_call(&mut self, call: Call, after: Duration) {
        let key = CallKey(self.calls.len());
        self.calls.push(call);
        self.schedule(after, Event::Receive(key));
    }

    pub(super) fn end_attempt(&mut self, key: CallKey, reply: Reply) {
        let (route, now) = (self.route(key), self.now);
        let Call { started, received, deadline, attempt, refusals, .. } = self.calls[key.0];
        let counters = &mut self.report.routes[self.calls[key.0].route];
        let elapsed = now.since(started);
        let refusals = refusals + u32::from(reply == Reply::Refused);
        let after = match reply {
            Reply::Answered => {
                counters.times.push(elapsed);
                let in_time = elapsed <= route.objective;
                counters.in_time += u64::from(in_time);
                counters.late += u64::from(!in_time);
                counters.utility +=
                    if in_time { route.utility } else { route.utility * LATE_UTILITY };
                return;
            }
            Reply::Failed if route.kind == Kind::Once => None,
            Reply::Failed => Some(Duration::from_millis(1)),
            Reply::Refused => {
                counters.late_refusals += u64::from(now.since(received) > route.objective / 8);
                Some(self.retry_after(key))
            }
        };
        let next = after.filter(|after| attempt < route.attempts && now + *after < deadline);
        match next {
            Some(after) => self.retry_call(key, refusals, after),
            None => {
                let counters = &mut self.report.routes[self.calls[key.0].route];
                counters.refused += u64::from(reply == Reply::Refused);
                counters.failed += u64::from(reply != Reply::Refused);
                counters.refused_again += u64::from(reply == Reply::Refused && refusals > 1);
            }
        }
    }

    /// Returns the delay before the next attempt, as a refusal's `retry-after` would say.
    fn retry_after(&mut self, key: CallKey) -> Duration {
        let (call, route) = (&self.calls[key.0], self.route(key));
        let latency = self.entries[call.entry].latencies[call.route];
        let timing = Timing {
            received: self.now,
            deadline: call.deadline,
            attempt: Attempt::First,
            elapsed: self.now.since(call.started),
            objective: route.objective,
            expected: latency.map_or(route.objective / 2, |latency| latency.mean()),
        };
        urgency::retry_after(timing, &mut self.random)
    }

    fn retry_call(&mut self, key: CallKey, refusals: u32, after: Duration) {
        let Call { route, entry, started, deadline, attempt, .. } = self.calls[key.0];
        let first = Call::new(route, entry, None, started, deadline);
        let call = Call { attempt: attempt + 1, refusals, ..first };
        self.add_call(call, after);
    }
}
