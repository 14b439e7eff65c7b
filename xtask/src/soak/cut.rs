//! The promise that nothing in flight is cut, neither by a node that runs nor by a planned stop.

use std::time::{Duration, Instant};

use crate::soak::{
    book::{End, Ended},
    history::{History, Trouble},
    site::Site,
};

/// Age of a request at the planned stop from which on it counts as wholly read: it was written at
/// once, 400 bytes on loopback, and a stopping node reads for another 300 ms.
const READ: Duration = Duration::from_millis(100);

/// Time after a process's end in which a caller may still use a connection to it.
const STALE: Duration = Duration::from_millis(250);

/// Time of a call after which its deadline, rather than a node, may have ended it.
const NEAR_DEADLINE: Duration = Duration::from_millis(1_000);

/// Longest planned stop: what the nodes' settings allow, and a second for the process's end.
const STOP: Duration = Duration::from_secs(5);

/// What ends calls without a planned stop's fault.
const VIOLENCE: [Trouble; 2] = [Trouble::Killed, Trouble::Paused];

/// What ends an offer at a serving node without a planned stop's fault.
const EXCUSES: [Trouble; 5] =
    [Trouble::Killed, Trouble::Paused, Trouble::Nodes, Trouble::Upstream, Trouble::Gone];

const STOPS: [Trouble; 2] = [Trouble::Stopping, Trouble::Stopped];

/// Returns the promise that was broken by how a call ended, which was begun at `places`.
pub(crate) fn broken(call: &Ended, places: &[usize], site: &Site) -> Option<&'static str> {
    let history = &site.spots[call.node].history;
    match call.end {
        End::Refused => refused(call, history),
        End::Broken | End::Cut => cut(call, history, places),
        End::Unknown => lost(call, places, site),
        End::Answered | End::Failed | End::NotRun | End::Quarantined | End::Mixed => None,
    }
}

fn refused(call: &Ended, history: &History) -> Option<&'static str> {
    let (since, until) = (early(call), call.ended);
    let excused = history.had(&VIOLENCE, since, until) || history.had(&STOPS, since, until);
    (!excused).then_some("a node that runs takes connections")
}

/// Judges a call whose connection ended without a whole answer.
fn cut(call: &Ended, history: &History, places: &[usize]) -> Option<&'static str> {
    let (since, until) = (early(call), call.ended);
    if history.had(&VIOLENCE, since, until) {
        return None;
    }
    let Some(stop) = history.during(&STOPS, since, until).next() else {
        return Some("a node that runs answers every call");
    };
    let read = call.begun + READ < stop.from || !places.is_empty() || call.end == End::Cut;
    read.then_some("a planned stop cuts no call in flight")
}

/// Judges a call that ran at nodes and whose entry node never heard of the outcome.
fn lost(call: &Ended, places: &[usize], site: &Site) -> Option<&'static str> {
    let (since, until) = (early(call), call.ended);
    let had = |&place: &usize, troubles: &[Trouble]| {
        site.spots[place].history.had(troubles, since, until)
    };
    let excused = until - call.begun >= NEAR_DEADLINE
        || had(&call.node, &VIOLENCE)
        || places.iter().any(|place| had(place, &EXCUSES))
        || places.iter().any(|&place| site.spots[place].fell(since, until));
    let stopped = places.iter().any(|place| had(place, &STOPS));
    (stopped && !excused).then_some("a planned stop cuts no offer in hand")
}

/// Returns the planned stops that took too long, and the ends that nobody asked for.
pub(crate) fn late_stops(site: &Site) -> Vec<String> {
    let mut findings = Vec::new();
    for (number, spot) in site.spots.iter().enumerate() {
        for stop in spot.history.all(Trouble::Stopping) {
            // A soak that is held up itself notices the end late.
            let paused = spot.history.had(&[Trouble::Paused], stop.from, stop.seen);
            if stop.seen - stop.from > STOP && !paused {
                let ms = (stop.seen - stop.from).as_millis();
                findings
                    .push(format!("node {number} was still there {ms} ms after a planned stop"));
            }
        }
        let crashes = spot.history.all(Trouble::Crashed).count();
        if crashes > 0 {
            findings.push(format!("node {number} ended {crashes} times though nobody asked it to"));
        }
    }
    findings
}

/// Returns the moment from which on an end of the process may have ended the call.
fn early(call: &Ended) -> Instant {
    call.begun.checked_sub(STALE).unwrap_or(call.begun)
}
