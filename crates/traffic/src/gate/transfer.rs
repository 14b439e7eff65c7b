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
    clock::Clock,
    gate::turnstile::{Pass, Turnstile},
    lock::lock,
};

/// Most bodies that wait for their turn.
const QUEUE_LIMIT: usize = 16;

/// How long a turn is kept for an entry node that does not come.
const KEPT: Duration = Duration::from_secs(2);

/// Turns given, and who waits for one.
#[derive(Debug)]
pub(crate) struct Transfers {
    clock: Clock,
    turnstile: Arc<Turnstile>,
    granted: Mutex<HashMap<u64, Turn>>,
}

/// A turn that was given.
#[derive(Debug)]
pub(crate) struct Turn {
    pass: Pass,
    given: Time,
}

impl Transfers {
    /// Creates turns for a link of `link_mbps`; 0 stands for a fast one.
    pub(crate) fn new(clock: Clock, link_mbps: u32) -> Self {
        let turnstile = Turnstile::new(clock, transfer::max_concurrent(link_mbps));
        Transfers { clock, turnstile, granted: Mutex::default() }
    }

    /// Waits for a turn and keeps it under the number `ticket`.
    pub(crate) async fn reserve(
        &self,
        ticket: u64,
        rank: Rank,
        deadline: Time,
    ) -> Result<(), Outcome> {
        let pass = self.turnstile.enter(rank, deadline, QUEUE_LIMIT).await?;
        let given = self.clock.now();
        self.lock().insert(ticket, Turn { pass, given });
        Ok(())
    }

    /// Takes the turn of `ticket`; none where it was kept for too long.
    pub(crate) fn redeem(&self, ticket: u64) -> Option<Turn> {
        self.lock().remove(&ticket)
    }

    /// Ends a turn whose body has arrived.
    ///
    /// The time that it took is what the next ones are told to expect: without it, those that would
    /// have to wait for too long are not turned away before they have waited.
    pub(crate) fn finish(&self, mut turn: Turn) {
        turn.pass.service_time = Some(self.clock.now().since(turn.given));
    }

    /// Returns how many bodies cross or wait for their turn.
    pub(crate) fn pending(&self) -> usize {
        let load = self.turnstile.load();
        load.busy + load.waiting
    }

    /// Gives up turns that nobody came for.
    pub(crate) fn sweep(&self, now: Time) {
        self.lock().retain(|_, turn| turn.given + KEPT > now);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Turn>> {
        lock(&self.granted)
    }
}
