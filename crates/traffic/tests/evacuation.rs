//! Calls to upstreams in evacuated data centres.

mod cluster;

use cluster::{Behaviour, Cluster, header, request, status};
use fleet::member::State;

fn evacuate(cluster: &Cluster, viewer: usize, number: usize) {
    cluster.show(viewer, number, |upstream| upstream.state = State::Evacuated);
}

fn readmit(cluster: &Cluster, viewer: usize, number: usize) {
    cluster.show(viewer, number, |upstream| upstream.state = State::Live);
}

/// Guards against running calls of an entry node that has not received the evacuation order.
#[test]
fn the_serving_node_refuses_offers_to_its_evacuated_upstream() {
    let cluster = Cluster::new(2, 4);
    evacuate(&cluster, 1, 1);
    cluster.upstreams[0].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "503");
    assert!(cluster.upstreams[1].received().is_empty());
    cluster.upstreams[0].set(Behaviour::Answer);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// Guards against sending callers of an evacuated data centre to its own upstream.
#[test]
fn callers_in_an_evacuated_data_centre_are_sent_to_another() {
    let cluster = Cluster::new(2, 4);
    evacuate(&cluster, 0, 0);
    for _ in 0..8 {
        assert_eq!(status(&cluster.exchange(0, &request("GET", "/read/a", "", ""))), "200");
    }
    assert!(cluster.upstreams[0].received().is_empty());
    readmit(&cluster, 0, 0);
    cluster.upstreams[1].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("GET", "/read/a", "", ""))), "200");
}

/// Guards against callers that wait while no upstream is left, or are refused without a retry time.
#[test]
fn with_every_data_centre_evacuated_calls_are_refused_at_once() {
    let cluster = Cluster::new(2, 4);
    evacuate(&cluster, 0, 0);
    evacuate(&cluster, 0, 1);
    let answer = cluster.exchange(0, &request("POST", "/post/a", "", "{}"));
    assert_eq!(status(&answer), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("evacuated"));
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert!(cluster.received().is_empty());
}
