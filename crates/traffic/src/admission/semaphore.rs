//! A gate that tasks wait at: `policy::admission` put into effect.

use model::time::Time;
use policy::{
    admission::{Decision, Limiter, Rank, Ticket},
    health::Load,
    outcome::{Cause, Loss, Outcome, Step, of_loss},
    warmup::Limit,
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

/// Longest time between two looks of a task that waits: a limit that begins or ends meanwhile has no
/// event of its own.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two looks; timers are no finer.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Slots, and the tasks that wait for one.
#[derive(Debug)]
pub(crate) struct Semaphore {
    clock: Clock,
    tickets: AtomicU64,
    queue: Mutex<Queue>,
}

/// The decision, and how to tell those that wait.
#[derive(Debug)]
struct Queue {
    gate: Limiter,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
}

/// How a task's waiting ends before its time is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    /// A slot is taken for it.
    Granted,
    /// Its work must not be done here.
    Rejected,
}

/// A held slot, freed when dropped, also when the task is cancelled.
#[derive(Debug)]
pub(crate) struct Permit {
    semaphore: Arc<Semaphore>,
    ticket: Ticket,
    /// How long the work took, if it was done.
    pub(crate) service_time: Option<Duration>,
}

impl Queue {
    /// Tells waiting tasks that their slots are taken.
    fn wake(&mut self, granted: &[Ticket]) {
        for ticket in granted {
            if let Some(waiter) = self.waiters.remove(ticket) {
                // A waiting task removes itself under the lock before it drops its receiver.
                let _ = waiter.send(Verdict::Granted);
            }
        }
    }
}

impl Semaphore {
    pub(crate) fn new(clock: Clock, slots: usize) -> Arc<Self> {
        let queue = Queue { gate: Limiter::new(slots), waiters: HashMap::new() };
        Arc::new(Semaphore { clock, tickets: AtomicU64::new(0), queue: Mutex::new(queue) })
    }

    /// Waits for a slot no longer than `rank` and `deadline` allow.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Time,
        queue_limit: usize,
    ) -> Result<Permit, Outcome> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (entry, verdict) = self.enqueue(ticket, rank, deadline, queue_limit);
        let until = match entry {
            Decision::Run => return Ok(self.permit(ticket)),
            Decision::Refuse(after) => return Err(Outcome::NotRun(Cause::Overloaded, after)),
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
                _ if until < deadline => return Err(Cause::Overloaded.outcome()),
                _ => return Err(of_loss(Step::Queue, Loss::Timeout)),
            }
        }
    }

    /// Lets no more calls through than `limit` says; none where the upstream is warm.
    pub(crate) fn set_warm_up(&self, limit: Option<Limit>, now: Time) {
        let mut queue = self.lock();
        match limit {
            Some(limit) => queue.gate.set_warm_up(limit, now),
            None => queue.gate.end_warm_up(),
        }
    }

    /// Returns when a task that waits looks whether somebody gets a token that no finished call passes on.
    fn next_poll(&self, now: Time) -> Time {
        let token = self.lock().gate.next_token(now);
        token.map_or(now + POLL_INTERVAL, |at| {
            at.max(now + MIN_POLL_INTERVAL).min(now + POLL_INTERVAL)
        })
    }

    /// Wakes the tasks for which there are slots and tokens.
    fn grant_ready(&self) {
        let mut queue = self.lock();
        let granted = queue.gate.grant_waiting(self.clock.now());
        queue.wake(&granted);
    }

    /// Refuses every task that waits: its work must not be done here.
    pub(crate) fn reject_waiting(&self) {
        let mut queue = self.lock();
        for (ticket, waiter) in std::mem::take(&mut queue.waiters) {
            queue.gate.cancel(ticket);
            // A waiting task removes itself under this lock before it drops its receiver.
            let _ = waiter.send(Verdict::Rejected);
        }
    }

    /// Tells whether a task would be let in or could wait now.
    pub(crate) fn admits(&self, rank: Rank, deadline: Time, queue_limit: usize) -> bool {
        self.lock().gate.would_admit(rank, self.clock.now(), deadline, queue_limit)
    }

    /// Returns what is held and what waits.
    pub(crate) fn load(&self) -> Load {
        let queue = self.lock();
        Load { busy: queue.gate.busy(), waiting: queue.gate.waiting(), bodies: 0 }
    }

    /// Sets the number of slots.
    pub(crate) fn resize(&self, slots: usize) {
        let mut queue = self.lock();
        if queue.gate.slots() == slots {
            return;
        }
        let granted = queue.gate.resize(slots, self.clock.now());
        queue.wake(&granted);
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit { semaphore: self.clone(), ticket, service_time: None }
    }

    /// The waiter is registered under the same lock as the decision to wait, so that a slot that
    /// is freed in between cannot miss it.
    fn enqueue(
        &self,
        ticket: Ticket,
        rank: Rank,
        deadline: Time,
        queue_limit: usize,
    ) -> (Decision, oneshot::Receiver<Verdict>) {
        let (sender, receiver) = oneshot::channel();
        let mut queue = self.lock();
        let entry = queue.gate.admit_ranked(ticket, rank, self.clock.now(), deadline, queue_limit);
        if matches!(entry, Decision::Wait(_)) {
            queue.waiters.insert(ticket, sender);
        }
        (entry, receiver)
    }

    /// Frees the slot of `ticket` and wakes the next task that waits.
    fn finish(&self, ticket: Ticket, service_time: Option<Duration>) {
        let mut queue = self.lock();
        let now = self.clock.now();
        let mut next = queue.gate.finish(ticket, now, service_time);
        while let Some(ticket) = next {
            // A waiting task removes itself under this lock before it drops its receiver, so the
            // receiver of a waiter found here is alive.
            if let Some(waiter) = queue.waiters.remove(&ticket) {
                let _ = waiter.send(Verdict::Granted);
                return;
            }
            next = queue.gate.finish(ticket, now, None);
        }
    }

    /// Forgets a task that waits no longer; returns whether it had not been given a slot.
    ///
    /// A waiter is removed when its slot is granted, so a missing one means that the task holds a
    /// slot, which must be freed.
    fn cancel(&self, ticket: Ticket) -> bool {
        let mut queue = self.lock();
        queue.gate.cancel(ticket);
        queue.waiters.remove(&ticket).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        lock(&self.queue)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.semaphore.finish(self.ticket, self.service_time);
    }
}

/// A place in the queue, given up when dropped before a slot was taken.
struct Waiter {
    semaphore: Arc<Semaphore>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    /// Whether the verdict was taken.
    resolved: bool,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.resolved || self.semaphore.cancel(self.ticket) {
            return;
        }
        if self.verdict.try_recv() == Ok(Verdict::Granted) {
            // The slot was granted in the moment in which the task gave up.
            self.semaphore.finish(self.ticket, None);
        }
    }
}

#[cfg(test)]
mod tests;
