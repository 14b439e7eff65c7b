//! Invariants of calls and versions, checked during and after a run.

use rand::{RngExt, rngs::SmallRng};
use std::{
    collections::HashMap,
    io,
    time::{Duration, Instant},
};

use crate::soak::{
    cluster::Cluster,
    demands,
    history::Condition,
    interruption, leaving,
    observations::{Kind, Observations, Outcome, Record},
    poison, warm_ups,
};

/// Limit of the nodes queried in one check, which bounds its time in large fleets.
const MAX_NODES_PER_CHECK: usize = 20;

/// Time limit for a version to come into force at an undisturbed node.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Conditions that may delay a version at a node.
const DISRUPTIONS: [Condition; 7] = [
    Condition::Killed,
    Condition::Paused,
    Condition::Stopping,
    Condition::Stopped,
    Condition::Crashed,
    Condition::Nodes,
    Condition::Platform,
];

/// Checks that the revision of a node never decreases within an incarnation, and that an undisturbed
/// node has the newest one in time.
pub(crate) fn check_nodes(
    cluster: &mut Cluster,
    observations: &Observations,
    random: &mut SmallRng,
) -> io::Result<()> {
    for instance in &mut cluster.instances {
        instance.poll_process()?;
    }
    let count = cluster.instances.len();
    let first = random.random_range(0..count);
    for number in (first..first + count.min(MAX_NODES_PER_CHECK)).map(|number| number % count) {
        check_node(cluster, number, observations);
    }
    Ok(())
}

fn check_node(cluster: &Cluster, number: usize, observations: &Observations) {
    let (instance, now) = (&cluster.instances[number], Instant::now());
    if instance.history.overlaps(&DISRUPTIONS, now, now) {
        // A paused node would block the request.
        return;
    }
    let Some(status) = instance.status() else { return };
    let revision = status.version.revision;
    let previous = observations.observe_revision(number, status.incarnation, revision);
    if revision < previous {
        observations.record_violation(format!(
            "node {number} went back from revision {previous} to {revision}"
        ));
    }
    let Some(since) = now.checked_sub(IN_FORCE) else { return };
    let disrupted = instance.history.overlaps(&DISRUPTIONS, since, now)
        || cluster.history.overlaps(&[Condition::Outage, Condition::Restored], since, now);
    let due = cluster.content.newest_at(since);
    if !disrupted && revision < due {
        let ms = IN_FORCE.as_millis();
        observations.record_violation(format!(
            "node {number} has revision {revision} instead of {due} after {ms} ms without a disruption"
        ));
    }
}

/// Returns all violations.
pub(crate) fn violations(cluster: &Cluster, observations: &Observations) -> Vec<String> {
    let runs_by_work: Vec<HashMap<String, u32>> =
        cluster.instances.iter().map(|instance| instance.runs_by_work()).collect();
    let mut violations = observations.violations();
    for call in observations.calls() {
        let ran_at: Vec<usize> = (0..runs_by_work.len())
            .filter(|&number| runs_by_work[number].contains_key(&call.work))
            .collect();
        let ran = ran_at.iter().map(|&number| runs_by_work[number][&call.work]).sum();
        let violation = check_outcome(call.kind, call.outcome, ran)
            .or_else(|| interruption::violation(&call, &ran_at, cluster));
        violations.extend(violation.map(|violation| describe(&call, ran, &ran_at, violation)));
    }
    violations.extend(interruption::late_stops(cluster));
    violations.extend(leaving::violations(cluster));
    violations.extend(demands::violations(cluster));
    violations.extend(poison::violations(cluster));
    violations.extend(warm_ups::violations(cluster));
    violations
}

fn describe(call: &Record, ran: u32, ran_at: &[usize], violation: &str) -> String {
    let Record { node, work, kind, outcome, .. } = call;
    let ms = (call.finished - call.started).as_millis();
    format!(
        "{work}: {violation}; {kind:?} at node {node} ended as {outcome:?} after {ms} ms and ran {ran} times, at {ran_at:?}"
    )
}

fn check_outcome(kind: Kind, outcome: Outcome, ran: u32) -> Option<&'static str> {
    match (kind, outcome) {
        (Kind::Post, _) if ran > 1 => Some("a call that is not idempotent runs at most once"),
        (_, Outcome::Quarantined) if ran == 0 => {
            Some("a call that crashes no upstream is not quarantined")
        }
        (_, Outcome::NotRun | Outcome::Quarantined) if ran > 0 => {
            Some("a call that is reported as not run has not run")
        }
        (_, Outcome::Answered) if ran == 0 => Some("every answer comes from an upstream"),
        (_, Outcome::Mixed) => Some("an answer is complete and belongs to its call"),
        _ => None,
    }
}
