//! Checks that an upstream gets no new calls once it is leaving or its data centre is evacuated.

use std::time::{Duration, Instant};

use crate::soak::{
    cluster::Cluster,
    history::{Condition, Span},
    instance::Instance,
};

/// Time after the platform's acknowledgement in which an upstream may still get new calls.
const GRACE: Duration = Duration::from_secs(2);

/// Time for which a node may be outdated after its pause or an outage of the platform.
const PROPAGATION: Duration = Duration::from_secs(3);

/// Returns a violation for each call that an upstream got too late.
pub(crate) fn violations(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        let starts = instance.starts();
        let leaving = instance.history.all(Condition::Leaving);
        for leave in leaving.chain(instance.history.all(Condition::Evacuated)) {
            let late = starts.iter().filter(|(at, _)| is_late(*at, leave, instance, cluster));
            violations.extend(late.map(|(at, work)| {
                let ms = (*at - leave.from).as_millis();
                let condition = leave.condition;
                format!("{work}: an upstream gets no new calls once it is {condition:?}; the call started at instance {number} after {ms} ms")
            }));
        }
    }
    violations
}

/// Tells whether a call came too late without an excuse.
///
/// Only the state of the upstream's own node matters, since it refuses the calls of other nodes. It learns
/// of the removal by gossip even if it cannot reach the platform.
fn is_late(at: Instant, leave: Span, instance: &Instance, cluster: &Cluster) -> bool {
    if at <= leave.from + GRACE || leave.until.is_some_and(|until| at >= until) {
        return false;
    }
    let Some(since) = at.checked_sub(PROPAGATION) else { return true };
    let may_be_outdated = instance.history.overlaps(&[Condition::Paused], since, at)
        || cluster.history.overlaps(&[Condition::Outage, Condition::Restored], since, at);
    !may_be_outdated
}
