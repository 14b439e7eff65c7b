//! Admission at the serving node: as many calls as the upstream has slots, and a short queue.
//!
//! A queue without a bound turns overload into lateness: every call waits until its deadline and
//! the upstream works only for callers who have gone. So the queue is bounded in length and in
//! time: a call whose expected wait exceeds its remaining time is refused at once.
//!
//! Calls of a more urgent rank go first, with one exception: calls that upstreams make for work that is
//! under way go before all callers' while they hold no more than half of the slots. They are short, and
//! without them that work is lost, so where callers overload the service all of them are answered.
//! Where they would fill the service themselves, more urgent callers get the other half.
//!
//! Where a call's rank says by when it must begin, it waits
//! no longer than that: under lasting overload a long queue would use up the time in which its calls
//! could still be answered in time, and every answer would come late.

use model::time::Time;
use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use crate::warmup::{Bucket, Limit};

/// Share of a new sample in the moving average of service times.
const SAMPLE_SHARE: f64 = 0.1;

/// Shortest time after which a refused caller is asked to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a refused caller is asked to come back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Times between two freed slots that a call of an upstream may wait, where that is longer than its rank
/// allows.
///
/// It goes before callers, so it gets one of the next slots. With few slots or long calls the next one is
/// freed later than a short call may usually wait, and all work that makes such calls would be lost.
const NESTED_TURNOVERS: u32 = 2;

/// Part of its time that a call of an upstream waits at most.
///
/// What waits holds two slots, and two services that call each other would wait for each other's.
pub(crate) const NESTED_WAIT_SHARE: u32 = 3;

/// A call known to the gate.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(pub u64);

/// Who makes a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Class {
    /// Somebody outside.
    #[default]
    External,
    /// An upstream, for work that is under way.
    Nested,
}

/// Urgency of a call among those that wait at one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rank {
    /// 0 is the most urgent.
    pub priority: u8,
    /// Time by which it must have begun; none where only the deadline counts.
    pub start_by: Option<Time>,
    /// Who makes it.
    pub class: Class,
}

/// Answer to an arriving call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A slot is taken for the call.
    Run,
    /// The call waits, but no longer than until the given time; [`Limiter::finish`] will name it when
    /// a slot is free.
    Wait(Time),
    /// No slot in time; the caller should come back after the given time.
    Refuse(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    /// When an answer could no longer be in time: the call is refused then and not run.
    until: Time,
    priority: u8,
    class: Class,
}

/// Slots and queue of one upstream.
#[derive(Debug)]
pub struct Limiter {
    slots: usize,
    busy: usize,
    queue: VecDeque<Waiter>,
    /// Calls of upstreams that hold a slot.
    nested: HashSet<Ticket>,
    service_time: Duration,
    /// Limit of an upstream that is cold.
    warm_up: Option<Bucket>,
}

impl Limiter {
    /// Creates a gate in front of `slots` slots.
    pub fn new(slots: usize) -> Self {
        Limiter {
            slots,
            busy: 0,
            queue: VecDeque::new(),
            nested: HashSet::new(),
            service_time: Duration::from_millis(1),
            warm_up: None,
        }
    }

    /// Lets no more calls through than `limit` says until the upstream is warm.
    pub fn set_warm_up(&mut self, limit: Limit, now: Time) {
        match &mut self.warm_up {
            Some(bucket) if bucket.is_in_force(now) => bucket.set_limit(limit, now),
            bucket => *bucket = Some(Bucket::new(limit, now)),
        }
    }

    /// Ends the limit of an upstream that is warm.
    pub fn end_warm_up(&mut self) {
        self.warm_up = None;
    }

    /// Decides on a call that must be answered by `deadline`, with at most `queue_limit` waiting.
    ///
    /// ```
    /// use model::time::Time;
    /// use policy::admission::{Decision, Limiter, Ticket};
    /// let mut gate = Limiter::new(1);
    /// let (now, late) = (Time::from_millis(0), Time::from_millis(900));
    /// assert_eq!(gate.admit(Ticket(1), now, late, 8), Decision::Run);
    /// assert_eq!(gate.admit(Ticket(2), now, late, 8), Decision::Wait(late));
    /// assert_eq!(gate.finish(Ticket(1), now, None), Some(Ticket(2)));
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

    /// Decides on a call of `rank`; see [`admit`](Limiter::admit).
    pub fn admit_ranked(
        &mut self,
        ticket: Ticket,
        rank: Rank,
        now: Time,
        deadline: Time,
        queue_limit: usize,
    ) -> Decision {
        // Where a slot is free and calls wait, they wait for a token and go first.
        if self.busy < self.slots && self.queue.is_empty() && self.take_token(now) {
            self.busy += 1;
            self.hold(ticket, rank.class);
            return Decision::Run;
        }
        self.drop_expired(now);
        if !self.would_admit(rank, now, deadline, queue_limit) {
            cov_mark::hit!(gate_refuses);
            return Decision::Refuse(self.retry_after(now));
        }
        let place = self.queue.partition_point(|w| w.priority <= rank.priority);
        // More urgent calls may yet come and go first.
        let until = self.latest_start(rank, now, deadline);
        let waiter = Waiter { ticket, until, priority: rank.priority, class: rank.class };
        self.queue.insert(place, waiter);
        Decision::Wait(until)
    }

    /// Tells whether a call of `rank` would be let in or could wait.
    pub fn would_admit(&self, rank: Rank, now: Time, deadline: Time, queue_limit: usize) -> bool {
        if self.busy < self.slots && self.token_wait(1, now).is_zero() {
            return true;
        }
        let wait = self.expected_wait(self.place(rank) + 1, now);
        let full = self.queue.iter().filter(|w| w.until > now).count() >= queue_limit;
        let hopeless = now + wait >= deadline;
        let untimely = now + wait > self.latest_start(rank, now, deadline);
        !full && !hopeless && !untimely
    }

