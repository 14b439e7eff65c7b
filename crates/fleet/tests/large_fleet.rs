//! Fleets of hundreds of nodes in list mode: cost of gossip per node, and convergence time.

mod net;

use fleet::{
    control::Event,
    directory::Standing,
    message::{Digest, Piggyback, Rumour, Sender},
};
use net::{Net, address};
use std::collections::BTreeMap;

/// Nodes in each of the five data centres.
const NODES_PER_DATA_CENTRE: usize = 59;
const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
const NODES: usize = NODES_PER_DATA_CENTRE * DATA_CENTRES.len();

/// Link speed of the first nodes of each data centre, and of all others, in Mbit/s.
const FAST: u32 = 100;
const SLOW: u32 = 10;
const FAST_NODES_PER_DATA_CENTRE: usize = 3;

/// Time limit for a change to be known on every connected node, in ms.
const KNOWN_WITHIN_MS: u64 = 1_000;

/// Maximum number of digests that a node sends in ten seconds.
const MAX_DIGESTS: u64 = 180;

/// Maximum number of these that go to other data centres.
const MAX_FAR_DIGESTS: u64 = 30;

fn data_centre(node: usize) -> usize {
    node / NODES_PER_DATA_CENTRE
}

/// Returns a fleet with `size` nodes in each data centre.
fn fleet(size: usize) -> Net {
    let data_centres: Vec<&'static str> =
        (0..DATA_CENTRES.len() * size).map(|n| DATA_CENTRES[n / size]).collect();
    let mut net = Net::new(&data_centres);
    let speed = |node: usize| if node % size < FAST_NODES_PER_DATA_CENTRE { FAST } else { SLOW };
    net.links = (0..data_centres.len()).map(speed).collect();
    net
}

/// Guards against false positives of the partition detector, by chance, in fleets with many data centres.
#[test]
fn no_upstream_is_unreachable_in_a_healthy_fleet_of_any_shape() {
    for (places, part) in [(5, 20), (50, 2), (12, 9), (2, 50)] {
        let names: Vec<&'static str> = (0..places).map(|n| &*format!("place-{n}").leak()).collect();
        let zones: Vec<&'static str> = (0..places * part).map(|n| names[n / part]).collect();
        let mut net = Net::new(&zones);
        net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == zones.len()));
        net.run(3_000);
        for _ in 0..40 {
            net.run(100);
            let missed = |n: &usize| net.target_count(*n) < zones.len();
            let blind: Vec<usize> = (0..zones.len()).filter(missed).collect();
            assert!(blind.is_empty(), "{places} places of {part}: {blind:?} miss a node");
        }
    }
}

fn converged() -> Net {
    let mut net = fleet(NODES_PER_DATA_CENTRE);
    net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == NODES));
    net.run(4_000);
    net
}

/// Guards against gossip whose rate per node grows with the number of nodes and takes CPU time from calls.
#[test]
fn digest_traffic_per_node_does_not_grow_with_the_fleet() {
    let mut bytes_per_node = Vec::new();
    for nodes_per_data_centre in [20, NODES_PER_DATA_CENTRE] {
        let mut net = fleet(nodes_per_data_centre);
        net.run(6_000);
        let (sent_before, far_before) = (net.digests_sent.clone(), net.far_digests_sent.clone());
        let received_before = net.bytes_received.clone();
        net.run(10_000);
        let nodes = net.digests_sent.len();
        let sent = (0..nodes)
            .map(|n| net.digests_sent[n] - sent_before[n])
            .max()
            .expect("there are nodes");
        let bytes: u64 =
            (0..nodes).map(|n| net.bytes_received[n] - received_before[n]).sum::<u64>()
                / nodes as u64;
        let sent_far = (0..nodes)
            .map(|n| net.far_digests_sent[n] - far_before[n])
            .max()
            .expect("there are nodes");
        assert!(sent <= MAX_DIGESTS, "{sent} digests of one node in ten seconds");
        assert!(
            sent_far <= MAX_FAR_DIGESTS,
            "{sent_far} digests of one node to other data centres"
        );
        bytes_per_node.push(bytes);
    }
    assert!(
        bytes_per_node[1] * 10 <= bytes_per_node[0] * 12,
        "{bytes_per_node:?} bytes of one node in ten seconds"
    );
}

