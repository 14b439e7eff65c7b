//! Zone evacuation: operators have nothing more sent to a data centre, and take it back.

mod net;

use fleet::{
    directory::{Directory, Update},
    evacuation::{MAX_ORDERS, Order, Orders},
};
use model::time::Time;
use net::{Net, Treatment};
use std::time::Duration;

const PLACES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];

/// Upstreams of the data centre `b`.
const EVACUATED: [&str; 2] = ["i-3", "i-4"];

/// Time in which an order must be in force at every node of a fleet of some 80, in ms.
const BOUND: u64 = 1_000;

/// The same at some 300 nodes, in ms.
const BOUND_HUNDREDS: u64 = 1_500;

fn calm(zones: &[&'static str]) -> Net {
    let mut net = Net::new(zones);
    net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == zones.len()));
    net.run(3_000);
    net
}

fn sends_there(net: &Net, node: usize) -> bool {
    EVACUATED.iter().any(|id| net.is_target(node, id))
}

fn is_empty(net: &Net) -> bool {
    (0..PLACES.len()).all(|node| !sends_there(net, node))
}

fn is_back(net: &Net) -> bool {
    (0..PLACES.len()).all(|node| EVACUATED.iter().all(|id| net.is_target(node, id)))
}

fn order(data_centre: &str, revision: u64, withdrawn: bool) -> Order {
    Order { data_centre: data_centre.to_owned(), revision, withdrawn }
}

#[test]
fn an_order_is_in_force_everywhere_in_a_moment_and_so_is_its_withdrawal() {
    let mut net = calm(&PLACES);
    net.evacuate("b");
    net.until(BOUND, is_empty);
    assert!((0..7).all(|node| net.is_target(node, "i-0") && net.is_target(node, "i-6")));
    net.take_back("b");
    net.until(BOUND, is_back);
}

/// Guards against an order that takes longer the more nodes there are.
#[test]
fn an_order_is_in_force_at_dozens_and_at_hundreds_of_nodes_in_time() {
    for (part, bound) in [(27, BOUND), (98, BOUND_HUNDREDS)] {
        let zones: Vec<&'static str> = (0..3 * part).map(|n| ["a", "b", "c"][n / part]).collect();
        let mut net = calm(&zones);
        net.evacuate("b");
        net.until(bound, |net| (0..zones.len()).all(|n| net.target_count(n) == 2 * part));
        net.take_back("b");
        net.until(bound, |net| (0..zones.len()).all(|n| net.target_count(n) == 3 * part));
    }
}

/// Guards against nodes that go on sending because the platform refuses them and nobody else tells them.
#[test]
fn nodes_that_the_platform_refuses_hear_of_an_order_from_others() {
    for served in 0..PLACES.len() {
        let mut net = calm(&PLACES);
        net.treat_all(Treatment::Refuse);
        net.treat(served, Treatment::Serve);
        net.run(200);
        net.evacuate("b");
        net.until(2_000, is_empty);
        net.take_back("b");
        net.until(2_000, is_back);
    }
}

/// Guards against a restarted node that sends work to a data centre that was evacuated before it started.
#[test]
fn a_restarted_node_keeps_to_an_order_it_never_read_itself() {
    let mut net = calm(&PLACES);
    net.evacuate("b");
    net.until(BOUND, is_empty);
    net.treat_all(Treatment::Silent);
    net.run(1_000);
    for node in [0, 3, 6] {
        net.kill(node);
        net.start(node);
        net.until(3_000, |net| net.node(node).open);
        assert!(!sends_there(&net, node), "node {node}");
    }
}

/// Guards against a withdrawal that is lost with the platform's history: a whole copy names no withdrawals.
#[test]
fn a_whole_copy_without_an_order_withdraws_it() {
    let mut net = calm(&PLACES);
    net.evacuate("b");
    net.until(BOUND, is_empty);
    net.treat_all(Treatment::Refuse);
    net.run(500);
    net.take_back("b");
    net.compact();
    net.treat_all(Treatment::Serve);
    net.until(5_000, is_back);
}

/// Guards against nodes that were cut off and, once back, tell the others an order that was withdrawn.
#[test]
fn an_order_that_is_heard_late_is_not_revived() {
    let mut net = calm(&PLACES);
    net.evacuate("b");
    net.until(BOUND, is_empty);
    for other in 0..6 {
        net.set_cut(6, other, true);
    }
    net.treat(6, Treatment::Silent);
    net.run(500);
    net.take_back("b");
    net.until(2_000, |net| (0..6).all(|n| EVACUATED.iter().all(|id| net.is_target(n, id))));
    for other in 0..6 {
        net.set_cut(6, other, false);
    }
    for _ in 0..40 {
        net.run(50);
        assert!((0..6).all(|n| sends_there(&net, n)), "revived");
    }
    net.until(3_000, is_back);
}

