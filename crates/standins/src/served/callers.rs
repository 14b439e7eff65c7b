//! What callers do: they begin, come back when they are refused, and note what became of them.

use model::time::Time;
use policy::{
    client_retry::Attempt,
    retry::Kind,
    urgency::{self, Timing},
};
use rand::RngExt;
use std::time::Duration;

use super::{
    parts::{Call, CallKey, OfferKey, Word},
    world::{Due, World},
};

/// Worth of a late answer, as a part of that of one in time.
const LATE_WORTH: f64 = 0.3;

impl World<'_> {
    pub(super) fn begin(&mut self, index: usize) {
        let elapsed = self.now.since(Time::default());
        if elapsed >= self.settings.span {
            return;
        }
        let route = &self.settings.routes[index];
        let burst = self.settings.bursts.iter().find(|b| b.begin <= elapsed && elapsed < b.end);
        let rate = route.per_second * burst.map_or(1.0, |b| b.factor);
        let gap = -self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        self.put(Duration::from_secs_f64(gap), Due::Begin(index));
        let entry = self.random.random_range(0..self.entries.len());
        let tally = &mut self.report.routes[index];
        tally.asked += 1;
        tally.owed += route.worth;
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
        self.put(after, Due::Ask(key));
    }

    pub(super) fn end_attempt(&mut self, key: CallKey, word: Word) {
        let (route, now) = (self.route(key), self.now);
        let Call { begun, received, deadline, attempt, refusals, .. } = self.calls[key.0];
        let tally = &mut self.report.routes[self.calls[key.0].route];
        let took = now.since(begun);
        let refusals = refusals + u32::from(word == Word::Refused);
        let after = match word {
            Word::Answered => {
                tally.times.push(took);
                let in_time = took <= route.objective;
                tally.in_time += u64::from(in_time);
                tally.late += u64::from(!in_time);
                tally.earned += if in_time { route.worth } else { route.worth * LATE_WORTH };
                return;
            }
            Word::Failed if route.kind == Kind::Once => None,
            Word::Failed => Some(Duration::from_millis(1)),
            Word::Refused => {
                tally.late_refusals += u64::from(now.since(received) > route.objective / 8);
                Some(self.comeback(key))
            }
        };
        let next = after.filter(|after| attempt < route.attempts && now + *after < deadline);
        match next {
            Some(after) => self.come_back(key, refusals, after),
            None => {
                let tally = &mut self.report.routes[self.calls[key.0].route];
                tally.refused += u64::from(word == Word::Refused);
                tally.failed += u64::from(word != Word::Refused);
                tally.refused_again += u64::from(word == Word::Refused && refusals > 1);
            }
        }
    }

    fn comeback(&mut self, key: CallKey) -> Duration {
        let (call, route) = (&self.calls[key.0], self.route(key));
        let usual = self.entries[call.entry].latencies[call.route];
        let clock = Timing {
            received: self.now,
            deadline: call.deadline,
            attempt: Attempt::First,
            elapsed: self.now.since(call.begun),
            objective: route.objective,
            expected: usual.map_or(route.objective / 2, |latency| latency.mean()),
        };
        urgency::retry_after(clock, &mut self.random)
    }

    fn come_back(&mut self, key: CallKey, refusals: u32, after: Duration) {
        let Call { route, entry, begun, deadline, attempt, .. } = self.calls[key.0];
        let first = Call::new(route, entry, None, begun, deadline);
        let call = Call { attempt: attempt + 1, refusals, ..first };
        self.add_call(call, after);
    }
}
