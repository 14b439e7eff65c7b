//! Admission at the serving node: a concurrency limit and a bounded priority queue per upstream.
//!
//! A call that cannot start in time is refused at once, so that the upstream does not work for
//! callers that have given up; under lasting overload, longer waits would make every answer late.
//! Nested calls go before external ones while they hold at most half of the slots, since without
//! them the work of their parents is lost. Among external calls of one priority, the order is by
//! level and then by arrival (`policy::fairness`). While calls wait for the starts of a cold
//! upstream, `division` orders them.

mod division;
mod tokens;

use model::time::Time;
use std::{
    cmp::Ordering,
    collections::{HashSet, VecDeque},
    time::Duration,
};

use crate::{
    admission::{division::Division, tokens::Tokens},
    bucket::Rate,
    fairness::Level,
    outcome::Cause,
    warmup::{Limit, Trust, Usage},
};

pub use division::Kind;

/// Weight of a new sample in the moving average of service times.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Shortest `Retry-After` of a refusal.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest `Retry-After` of a refusal.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Mean intervals between freed slots that a nested call may wait, even if its rank allows less.
///
/// With few slots or long calls, the next slot may be freed after the objective of a nested call.
const NESTED_TURNOVERS: u32 = 2;

/// Divides the remaining time of a nested call to give its longest wait.
///
/// A waiting nested call also occupies the slot of its parent; the bound keeps two services that
/// call each other from blocking each other.
pub(crate) const NESTED_WAIT_DIVISOR: u32 = 3;

/// Identifies a call at one limiter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(pub u64);

/// Traffic class of a call.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Class {
    /// Made by a client of the fleet.
    #[default]
    External,
    /// Made by an upstream on behalf of a call that it is processing.
    Nested,
}

/// Priority of a call in the queue of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rank {
    /// Queue priority; 0 is the most urgent.
    pub priority: u8,
    /// Latest time to start; `None` if only the deadline counts.
    pub start_by: Option<Time>,
    /// Traffic class, which the queue order takes into account.
    pub class: Class,
    /// Order among external calls of equal priority.
    pub level: Level,
}

/// Result of an admission check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call holds a slot and may run.
    Run,
    /// The call is queued until the given time at the latest; [`Limiter::finish`] returns its
    /// ticket when a slot is free.
    Wait(Time),
    /// No slot will be free in time; the caller may retry after the given delay.
    Refuse(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    /// Latest start; the call is refused after this time.
    until: Time,
    priority: u8,
    class: Class,
    level: Level,
}

impl Waiter {
    fn new(ticket: Ticket, until: Time, rank: Rank) -> Self {
        Waiter { ticket, until, priority: rank.priority, class: rank.class, level: rank.level }
    }

    /// Returns whether a new call of `rank` goes behind this call.
    ///
    /// Levels order external calls only; a nested call neither overtakes nor is overtaken by level.
    fn precedes(&self, rank: Rank) -> bool {
        let is_external = self.class == Class::External && rank.class == Class::External;
        match self.priority.cmp(&rank.priority) {
            Ordering::Equal if is_external => self.level <= rank.level,
            order => order.is_le(),
        }
    }
}

impl Waiter {
    fn kind(&self) -> Kind {
        Kind::new(self.priority, self.class)
    }
}

/// Concurrency limiter with a bounded queue in front of one upstream.
#[derive(Debug)]
pub struct Limiter {
    slots: usize,
    busy: usize,
    queue: VecDeque<Waiter>,
    /// Nested calls that hold a slot.
    nested: HashSet<Ticket>,
    service_time: Duration,
    tokens: Tokens,
    /// Calls that were queued before calls of higher levels.
    overtaking: u64,
}

impl Limiter {
    /// Creates a limiter with `slots` slots and an empty queue.
    pub fn new(slots: usize) -> Self {
        Limiter {
            slots,
            busy: 0,
            queue: VecDeque::new(),
            nested: HashSet::new(),
            service_time: Duration::from_millis(1),
            tokens: Tokens::default(),
            overtaking: 0,
        }
    }

    /// Applies the warm-up rate `limit` until the upstream is warm.
    pub fn set_warm_up(&mut self, limit: Limit, now: Time) {
        self.tokens.set_warm_up(limit, now);
    }

