//! Schedules transfers of large request bodies over the instance's link.
//!
//! Concurrent large uploads delay small calls on a slow link, and a refused call wastes its transfer.
//! So an entry node first asks for a grant. The serving node refuses at once if it would refuse the
//! call, and otherwise grants the transfer when the link is free.

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

/// Maximum number of transfers that wait for a grant.
const QUEUE_LIMIT: usize = 16;

/// Time after which an unused grant expires.
const GRANT_TTL: Duration = Duration::from_secs(2);

/// Outstanding grants, and the queue of transfers that wait for one.
#[derive(Debug)]
pub(crate) struct Transfers {
    clock: Clock,
    semaphore: Arc<Semaphore>,
    grants: Mutex<HashMap<u64, Grant>>,
}

/// Permission to transfer one body.
#[derive(Debug)]
pub(crate) struct Grant {
    permit: Permit,
    granted_at: Time,
}

impl Transfers {
    /// Creates the scheduler of a link of `link_mbps` Mbit/s; 0 if the speed is unknown.
    pub(crate) fn new(clock: Clock, link_mbps: u32) -> Self {
        let semaphore = Semaphore::new(clock, transfer::max_concurrent(link_mbps));
        Transfers { clock, semaphore, grants: Mutex::default() }
    }

    /// Waits for a grant and stores it under `ticket`.
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

    /// Removes and returns the grant of `ticket`; `None` if it has expired.
    pub(crate) fn redeem(&self, ticket: u64) -> Option<Grant> {
        self.lock().remove(&ticket)
    }

    /// Releases the grant of a body that has arrived.
    ///
    /// Its duration feeds the estimate of the queueing time, by which transfers that would start too
    /// late are refused at once.
    pub(crate) fn finish(&self, mut grant: Grant) {
        grant.permit.service_time = Some(self.clock.now().since(grant.granted_at));
    }

    /// Returns the number of transfers in progress or waiting.
    pub(crate) fn pending(&self) -> usize {
        let load = self.semaphore.load();
        load.busy + load.waiting
    }

    /// Releases grants that were not used in time.
    pub(crate) fn remove_expired(&self, now: Time) {
        self.lock().retain(|_, grant| grant.granted_at + GRANT_TTL > now);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Grant>> {
        lock(&self.grants)
    }
}
