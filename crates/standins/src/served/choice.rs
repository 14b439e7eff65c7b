//! Which upstream gets a call.

use model::time::Time;
use policy::{
    health::Record,
    placement::{self, Candidate, Locality},
    retry::Kind,
};
use rand::rngs::SmallRng;

use super::settings::Choice;

/// An upstream as an entry node sees it.
pub(super) struct Seen<'a> {
    pub(super) record: &'a Record,
    pub(super) slots: usize,
    pub(super) locality: Locality,
    pub(super) tried: bool,
}

/// Returns the index of the upstream that gets the call number `turn`, if one is untried.
pub(super) fn choose(
    choice: Choice,
    seen: &[Seen<'_>],
    kind: Kind,
    turn: usize,
    now: Time,
    random: &mut SmallRng,
) -> Option<usize> {
    let untried = || (0..seen.len()).filter(|&i| !seen[i].tried);
    match choice {
        Choice::Room => {
            let candidates: Vec<Candidate<'_>> = seen.iter().map(candidate).collect();
            placement::choose(&candidates, kind, now, random)
        }
        Choice::InTurn => {
            untried().min_by_key(|&i| (i + seen.len() - turn % seen.len()) % seen.len())
        }
        Choice::LeastInFlight => untried().min_by_key(|&i| (seen[i].record.in_flight(), i)),
    }
}

fn candidate<'a>(seen: &Seen<'a>) -> Candidate<'a> {
    let Seen { record, slots, locality, tried } = *seen;
    Candidate {
        record,
        slots,
        locality,
        tried,
        request_bytes: 0,
        response_bytes: 0,
        cold: placement::Cold::No,
        refusals: 0,
    }
}