#[test]
fn a_version_is_in_force_on_hundreds_of_nodes_within_a_second() {
    let mut net = converged();
    let revision = net.publish();
    net.until(KNOWN_WITHIN_MS, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// Guards against forwarding each change to random nodes of any data centre.
#[test]
fn a_change_crosses_between_data_centres_few_times() {
    let mut net = converged();
    let before: u64 = net.far_digests_sent.iter().sum();
    let revision = net.publish();
    let elapsed = net.until(KNOWN_WITHIN_MS, |net| net.all(|n| n.in_force == revision));
    let periodic = NODES as u64 * MAX_FAR_DIGESTS * (elapsed + 400) / 10_000;
    let far = net.far_digests_sent.iter().sum::<u64>() - before;
    assert!(far <= periodic + NODES as u64 / 4, "{far} digests, of which {periodic} periodic");
}

/// Guards against a pull by every node for a change that fits into a digest.
#[test]
fn a_small_change_is_pulled_by_few_nodes() {
    let mut net = converged();
    let before: u64 = net.pulls_sent.iter().sum();
    let revision = net.publish();
    net.until(KNOWN_WITHIN_MS, |net| net.all(|n| n.in_force == revision));
    let pulls = net.pulls_sent.iter().sum::<u64>() - before;
    assert!(pulls <= NODES as u64 / 10, "{pulls}");
}

/// Guards against calls to an upstream that has left, also with lost digests.
#[test]
fn a_leaving_upstream_is_known_on_hundreds_of_nodes_within_a_second() {
    for loss in [0, 10] {
        let mut net = converged();
        net.digest_loss = loss;
        net.register(100, "i-100", Standing::Leaving);
        net.until(KNOWN_WITHIN_MS, |net| (0..NODES).all(|n| !is_target(net, n, 100)));
        net.unregister("i-100");
        net.register(100, "i-100-next", Standing::Ready);
        net.until(KNOWN_WITHIN_MS, |net| (0..NODES).all(|n| net.is_target(n, "i-100-next")));
    }
}

fn is_target(net: &Net, node: usize, target: usize) -> bool {
    net.is_target(node, &format!("i-{target}"))
}

/// Guards against calls to a node that crashes right after a single leave digest, with one digest in ten
/// lost.
#[test]
fn a_node_that_leaves_and_crashes_is_known_on_hundreds_of_nodes() {
    let mut net = converged();
    net.digest_loss = 10;
    net.inject(70, Event::Leave);
    net.kill(70);
    net.until(KNOWN_WITHIN_MS, |net| (0..NODES).all(|n| n == 70 || !is_target(net, n, 70)));
}

/// Guards against a node that counts as alive for good once its restart is known from others only.
#[test]
fn a_node_that_crashes_right_after_a_restart_is_found_unreachable() {
    let mut net = converged();
    net.kill(70);
    net.run(200);
    net.start(70);
    net.run(400);
    net.kill(70);
    net.run(20_000);
    let near = (NODES_PER_DATA_CENTRE..2 * NODES_PER_DATA_CENTRE).filter(|&n| n != 70);
    let unaware: Vec<usize> = near.filter(|&n| is_target(&net, n, 70)).collect();
    assert!(unaware.is_empty(), "{unaware:?}");
}

/// Guards against detecting a partitioned data centre only after several full gossip rounds.
#[test]
fn a_partitioned_data_centre_gets_no_calls_until_it_reconnects() {
    let mut net = converged();
    set_cut(&mut net, true);
    let targets_connected_nodes = |net: &Net, n: usize| {
        let is_connected = |t: &usize| (data_centre(*t) == 0) == (data_centre(n) == 0);
        (0..NODES).filter(is_connected).count() == net.target_count(n)
    };
    net.until(4_000, |net| [0, 30, 100, 294].iter().all(|n| targets_connected_nodes(net, *n)));
    set_cut(&mut net, false);
    net.until(1_500, |net| (0..NODES).all(|n| net.target_count(n) == NODES));
}

/// Partitions the first data centre from the others, or reconnects it.
fn set_cut(net: &mut Net, cut: bool) {
    for a in 0..NODES_PER_DATA_CENTRE {
        for b in NODES_PER_DATA_CENTRE..NODES {
            net.set_cut(a, b, cut);
        }
    }
}

/// Guards against a number of platform calls that grows with the fleet.
#[test]
fn few_of_hundreds_call_the_platform() {
    let mut net = converged();
    let before = net.reads;
    net.run(10_000);
    // One reader in each of five data centres, each call held for 0.8 s.
    assert!(net.reads - before <= 5 * 13, "{}", net.reads - before);
}

#[test]
fn a_mass_restart_of_hundreds_is_ready_soon_with_few_platform_calls() {
    let mut net = converged();
    (0..NODES).for_each(|node| net.kill(node));
    net.run(500);
    (0..NODES).for_each(|node| net.start(node));
    let before = net.reads;
    net.until(1_500, |net| net.all(|n| n.open && n.view.iter().count() == NODES));
    net.run(4_000);
    assert!(net.reads - before <= NODES as u64, "{}", net.reads - before);
}

/// Guards against changes that reach only half of the nodes during an upgrade from a version without
/// piggybacked changes.
#[test]
fn nodes_of_two_product_versions_agree() {
    let mut net = fleet(NODES_PER_DATA_CENTRE);
    net.old_version = (0..NODES).step_by(2).collect();
    net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == NODES));
    net.run(2_000);
    let revision = net.publish();
    net.register(100, "i-100", Standing::Leaving);
    net.until(2_000, |net| {
        net.all(|n| n.in_force == revision) && (0..NODES).all(|n| !is_target(net, n, 100))
    });
    assert!(net.regressions.is_empty());
}

/// Guards against one faulty or malicious node that takes others out of service with false rumours, unknown
/// addresses and extreme ages.
#[test]
fn false_rumours_of_one_node_change_no_liveness() {
    let mut net = converged();
    for round in 0..200_u64 {
        let known = |n: usize| Rumour {
            of: Sender { address: address((round as usize * 50 + n) % NODES), incarnation: 1 },
            leaving: true,
        };
        let unknown = |n: usize| Rumour {
            of: Sender { address: address(1_000 + round as usize * 50 + n), incarnation: u64::MAX },
            leaving: true,
        };
        let digest = Digest {
            from: Sender { address: address(294), incarnation: 1 },
            data_centre: "e".to_owned(),
            config: 0,
            list: 0,
            config_is_newest: false,
            contact_ms: Some(u64::MAX),
            link_mbps: u32::MAX,
            failing: false,
            leaving: false,
            contact_ages_ms: BTreeMap::from([
                ("a".to_owned(), u64::MAX),
                ("nowhere".to_owned(), 0),
            ]),
            rumours: (0..50).flat_map(|n| [known(n), unknown(n)]).collect(),
            piggyback: Piggyback::default(),
            reports: Vec::new(),
        };
        net.inject(0, Event::Digest(digest));
    }
    net.run(1_500);
    assert!((0..NODES).all(|n| net.target_count(n) == NODES));
}