/// Guards against a data centre that comes back at full load: its upstreams may be cold by then.
#[test]
fn upstreams_of_a_data_centre_that_is_taken_back_are_known_as_such() {
    let mut net = calm(&PLACES);
    net.evacuate("b");
    net.until(BOUND, is_empty);
    net.take_back("b");
    net.until(BOUND, is_back);
    let upstreams = net.node(0).view.upstreams("shelfview");
    let taken_back = |id: &str| upstreams.iter().find(|u| u.instance == id).unwrap().readmitted_at;
    assert!(taken_back("i-3").is_some_and(|at| at <= Time::from_millis(net.now)));
    assert_eq!(taken_back("i-0"), None);
}

#[test]
fn how_long_an_upstream_stays_cold_counts_from_when_it_was_heard() {
    let mut net = calm(&PLACES);
    net.register_cold(3, "i-3", 3_000);
    let begun = net.now;
    let until = |net: &Net| {
        let upstreams = net.node(0).view.upstreams("shelfview");
        upstreams.iter().find(|u| u.instance == "i-3").unwrap().cold_until.millis()
    };
    net.until(BOUND, |net| until(net) > 0);
    assert!((begun + 3_000..=net.now + 3_000).contains(&until(&net)));
}

/// Guards against an upstream that counts as cold for ever, since it once wrote an absurd time.
#[test]
fn an_upstream_that_writes_that_it_is_warm_is_warm() {
    let mut net = calm(&PLACES);
    let is_cold = |net: &Net, node: usize| {
        let upstreams = net.node(node).view.upstreams("shelfview");
        let upstream = upstreams.iter().find(|u| u.instance == "i-3").expect("it is listed");
        upstream.cold_until > Time::from_millis(net.now)
    };
    net.register_cold(3, "i-3", u64::MAX);
    net.until(BOUND, |net| (0..7).all(|node| is_cold(net, node)));
    net.register_cold(3, "i-3", 0);
    net.until(BOUND, |net| !(0..7).any(|node| is_cold(net, node)));
}

/// Guards against hundreds of orders for names that no data centre has: they fill no memory, and the orders
/// before them stand.
#[test]
fn orders_are_bounded() {
    let mut orders = Orders::default();
    orders.merge([order("b", 1, false)]);
    for number in 0..2 * MAX_ORDERS as u64 {
        orders.merge([order(&format!("junk-{number}"), number + 2, false)]);
    }
    assert_eq!(orders.in_force().count(), MAX_ORDERS);
    assert!(orders.is_evacuated("b"));
    // Withdrawals make room for later orders and are not undone by earlier ones.
    orders.merge([order("junk-0", 10_000, true), order("c", 10_001, false)]);
    assert!(orders.is_evacuated("c"));
    orders.merge([order("junk-0", 9_999, false)]);
    assert!(!orders.is_evacuated("junk-0"));
}

/// Guards against copies that end up different when the same orders are heard in another sequence.
#[test]
fn copies_agree_whatever_the_sequence() {
    let heard =
        [order("a", 3, false), order("a", 5, true), order("b", 4, false), order("a", 7, false)];
    let mut expect = Orders::default();
    expect.merge(heard.clone());
    for first in 0..heard.len() {
        for second in 0..heard.len() {
            let mut orders = Orders::default();
            orders.merge([heard[first].clone(), heard[second].clone()]);
            orders.merge(heard.iter().rev().cloned());
            assert_eq!(orders.since(None), expect.since(None));
        }
    }
}

/// Guards against a node of a product version without orders, whose whole copies would withdraw all of them.
#[test]
fn a_copy_that_says_nothing_of_orders_withdraws_none() {
    let mut copy = Directory::default();
    let told =
        Update { revision: 5, orders: Some(vec![order("b", 5, false)]), ..Update::default() };
    copy.apply(told, Duration::ZERO, Time::default()).expect("a whole copy leaves no gap");
    let silent = Update { revision: 6, ..Update::default() };
    copy.apply(silent, Duration::ZERO, Time::default()).expect("a whole copy leaves no gap");
    assert!(copy.orders().is_evacuated("b"));
}