    /// Records calls, and limits them by a window of the warm-up rate `limit` until the upstream is
    /// warm.
    ///
    /// Replaces the limit of [`set_warm_up`](Limiter::set_warm_up). It must be set while the
    /// upstream is warm too, so that earlier calls count once it is cold.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::{admission::{Decision, Limiter, Ticket}, warmup::Limit};
    /// let at = Time::from_millis;
    /// let limit = Limit { rate: 20.0, burst: 4.0, until: at(3_000) };
    /// let mut limiter = Limiter::new(8);
    /// limiter.set_window(limit, at(0));
    /// // The calls of the previous process are unknown.
    /// assert_eq!(limiter.admit(Ticket(1), at(0), at(900), 8), Decision::Wait(at(900)));
    /// assert_eq!(limiter.next_token(at(0)), Some(at(50)));
    /// assert_eq!(limiter.grant_waiting(at(50)), [Ticket(1)]);
    /// ```
    pub fn set_window(&mut self, limit: Limit, now: Time) {
        self.tokens.set_window(limit, now);
    }

    /// Sets whether the upstream of the window is warm while it is not reported as cold; see [`Window`].
    ///
    /// [`Window`]: crate::warmup::Window
    pub fn set_trust(&mut self, trust: Trust) {
        self.tokens.set_trust(trust);
    }

    /// Returns whether a probe of the upstream is due, since few calls may start until it is found to be warm.
    pub fn needs_probe(&self, now: Time) -> bool {
        self.tokens.needs_probe(now)
    }

    /// Removes the warm-up rate limit.
    pub fn end_warm_up(&mut self) {
        self.tokens.end_warm_up();
    }

    /// Applies the rate of a limit that the upstream named; `None` removes it.
    pub fn set_named_limit(&mut self, rate: Option<Rate>, now: Time) {
        self.tokens.set_named(rate, now);
    }

    /// Admits, queues or refuses a call that must be answered by `deadline`; at most `queue_limit`
    /// calls wait.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::admission::{Decision, Limiter, Ticket};
    /// let mut limiter = Limiter::new(1);
    /// let (now, late) = (Time::from_millis(0), Time::from_millis(900));
    /// assert_eq!(limiter.admit(Ticket(1), now, late, 8), Decision::Run);
    /// assert_eq!(limiter.admit(Ticket(2), now, late, 8), Decision::Wait(late));
    /// assert_eq!(limiter.finish(Ticket(1), now, None), Some(Ticket(2)));
    /// ```
    pub fn admit(
        &mut self,
        ticket: Ticket,
        now: Time,
        deadline: Time,
        queue_limit: usize,
    ) -> Decision {
        self.admit_ranked(ticket, Rank::default(), now, deadline, queue_limit)
    }

    /// Admits, queues or refuses a call of `rank`; see [`admit`](Limiter::admit).
    pub fn admit_ranked(
        &mut self,
        ticket: Ticket,
        rank: Rank,
        now: Time,
        deadline: Time,
        queue_limit: usize,
    ) -> Decision {
        // If calls wait although a slot is free, they wait for a token; a new call must not overtake them.
        if self.busy < self.slots && self.queue.is_empty() && self.tokens.take(now) {
            self.start(ticket, Kind::new(rank.priority, rank.class), now);
            return Decision::Run;
        }
        self.drop_expired(now);
        if !self.would_admit(rank, now, deadline, queue_limit) {
            cov_mark::hit!(admission_refused);
            return Decision::Refuse(self.retry_after(now));
        }
        let position = self.insertion_index(rank);
        self.overtaking += u64::from(position < self.index_by_priority(rank));
        // `expected_wait` is a lower bound: more urgent calls may still arrive.
        let until = self.latest_start(rank, now, deadline);
        self.queue.insert(position, Waiter::new(ticket, until, rank));
        Decision::Wait(until)
    }

    /// Returns whether a call of `rank` would get a slot or a place in the queue.
    pub fn would_admit(&self, rank: Rank, now: Time, deadline: Time, queue_limit: usize) -> bool {
        let waiting = self.queue.iter().filter(|w| w.until > now).count();
        let full = waiting >= queue_limit;
        if self.busy < self.slots && self.tokens.wait(1, now).is_zero() {
            // Under a window, a free start belongs to the calls that wait for one.
            let may_start = waiting == 0 || !self.tokens.is_window_active(now);
            if may_start {
                return waiting == 0 || !full;
            }
        }
        let wait = self.expected_wait(self.position(rank, now) + 1, now);
        let misses_deadline = now + wait >= deadline;
        let starts_late = now + wait > self.latest_start(rank, now, deadline);
        !full && !misses_deadline && !starts_late
    }

