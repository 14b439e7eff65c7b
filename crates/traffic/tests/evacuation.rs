//! Zone evacuation, as calls see it.

mod scene;

use fleet::member::State;
use scene::{Act, Scene, header, request, status};

fn evacuate(scene: &Scene, viewer: usize, number: usize) {
    scene.show(viewer, number, |upstream| upstream.state = State::Evacuated);
}

fn take_back(scene: &Scene, viewer: usize, number: usize) {
    scene.show(viewer, number, |upstream| upstream.state = State::Live);
}

/// Guards against calls that reach an evacuated upstream since their sender has not heard of the order.
#[test]
fn the_node_beside_an_evacuated_upstream_runs_nothing() {
    let scene = Scene::new(2, 4);
    evacuate(&scene, 1, 1);
    scene.upstreams[0].set(Act::Refuse);
    assert_eq!(status(&scene.exchange(0, &request("POST", "/post/a", "", "{}"))), "503");
    assert!(scene.upstreams[1].seen().is_empty());
    scene.upstreams[0].set(Act::Answer);
    assert_eq!(status(&scene.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// Guards against a call of the evacuated data centre itself that goes to the upstream beside its node.
#[test]
fn a_node_sends_its_own_callers_elsewhere() {
    let scene = Scene::new(2, 4);
    evacuate(&scene, 0, 0);
    for _ in 0..8 {
        assert_eq!(status(&scene.exchange(0, &request("GET", "/read/a", "", ""))), "200");
    }
    assert!(scene.upstreams[0].seen().is_empty());
    take_back(&scene, 0, 0);
    scene.upstreams[1].set(Act::Refuse);
    assert_eq!(status(&scene.exchange(0, &request("GET", "/read/a", "", ""))), "200");
}

/// Guards against callers who wait although no upstream is left: they are refused at once and told when to return.
#[test]
fn with_every_data_centre_evacuated_calls_are_refused_at_once() {
    let scene = Scene::new(2, 4);
    evacuate(&scene, 0, 0);
    evacuate(&scene, 0, 1);
    let answer = scene.exchange(0, &request("POST", "/post/a", "", "{}"));
    assert_eq!(status(&answer), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("evacuated"));
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert!(scene.seen().is_empty());
}
