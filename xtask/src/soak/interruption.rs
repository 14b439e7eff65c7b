//! The promise that nothing in flight is cut, neither by a node that runs nor by a planned stop.

use std::time::{Duration, Instant};

use crate::soak::{
    cluster::Cluster,
    history::{Condition, History},
    observations::{Outcome, Record},
};

/// Age of a request at the planned stop from which on it counts as wholly read: it was written at
/// once, 400 bytes on loopback, and a stopping node reads for another 300 ms.
const READ_TIME: Duration = Duration::from_millis(100);

/// Time after a process's end in which a caller may still use a connection to it.
const STALE_CONNECTION: Duration = Duration::from_millis(250);

/// Time of a call after which its deadline, rather than a node, may have ended it.
const NEAR_DEADLINE: Duration = Duration::from_millis(1_000);

/// Longest planned stop: what the nodes' settings allow, and a second for the process's end.
const MAX_STOP: Duration = Duration::from_secs(5);

/// What ends calls without a planned stop's fault.
const ABRUPT: [Condition; 2] = [Condition::Killed, Condition::Paused];

/// What ends an offer at a serving node without a planned stop's fault.
const SERVING_DISRUPTIONS: [Condition; 5] =
    [Condition::Killed, Condition::Paused, Condition::Nodes, Condition::Upstream, Condition::Gone];

const STOPS: [Condition; 2] = [Condition::Stopping, Condition::Stopped];

/// Returns the promise that was broken by how a call ended, which was begun at `places`.
pub(crate) fn violation(
    call: &Record,
    places: &[usize],
    cluster: &Cluster,
) -> Option<&'static str> {
    let history = &cluster.instances[call.node].history;
    match call.outcome {
        Outcome::Refused => refused(call, history),
        Outcome::Broken | Outcome::Cut => interrupted(call, history, places),
        Outcome::Unknown => lost(call, places, cluster),
        Outcome::Answered
        | Outcome::Failed
        | Outcome::NotRun
        | Outcome::Quarantined
        | Outcome::Mixed => None,
    }
}

fn refused(call: &Record, history: &History) -> Option<&'static str> {
    let (since, until) = (earliest_cause(call), call.finished);
    let excused = history.overlaps(&ABRUPT, since, until) || history.overlaps(&STOPS, since, until);
    (!excused).then_some("a node that runs takes connections")
}

/// Judges a call whose connection ended without a whole answer.
fn interrupted(call: &Record, history: &History, places: &[usize]) -> Option<&'static str> {
    let (since, until) = (earliest_cause(call), call.finished);
    if history.overlaps(&ABRUPT, since, until) {
        return None;
    }
    let Some(stop) = history.during(&STOPS, since, until).next() else {
        return Some("a node that runs answers every call");
    };
    let read =
        call.started + READ_TIME < stop.from || !places.is_empty() || call.outcome == Outcome::Cut;
    read.then_some("a planned stop cuts no call in flight")
}

/// Judges a call that ran at nodes and whose entry node never heard of the outcome.
fn lost(call: &Record, places: &[usize], cluster: &Cluster) -> Option<&'static str> {
    let (since, until) = (earliest_cause(call), call.finished);
    let had = |&place: &usize, conditions: &[Condition]| {
        cluster.instances[place].history.overlaps(conditions, since, until)
    };
    let excused = until - call.started >= NEAR_DEADLINE
        || had(&call.node, &ABRUPT)
        || places.iter().any(|place| had(place, &SERVING_DISRUPTIONS))
        || places.iter().any(|&place| cluster.instances[place].crashed_between(since, until));
    let stopped = places.iter().any(|place| had(place, &STOPS));
    (stopped && !excused).then_some("a planned stop cuts no offer in hand")
}

/// Returns the planned stops that took too long, and the ends that nobody asked for.
pub(crate) fn late_stops(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        for stop in instance.history.all(Condition::Stopping) {
            // A soak that is held up itself notices the end late.
            let paused = instance.history.overlaps(&[Condition::Paused], stop.from, stop.confirmed);
            if stop.confirmed - stop.from > MAX_STOP && !paused {
                let ms = (stop.confirmed - stop.from).as_millis();
                violations
                    .push(format!("node {number} was still there {ms} ms after a planned stop"));
            }
        }
        let crashes = instance.history.all(Condition::Crashed).count();
        if crashes > 0 {
            violations
                .push(format!("node {number} ended {crashes} times though nobody asked it to"));
        }
    }
    violations
}

/// Returns the moment from which on an end of the process may have ended the call.
fn earliest_cause(call: &Record) -> Instant {
    call.started.checked_sub(STALE_CONNECTION).unwrap_or(call.started)
}