    /// Returns the latest start of a call of `rank`.
    fn latest_start(&self, rank: Rank, now: Time, deadline: Time) -> Time {
        let start_by = rank.start_by.unwrap_or(deadline).min(deadline);
        match rank.class {
            Class::External => start_by,
            Class::Nested => {
                let max_wait = deadline.since(now) / NESTED_WAIT_DIVISOR;
                let turnovers = self.expected_wait(1, now) * NESTED_TURNOVERS;
                start_by.max(now + turnovers.min(max_wait))
            }
        }
    }

    /// Returns how many of the waiting calls go before a new call of `rank`.
    fn position(&self, rank: Rank, now: Time) -> usize {
        let by_rank = self.insertion_index(rank);
        if let Some(position) = self.divided_position(rank, by_rank, now) {
            return position;
        }
        let nested = |waiters: usize| {
            self.queue.iter().take(waiters).filter(|w| w.class == Class::Nested).count()
        };
        let all = nested(self.queue.len());
        match rank.class {
            Class::Nested if nested(by_rank) < self.nested_quota() => nested(by_rank),
            Class::Nested => by_rank,
            Class::External => by_rank + (all - nested(by_rank)).min(self.nested_quota()),
        }
    }

    /// Returns how many of the waiting calls go before a new call of `rank`, behind `by_rank` calls
    /// in the queue, if starts of a cold upstream are divided.
    fn divided_position(&self, rank: Rank, by_rank: usize, now: Time) -> Option<usize> {
        if !self.tokens.is_window_active(now) {
            return None;
        }
        let kind = Kind::new(rank.priority, rank.class);
        let before = self.queue.iter().take(by_rank).filter(|w| w.until > now);
        let ahead = before.filter(|w| w.kind() == kind).count();
        let division = self.division(Some(kind), now)?;
        let own = division.enumerate().filter(|(_, next)| *next == kind).nth(ahead);
        own.map(|(position, _)| position)
    }

    /// Returns the order of the queue and a `new` call, if it waits for starts of a cold upstream.
    fn division(&self, new: Option<Kind>, now: Time) -> Option<Division> {
        if !self.tokens.is_window_active(now) {
            return None;
        }
        let waiting = self.queue.iter().filter(|w| w.until > now).map(Waiter::kind).chain(new);
        let window = self.tokens.scarce_starts(waiting.clone().count(), self.slot_wait(1), now)?;
        Some(Division::new(window.per_period(), window.kinds(), waiting))
    }

    /// Returns the index in the queue of a new call of `rank`: behind the last call that precedes it.
    fn insertion_index(&self, rank: Rank) -> usize {
        self.queue.iter().rposition(|w| w.precedes(rank)).map_or(0, |last| last + 1)
    }

    /// Returns the index in the queue of a new call of `rank` if all levels were equal.
    fn index_by_priority(&self, rank: Rank) -> usize {
        self.queue.partition_point(|w| w.priority <= rank.priority)
    }

    /// Returns how many more nested calls may hold slots before rank alone decides.
    ///
    /// With half of the slots, either class that needs less than that is served nearly completely, however
    /// much the other wants; see `tests/shares.rs`.
    fn nested_quota(&self) -> usize {
        (self.slots / 2).max(1).saturating_sub(self.nested.len())
    }

    /// Removes the next call to run from the queue.
    fn pop_next(&mut self, now: Time) -> Option<Waiter> {
        if let Some(kind) = self.division(None, now).and_then(|mut division| division.next()) {
            let index = self.queue.iter().position(|w| w.kind() == kind)?;
            return self.queue.remove(index);
        }
        let nested = self.queue.iter().position(|w| w.class == Class::Nested);
        match nested {
            Some(index) if self.nested_quota() > 0 => self.queue.remove(index),
            _ => self.queue.pop_front(),
        }
    }

    /// Gives a slot to the call `ticket`.
    fn start(&mut self, ticket: Ticket, kind: Kind, now: Time) {
        self.busy += 1;
        self.tokens.admit(ticket, kind, now);
        if kind.class == Class::Nested {
            self.nested.insert(ticket);
        }
    }

    /// Sets the number of slots, for example after a replacement of the upstream by one of another
    /// size.
    ///
    /// Returns the calls that may run now; each holds a slot.
    pub fn resize(&mut self, slots: usize, now: Time) -> Vec<Ticket> {
        self.slots = slots;
        self.grant_waiting(now)
    }

