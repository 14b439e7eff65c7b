//! Zone evacuation, as calls see it.

mod cluster;

use cluster::{Behaviour, Cluster, header, request, status};
use fleet::member::State;

fn evacuate(cluster: &Cluster, viewer: usize, number: usize) {
    cluster.show(viewer, number, |upstream| upstream.state = State::Evacuated);
}

fn take_back(cluster: &Cluster, viewer: usize, number: usize) {
    cluster.show(viewer, number, |upstream| upstream.state = State::Live);
}

/// Guards against calls that reach an evacuated upstream since their sender has not heard of the order.
#[test]
fn the_node_beside_an_evacuated_upstream_runs_nothing() {
    let cluster = Cluster::new(2, 4);
    evacuate(&cluster, 1, 1);
    cluster.upstreams[0].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "503");
    assert!(cluster.upstreams[1].received().is_empty());
    cluster.upstreams[0].set(Behaviour::Answer);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// Guards against a call of the evacuated data centre itself that goes to the upstream beside its node.
#[test]
fn a_node_sends_its_own_callers_elsewhere() {
    let cluster = Cluster::new(2, 4);
    evacuate(&cluster, 0, 0);
    for _ in 0..8 {
        assert_eq!(status(&cluster.exchange(0, &request("GET", "/read/a", "", ""))), "200");
    }
    assert!(cluster.upstreams[0].received().is_empty());
    take_back(&cluster, 0, 0);
    cluster.upstreams[1].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("GET", "/read/a", "", ""))), "200");
}

/// Guards against callers who wait although no upstream is left: they are refused at once and told when to return.
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
