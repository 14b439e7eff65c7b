//! Choice of the upstream for a call.

use model::time::Time;
use policy::{
    health::Record,
    placement::{self, Candidate, Locality},
    retry::Kind,
};
use rand::rngs::SmallRng;

use super::settings::Choice;

/// An upstream as its entry node knows it.
pub(super) struct Target<'a> {
    pub(super) record: &'a Record,
    pub(super) slots: usize,
    pub(super) locality: Locality,
    pub(super) tried: bool,
}

/// Returns the index of the target for a call, or `None` if all were tried.
///
/// `call_number` is the node's call counter, for round-robin.
pub(super) fn choose(
    choice: Choice,
    targets: &[Target<'_>],
    kind: Kind,
    call_number: usize,
    now: Time,
    random: &mut SmallRng,
) -> Option<usize> {
    let untried = || (0..targets.len()).filter(|&i| !targets[i].tried);
    match choice {
        Choice::Capacity => {
            let candidates: Vec<Candidate<'_>> = targets.iter().map(candidate).collect();
            placement::choose(&candidates, kind, now, random)
        }
        Choice::RoundRobin => untried()
            .min_by_key(|&i| (i + targets.len() - call_number % targets.len()) % targets.len()),
        Choice::LeastInFlight => untried().min_by_key(|&i| (targets[i].record.in_flight(), i)),
    }
}

fn candidate<'a>(target: &Target<'a>) -> Candidate<'a> {
    let Target { record, slots, locality, tried } = *target;
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
