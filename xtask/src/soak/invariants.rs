//! The promises, as callers, upstreams and operators see them.

use rand::{RngExt, rngs::SmallRng};
use std::{
    collections::HashMap,
    io,
    time::{Duration, Instant},
};

use crate::soak::{
    cluster::Cluster,
    history::Condition,
    interruption, leaving,
    observations::{Kind, Observations, Outcome, Record},
    poison,
};

/// Most nodes that are now for their state in one look, so that a look at many takes no longer.
const MAX_NODES_PER_CHECK: usize = 20;

/// Time for a version to be in force at a node that nothing hinders.
const IN_FORCE: Duration = Duration::from_secs(4);

/// What may keep a version from a node. An upstream's condition does not.
const DISRUPTIONS: [Condition; 7] = [
    Condition::Killed,
    Condition::Paused,
    Condition::Stopping,
    Condition::Stopped,
    Condition::Crashed,
    Condition::Nodes,
    Condition::Platform,
];

/// Looks at nodes that nothing hinders: in one life the version may only rise, and it is the newest.
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
        // One that is paused would keep the question waiting.
        return;
    }
    let Some(status) = instance.status() else { return };
    let revision = status.version.revision;
    let previous = observations.observe_revision(number, status.incarnation, revision);
    if revision < previous {
        observations
            .record_violation(format!("node {number} went back from {previous} to {revision}"));
    }
    let Some(since) = now.checked_sub(IN_FORCE) else { return };
    let disrupted = instance.history.overlaps(&DISRUPTIONS, since, now)
        || cluster.history.overlaps(&[Condition::Outage], since, now);
    let due = cluster.content.newest_at(since);
    if !disrupted && revision < due {
        let ms = IN_FORCE.as_millis();
        observations.record_violation(format!(
            "node {number} holds {revision}, not {due}, after {ms} ms of calm"
        ));
    }
}

/// Returns every broken violation.
pub(crate) fn violations(cluster: &Cluster, observations: &Observations) -> Vec<String> {
    let runs_by_work: Vec<HashMap<String, u32>> =
        cluster.instances.iter().map(|instance| instance.runs_by_work()).collect();
    let mut violations = observations.violations();
    for call in observations.calls() {
        let places: Vec<usize> = (0..runs_by_work.len())
            .filter(|&number| runs_by_work[number].contains_key(&call.work))
            .collect();
        let ran = places.iter().map(|&number| runs_by_work[number][&call.work]).sum();
        let violation = outcome_violation(call.kind, call.outcome, ran)
            .or_else(|| interruption::violation(&call, &places, cluster));
        violations.extend(violation.map(|violation| report(&call, ran, &places, violation)));
    }
    violations.extend(interruption::late_stops(cluster));
    violations.extend(leaving::violations(cluster));
    violations.extend(poison::violations(cluster));
    violations
}

fn report(call: &Record, ran: u32, places: &[usize], violation: &str) -> String {
    let Record { node, work, kind, outcome, .. } = call;
    let ms = (call.finished - call.started).as_millis();
    format!(
        "{work}: {violation}; {kind:?} at node {node} ended as {outcome:?} after {ms} ms and ran {ran} times, at {places:?}"
    )
}

fn outcome_violation(kind: Kind, outcome: Outcome, ran: u32) -> Option<&'static str> {
    match (kind, outcome) {
        (Kind::Post, _) if ran > 1 => Some("a call that is not idempotent runs at most once"),
        (_, Outcome::Quarantined) if ran == 0 => {
            Some("a call that ends no upstream is not taken for one that does")
        }
        (_, Outcome::NotRun | Outcome::Quarantined) if ran > 0 => {
            Some("a call that is said not to have run has not run")
        }
        (_, Outcome::Answered) if ran == 0 => Some("an answer is an upstream's"),
        (_, Outcome::Mixed) => Some("an answer is whole and belongs to its call"),
        _ => None,
    }
}
