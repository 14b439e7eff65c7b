//! Starting nodes on slow links pull the configuration from peers instead of reading the platform.

mod net;

use net::{Net, Treatment};

const DATA_CENTRES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];
/// Link speeds, in Mbit/s.
const FAST: u32 = 100;
const SLOW: u32 = 5;

/// Returns a converged fleet whose links have these speeds, in Mbit/s, from the next start of each node.
fn converged(links: [u32; 7]) -> Net {
    let mut net = Net::new(&DATA_CENTRES);
    net.until(3_000, |net| net.all(|n| n.open && n.view.iter().count() == DATA_CENTRES.len()));
    net.links = links.to_vec();
    net.run(1_000);
    net
}

fn restart_all(net: &mut Net) {
    (0..DATA_CENTRES.len()).for_each(|node| net.kill(node));
    net.run(500);
    (0..DATA_CENTRES.len()).for_each(|node| net.start(node));
}

fn is_complete(net: &Net) -> bool {
    net.all(|n| n.open && n.view.iter().count() == DATA_CENTRES.len())
}

/// Guards against every node on a slow link reading a full copy from the platform, uncompressed, after a mass
/// restart.
#[test]
fn after_a_mass_restart_nodes_on_fast_links_serve_the_others() {
    let mut net = converged([FAST, SLOW, SLOW, FAST, SLOW, SLOW, SLOW]);
    restart_all(&mut net);
    let before = net.reads;
    net.until(400, is_complete);
    // One read by each of the two nodes on fast links, and one or two of their watches.
    assert!(net.reads - before <= 4, "{}", net.reads - before);
}

#[test]
fn one_restarted_node_learns_from_others_before_it_calls_the_platform() {
    let mut net = converged([FAST, FAST, FAST, FAST, FAST, FAST, SLOW]);
    net.kill(6);
    net.run(500);
    net.start(6);
    net.until(400, is_complete);
}

/// Guards against nodes that wait without a bound for a peer on a fast link that is missing or rejected by
/// the platform.
#[test]
fn a_node_without_usable_peers_calls_the_platform_itself() {
    for links in [[SLOW; 7], [FAST, SLOW, SLOW, SLOW, SLOW, SLOW, SLOW]] {
        for treatment in [Treatment::Refuse, Treatment::Silent, Treatment::Serve] {
            let mut net = converged(links);
            net.treat(0, treatment);
            restart_all(&mut net);
            net.until(2_500, is_complete);
        }
    }
}

/// Guards against a regression when a starting node first pulls an older version.
#[test]
fn a_newer_version_follows_an_older_one_without_regression() {
    let mut net = converged([FAST, SLOW, SLOW, FAST, SLOW, SLOW, SLOW]);
    restart_all(&mut net);
    let revision = net.publish();
    net.until(2_000, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}
