//! A configuration that grows reaches nodes whose links are slow for its size.

mod net;

use net::{Net, Treatment};

const PLACES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];
const FAST: u32 = 100;
const SLOW: u32 = 5;

/// Routes of a large site, and those that one change adds to them.
const ROUTES: usize = 1_600;
const ADDED: usize = 1_400;

/// Time within which a change must be in force everywhere, in ms.
const IN_FORCE: u64 = 2_500;

/// A calm fleet with the routes of a large site; one node of each data centre has a fast link.
fn calm(slow: u32) -> Net {
    let mut net = Net::new(&PLACES);
    net.links = vec![FAST, slow, slow, FAST, slow, FAST, slow];
    (0..PLACES.len()).for_each(|node| net.start(node));
    net.routes = ROUTES;
    let revision = net.publish();
    net.until(10_000, |net| net.all(|n| n.open && n.in_force == revision));
    net.run(2_000);
    net
}

/// Callers of routes that were added minutes ago are told 404, for the rest of the day, wherever a
/// node's link is slow. A change added so many routes that what a node lacked took longer to cross
/// its link than one pull may take; the pull was given up, nothing of it was kept, and the next one
/// asked for the same again. Seen as links that are full with answers of which none is ever used;
/// proved by this test, which needs nothing but the size of the change and the speed of the link.
#[test]
fn a_change_larger_than_one_pull_reaches_nodes_on_slow_links() {
    let mut net = calm(SLOW);
    net.routes += ADDED;
    let revision = net.publish();
    net.until(IN_FORCE, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// On a link on which even a piece takes almost all the time of a pull, a change is late but arrives.
#[test]
fn the_slowest_links_get_it_later() {
    let mut net = calm(2);
    net.routes += ADDED;
    let revision = net.publish();
    net.until(8_000, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// The platform takes longer to read than other nodes take to tell, so a node that starts learns
/// from them; it must not begin anew with each change that is published meanwhile.
#[test]
fn a_starting_node_gets_there_while_changes_go_on() {
    let mut net = calm(SLOW);
    net.kill(6);
    net.run(500);
    net.treat(6, Treatment::Refuse);
    net.start(6);
    for _ in 0..10 {
        net.routes += 10;
        net.publish();
        net.run(200);
    }
    let revision = net.publish();
    net.until(IN_FORCE, |net| net.all(|n| n.open && n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// The node that tells a change ends midway; what it has told counts.
#[test]
fn another_node_tells_the_rest() {
    let mut net = calm(SLOW);
    net.routes += ADDED;
    let revision = net.publish();
    net.run(300);
    net.kill(0);
    net.until(IN_FORCE, |net| net.all(|n| n.in_force == revision));
}

/// A node on a slow link hears of a change at once and holds it later. In between it knows that it is
/// behind, and afterwards that it is not.
#[test]
fn a_node_knows_while_it_is_behind() {
    let mut net = calm(SLOW);
    net.routes += ADDED;
    let revision = net.publish();
    net.until(500, |net| net.all(|n| n.expected == revision));
    assert!(net.node(6).in_force < revision);
    net.until(IN_FORCE, |net| net.all(|n| n.in_force == revision && n.expected == revision));
}
