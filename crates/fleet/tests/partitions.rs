//! Long partitions: from the platform, of a data centre, and between two halves of one.

use standins::{
    script::CONVERGENCE_LIMIT,
    simulation::{Net, Options, Source, address},
};
use std::time::Duration;

const OUTAGE: Duration = Duration::from_secs(8 * 3_600);
const HOUR: Duration = Duration::from_secs(3_600);

fn net(nodes: usize) -> Net {
    let mut net = Net::new(Options { nodes, ..Options::default() });
    net.publish("profiles/base", Some("{}"));
    net.run(Duration::from_secs(3));
    net
}

/// Compares the revision in force on each node.
#[track_caller]
fn check(net: &Net, expect: &[u64]) {
    let held: Vec<u64> = (0..net.len()).map(|node| net.version(node).revision).collect();
    assert_eq!(held, expect);
    assert_eq!(net.violations, Vec::<String>::new());
}

/// Guards against nodes that stop polling, or back off without a bound, in a long platform outage.
#[test]
fn nodes_read_a_revision_published_after_a_long_platform_outage() {
    let mut net = net(4);
    net.set_source(Source::Down);
    net.run(OUTAGE);
    check(&net, &[1, 1, 1, 1]);
    net.set_source(Source::Up);
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    net.run(CONVERGENCE_LIMIT);
    check(&net, &[2, 2, 2, 2]);
}

/// Guards against a node that cannot start without the platform.
#[test]
fn a_node_that_starts_in_a_platform_outage_learns_from_peers() {
    let mut net = net(4);
    net.set_source(Source::Down);
    net.run(HOUR);
    net.start(2);
    net.run(Duration::from_secs(2));
    check(&net, &[1, 1, 1, 1]);
}

/// Guards against halves that no longer probe each other after a long partition. Only one half reaches the
/// platform.
#[test]
fn two_partitions_merge_after_an_hour() {
    let mut net = net(6);
    for node in 0..3 {
        net.set_partition(node, 1);
        net.block_source(node);
    }
    net.run(Duration::from_secs(60));
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    net.run(HOUR);
    check(&net, &[1, 1, 1, 2, 2, 2]);
    net.heal_partitions();
    net.run(Duration::from_secs(10));
    check(&net, &[2, 2, 2, 2, 2, 2]);
    for node in 0..6 {
        let roster = net.control(node).expect("the node runs").roster();
        let works = |peer| roster.get(address(peer)).is_some_and(|r| r.state.takes_work());
        assert!((0..6).all(works), "node {node} still misses a node");
    }
}

/// Guards against a data centre that gets no updates because its readers lost the platform.
#[test]
fn readers_cut_off_from_the_platform_are_replaced() {
    let mut net = net(6);
    let readers: Vec<usize> = (0..6).filter(|&n| is_reader(&mut net, n)).collect();
    readers.iter().for_each(|&node| net.block_source(node));
    net.partition_data_centre(0);
    net.run(Duration::from_secs(60));
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    net.run(Duration::from_secs(45));
    check(&net, &[2, 2, 2, 2, 2, 2]);
}

fn is_reader(net: &mut Net, node: usize) -> bool {
    net.status(node).is_some_and(|status| status.reader_rank < fleet::source::READERS)
}

/// Guards against a starting node that keeps the older revision of a lagging platform replica.
#[test]
fn a_stale_platform_answer_does_not_override_a_newer_revision() {
    let mut net = net(4);
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    net.run(Duration::from_secs(1));
    net.set_stale_at(1);
    net.start(1);
    net.run(Duration::from_secs(3));
    check(&net, &[2, 2, 2, 2]);
}
