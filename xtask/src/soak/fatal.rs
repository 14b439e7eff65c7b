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
    content::{HOST, READS},
    history::Trouble,
    load::DEADLINE_MS,
    site::Site,
};

/// Time from one request of a caller to the next.
const PAUSE: Duration = Duration::from_millis(250);

/// Time after which a caller brings another request.
const CHANGE: Duration = Duration::from_secs(6);

/// Callers of each service. They bring the same requests.
const CALLERS: usize = 2;

/// Ends after which the nodes may not doubt the cause.
const PROOF: usize = 3;

/// Runs beyond these that are allowed in any case.
const REPEATS: usize = 3;

/// Time for a node that nothing hinders to know what the others know.
const KNOWN: Duration = Duration::from_secs(3);

/// What keeps a node from knowing it.
const HINDRANCES: [Trouble; 5] =
    [Trouble::Killed, Trouble::Paused, Trouble::Stopping, Trouble::Stopped, Trouble::Crashed];

/// Starts callers that bring their requests to nodes drawn at random, and begin `after` a while.
pub(crate) fn start(
    site: &Site,
    after: Duration,
    seed: u64,
    going: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let nodes: Vec<SocketAddr> = site.spots.iter().map(|spot| spot.callers).collect();
    let callers = ["stock", "pay"].into_iter().flat_map(|service| [service; CALLERS]);
    let bring = |(number, service): (usize, &'static str)| {
        let random = SmallRng::seed_from_u64(seed + number as u64);
        let caller = bring(service, nodes.clone(), random, going.clone());
        site.runtime.handle().spawn(async move {
            sleep(after).await;
            caller.await;
        })
    };
    callers.enumerate().map(bring).collect()
}

async fn bring(
    service: &'static str,
    nodes: Vec<SocketAddr>,
    mut random: SmallRng,
    going: Arc<AtomicBool>,
) {
    let begun = Instant::now();
    while going.load(Ordering::SeqCst) {
        let number = begun.elapsed().as_secs() / CHANGE.as_secs();
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
pub(crate) fn findings(site: &Site) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<(Instant, usize)>> = BTreeMap::new();
    for (number, spot) in site.spots.iter().enumerate() {
        for (at, request) in spot.fatal() {
            runs.entry(request).or_default().push((at, number));
        }
    }
    runs.iter_mut().filter_map(|(request, runs)| finding(site, request, runs)).collect()
}

fn finding(site: &Site, request: &str, runs: &mut [(Instant, usize)]) -> Option<String> {
    runs.sort();
    // Each run ends the upstream 20 ms later; the margin of the time below is much larger.
    let (proved, _) = *runs.get(PROOF - 1)?;
    let late = |(at, number): &&(Instant, usize)| {
        let since = at.checked_sub(KNOWN).unwrap_or(*at);
        since > proved && !site.spots[*number].history.had(&HINDRANCES, since, *at)
    };
    let late = runs.iter().filter(late).count();
    let all = runs.len();
    (late > REPEATS).then(|| {
        format!("{request}: {all} upstreams ended, {late} of them long after the first {PROOF}")
    })
}
