//! Asynchronous semaphore with a priority queue; `policy::admission` makes the decisions.

use model::time::Time;
use policy::{
    admission::{Decision, Limiter, Rank, Ticket},
    health::Load,
    named_limit,
    outcome::{Cause, Loss, Outcome, Step, of_loss},
    warmup::{Limit, Trust, Usage},
};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::oneshot, time::timeout};

use crate::{clock::Clock, lock::lock};

/// Maximum poll interval of a waiting task; the start or end of a warm-up limit wakes no task.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum poll interval of a waiting task, the resolution of timers.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A concurrency limit, and the tasks that wait for a slot.
#[derive(Debug)]
pub(crate) struct Semaphore {
    clock: Clock,
    tickets: AtomicU64,
    queue: Mutex<Queue>,
}

/// Admission state, and the channels to waiting tasks.
#[derive(Debug)]
struct Queue {
    limiter: Limiter,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
}

/// Result that a waiting task is woken with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    /// The task holds a slot.
    Granted,
    /// The data centre is evacuated; the work must not run here.
    Rejected,
}

/// A held slot, released on drop, including cancellation of the task.
#[derive(Debug)]
pub(crate) struct Permit {
    semaphore: Arc<Semaphore>,
    ticket: Ticket,
    /// Duration of the work, if it was done.
    pub(crate) service_time: Option<Duration>,
}

impl Queue {
    /// Wakes the tasks that were granted a slot.
    fn wake(&mut self, granted: &[Ticket]) {
        for ticket in granted {
            if let Some(waiter) = self.waiters.remove(ticket) {
                // The receiver is alive: a waiting task deregisters under this lock before dropping it.
                let _ = waiter.send(Verdict::Granted);
            }
        }
    }
}

impl Semaphore {
    pub(crate) fn new(clock: Clock, slots: usize) -> Arc<Self> {
        let queue = Queue { limiter: Limiter::new(slots), waiters: HashMap::new() };
        Arc::new(Semaphore { clock, tickets: AtomicU64::new(0), queue: Mutex::new(queue) })
    }

