//! Transfer of large configurations to nodes on slow links.

mod net;

use fleet::control::Event;
use net::{Net, Treatment};
use std::time::Duration;

const DATA_CENTRES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];
/// Link speeds, in Mbit/s.
const FAST: u32 = 100;
const SLOW: u32 = 5;

/// Routes of a large site.
const ROUTES: usize = 1_600;

/// Routes that one change adds.
const ADDED_ROUTES: usize = 1_400;

/// Time limit for a change to be in force on all nodes, in ms.
const IN_FORCE_WITHIN_MS: u64 = 2_500;

/// Returns a converged fleet with the routes of a large site; one node per data centre has a fast link.
fn converged(slow: u32) -> Net {
    let mut net = Net::new(&DATA_CENTRES);
    net.links = vec![FAST, slow, slow, FAST, slow, FAST, slow];
    (0..DATA_CENTRES.len()).for_each(|node| net.start(node));
    net.store.routes = ROUTES;
    let revision = net.publish();
    net.until(10_000, |net| net.all(|n| n.open && n.in_force == revision));
    net.run(2_000);
    net
}

/// Guards against a pull that times out on a slow link, keeps nothing and starts over for ever, so that
/// added routes are answered with 404.
#[test]
fn a_change_larger_than_one_pull_reaches_nodes_on_slow_links() {
    let mut net = converged(SLOW);
    net.store.routes += ADDED_ROUTES;
    let revision = net.publish();
    net.until(IN_FORCE_WITHIN_MS, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// On these links a single chunk takes almost the whole timeout of a pull.
#[test]
fn a_large_change_arrives_late_on_the_slowest_links() {
    let mut net = converged(2);
    net.store.routes += ADDED_ROUTES;
    let revision = net.publish();
    net.until(8_000, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// Guards against a starting node that restarts its transfer with each version published meanwhile.
#[test]
fn a_starting_node_catches_up_during_frequent_changes() {
    let mut net = converged(SLOW);
    net.kill(6);
    net.run(500);
    net.treat(6, Treatment::Refuse);
    net.start(6);
    for _ in 0..10 {
        net.store.routes += 10;
        net.publish();
        net.run(200);
    }
    let revision = net.publish();
    net.until(IN_FORCE_WITHIN_MS, |net| net.all(|n| n.open && n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// Guards against losing received chunks when the sending node crashes.
#[test]
fn a_transfer_resumes_from_another_node_after_its_source_crashes() {
    let mut net = converged(SLOW);
    net.store.routes += ADDED_ROUTES;
    let revision = net.publish();
    net.run(300);
    net.kill(0);
    net.until(IN_FORCE_WITHIN_MS, |net| net.all(|n| n.in_force == revision));
}

/// Guards against a node that does not report that it is behind, or reports so after it has caught up.
#[test]
fn the_expected_revision_is_known_before_a_slow_transfer_ends() {
    let mut net = converged(SLOW);
    net.store.routes += ADDED_ROUTES;
    let revision = net.publish();
    net.until(500, |net| net.all(|n| n.expected == revision));
    assert!(net.node(6).in_force < revision);
    net.until(IN_FORCE_WITHIN_MS, |net| {
        net.all(|n| n.in_force == revision && n.expected == revision)
    });
}

/// Guards against fixed chunk sizes, and against losing received chunks when a pull is lost.
#[test]
fn a_change_arrives_on_lossy_links_and_on_links_too_slow_for_a_chunk() {
    for (slow, loss) in [(1, 0), (SLOW, 4)] {
        let mut net = converged(2);
        net.links.iter_mut().filter(|link| **link == 2).for_each(|link| *link = slow);
        net.pull_loss = loss;
        net.store.routes += ADDED_ROUTES;
        let revision = net.publish();
        net.until(15_000, |net| net.all(|n| n.in_force == revision));
    }
}

/// Guards against sending whole buckets of documents for a small change, which would saturate a slow link.
#[test]
fn frequent_small_changes_reach_nodes_on_slow_links() {
    let mut net = converged(SLOW);
    net.store.changed_routes = 20;
    let mut updates = 0;
    for _ in 0..40 {
        let before = net.node(6).in_force;
        net.publish();
        net.run(250);
        updates += usize::from(net.node(6).in_force > before);
    }
    assert!(updates >= 30, "{updates} of 40");
    assert!(net.regressions.is_empty());
}

/// Guards against alternating between two silent nodes with fast links while nodes of other data centres
/// hold the version.
#[test]
fn a_pull_moves_on_from_silent_nodes_to_other_data_centres() {
    let mut net = Net::new(&["a", "a", "a", "a", "b", "c"]);
    net.links = vec![FAST, FAST, SLOW, SLOW, FAST, FAST];
    (0..6).for_each(|node| net.start(node));
    net.store.routes = ROUTES;
    let before = net.publish();
    net.until(10_000, |net| net.all(|n| n.open && n.in_force == before));
    net.store.routes += ADDED_ROUTES;
    let revision = net.publish();
    net.until(1_000, |net| (2..4).all(|n| net.node(n).expected == revision));
    net.run(250);
    for slow in 2..4 {
        (0..2).for_each(|fast| net.set_cut(fast, slow, true));
    }
    net.until(6_000, |net| (2..4).all(|n| net.node(n).in_force == revision));
}

/// Guards against starting another pull after a pause while one is in flight.
#[test]
fn process_pauses_do_not_multiply_pulls() {
    let pulls = |pauses| {
        let mut net = converged(SLOW);
        net.store.routes += ADDED_ROUTES;
        let revision = net.publish();
        net.until(1_000, |net| net.node(6).expected == revision);
        let before = net.pulls_sent[6];
        for _ in 0..pauses {
            net.run(30);
            net.inject(6, Event::Resumed(Duration::from_millis(600)));
        }
        net.until(20_000, |net| net.node(6).in_force == revision);
        net.pulls_sent[6] - before
    };
    assert!(pulls(5) <= pulls(0) + 2);
}

/// Guards against a restarted node that reads an invalid version first and does not get ready.
#[test]
fn a_node_starts_with_the_last_valid_version_if_the_newest_is_invalid() {
    let mut net = converged(SLOW);
    let valid = net.node(1).in_force;
    net.publish_invalid();
    net.run(1_000);
    net.kill(0);
    net.run(500);
    net.start(0);
    net.run(5_000);
    let node = net.node(0);
    assert_eq!((node.open, node.in_force, node.expected), (true, valid, valid));
}

/// Guards against a node that missed a valid version, rejects a later one and never pulls the valid one.
#[test]
fn a_rejected_version_does_not_block_an_older_acceptable_one() {
    let mut net = converged(SLOW);
    (1..DATA_CENTRES.len()).for_each(|node| net.set_cut(0, node, true));
    net.treat(0, Treatment::Refuse);
    let valid = net.publish();
    net.until(IN_FORCE_WITHIN_MS, |net| {
        (1..DATA_CENTRES.len()).all(|n| net.node(n).in_force == valid)
    });
    net.publish_invalid();
    net.run(1_000);
    net.treat(0, Treatment::Serve);
    net.run(3_000);
    (1..DATA_CENTRES.len()).for_each(|node| net.set_cut(0, node, false));
    net.until(5_000, |net| net.node(0).in_force == valid && net.node(0).expected == valid);
}

/// Guards against answering for ever that a newer version is expected after its only holder crashed in a
/// platform outage.
#[test]
fn a_version_lost_with_its_only_holder_is_no_longer_expected() {
    let mut net = converged(SLOW);
    let held = net.node(1).in_force;
    (1..DATA_CENTRES.len()).for_each(|node| net.treat(node, Treatment::Silent));
    net.store.routes = 12_000;
    net.links = vec![1; DATA_CENTRES.len()];
    let revision = net.publish();
    net.until(5_000, |net| net.node(1).expected == revision);
    net.kill(0);
    net.run(15_000);
    assert_eq!((net.node(1).in_force, net.node(1).expected), (held, held));
}
