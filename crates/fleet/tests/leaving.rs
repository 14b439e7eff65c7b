//! Leaving, being told to leave, pauses and false suspicion.

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

/// Compares, at every other running node, whether `peer` takes work.
#[track_caller]
fn check(net: &Net, peer: usize, expect: bool) {
    for node in (0..net.len()).filter(|&n| n != peer && net.control(n).is_some()) {
        let takes_work = state_at(net, node, peer).is_some_and(State::takes_work);
        assert_eq!(takes_work, expect, "node {node}: {:?}", state_at(net, node, peer));
    }
}

/// A guest's cover is posted to an upstream that is shutting down, because some node had not heard
/// of it two seconds later.
#[test]
fn all_nodes_know_of_a_planned_stop_within_two_seconds() {
    let mut net = net(120);
    net.leave(17);
    net.run(Duration::from_secs(2));
    check(&net, 17, false);
}

#[test]
fn the_platforms_word_makes_a_node_leave() {
    let mut net = net(24);
    net.list_leaving(5);
    net.run(Duration::from_secs(2));
    check(&net, 5, false);
    assert!(!net.is_working(5));
}

/// The list still shows a stopped instance as live: that must not bring it back.
#[test]
fn the_list_never_revives() {
    let mut net = net(24);
    net.stop(5);
    net.list_all();
    net.run(Duration::from_secs(20));
    check(&net, 5, false);
}

/// An instance is replaced in place. The list still says that the old one leaves; the new one has
/// another name and must get work.
#[test]
fn a_new_life_at_the_same_address_takes_work() {
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

/// Every upstream disappears at dawn: one node was paused for a minute, found on waking that its
/// probes had timed out, and told the whole fleet that everybody was unreachable.
#[test]
fn a_woken_node_doubts_itself_first() {
    cov_mark::check!(doubt_after_pause);
    let mut net = net(24);
    net.pause(5, Duration::from_secs(60));
    net.run(Duration::from_secs(61));
    for peer in (0..24).filter(|&peer| peer != 5) {
        check(&net, peer, true);
    }
    net.run(Duration::from_secs(10));
    check(&net, 5, true);
}

/// A node had begun to suspect others when it was paused. When it wakes, their time to contradict
/// seems long over; it must hear them first, or it tells everybody that they are out of reach.
#[test]
fn a_suspicion_from_before_a_pause_is_not_executed() {
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

/// A platform that has lost its records lists one instance; believing it would empty every service.
#[test]
fn a_list_that_shrinks_suddenly_ends_no_lives() {
    cov_mark::check!(listing_shrinks);
    let mut net = net(24);
    net.list_only(&[3]);
    net.run(Duration::from_secs(5));
    for peer in 0..24 {
        check(&net, peer, true);
    }
}

/// An instance that the list no longer has is gone, even if its node still answers.
#[test]
fn an_unlisted_instance_takes_no_work() {
    let mut net = net(24);
    let all_but_one: Vec<usize> = (0..24).filter(|&n| n != 7).collect();
    net.list_only(&all_but_one);
    net.run(Duration::from_secs(3));
    check(&net, 7, false);
}
