//! Checks that neither a running node nor a planned stop interrupts calls in flight.

use std::time::{Duration, Instant};

use crate::soak::{
    cluster::Cluster,
    history::{Condition, History},
    observations::{Outcome, Record},
};

/// Minimum age of a request at the start of a planned stop for the node to have read all of it; a
/// stopping node reads for another 300 ms.
const READ_TIME: Duration = Duration::from_millis(100);

/// Time for which a caller may still use a connection to a process that has exited.
const STALE_CONNECTION: Duration = Duration::from_millis(250);

/// Calls of at least this duration may have ended at their deadline.
const NEAR_DEADLINE: Duration = Duration::from_millis(1_000);

/// Time limit of a planned stop: the nodes' limit of 4 s and one second for the exit of the process.
const MAX_STOP: Duration = Duration::from_secs(5);

/// Conditions that may interrupt any call.
const ABRUPT: [Condition; 2] = [Condition::Killed, Condition::Paused];

/// Conditions that may interrupt a forwarded call at its serving node, besides a planned stop.
const SERVING_DISRUPTIONS: [Condition; 5] =
    [Condition::Killed, Condition::Paused, Condition::Nodes, Condition::Upstream, Condition::Gone];

const STOPS: [Condition; 2] = [Condition::Stopping, Condition::Stopped];

/// Returns the invariant that the outcome of a call violates; the call ran at the instances `ran_at`.
pub(crate) fn violation(
    call: &Record,
    ran_at: &[usize],
    cluster: &Cluster,
) -> Option<&'static str> {
    let history = &cluster.instances[call.node].history;
    match call.outcome {
        Outcome::Refused => check_refused(call, history),
        Outcome::Broken | Outcome::Cut => check_interrupted(call, history, ran_at),
        Outcome::Unknown => check_unknown(call, ran_at, cluster),
        Outcome::Answered
        | Outcome::Failed
        | Outcome::NotRun
        | Outcome::Quarantined
        | Outcome::Mixed => None,
    }
}

fn check_refused(call: &Record, history: &History) -> Option<&'static str> {
    let (since, until) = (earliest_cause(call), call.finished);
    let excused = history.overlaps(&ABRUPT, since, until) || history.overlaps(&STOPS, since, until);
    (!excused).then_some("a running node accepts connections")
}

/// Checks a call whose connection closed before its answer was complete.
fn check_interrupted(call: &Record, history: &History, ran_at: &[usize]) -> Option<&'static str> {
    let (since, until) = (earliest_cause(call), call.finished);
    if history.overlaps(&ABRUPT, since, until) {
        return None;
    }
    let Some(stop) = history.during(&STOPS, since, until).next() else {
        return Some("a running node answers every call");
    };
    let was_read =
        call.started + READ_TIME < stop.from || !ran_at.is_empty() || call.outcome == Outcome::Cut;
    was_read.then_some("a planned stop interrupts no call in flight")
}

/// Checks a call that ended with an unknown outcome and ran at the instances `ran_at`.
fn check_unknown(call: &Record, ran_at: &[usize], cluster: &Cluster) -> Option<&'static str> {
    let (since, until) = (earliest_cause(call), call.finished);
    let overlapped = |&number: &usize, conditions: &[Condition]| {
        cluster.instances[number].history.overlaps(conditions, since, until)
    };
    let excused = until - call.started >= NEAR_DEADLINE
        || overlapped(&call.node, &ABRUPT)
        || ran_at.iter().any(|number| overlapped(number, &SERVING_DISRUPTIONS))
        || ran_at.iter().any(|&number| cluster.instances[number].crashed_between(since, until));
    let stopped = ran_at.iter().any(|number| overlapped(number, &STOPS));
    (stopped && !excused).then_some("a planned stop interrupts no forwarded call in flight")
}

/// Returns the planned stops that exceeded [`MAX_STOP`], and the unexpected exits of nodes.
pub(crate) fn late_stops(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        for stop in instance.history.all(Condition::Stopping) {
            // `until` may be late if this process was delayed; `confirmed` is not.
            let paused = instance.history.overlaps(&[Condition::Paused], stop.from, stop.confirmed);
            if stop.confirmed - stop.from > MAX_STOP && !paused {
                let ms = (stop.confirmed - stop.from).as_millis();
                violations.push(format!(
                    "node {number} was still running {ms} ms after a planned stop began"
                ));
            }
        }
        let crashes = instance.history.all(Condition::Crashed).count();
        if crashes > 0 {
            violations.push(format!("node {number} exited unexpectedly {crashes} times"));
        }
    }
    violations
}

/// Returns the earliest time at which the exit of a process may interrupt the call.
fn earliest_cause(call: &Record) -> Instant {
    call.started.checked_sub(STALE_CONNECTION).unwrap_or(call.started)
}