    /// Returns the waiting calls for which slots and tokens are available; each holds a slot now.
    pub fn grant_waiting(&mut self, now: Time) -> Vec<Ticket> {
        std::iter::from_fn(|| self.grant_next(now)).collect()
    }

    /// Gives the next waiting call a slot and a token, if both are available.
    fn grant_next(&mut self, now: Time) -> Option<Ticket> {
        if self.busy >= self.slots {
            return None;
        }
        self.drop_expired(now);
        if self.queue.is_empty() || !self.tokens.take(now) {
            return None;
        }
        let waiter = self.pop_next(now)?;
        self.start(waiter.ticket, waiter.kind(), now);
        Some(waiter.ticket)
    }

    fn drop_expired(&mut self, now: Time) {
        let before = self.queue.len();
        self.queue.retain(|w| w.until > now);
        if self.queue.len() < before {
            cov_mark::hit!(admission_expired);
        }
    }

    /// Returns when the next waiting call gets a token, if calls wait for one.
    ///
    /// Behind calls that take the free starts of a cold upstream, that is when the next start is
    /// free.
    pub fn next_token(&self, now: Time) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        let wait = self.tokens.wait(1, now);
        match wait.is_zero() {
            // A call that waits beside a free start must not sleep until the next one.
            true if self.busy < self.slots && self.tokens.is_window_active(now) => Some(now),
            true => self.tokens.next_start(now),
            false => Some(now + wait),
        }
    }

    /// Returns the configured number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Frees the slot of `ticket` and returns the next waiting call, which then holds a slot.
    ///
    /// `service_time` is `None` if the call did not reach the upstream. Expired calls are dropped;
    /// their own timers answer them.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        now: Time,
        service_time: Option<Duration>,
    ) -> Option<Ticket> {
        self.nested.remove(&ticket);
        match service_time {
            Some(sample) => {
                self.service_time = average(self.service_time, sample);
                self.tokens.finish(ticket);
            }
            None => self.tokens.give_back(ticket),
        }
        self.busy = self.busy.saturating_sub(1);
        self.grant_next(now)
    }

    /// Records that the call `ticket`, which holds a slot, is sent to the upstream now; it counts as a start even if
    /// it ends without a service time.
    pub fn record_sent(&mut self, ticket: Ticket, now: Time) {
        self.tokens.start(ticket, now);
    }

    /// Removes a call from the queue; returns whether it was waiting.
    ///
    /// A call that is no longer waiting holds a slot and must be ended by
    /// [`finish`](Limiter::finish).
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.ticket != ticket);
        self.queue.len() < before
    }

    /// Returns the `Retry-After` of a refusal: the expected time until the current queue is empty.
    pub fn retry_after(&self, now: Time) -> Duration {
        let wait = self.expected_wait(self.queue.len() + 1, now);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns why a call is refused now: for the limit that the upstream named, or for its slots.
    pub fn refusal_cause(&self, now: Time) -> Cause {
        let position = self.queue.len() + 1;
        let named_wait = self.tokens.named_wait(position, now);
        match !named_wait.is_zero() && named_wait >= self.slot_wait(position) {
            true => Cause::Limited,
            false => Cause::Overloaded,
        }
    }

    /// Returns the use of the starts of the last second, while a window limits a cold upstream.
    pub fn starts(&self, now: Time) -> Option<Usage> {
        self.tokens.starts(now)
    }

    /// Returns the number of calls started in the last second; 0 without a window.
    pub fn recent_starts(&self, now: Time) -> usize {
        self.tokens.recent_starts(now)
    }

    /// Returns the largest number of calls started in any second since the last call of this function; 0
    /// without a window, and at most as many as the window keeps.
    pub fn take_start_peak(&mut self) -> usize {
        self.tokens.take_start_peak()
    }

    /// Returns the number of calls that hold a slot.
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of calls that were queued before waiting calls of higher levels since the last
    /// call of this function.
    pub fn take_overtaking(&mut self) -> u64 {
        std::mem::take(&mut self.overtaking)
    }

    fn expected_wait(&self, position: usize, now: Time) -> Duration {
        self.slot_wait(position).max(self.tokens.wait(position, now))
    }

    fn slot_wait(&self, position: usize) -> Duration {
        self.service_time.mul_f64(position as f64 / self.slots.max(1) as f64)
    }
}

fn average(old: Duration, sample: Duration) -> Duration {
    old.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
