//! Large bodies cross a slow link one after the other, and only if they will be taken.
//!
//! Pattern: uploads of a hundred kilobytes come to instances whose links carry five megabits a
//! second. Ten at once keep the link busy for two seconds, and every small call to the same
//! instance waits behind them; those that are refused in the end have crossed for nothing. So an
//! entry node asks before it sends a large body. The serving node answers at once if it would refuse
//! the call, and otherwise when it is the body's turn.

use model::time::Time;
use policy::{admission::Rank, outcome::Outcome};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    clock::Clock,
    turnstile::{Pass, Turnstile},
};

/// Bodies of at least so many bytes are asked for first. Smaller ones cross a link of 5 Mbit/s in
/// 25 ms, about what asking costs between data centres on a busy machine.
pub(crate) const LARGE: usize = 16 * 1024;

/// Speed of a link that carries one body at a time, in Mbit/s: one of 64 KB takes it 20 ms.
const MBPS_PER_BODY: u32 = 25;

/// Most bodies at a time, on any link.
const BODIES_MOST: usize = 32;

/// Most bodies that wait for their turn.
const QUEUE_LIMIT: usize = 16;

/// How long a turn is kept for an entry node that does not come.
const KEPT: Duration = Duration::from_secs(2);

/// Turns given, and who waits for one.
#[derive(Debug)]
pub(crate) struct Transfers {
    turnstile: Arc<Turnstile>,
    granted: Mutex<HashMap<u64, Turn>>,
}

/// A turn that was given and not yet used.
#[derive(Debug)]
struct Turn {
    pass: Pass,
    until: Time,
}

impl Transfers {
    /// Creates turns for a link of `link_mbps`; 0 stands for a fast one.
    pub(crate) fn new(clock: Clock, link_mbps: u32) -> Self {
        let bodies = match link_mbps {
            0 => BODIES_MOST,
            speed => (speed.div_ceil(MBPS_PER_BODY) as usize).min(BODIES_MOST),
        };
        Transfers { turnstile: Turnstile::new(clock, bodies), granted: Mutex::default() }
    }

    /// Waits for a turn and keeps it under the number `ticket`.
    pub(crate) async fn reserve(
        &self,
        ticket: u64,
        rank: Rank,
        deadline: Time,
        now: Time,
    ) -> Result<(), Outcome> {
        let pass = self.turnstile.enter(rank, deadline, QUEUE_LIMIT).await?;
        self.lock().insert(ticket, Turn { pass, until: now + KEPT });
        Ok(())
    }

    /// Takes the turn of `ticket`; none where it was kept for too long.
    pub(crate) fn redeem(&self, ticket: u64) -> Option<Pass> {
        self.lock().remove(&ticket).map(|turn| turn.pass)
    }

    /// Gives up turns that nobody came for.
    pub(crate) fn sweep(&self, now: Time) {
        self.lock().retain(|_, turn| turn.until > now);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Turn>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
