//! Callers whose requests end the upstreams that run them, and the promise about those.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use standins::{
    caller::{Call, Caller},
    upstream::POISON_SUFFIX,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{task::JoinHandle, time::sleep};

use crate::soak::{
    cluster::Cluster,
    content::{HOST, READS},
    history::Condition,
    load::DEADLINE_MS,
};

/// Time from one request of a caller to the next.
const PAUSE: Duration = Duration::from_millis(250);

/// Time after which a caller brings another request.
const REQUEST_LIFETIME: Duration = Duration::from_secs(6);

/// Callers of each service. They send the same requests.
const CALLERS: usize = 2;

/// Ends after which the nodes may not doubt the cause.
const QUARANTINE_CRASHES: usize = 3;

/// Runs beyond these that are allowed in any case.
const MAX_LATE_RUNS: usize = 3;

/// Time for a node that nothing hinders to know what the others know.
const PROPAGATION: Duration = Duration::from_secs(3);

/// What keeps a node from knowing it.
const DISRUPTIONS: [Condition; 5] = [
    Condition::Killed,
    Condition::Paused,
    Condition::Stopping,
    Condition::Stopped,
    Condition::Crashed,
];

/// Starts callers that send poison requests to nodes drawn at random, and begin `after` a while.
pub(crate) fn start(
    cluster: &Cluster,
    after: Duration,
    seed: u64,
    running: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let nodes: Vec<SocketAddr> =
        cluster.instances.iter().map(|instance| instance.callers).collect();
    let callers = ["stock", "pay"].into_iter().flat_map(|service| [service; CALLERS]);
    let spawn = |(number, service): (usize, &'static str)| {
        let random = SmallRng::seed_from_u64(seed + number as u64);
        let caller = send_poison(service, nodes.clone(), random, running.clone());
        cluster.runtime.handle().spawn(async move {
            sleep(after).await;
            caller.await;
        })
    };
    callers.enumerate().map(spawn).collect()
}

async fn send_poison(
    service: &'static str,
    nodes: Vec<SocketAddr>,
    mut random: SmallRng,
    running: Arc<AtomicBool>,
) {
    let begun = Instant::now();
    while running.load(Ordering::SeqCst) {
        let number = begun.elapsed().as_secs() / REQUEST_LIFETIME.as_secs();
        let path = format!("/{service}/{READS}/{number}{POISON_SUFFIX}");
        let node = nodes[random.random_range(0..nodes.len())];
        let call = Call {
            host: Some(HOST.to_owned()),
            deadline_ms: Some(DEADLINE_MS),
            work: Some(path.clone()),
            ..Call::get(&path)
        };
        // It is never answered; what becomes of the upstreams is what counts.
        let _ = Caller::new(node).call(&call).await;
        sleep(PAUSE).await;
    }
}

/// Returns a finding for each request that went on to upstreams after the nodes had to know what it does.
///
/// The first routes that operators publish change the path under which a caller's request comes to upstreams;
/// from then on it is another one.
pub(crate) fn violations(cluster: &Cluster) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<(Instant, usize)>> = BTreeMap::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        for (at, request) in instance.poison_requests() {
            runs.entry(request).or_default().push((at, number));
        }
    }
    runs.iter_mut().filter_map(|(request, runs)| violation(cluster, request, runs)).collect()
}

fn violation(cluster: &Cluster, request: &str, runs: &mut [(Instant, usize)]) -> Option<String> {
    runs.sort();
    // Each run ends the upstream 20 ms later; the margin of the time below is much larger.
    let (recognized, _) = *runs.get(QUARANTINE_CRASHES - 1)?;
    let late = |(at, number): &&(Instant, usize)| {
        let since = at.checked_sub(PROPAGATION).unwrap_or(*at);
        since > recognized && !cluster.instances[*number].history.overlaps(&DISRUPTIONS, since, *at)
    };
    let late = runs.iter().filter(late).count();
    let all = runs.len();
    (late > MAX_LATE_RUNS).then(|| {
        format!("{request}: {all} upstreams ended, {late} of them long after the first {QUARANTINE_CRASHES}")
    })
}
