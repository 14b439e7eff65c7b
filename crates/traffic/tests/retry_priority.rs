//! Which calls get the retries that are left while more are wanted than the budget of the fleet allows.

mod cluster;

use cluster::{Behaviour, Cluster, request, status};
use fleet::timeline::Kind;
use policy::{budget, overload};
use std::{thread, time::Duration};
use traffic::Tuning;

/// How long the parent runs; shorter than the timeout of its route.
const RUN_TIME: Duration = Duration::from_millis(1_300);

/// Four half-lives of the number of calls per second.
const QUIET_TIME: Duration = Duration::from_secs(4);

/// A tenth of a retry comes with each call. The window is long, so that what is reserved exceeds what is
/// left for many half-lives of the demand.
const BUDGET: budget::Settings = budget::Settings {
    window: Duration::from_secs(600),
    ratio: 0.2,
    slack: 0.0,
    usable_share: 1.0,
};

fn post(id: &str) -> String {
    request("POST", "/post/a", "", "{}").replace("x-id: r1", &format!("x-id: {id}"))
}

fn send(cluster: &Cluster, node: usize, id: &str, expect: &str) {
    assert_eq!(status(&cluster.exchange(node, &post(id))), expect, "{id}");
}

fn set(cluster: &Cluster, behaviour: Behaviour) {
    cluster.upstreams.iter().for_each(|upstream| upstream.set(behaviour));
}

fn arrivals(cluster: &Cluster, id: &str) -> usize {
    let received = cluster.received();
    received.iter().filter(|seen| seen.header("x-id") == Some(id)).count()
}

/// Returns how often two refused nested calls of one run reach an upstream, and how many retries node 1 has
/// denied in favour of others, while calls from callers want more retries than there are.
fn refused_siblings(overload: overload::Settings) -> ([usize; 2], u64) {
    let cluster = Cluster::new(2, 4);
    cluster.proxies[1].set_tuning(Tuning { budget: Some(BUDGET), overload, ..Tuning::default() });
    (0..100).for_each(|n| send(&cluster, 1, &format!("earlier{n}"), "200"));
    // The budget gains less per second from here on than is wanted.
    thread::sleep(QUIET_TIME);
    set(&cluster, Behaviour::Refuse);
    // A single call: three failures in a row would eject an upstream.
    send(&cluster, 1, "refused", "503");
    set(&cluster, Behaviour::Answer);
    cluster.upstreams[1].set(Behaviour::Slowly(RUN_TIME));
    let is_at_1 = |id: &str| {
        let received = cluster.upstreams[1].received();
        received.iter().any(|seen| seen.header("x-id") == Some(id))
    };
    let reached = (0..100).map(|n| format!("p{n}")).find_map(|id| {
        thread::scope(|scope| {
            scope.spawn(|| send(&cluster, 0, &id, "200"));
            cluster.wait(|| arrivals(&cluster, &id) == 1);
            is_at_1(&id).then(|| {
                set(&cluster, Behaviour::Refuse);
                ["1", "2"].map(|suffix| {
                    let nested = format!("{id}.{suffix}");
                    send(&cluster, 1, &nested, "503");
                    arrivals(&cluster, &nested)
                })
            })
        })
    });
    let reserved = cluster.proxies[1].collect_events().into_iter().map(|event| match event {
        Kind::RetryBudget { how, count, .. } if how == "reserved" => count,
        _ => 0,
    });
    (reached.expect("a call runs on the upstream of node 1"), reserved.sum())
}

/// Guards against retries for a parent that needs several, taken from calls that one retry completes.
#[test]
fn a_retry_with_a_refused_sibling_is_left_to_more_useful_ones() {
    let on = overload::Settings { retry_priority: true, ..overload::Settings::default() };
    assert_eq!(refused_siblings(on), ([2, 1], 1));
}

/// Guards against decisions that change for deployments which do not switch the mechanism on.
#[test]
fn with_the_switch_off_retries_are_granted_as_they_come() {
    assert_eq!(refused_siblings(overload::Settings::default()), ([2, 2], 0));
}