    /// Returns by when a call must have begun.
    fn latest_start(&self, rank: Rank, now: Time, deadline: Time) -> Time {
        let start_by = rank.start_by.unwrap_or(deadline).min(deadline);
        match rank.class {
            Class::External => start_by,
            Class::Nested => {
                let most = deadline.since(now) / NESTED_WAIT_SHARE;
                let turnovers = self.expected_wait(1, now) * NESTED_TURNOVERS;
                start_by.max(now + turnovers.min(most))
            }
        }
    }

    /// Returns how many waiting calls go before one of `rank`, as far as can be told now.
    fn place(&self, rank: Rank) -> usize {
        let by_rank = self.queue.partition_point(|w| w.priority <= rank.priority);
        let nested = |waiters: usize| {
            self.queue.iter().take(waiters).filter(|w| w.class == Class::Nested).count()
        };
        let all = nested(self.queue.len());
        match rank.class {
            Class::Nested if nested(by_rank) < self.quota() => nested(by_rank),
            Class::Nested => by_rank,
            Class::External => by_rank + (all - nested(by_rank)).min(self.quota()),
        }
    }

    /// Returns how many more calls of upstreams may hold slots before more urgent callers go first.
    ///
    /// With half of the slots, either side that needs less than that is served nearly whole, however
    /// much the other wants. Without a bound 13 of 100 uploads were, and by urgency alone 15 of 100
    /// checks (table in `tests/shares.rs`).
    fn quota(&self) -> usize {
        (self.slots / 2).max(1).saturating_sub(self.nested.len())
    }

    /// Takes the call that goes next out of the queue.
    fn next(&mut self) -> Option<Waiter> {
        let nested = self.queue.iter().position(|w| w.class == Class::Nested);
        match nested {
            Some(index) if self.quota() > 0 => self.queue.remove(index),
            _ => self.queue.pop_front(),
        }
    }

    fn hold(&mut self, ticket: Ticket, class: Class) {
        if class == Class::Nested {
            self.nested.insert(ticket);
        }
    }

    /// Sets the number of slots, as when an upstream of another size takes the place of one.
    ///
    /// Returns the calls that may run now; their slots are taken.
    pub fn resize(&mut self, slots: usize, now: Time) -> Vec<Ticket> {
        self.slots = slots;
        self.grant_waiting(now)
    }

    /// Returns the waiting calls for which there are slots and tokens now; their slots are taken.
    pub fn grant_waiting(&mut self, now: Time) -> Vec<Ticket> {
        std::iter::from_fn(|| self.release_one(now)).collect()
    }

    /// Takes a slot and a token for the call that goes next, if there are both.
    fn release_one(&mut self, now: Time) -> Option<Ticket> {
        if self.busy >= self.slots {
            return None;
        }
        self.drop_expired(now);
        if self.queue.is_empty() || !self.take_token(now) {
            return None;
        }
        let waiter = self.next()?;
        self.busy += 1;
        self.hold(waiter.ticket, waiter.class);
        Some(waiter.ticket)
    }

    fn drop_expired(&mut self, now: Time) {
        let before = self.queue.len();
        self.queue.retain(|w| w.until > now);
        if self.queue.len() < before {
            cov_mark::hit!(gate_drops_expired);
        }
    }

    /// Returns when the next waiting call gets a token, if calls wait for one.
    pub fn next_token(&self, now: Time) -> Option<Time> {
        let wait = self.token_wait(1, now);
        (!self.queue.is_empty() && !wait.is_zero()).then(|| now + wait)
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Frees the slot of `ticket` after `service_time` (none where the call did not reach the upstream) and
    /// passes it on to the next call that still has time; that call's slot is taken.
    ///
    /// Calls whose time is over are dropped: their own timers answer them.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        now: Time,
        service_time: Option<Duration>,
    ) -> Option<Ticket> {
        self.nested.remove(&ticket);
        match service_time {
            Some(sample) => self.service_time = average(self.service_time, sample),
            None => self.give_token_back(),
        }
        self.busy = self.busy.saturating_sub(1);
        self.release_one(now)
    }

    /// Forgets a waiting call; returns whether it was still waiting.
    ///
    /// A call that is no longer waiting holds a slot and must [`finish`](Limiter::finish).
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.ticket != ticket);
        self.queue.len() < before
    }

    /// Returns when a refused caller has a fair chance: once the present queue has been worked off.
    pub fn retry_after(&self, now: Time) -> Duration {
        let wait = self.expected_wait(self.queue.len() + 1, now);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the number of calls that hold a slot.
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn expected_wait(&self, place: usize, now: Time) -> Duration {
        let slot_wait = self.service_time.mul_f64(place as f64 / self.slots.max(1) as f64);
        slot_wait.max(self.token_wait(place, now))
    }

    /// Returns how long the call at `place` waits for a token; 1 is the first place.
    fn token_wait(&self, place: usize, now: Time) -> Duration {
        let bucket = self.warm_up.filter(|bucket| bucket.is_in_force(now));
        bucket.map_or(Duration::ZERO, |bucket| bucket.wait(place, now))
    }

    fn take_token(&mut self, now: Time) -> bool {
        let bucket = self.warm_up.as_mut().filter(|bucket| bucket.is_in_force(now));
        bucket.is_none_or(|bucket| bucket.take(now))
    }

    fn give_token_back(&mut self) {
        if let Some(bucket) = &mut self.warm_up {
            bucket.give_back();
        }
    }
}

fn average(old: Duration, sample: Duration) -> Duration {
    old.mul_f64(1.0 - SAMPLE_SHARE) + sample.mul_f64(SAMPLE_SHARE)
}