    /// Waits for a slot, at most as long as `rank` and `deadline` allow.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Time,
        queue_limit: usize,
    ) -> Result<Permit, Outcome> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (decision, verdict) = self.enqueue(ticket, rank, deadline, queue_limit);
        let until = match decision {
            Decision::Run => return Ok(self.permit(ticket)),
            Decision::Refuse(_) => return Err(self.refusal()),
            Decision::Wait(until) => until,
        };
        let mut waiter = Waiter { semaphore: self.clone(), ticket, verdict, resolved: false };
        loop {
            let now = self.clock.now();
            let poll_at = self.next_poll(now).min(until);
            match timeout(poll_at.since(now), &mut waiter.verdict).await {
                Ok(Ok(verdict)) => {
                    waiter.resolved = true;
                    return match verdict {
                        Verdict::Granted => Ok(self.permit(ticket)),
                        Verdict::Rejected => Err(Cause::Evacuated.outcome()),
                    };
                }
                Err(_) if self.clock.now() < until => self.grant_ready(),
                _ if until < deadline => return Err(self.refusal()),
                _ => return Err(of_loss(Step::Queue, Loss::Timeout)),
            }
        }
    }

    /// Sets the rate limit of a cold upstream; `None` removes it.
    pub(crate) fn set_warm_up(&self, limit: Option<Limit>, now: Time) {
        let mut queue = self.lock();
        match limit {
            Some(limit) => queue.limiter.set_warm_up(limit, now),
            None => queue.limiter.end_warm_up(),
        }
    }

    /// Sets the window that limits a cold upstream, instead of a rate limit.
    pub(crate) fn set_window(&self, limit: Limit, trust: Trust, now: Time) {
        let mut queue = self.lock();
        queue.limiter.set_window(limit, now);
        queue.limiter.set_trust(trust);
    }

    /// Returns whether a probe of the upstream is due, since few tasks may start until it is found to be warm.
    pub(crate) fn needs_probe(&self) -> bool {
        self.lock().limiter.needs_probe(self.clock.now())
    }

    /// Sets the limit that the upstream named, in calls per second, and wakes tasks that it now admits;
    /// `None` removes it.
    pub(crate) fn set_named_limit(&self, limit: Option<f64>) {
        let now = self.clock.now();
        let mut queue = self.lock();
        queue.limiter.set_named_limit(limit.map(named_limit::rate), now);
        let granted = queue.limiter.grant_waiting(now);
        queue.wake(&granted);
    }

    /// Returns when a waiting task should check for tokens that became available without a release.
    fn next_poll(&self, now: Time) -> Time {
        let token = self.lock().limiter.next_token(now);
        token.map_or(now + MAX_POLL_INTERVAL, |at| {
            at.max(now + MIN_POLL_INTERVAL).min(now + MAX_POLL_INTERVAL)
        })
    }

    /// Returns the outcome of a task that is not admitted in time.
    fn refusal(&self) -> Outcome {
        let now = self.clock.now();
        let limiter = &self.lock().limiter;
        Outcome::NotRun(limiter.refusal_cause(now), limiter.retry_after(now))
    }

    /// Grants free slots and tokens to waiting tasks.
    pub(crate) fn grant_ready(&self) {
        let mut queue = self.lock();
        let granted = queue.limiter.grant_waiting(self.clock.now());
        queue.wake(&granted);
    }

    /// Rejects every waiting task, for an evacuation.
    pub(crate) fn reject_waiting(&self) {
        let mut queue = self.lock();
        for (ticket, waiter) in std::mem::take(&mut queue.waiters) {
            queue.limiter.cancel(ticket);
            // The receiver is alive: a waiting task deregisters under this lock before dropping it.
            let _ = waiter.send(Verdict::Rejected);
        }
    }

    /// Returns whether a task would now be admitted or queued.
    pub(crate) fn admits(&self, rank: Rank, deadline: Time, queue_limit: usize) -> bool {
        self.lock().limiter.would_admit(rank, self.clock.now(), deadline, queue_limit)
    }

    /// Returns the number of held slots and of waiting tasks.
    pub(crate) fn load(&self) -> Load {
        let queue = self.lock();
        Load { busy: queue.limiter.busy(), waiting: queue.limiter.waiting(), ..Load::default() }
    }

    /// Returns the use of the starts of the last second, while a window limits a cold upstream.
    pub(crate) fn starts(&self) -> Option<Usage> {
        self.lock().limiter.starts(self.clock.now())
    }

    /// Returns the number of tasks that got a slot in the last second; 0 without a window.
    pub(crate) fn recent_starts(&self) -> usize {
        self.lock().limiter.recent_starts(self.clock.now())
    }

    /// Returns the largest number of tasks that got a slot in any second since the last call; 0 without a window.
    pub(crate) fn take_start_peak(&self) -> usize {
        self.lock().limiter.take_start_peak()
    }

    /// Returns the number of tasks that were queued before tasks of higher levels since the last call.
    pub(crate) fn take_overtaking(&self) -> u64 {
        self.lock().limiter.take_overtaking()
    }

    /// Returns the number of slots.
    pub(crate) fn slots(&self) -> usize {
        self.lock().limiter.slots()
    }

    /// Sets the number of slots and wakes tasks that fit.
    pub(crate) fn resize(&self, slots: usize) {
        let mut queue = self.lock();
        if queue.limiter.slots() == slots {
            return;
        }
        let granted = queue.limiter.resize(slots, self.clock.now());
        queue.wake(&granted);
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit { semaphore: self.clone(), ticket, service_time: None }
    }

    /// Requests admission and registers a waiter under the same lock, so that no release is missed.
    fn enqueue(
        &self,
        ticket: Ticket,
        rank: Rank,
        deadline: Time,
        queue_limit: usize,
    ) -> (Decision, oneshot::Receiver<Verdict>) {
        let (sender, receiver) = oneshot::channel();
        let mut queue = self.lock();
        let decision =
            queue.limiter.admit_ranked(ticket, rank, self.clock.now(), deadline, queue_limit);
        if matches!(decision, Decision::Wait(_)) {
            queue.waiters.insert(ticket, sender);
        }
        (decision, receiver)
    }

    /// Releases the slot of `ticket` and wakes the next waiting task.
    fn finish(&self, ticket: Ticket, service_time: Option<Duration>) {
        let mut queue = self.lock();
        let now = self.clock.now();
        let mut next = queue.limiter.finish(ticket, now, service_time);
        while let Some(ticket) = next {
            // The receiver is alive: a waiting task deregisters under this lock before dropping it.
            if let Some(waiter) = queue.waiters.remove(&ticket) {
                let _ = waiter.send(Verdict::Granted);
                return;
            }
            next = queue.limiter.finish(ticket, now, None);
        }
    }

    /// Deregisters a waiting task; returns `false` if it was already granted a slot, which the caller
    /// must then release.
    fn cancel(&self, ticket: Ticket) -> bool {
        let mut queue = self.lock();
        queue.limiter.cancel(ticket);
        queue.waiters.remove(&ticket).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        lock(&self.queue)
    }
}

impl Permit {
    /// Records that the call is sent to the upstream now; it counts even if it is cancelled before it is done.
    pub(crate) fn record_sent(&self) {
        let now = self.semaphore.clock.now();
        self.semaphore.lock().limiter.record_sent(self.ticket, now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.semaphore.finish(self.ticket, self.service_time);
    }
}

/// A queued task; dropping it before it is woken removes it from the queue.
struct Waiter {
    semaphore: Arc<Semaphore>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    /// Whether the verdict was received.
    resolved: bool,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.resolved || self.semaphore.cancel(self.ticket) {
            return;
        }
        if self.verdict.try_recv() == Ok(Verdict::Granted) {
            // The slot was granted concurrently with the cancellation.
            self.semaphore.finish(self.ticket, None);
        }
    }
}

#[cfg(test)]
mod tests;
