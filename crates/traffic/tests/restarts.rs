//! Upstreams that start again under the identity that they had.

mod cluster;

use cluster::{Behaviour, Cluster, request, status};

/// A lookup reaches an upstream that knows nothing of it: the address and the name were those of a
/// life that had ended, the process behind them was already of another service. The node beside it
/// knew that, and the sender did not.
#[test]
fn an_offer_that_means_a_former_life_is_not_run() {
    let cluster = Cluster::new(2, 4);
    cluster.show_incarnation(0, 1, 100);
    cluster.show_incarnation(1, 1, 200);
    cluster.upstreams[0].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "503");
    assert!(cluster.upstreams[1].received().is_empty());
    cluster.show_incarnation(0, 1, 200);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// The sender hears of the new life first: the upstream itself is that life already, and the call
/// runs.
#[test]
fn an_offer_that_means_a_life_not_heard_of_yet_runs() {
    let cluster = Cluster::new(2, 4);
    cluster.show_incarnation(0, 1, 200);
    cluster.show_incarnation(1, 1, 100);
    cluster.upstreams[0].set(Behaviour::Refuse);
    assert_eq!(status(&cluster.exchange(0, &request("POST", "/post/a", "", "{}"))), "200");
}

/// An upstream that failed all its calls and was ejected for that starts again. It gets calls at
/// once: what was seen of the former life does not count.
#[test]
fn failures_of_a_former_life_are_forgotten() {
    let cluster = Cluster::new(1, 4);
    cluster.show_incarnation(0, 0, 100);
    cluster.upstreams[0].set(Behaviour::Crossed);
    for _ in 0..4 {
        cluster.exchange(0, &request("POST", "/post/a", "", "{}"));
    }
    let ejected = |cluster: &Cluster| cluster.proxies[0].explain("paydesk")[0].reason.clone();
    assert!(ejected(&cluster).contains("not chosen"), "{}", ejected(&cluster));
    cluster.show_incarnation(0, 0, 200);
    assert!(!ejected(&cluster).contains("not chosen"), "{}", ejected(&cluster));
}
