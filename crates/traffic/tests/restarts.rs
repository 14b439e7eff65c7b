//! Upstreams that restart under the same identity.

mod cluster;

use cluster::{Behaviour, Cluster, request, status};

/// Guards against running a call on a restarted upstream when only the entry node's view is stale.
#[test]
fn an_offer_to_a_previous_incarnation_is_not_run() {
    let cluster = Cluster::new(2, 4);
    cluster.show_incarnation(0, 1, 100);
    cluster.show_incarnation(1, 1, 200);
    cluster.upstreams[0].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "503");
    assert!(cluster.upstreams[1].received().is_empty());
    cluster.show_incarnation(0, 1, 200);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// Guards against refusing a call when the entry node learns of a restart before the serving node.
#[test]
fn an_offer_to_an_incarnation_unknown_to_the_serving_node_runs() {
    let cluster = Cluster::new(2, 4);
    cluster.show_incarnation(0, 1, 200);
    cluster.show_incarnation(1, 1, 100);
    cluster.upstreams[0].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// Guards against keeping a restarted upstream ejected for failures before its restart.
#[test]
fn failures_of_a_previous_incarnation_are_forgotten() {
    let cluster = Cluster::new(1, 4);
    cluster.show_incarnation(0, 0, 100);
    cluster.upstreams[0].set(Behaviour::WrongId);
    for _ in 0..4 {
        cluster.exchange(0, &request("POST", "/post/a", "", "{}"));
    }
    let reason = |cluster: &Cluster| cluster.proxies[0].explain("paydesk")[0].reason.clone();
    assert!(reason(&cluster).contains("not chosen"), "{}", reason(&cluster));
    cluster.show_incarnation(0, 0, 200);
    assert!(!reason(&cluster).contains("not chosen"), "{}", reason(&cluster));
}
