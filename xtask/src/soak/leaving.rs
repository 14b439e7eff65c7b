//! The promise to an upstream that leaves, or whose data centre is evacuated: nothing new from a while after that
//! was acknowledged on.

use std::time::{Duration, Instant};

use crate::soak::{
    history::{Span, Trouble},
    site::Site,
    spot::Spot,
};

/// Time after the platform's acknowledgement in which an upstream may still get something new.
const GRACE: Duration = Duration::from_secs(2);

/// How long after a node's pause or an outage of the platform word of it may still be on the way.
const NEWS: Duration = Duration::from_secs(3);

/// Returns every piece of work that an upstream got too late.
pub(crate) fn findings(site: &Site) -> Vec<String> {
    let mut findings = Vec::new();
    for (number, spot) in site.spots.iter().enumerate() {
        let starts = spot.starts();
        let leaving = spot.history.all(Trouble::Leaving);
        for leave in leaving.chain(spot.history.all(Trouble::Evacuated)) {
            let late = starts.iter().filter(|(at, _)| is_late(*at, leave, spot, site));
            findings.extend(late.map(|(at, work)| {
                let ms = (*at - leave.from).as_millis();
                let why = leave.trouble;
                format!("{work}: an upstream gets nothing new once it is {why:?}; it began at {number} after {ms} ms")
            }));
        }
    }
    findings
}

/// Tells whether a piece of work came too late, for no reason that excuses it.
///
/// The node beside the upstream refuses whatever others offer, so it alone must know; and while it
/// reaches other nodes, which no fault here prevents, the platform's silence to it alone is no excuse.
fn is_late(at: Instant, leave: Span, spot: &Spot, site: &Site) -> bool {
    if at <= leave.from + GRACE || leave.until.is_some_and(|until| at >= until) {
        return false;
    }
    let Some(since) = at.checked_sub(NEWS) else { return true };
    let unaware = spot.history.had(&[Trouble::Paused], since, at)
        || site.history.had(&[Trouble::Outage], since, at);
    !unaware
}
