//! Upstreams that start again under the identity that they had.

mod scene;

use scene::{Act, Scene, request, status};

/// A lookup reaches an upstream that knows nothing of it: the address and the name were those of a
/// life that had ended, the process behind them was already of another service. The node beside it
/// knew that, and the sender did not.
#[test]
fn an_offer_that_means_a_former_life_is_not_run() {
    let scene = Scene::new(2, 4);
    scene.show_life(0, 1, 100);
    scene.show_life(1, 1, 200);
    scene.upstreams[0].set(Act::Refuse);
    assert_eq!(status(&scene.exchange(0, &request("POST", "/post/a", "", "{}"))), "503");
    assert!(scene.upstreams[1].seen().is_empty());
    scene.show_life(0, 1, 200);
    assert_eq!(status(&scene.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// The sender hears of the new life first: the upstream itself is that life already, and the call
/// runs.
#[test]
fn an_offer_that_means_a_life_not_heard_of_yet_runs() {
    let scene = Scene::new(2, 4);
    scene.show_life(0, 1, 200);
    scene.show_life(1, 1, 100);
    scene.upstreams[0].set(Act::Refuse);
    assert_eq!(status(&scene.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// An upstream that failed all its calls and was ejected for that starts again. It gets calls at
/// once: what was seen of the former life does not count.
#[test]
fn failures_of_a_former_life_are_forgotten() {
    let scene = Scene::new(1, 4);
    scene.show_life(0, 0, 100);
    scene.upstreams[0].set(Act::Crossed);
    for _ in 0..4 {
        scene.exchange(0, &request("POST", "/post/a", "", "{}"));
    }
    let ejected = |scene: &Scene| scene.hubs[0].explain("paydesk")[0].reason.clone();
    assert!(ejected(&scene).contains("not chosen"), "{}", ejected(&scene));
    scene.show_life(0, 0, 200);
    assert!(!ejected(&scene).contains("not chosen"), "{}", ejected(&scene));
}
