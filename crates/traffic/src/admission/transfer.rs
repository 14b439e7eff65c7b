//! Large bodies cross a slow link one after the other, and only if they will be taken.
//!
//! Pattern: uploads of a hundred kilobytes come to instances whose links carry five megabits a
//! second. Ten at once keep the link busy for two seconds, and every small call to the same
//! instance waits behind them; those that are refused in the end have crossed for nothing. So an
//! entry node asks before it sends a large body. The serving node answers at once if it would refuse
//! the call, and otherwise when it is the body's turn.

use model::time::Time;
use policy::{admission::Rank, outcome::Outcome, transfer};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    admission::semaphore::{Permit, Semaphore},
    clock::Clock,
    lock::lock,
};

/// Most bodies that wait for their turn.
const QUEUE_LIMIT: usize = 16;

/// How long a turn is kept for an entry node that does not come.
const GRANT_TTL: Duration = Duration::from_secs(2);

/// Turns given, and who waits for one.
#[derive(Debug)]
pub(crate) struct Transfers {
    clock: Clock,
    semaphore: Arc<Semaphore>,
    grants: Mutex<HashMap<u64, Grant>>,
}

/// A turn that was given.
#[derive(Debug)]
pub(crate) struct Grant {
    permit: Permit,
    granted_at: Time,
}

impl Transfers {
    /// Creates turns for a link of `link_mbps`; 0 stands for a fast one.
    pub(crate) fn new(clock: Clock, link_mbps: u32) -> Self {
        let semaphore = Semaphore::new(clock, transfer::max_concurrent(link_mbps));
        Transfers { clock, semaphore, grants: Mutex::default() }
    }

    /// Waits for a turn and keeps it under the number `ticket`.
    pub(crate) async fn reserve(
        &self,
        ticket: u64,
        rank: Rank,
        deadline: Time,
    ) -> Result<(), Outcome> {
        let permit = self.semaphore.acquire(rank, deadline, QUEUE_LIMIT).await?;
        let granted_at = self.clock.now();
        self.lock().insert(ticket, Grant { permit, granted_at });
        Ok(())
    }

    /// Takes the turn of `ticket`; none where it was kept for too long.
    pub(crate) fn redeem(&self, ticket: u64) -> Option<Grant> {
        self.lock().remove(&ticket)
    }

    /// Ends a turn whose body has arrived.
    ///
    /// The time that it took is what the next ones are told to expect: without it, those that would
    /// have to wait for too long are not turned away before they have waited.
    pub(crate) fn finish(&self, mut grant: Grant) {
        grant.permit.service_time = Some(self.clock.now().since(grant.granted_at));
    }

    /// Returns how many bodies cross or wait for their turn.
    pub(crate) fn pending(&self) -> usize {
        let load = self.semaphore.load();
        load.busy + load.waiting
    }

    /// Gives up turns that nobody came for.
    pub(crate) fn remove_expired(&self, now: Time) {
        self.lock().retain(|_, grant| grant.granted_at + GRANT_TTL > now);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Grant>> {
        lock(&self.grants)
    }
}
