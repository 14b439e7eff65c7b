//! Hundreds of nodes that share the platform's list: what each sends and hears, and how soon all know.

mod net;

use fleet::{
    control::Event,
    directory::Standing,
    message::{Digest, Piggyback, Rumour, Sender},
};
use net::{Net, address};
use std::collections::BTreeMap;

/// Nodes of one data centre of five.
const PART: usize = 59;
const PLACES: [&str; 5] = ["a", "b", "c", "d", "e"];
const NODES: usize = PART * PLACES.len();

/// Links of the first nodes of each data centre, and of all others, in Mbit/s.
const FAST: u32 = 100;
const SLOW: u32 = 10;
const FAST_NODES: usize = 3;

/// Time in which a change is known at every node in touch, in ms.
const KNOWN: u64 = 1_000;

/// Summaries that a node may send in ten seconds: it may spend 8 KB a second on control, both ways.
const SUMMARIES: u64 = 180;

/// Of these, summaries to other data centres, whose links are shared by all.
const FAR_SUMMARIES: u64 = 30;

fn place(node: usize) -> usize {
    node / PART
}

fn fleet(parts: usize) -> Net {
    let zones: Vec<&'static str> = (0..PLACES.len() * parts).map(|n| PLACES[n / parts]).collect();
    let mut net = Net::new(&zones);
    let speed = |node: usize| if node % parts < FAST_NODES { FAST } else { SLOW };
    net.links = (0..zones.len()).map(speed).collect();
    net
}

/// Upstreams of a sound data centre get no calls for moments, again and again, because among many data
/// centres one was not heard of for a while by chance.
#[test]
fn nobody_is_missed_in_a_calm_fleet_of_any_shape() {
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
            assert!(blind.is_empty(), "{places} places of {part}: {blind:?} miss somebody");
        }
    }
}

fn calm() -> Net {
    let mut net = fleet(PART);
    net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == NODES));
    net.run(4_000);
    net
}

/// Every call is slow although its upstream is not: at 295 nodes each one sent and took 147 summaries a
/// second, since every node was told by every other one within two seconds, and a core of a tenth that
/// does that has less for calls the more nodes there are.
#[test]
fn a_node_s_summaries_do_not_grow_with_the_fleet() {
    let mut costs = Vec::new();
    for part in [20, PART] {
        let mut net = fleet(part);
        net.run(6_000);
        let (told, far) = (net.digests_sent.clone(), net.far_digests_sent.clone());
        let heard = net.bytes_received.clone();
        net.run(10_000);
        let nodes = net.digests_sent.len();
        let sent =
            (0..nodes).map(|n| net.digests_sent[n] - told[n]).max().expect("there are nodes");
        let bytes: u64 =
            (0..nodes).map(|n| net.bytes_received[n] - heard[n]).sum::<u64>() / nodes as u64;
        let sent_far =
            (0..nodes).map(|n| net.far_digests_sent[n] - far[n]).max().expect("there are nodes");
        assert!(sent <= SUMMARIES, "{sent} of one node in ten seconds");
        assert!(sent_far <= FAR_SUMMARIES, "{sent_far} of one node to other data centres");
        costs.push(bytes);
    }
    assert!(costs[1] * 10 <= costs[0] * 12, "{costs:?} bytes of one node in ten seconds");
}

