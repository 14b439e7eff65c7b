//! The promise to an upstream that leaves, or whose data centre is evacuated: nothing new from a while after that
//! was acknowledged on.

use std::time::{Duration, Instant};

use crate::soak::{
    cluster::Cluster,
    history::{Condition, Span},
    instance::Instance,
};

/// Time after the platform's acknowledgement in which an upstream may still get something new.
const GRACE: Duration = Duration::from_secs(2);

/// How long after a node's pause or an outage of the platform word of it may still be on the way.
const PROPAGATION: Duration = Duration::from_secs(3);

/// Returns every piece of work that an upstream got too late.
pub(crate) fn violations(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        let starts = instance.starts();
        let leaving = instance.history.all(Condition::Leaving);
        for leave in leaving.chain(instance.history.all(Condition::Evacuated)) {
            let late = starts.iter().filter(|(at, _)| is_late(*at, leave, instance, cluster));
            violations.extend(late.map(|(at, work)| {
                let ms = (*at - leave.from).as_millis();
                let why = leave.condition;
                format!("{work}: an upstream gets nothing new once it is {why:?}; it began at {number} after {ms} ms")
            }));
        }
    }
    violations
}

/// Tells whether a piece of work came too late, for no reason that excuses it.
///
/// The node beside the upstream refuses whatever others offer, so it alone must know; and while it
/// reaches other nodes, which no fault here prevents, the platform's silence to it alone is no excuse.
fn is_late(at: Instant, leave: Span, instance: &Instance, cluster: &Cluster) -> bool {
    if at <= leave.from + GRACE || leave.until.is_some_and(|until| at >= until) {
        return false;
    }
    let Some(since) = at.checked_sub(PROPAGATION) else { return true };
    let may_be_outdated = instance.history.overlaps(&[Condition::Paused], since, at)
        || cluster.history.overlaps(&[Condition::Outage], since, at);
    !may_be_outdated
}
