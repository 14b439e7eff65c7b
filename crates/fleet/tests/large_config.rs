//! A configuration that grows reaches nodes whose links are slow for its size.

mod net;

use fleet::control::Event;
use net::{Net, Treatment};
use std::time::Duration;

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
    net.store.routes = ROUTES;
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
    net.store.routes += ADDED;
    let revision = net.publish();
    net.until(IN_FORCE, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

/// On a link on which even a piece takes almost all the time of a pull, a change is late but arrives.
#[test]
fn the_slowest_links_get_it_later() {
    let mut net = calm(2);
    net.store.routes += ADDED;
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
        net.store.routes += 10;
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
    net.store.routes += ADDED;
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
    net.store.routes += ADDED;
    let revision = net.publish();
    net.until(500, |net| net.all(|n| n.expected == revision));
    assert!(net.node(6).in_force < revision);
    net.until(IN_FORCE, |net| net.all(|n| n.in_force == revision && n.expected == revision));
}

/// A link that carries no usual piece in the time of a pull, and one on which a question in four is
/// lost: less is asked for, and what came before a loss counts.
#[test]
fn links_too_slow_for_a_piece_and_lossy_ones_get_it_too() {
    for (slow, lossy) in [(1, 0), (SLOW, 4)] {
        let mut net = calm(2);
        net.links.iter_mut().filter(|link| **link == 2).for_each(|link| *link = slow);
        net.pull_loss = lossy;
        net.store.routes += ADDED;
        let revision = net.publish();
        net.until(15_000, |net| net.all(|n| n.in_force == revision));
    }
}

/// Weights of some routes change four times a second. Told as whole groups of documents that would be
/// most of the configuration each time, and a slow link would get none of these versions.
#[test]
fn small_changes_reach_slow_links_while_they_go_on() {
    let mut net = calm(SLOW);
    net.store.touched = 20;
    let mut seen = 0;
    for _ in 0..40 {
        let before = net.node(6).in_force;
        net.publish();
        net.run(250);
        seen += usize::from(net.node(6).in_force > before);
    }
    assert!(seen >= 30, "{seen} of 40");
    assert!(net.regressions.is_empty());
}

/// Callers at a slow link are turned away for a minute, though other data centres hold the new version:
/// the two nodes with fast links nearby told of it and then fell silent. Each was given a second and
/// avoided for a second, so one of them was always due again.
#[test]
fn silent_nodes_do_not_keep_a_change_from_their_neighbours() {
    let mut net = Net::new(&["a", "a", "a", "a", "b", "c"]);
    net.links = vec![FAST, FAST, SLOW, SLOW, FAST, FAST];
    (0..6).for_each(|node| net.start(node));
    net.store.routes = ROUTES;
    let before = net.publish();
    net.until(10_000, |net| net.all(|n| n.open && n.in_force == before));
    net.store.routes += ADDED;
    let revision = net.publish();
    net.until(1_000, |net| (2..4).all(|n| net.node(n).expected == revision));
    net.run(250);
    for slow in 2..4 {
        (0..2).for_each(|fast| net.set_cut(fast, slow, true));
    }
    net.until(6_000, |net| (2..4).all(|n| net.node(n).in_force == revision));
}

/// A node is paused some times while it catches up. Each pause left a question under way and asked
/// another, and as each answer leads to the next question, they went on side by side.
#[test]
fn pauses_do_not_multiply_the_questions() {
    let questions = |pauses| {
        let mut net = calm(SLOW);
        net.store.routes += ADDED;
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
    assert!(questions(5) <= questions(0) + 2);
}

/// The operators' newest version is bad, and a node that starts reads it first. It must serve with the
/// one before, which the others hold.
#[test]
fn a_node_starts_while_the_newest_version_is_bad() {
    let mut net = calm(SLOW);
    let good = net.node(1).in_force;
    net.publish_bad();
    net.run(1_000);
    net.kill(0);
    net.run(500);
    net.start(0);
    net.run(5_000);
    let node = net.node(0);
    assert_eq!((node.open, node.in_force, node.expected), (true, good, good));
}

/// A node that was cut off missed a good version and then read a bad one. The good one is newer than
/// what it holds, and the others have it.
#[test]
fn a_refused_version_does_not_keep_the_one_before_it_out() {
    let mut net = calm(SLOW);
    (1..PLACES.len()).for_each(|node| net.set_cut(0, node, true));
    net.treat(0, Treatment::Refuse);
    let good = net.publish();
    net.until(IN_FORCE, |net| (1..PLACES.len()).all(|n| net.node(n).in_force == good));
    net.publish_bad();
    net.run(1_000);
    net.treat(0, Treatment::Serve);
    net.run(3_000);
    (1..PLACES.len()).for_each(|node| net.set_cut(0, node, false));
    net.until(5_000, |net| net.node(0).in_force == good && net.node(0).expected == good);
}

/// A version is read by one node and ends with it before another has it, while the platform is away.
/// The others must not tell callers for ever to come back for it.
#[test]
fn a_version_that_went_with_its_holder_is_not_expected_for_ever() {
    let mut net = calm(SLOW);
    let held = net.node(1).in_force;
    (1..PLACES.len()).for_each(|node| net.treat(node, Treatment::Silent));
    net.store.routes = 12_000;
    net.links = vec![1; PLACES.len()];
    let revision = net.publish();
    net.until(5_000, |net| net.node(1).expected == revision);
    net.kill(0);
    net.run(15_000);
    assert_eq!((net.node(1).in_force, net.node(1).expected), (held, held));
}
