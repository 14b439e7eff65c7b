//! Evacuation of data centres: orders of operators and their withdrawal.

mod net;

use fleet::{
    directory::{Directory, Update},
    era::Era,
    evacuation::{MAX_ORDERS, Order, Orders},
};
use model::time::Time;
use net::{Net, Treatment};
use std::time::Duration;

const DATA_CENTRES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];

/// Upstreams of the data centre `b`.
const EVACUATED: [&str; 2] = ["i-3", "i-4"];

/// Time limit for an order to reach every node of a fleet of up to 81 nodes, in ms.
const LIMIT_MS: u64 = 1_000;

/// Time limit for an order to reach every node of a fleet of 294 nodes, in ms.
const LARGE_FLEET_LIMIT_MS: u64 = 1_500;

fn converged(data_centres: &[&'static str]) -> Net {
    let mut net = Net::new(data_centres);
    net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == data_centres.len()));
    net.run(3_000);
    net
}

fn sends_to_evacuated(net: &Net, node: usize) -> bool {
    EVACUATED.iter().any(|id| net.is_target(node, id))
}

fn is_evacuated_everywhere(net: &Net) -> bool {
    (0..DATA_CENTRES.len()).all(|node| !sends_to_evacuated(net, node))
}

fn is_readmitted_everywhere(net: &Net) -> bool {
    (0..DATA_CENTRES.len()).all(|node| EVACUATED.iter().all(|id| net.is_target(node, id)))
}

fn order(data_centre: &str, revision: u64, withdrawn: bool) -> Order {
    Order { data_centre: data_centre.to_owned(), revision, withdrawn }
}

#[test]
fn an_order_and_its_withdrawal_reach_all_nodes_in_time() {
    let mut net = converged(&DATA_CENTRES);
    net.evacuate("b");
    net.until(LIMIT_MS, is_evacuated_everywhere);
    assert!((0..7).all(|node| net.is_target(node, "i-0") && net.is_target(node, "i-6")));
    net.withdraw("b");
    net.until(LIMIT_MS, is_readmitted_everywhere);
}

/// Guards against a propagation time that grows with the number of nodes.
#[test]
fn an_order_reaches_dozens_and_hundreds_of_nodes_in_time() {
    for (size, limit_ms) in [(27, LIMIT_MS), (98, LARGE_FLEET_LIMIT_MS)] {
        let data_centres: Vec<&'static str> =
            (0..3 * size).map(|n| ["a", "b", "c"][n / size]).collect();
        let mut net = converged(&data_centres);
        net.evacuate("b");
        net.until(limit_ms, |net| (0..data_centres.len()).all(|n| net.target_count(n) == 2 * size));
        net.withdraw("b");
        net.until(limit_ms, |net| (0..data_centres.len()).all(|n| net.target_count(n) == 3 * size));
    }
}

/// Guards against nodes that keep sending because the platform rejects their calls.
#[test]
fn rate_limited_nodes_learn_of_an_order_from_peers() {
    for served in 0..DATA_CENTRES.len() {
        let mut net = converged(&DATA_CENTRES);
        net.treat_all(Treatment::Refuse);
        net.treat(served, Treatment::Serve);
        net.run(200);
        net.evacuate("b");
        net.until(2_000, is_evacuated_everywhere);
        net.withdraw("b");
        net.until(2_000, is_readmitted_everywhere);
    }
}

/// Guards against a restarted node that sends work to a data centre evacuated before its start.
#[test]
fn a_restarted_node_follows_an_order_it_learns_from_peers() {
    let mut net = converged(&DATA_CENTRES);
    net.evacuate("b");
    net.until(LIMIT_MS, is_evacuated_everywhere);
    net.treat_all(Treatment::Silent);
    net.run(1_000);
    for node in [0, 3, 6] {
        net.kill(node);
        net.start(node);
        net.until(3_000, |net| net.node(node).open);
        assert!(!sends_to_evacuated(&net, node), "node {node}");
    }
}

/// Guards against a lost withdrawal after compaction: a whole list contains no withdrawals.
#[test]
fn a_whole_list_without_an_order_withdraws_it() {
    let mut net = converged(&DATA_CENTRES);
    net.evacuate("b");
    net.until(LIMIT_MS, is_evacuated_everywhere);
    net.treat_all(Treatment::Refuse);
    net.run(500);
    net.withdraw("b");
    net.compact();
    net.treat_all(Treatment::Serve);
    net.until(5_000, is_readmitted_everywhere);
}

