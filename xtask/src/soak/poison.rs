//! Callers that send poison requests, and the check that the nodes quarantine these.

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

/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a caller switches to a new poison request.
const REQUEST_LIFETIME: Duration = Duration::from_secs(6);

/// Callers of each service; all send the same requests.
const CALLERS: usize = 2;

/// Crashes after which the nodes must quarantine the request.
const QUARANTINE_CRASHES: usize = 3;

/// Limit of the runs of a request after its quarantine is due.
const MAX_LATE_RUNS: usize = 3;

/// Time limit for crash reports to reach an undisturbed node.
const PROPAGATION: Duration = Duration::from_secs(3);

/// Conditions that may delay crash reports to a node.
const DISRUPTIONS: [Condition; 5] = [
    Condition::Killed,
    Condition::Paused,
    Condition::Stopping,
    Condition::Stopped,
    Condition::Crashed,
];

/// Starts callers that send poison requests to random nodes after `delay`.
pub(crate) fn start(
    cluster: &Cluster,
    delay: Duration,
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
            sleep(delay).await;
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
    let started = Instant::now();
    while running.load(Ordering::SeqCst) {
        let number = started.elapsed().as_secs() / REQUEST_LIFETIME.as_secs();
        let path = format!("/{service}/{READS}/{number}{POISON_SUFFIX}");
        let node = nodes[random.random_range(0..nodes.len())];
        let call = Call {
            host: Some(HOST.to_owned()),
            deadline_ms: Some(DEADLINE_MS),
            work: Some(path.clone()),
            ..Call::get(&path)
        };
        // Poison requests get no answer; the ledgers of the upstreams are checked.
        let _ = Caller::new(node).call(&call).await;
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Returns a violation for each request that still reached upstreams after its quarantine was due.
///
/// The first growth changes the path under which a request reaches upstreams, which makes it a different
/// request.
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
    // Each run crashes the upstream after 20 ms, which is far below [`PROPAGATION`].
    let (due_from, _) = *runs.get(QUARANTINE_CRASHES - 1)?;
    let late = |(at, number): &&(Instant, usize)| {
        let since = at.checked_sub(PROPAGATION).unwrap_or(*at);
        since > due_from && !cluster.instances[*number].history.overlaps(&DISRUPTIONS, since, *at)
    };
    let late = runs.iter().filter(late).count();
    let all = runs.len();
    (late > MAX_LATE_RUNS).then(|| {
        format!("{request}: {all} upstreams crashed, {late} of them after the quarantine was due by the first {QUARANTINE_CRASHES} crashes")
    })
}
