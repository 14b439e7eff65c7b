//! Long cuts: from the platform, of a data centre, between two halves.

use standins::{
    script::CONVERGENCE_LIMIT,
    simulation::{Net, Options, Source, address},
};
use std::time::Duration;

const NIGHT: Duration = Duration::from_secs(8 * 3_600);
const HOUR: Duration = Duration::from_secs(3_600);

fn net(nodes: usize) -> Net {
    let mut net = Net::new(Options { nodes, ..Options::default() });
    net.publish("profiles/base", Some("{}"));
    net.run(Duration::from_secs(3));
    net
}

/// Compares the revision in force at each node.
#[track_caller]
fn check(net: &Net, expect: &[u64]) {
    let held: Vec<u64> = (0..net.len()).map(|node| net.version(node).revision).collect();
    assert_eq!(held, expect);
    assert_eq!(net.violations, Vec::<String>::new());
}

/// After a night in which the platform was out of reach, the morning's revision does not arrive:
/// the nodes had backed off for ever, or believed that there was nothing to read.
#[test]
fn a_night_without_the_platform() {
    let mut net = net(4);
    net.set_source(Source::Down);
    net.run(NIGHT);
    check(&net, &[1, 1, 1, 1]);
    net.set_source(Source::Up);
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    net.run(CONVERGENCE_LIMIT);
    check(&net, &[2, 2, 2, 2]);
}

/// A node that starts while the platform is down gets its configuration from the others.
#[test]
fn a_node_joins_without_the_platform() {
    let mut net = net(4);
    net.set_source(Source::Down);
    net.run(HOUR);
    net.start(2);
    net.run(Duration::from_secs(2));
    check(&net, &[1, 1, 1, 1]);
}

/// Half of a data centre cannot speak to the other half for an hour, and only one half reaches the
/// platform. Afterwards both must find each other again, although each has long given the other up.
#[test]
fn two_halves_meet_again() {
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
        assert!((0..6).all(works), "node {node} still misses somebody");
    }
}

/// A reader that is cut off from the platform must not keep its data centre from learning.
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

/// A platform that lags behind by a revision serves it to a node that starts: its peers know
/// better, and what they hold must win.
#[test]
fn a_stale_platform_does_not_decide() {
    let mut net = net(4);
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    net.run(Duration::from_secs(1));
    net.set_stale_at(1);
    net.start(1);
    net.run(Duration::from_secs(3));
    check(&net, &[2, 2, 2, 2]);
}