/// Guards against a partitioned node that gossips a withdrawn order after the partition heals.
#[test]
fn a_delayed_order_does_not_undo_its_withdrawal() {
    let mut net = converged(&DATA_CENTRES);
    net.evacuate("b");
    net.until(LIMIT_MS, is_evacuated_everywhere);
    for other in 0..6 {
        net.set_cut(6, other, true);
    }
    net.treat(6, Treatment::Silent);
    net.run(500);
    net.withdraw("b");
    net.until(2_000, |net| (0..6).all(|n| EVACUATED.iter().all(|id| net.is_target(n, id))));
    for other in 0..6 {
        net.set_cut(6, other, false);
    }
    for _ in 0..40 {
        net.run(50);
        assert!(
            (0..6).all(|n| sends_to_evacuated(&net, n)),
            "the withdrawn order is in force again"
        );
    }
    net.until(3_000, is_readmitted_everywhere);
}

/// Guards against full load on readmitted upstreams, which may be cold.
#[test]
fn upstreams_of_a_readmitted_data_centre_have_a_readmission_time() {
    let mut net = converged(&DATA_CENTRES);
    net.evacuate("b");
    net.until(LIMIT_MS, is_evacuated_everywhere);
    net.withdraw("b");
    net.until(LIMIT_MS, is_readmitted_everywhere);
    let upstreams = net.node(0).view.upstreams("shelfview");
    let readmitted_at =
        |id: &str| upstreams.iter().find(|u| u.instance == id).unwrap().readmitted_at;
    assert!(readmitted_at("i-3").is_some_and(|at| at <= Time::from_millis(net.now)));
    assert_eq!(readmitted_at("i-0"), None);
}

#[test]
fn the_warm_up_time_counts_from_the_receipt_of_the_entry() {
    let mut net = converged(&DATA_CENTRES);
    net.register_cold(3, "i-3", 3_000);
    let registered_at = net.now;
    let cold_until_ms = |net: &Net| {
        let upstreams = net.node(0).view.upstreams("shelfview");
        upstreams.iter().find(|u| u.instance == "i-3").unwrap().cold_until.millis()
    };
    net.until(LIMIT_MS, |net| cold_until_ms(net) > 0);
    assert!((registered_at + 3_000..=net.now + 3_000).contains(&cold_until_ms(&net)));
}

/// Guards against an upstream that stays cold because it once registered an excessive time.
#[test]
fn an_upstream_ends_its_warm_up_by_registering_again() {
    let mut net = converged(&DATA_CENTRES);
    let is_cold = |net: &Net, node: usize| {
        let upstreams = net.node(node).view.upstreams("shelfview");
        let upstream =
            upstreams.iter().find(|u| u.instance == "i-3").expect("the upstream is listed");
        upstream.cold_until > Time::from_millis(net.now)
    };
    net.register_cold(3, "i-3", u64::MAX);
    net.until(LIMIT_MS, |net| (0..7).all(|node| is_cold(net, node)));
    net.register_cold(3, "i-3", 0);
    net.until(LIMIT_MS, |net| !(0..7).any(|node| is_cold(net, node)));
}

/// Guards against unbounded memory by orders for unknown data centres, and against evicting earlier
/// orders.
#[test]
fn the_number_of_orders_is_bounded() {
    let mut orders = Orders::default();
    orders.merge([order("b", 1, false)], Era::default());
    for number in 0..2 * MAX_ORDERS as u64 {
        orders.merge([order(&format!("junk-{number}"), number + 2, false)], Era::default());
    }
    assert_eq!(orders.in_force().count(), MAX_ORDERS);
    assert!(orders.is_evacuated("b"));
    // A withdrawal is evicted for a later order, and an earlier order does not undo it.
    orders.merge([order("junk-0", 10_000, true), order("c", 10_001, false)], Era::default());
    assert!(orders.is_evacuated("c"));
    orders.merge([order("junk-0", 9_999, false)], Era::default());
    assert!(!orders.is_evacuated("junk-0"));
}

/// Guards against replicas that diverge by the order of arrival.
#[test]
fn orders_merge_to_the_same_state_in_any_sequence() {
    let received =
        [order("a", 3, false), order("a", 5, true), order("b", 4, false), order("a", 7, false)];
    let mut expect = Orders::default();
    expect.merge(received.clone(), Era::default());
    for first in 0..received.len() {
        for second in 0..received.len() {
            let mut orders = Orders::default();
            orders.merge([received[first].clone(), received[second].clone()], Era::default());
            orders.merge(received.iter().rev().cloned(), Era::default());
            assert_eq!(orders.since(None), expect.since(None));
        }
    }
}

/// Guards against an older product version whose whole lists would withdraw all orders.
#[test]
fn a_whole_list_of_an_older_version_withdraws_no_order() {
    let mut replica = Directory::default();
    let update =
        Update { revision: 5, orders: Some(vec![order("b", 5, false)]), ..Update::default() };
    replica.apply(update, Duration::ZERO, Time::default()).expect("a whole list leaves no gap");
    let without_orders = Update { revision: 6, ..Update::default() };
    replica
        .apply(without_orders, Duration::ZERO, Time::default())
        .expect("a whole list leaves no gap");
    assert!(replica.orders().is_evacuated("b"));
}