#[test]
fn a_version_is_in_force_at_hundreds_in_a_second() {
    let mut net = calm();
    let revision = net.publish();
    net.until(KNOWN, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// Links between data centres are full of control: each of 295 nodes passed a change on to three others
/// anywhere, so it crossed seven hundred times.
#[test]
fn a_change_crosses_between_data_centres_few_times() {
    let mut net = calm();
    let before: u64 = net.far_digests_sent.iter().sum();
    let revision = net.publish();
    let took = net.until(KNOWN, |net| net.all(|n| n.in_force == revision));
    let turns = NODES as u64 * FAR_SUMMARIES * (took + 400) / 10_000;
    let far = net.far_digests_sent.iter().sum::<u64>() - before;
    assert!(far <= turns + NODES as u64 / 4, "{far}, of which {turns} in turn");
}

/// Calls wait behind control: each change of a few bytes was a question of every node with a connection of
/// its own, hundreds of them at the node that had it first.
#[test]
fn a_small_change_is_asked_for_by_few() {
    let mut net = calm();
    let before: u64 = net.pulls_sent.iter().sum();
    let revision = net.publish();
    net.until(KNOWN, |net| net.all(|n| n.in_force == revision));
    let asked = net.pulls_sent.iter().sum::<u64>() - before;
    assert!(asked <= NODES as u64 / 10, "{asked}");
}

/// A payment goes to an upstream that leaves, because its entry node had not heard of it.
#[test]
fn an_upstream_that_leaves_is_known_at_hundreds_in_a_second() {
    for lossy in [0, 10] {
        let mut net = calm();
        net.digest_loss = lossy;
        net.register(100, "i-100", Standing::Leaving);
        net.until(KNOWN, |net| (0..NODES).all(|n| !is_target(net, n, 100)));
        net.unregister("i-100");
        net.register(100, "i-100-next", Standing::Ready);
        net.until(KNOWN, |net| (0..NODES).all(|n| net.is_target(n, "i-100-next")));
    }
}

fn is_target(net: &Net, node: usize, target: usize) -> bool {
    net.is_target(node, &format!("i-{target}"))
}

/// A payment goes to a node that stops: one summary in ten is lost, the node has said once that it
/// leaves, and it died right after.
#[test]
fn a_node_that_leaves_and_dies_is_known_at_hundreds() {
    let mut net = calm();
    net.digest_loss = 10;
    net.inject(70, Event::Leave);
    net.kill(70);
    net.until(KNOWN, |net| (0..NODES).all(|n| n == 70 || !is_target(net, n, 70)));
}

/// Calls go on to a data centre that is cut off for six seconds, each of them in vain: at 295 nodes one
/// that fell silent was noticed after 8.4 s, since four rounds of summaries had to pass.
#[test]
fn a_data_centre_that_is_cut_off_is_left_alone_and_found_again() {
    let mut net = calm();
    set_cut(&mut net, true);
    let own = |net: &Net, n: usize| {
        let is_own = |t: &usize| (place(*t) == 0) == (place(n) == 0);
        (0..NODES).filter(is_own).count() == net.target_count(n)
    };
    net.until(4_000, |net| [0, 30, 100, 294].iter().all(|n| own(net, *n)));
    set_cut(&mut net, false);
    net.until(1_500, |net| (0..NODES).all(|n| net.target_count(n) == NODES));
}

/// Cuts the first data centre off, or connects it again.
fn set_cut(net: &mut Net, cut: bool) {
    for a in 0..PART {
        for b in PART..NODES {
            net.set_cut(a, b, cut);
        }
    }
}

/// The platform is called by a few nodes, also of hundreds, and also when all of them start at once.
#[test]
fn few_of_hundreds_call_the_platform() {
    let mut net = calm();
    let before = net.reads;
    net.run(10_000);
    // One reader in each of five places, a call at a time of 0.8 s.
    assert!(net.reads - before <= 5 * 13, "{}", net.reads - before);
}

#[test]
fn a_herd_of_hundreds_is_ready_soon_and_calls_the_platform_little() {
    let mut net = calm();
    (0..NODES).for_each(|node| net.kill(node));
    net.run(500);
    (0..NODES).for_each(|node| net.start(node));
    let before = net.reads;
    net.until(1_500, |net| net.all(|n| n.open && n.view.iter().count() == NODES));
    net.run(4_000);
    assert!(net.reads - before <= NODES as u64, "{}", net.reads - before);
}

/// During an upgrade a change reaches half of the nodes only: those of the former product version, which
/// neither carry changes in their summaries nor understand them there.
#[test]
fn nodes_of_two_product_versions_agree() {
    let mut net = fleet(PART);
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

/// All work of others stops: one node, by a fault or on purpose, says of each of them that it leaves, names
/// thousands that nobody knows, and gives times that no clock shows.
#[test]
fn one_node_that_lies_moves_nobody() {
    let mut net = calm();
    for round in 0..200_u64 {
        let about = |n: usize| Rumour {
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
            contact_ms: Some(u64::MAX),
            link_mbps: u32::MAX,
            failing: false,
            leaving: false,
            heard_ms: BTreeMap::from([("a".to_owned(), u64::MAX), ("nowhere".to_owned(), 0)]),
            rumours: (0..50).flat_map(|n| [about(n), unknown(n)]).collect(),
            piggyback: Piggyback::default(),
            reports: Vec::new(),
        };
        net.inject(0, Event::Digest(digest));
    }
    net.run(1_500);
    assert!((0..NODES).all(|n| net.target_count(n) == NODES));
}
