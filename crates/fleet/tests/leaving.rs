//! Planned stops, instances listed as leaving, process pauses and false suspicion.

use fleet::member::State;
use standins::simulation::{Net, Options, address};
use std::time::Duration;

fn net(nodes: usize) -> Net {
    let options = Options { nodes, data_centres: 6, services: 4, ..Options::default() };
    let mut net = Net::new(options);
    net.publish("profiles/base", Some("{}"));
    net.run(Duration::from_secs(5));
    net
}

fn state_at(net: &Net, node: usize, peer: usize) -> Option<State> {
    net.control(node)?.roster().get(address(peer)).map(|r| r.state)
}

/// Compares, on every other running node, whether `peer` takes work.
#[track_caller]
fn check(net: &Net, peer: usize, expect: bool) {
    for node in (0..net.len()).filter(|&n| n != peer && net.control(n).is_some()) {
        let takes_work = state_at(net, node, peer).is_some_and(State::takes_work);
        assert_eq!(takes_work, expect, "node {node}: {:?}", state_at(net, node, peer));
    }
}

/// Guards against calls to an upstream that is shutting down.
#[test]
fn all_nodes_know_of_a_planned_stop_within_two_seconds() {
    let mut net = net(120);
    net.leave(17);
    net.run(Duration::from_secs(2));
    check(&net, 17, false);
}

#[test]
fn a_node_that_is_listed_as_leaving_leaves() {
    let mut net = net(24);
    net.list_leaving(5);
    net.run(Duration::from_secs(2));
    check(&net, 5, false);
    assert!(!net.is_working(5));
}

/// Guards against a list that still shows a stopped instance as live.
#[test]
fn a_stale_list_does_not_revive_a_stopped_instance() {
    let mut net = net(24);
    net.stop(5);
    net.list_all();
    net.run(Duration::from_secs(20));
    check(&net, 5, false);
}

/// Guards against applying the leaving status of a replaced instance to its successor.
#[test]
fn a_new_incarnation_at_the_same_address_takes_work() {
    let mut net = net(24);
    net.stop(5);
    net.start(5);
    net.run(Duration::from_secs(3));
    check(&net, 5, true);
}

#[test]
fn a_dead_node_gets_no_work() {
    let mut net = net(24);
    net.kill(5);
    net.run(Duration::from_secs(20));
    check(&net, 5, false);
}

/// Guards against a node that, after a pause of its process, takes its expired probes for failures of all
/// peers.
#[test]
fn a_resumed_node_marks_no_peer_unreachable() {
    cov_mark::check!(suspicion_suspended_after_pause);
    let mut net = net(24);
    net.pause(5, Duration::from_secs(60));
    net.run(Duration::from_secs(61));
    for peer in (0..24).filter(|&peer| peer != 5) {
        check(&net, peer, true);
    }
    net.run(Duration::from_secs(10));
    check(&net, 5, true);
}

/// Guards against counting the pause of a process as time that suspected peers had to refute the suspicion.
#[test]
fn a_suspicion_from_before_a_pause_does_not_expire_on_resume() {
    let mut net = net(24);
    net.set_partition(5, 1);
    net.run(Duration::from_millis(2_300));
    net.heal_partitions();
    net.pause(5, Duration::from_secs(60));
    net.run(Duration::from_secs(60));
    for _ in 0..50 {
        net.run(Duration::from_millis(100));
        for peer in (0..24).filter(|&peer| peer != 5) {
            check(&net, peer, true);
        }
    }
}

/// Guards against a platform that has lost its records and lists a single instance.
#[test]
fn a_list_that_shrinks_suddenly_removes_no_instance() {
    cov_mark::check!(listing_shrinks);
    let mut net = net(24);
    net.list_only(&[3]);
    net.run(Duration::from_secs(5));
    for peer in 0..24 {
        check(&net, peer, true);
    }
}

/// Guards against calls to an instance that is no longer listed but whose node still answers.
#[test]
fn an_unlisted_instance_takes_no_work() {
    let mut net = net(24);
    let all_but_one: Vec<usize> = (0..24).filter(|&n| n != 7).collect();
    net.list_only(&all_but_one);
    net.run(Duration::from_secs(3));
    check(&net, 7, false);
}
