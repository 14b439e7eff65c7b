//! Fleets of a few dozen nodes that do not all gossip with each other, to save bytes between data centres.

mod net;

use fleet::{control::Event, directory::Standing, listed::rounds::MAX_FULL_MESH};
use net::Net;

/// Nodes in each of the three data centres.
const PART: usize = 22;
const NODES: usize = 3 * PART;

/// Largest full mesh in fleets with narrow links.
const SMALL_MESH: usize = 32;

/// Time limit for a change to be known on every connected node, in ms.
const KNOWN_WITHIN_MS: u64 = 1_000;

fn fleet(full_mesh: usize) -> Net {
    let names: Vec<&'static str> = (0..NODES).map(|n| ["a", "b", "c"][n / PART]).collect();
    let mut net = Net::stopped(&names);
    net.full_mesh = full_mesh;
    net.publish();
    for node in 0..NODES {
        net.start(node);
        net.register(node, &format!("i-{node}"), Standing::Ready);
    }
    net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == NODES));
    net.run(4_000);
    net
}

/// Returns the most digests that one node sends to other data centres in ten seconds.
fn far_digests(full_mesh: usize) -> u64 {
    let mut net = fleet(full_mesh);
    let before = net.far_digests_sent.clone();
    net.run(10_000);
    (0..NODES).map(|n| net.far_digests_sent[n] - before[n]).max().expect("there are nodes")
}

/// Guards against gossip that makes up most of the bytes between data centres in calm seconds.
#[test]
fn few_digests_cross_data_centres_beyond_a_small_mesh() {
    assert!(far_digests(SMALL_MESH) <= 30);
    // The full mesh is the default: every node reaches all 44 others within 1.7 s.
    assert!(far_digests(MAX_FULL_MESH) >= 200);
}

/// Guards against calls to an upstream that has left, also with lost digests.
#[test]
fn a_leaving_upstream_is_known_everywhere_within_a_second() {
    for loss in [0, 10] {
        let mut net = fleet(SMALL_MESH);
        net.digest_loss = loss;
        net.register(30, "i-30", Standing::Leaving);
        net.until(KNOWN_WITHIN_MS, |net| (0..NODES).all(|n| !net.is_target(n, "i-30")));
    }
}

/// Guards against calls to a node that crashes right after a single leave digest, with one digest in ten lost.
#[test]
fn a_node_that_leaves_and_crashes_is_known_everywhere() {
    let mut net = fleet(SMALL_MESH);
    net.digest_loss = 10;
    net.inject(30, Event::Leave);
    net.kill(30);
    let knows = |net: &Net, n: usize| n == 30 || !net.is_target(n, "i-30");
    net.until(KNOWN_WITHIN_MS, |net| (0..NODES).all(|n| knows(net, n)));
}

#[test]
fn a_version_is_in_force_everywhere_within_a_second() {
    let mut net = fleet(SMALL_MESH);
    let revision = net.publish();
    net.until(KNOWN_WITHIN_MS, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// Guards against a partitioned data centre that is found only node by node.
#[test]
fn a_partitioned_data_centre_gets_no_calls_until_it_reconnects() {
    let mut net = fleet(SMALL_MESH);
    let set_cut = |net: &mut Net, cut| {
        for a in 0..PART {
            (PART..NODES).for_each(|b| net.set_cut(a, b, cut));
        }
    };
    set_cut(&mut net, true);
    let connected = |n: usize| if n < PART { PART } else { NODES - PART };
    net.until(4_000, |net| (0..NODES).all(|n| net.target_count(n) == connected(n)));
    set_cut(&mut net, false);
    net.until(1_500, |net| (0..NODES).all(|n| net.target_count(n) == NODES));
}
