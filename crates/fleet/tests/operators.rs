//! Operators who race, hurry, publish much, or publish what is wrong.

use standins::simulation::{Net, Options};
use std::time::Duration;

fn net() -> Net {
    let mut net = Net::new(Options { nodes: 12, ..Options::default() });
    net.publish("profiles/base", Some("{}"));
    net.run(Duration::from_secs(3));
    net
}

/// Runs until the newest acceptable revision is in force; compares it and the time.
#[track_caller]
fn check(net: &mut Net, revision: u64, limit: Duration) {
    assert_eq!(net.newest_valid(), revision);
    assert!(net.run_until_in_force(revision, limit).is_some(), "not in force after {limit:?}");
    assert_eq!(net.violations, Vec::<String>::new());
}

#[test]
fn two_operators_revise_at_the_same_moment() {
    let mut net = net();
    net.publish("profiles/base", Some(r#"{"attempts": 1}"#));
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    check(&mut net, 3, Duration::from_secs(1));
}

#[test]
fn a_revision_every_second_for_a_minute() {
    let mut net = net();
    for second in 0..60 {
        let text = format!(r#"{{"deadline_ms": {}}}"#, 100 + second);
        let revision = net.publish("profiles/base", Some(&text));
        check(&mut net, revision, Duration::from_secs(1));
        net.run(Duration::from_millis(900));
    }
}

#[test]
fn a_document_of_one_megabyte_and_48_services() {
    let mut net = net();
    let routes: Vec<String> =
        (0..60).map(|i| format!(r#"{{"prefix": "/{}{i}"}}"#, "p".repeat(17_000))).collect();
    let text = format!(r#"{{"routes": [{}]}}"#, routes.join(","));
    assert!(text.len() > 1_000_000 && text.len() < 1 << 20);
    net.publish("profiles/large", Some(&text));
    for i in 0..48 {
        net.publish(&format!("services/s{i}"), Some(r#"{"profile": "large"}"#));
    }
    check(&mut net, 50, Duration::from_secs(2));
}

/// A service is published before the profile that it names. No node may route by half of the two.
#[test]
fn documents_that_cross_wait_for_each_other() {
    cov_mark::check!(dangling_profile);
    let mut net = net();
    net.publish("services/till", Some(r#"{"profile": "late"}"#));
    net.run(Duration::from_secs(2));
    check(&mut net, 1, Duration::from_secs(1));
    net.publish("profiles/late", Some("{}"));
    check(&mut net, 3, Duration::from_secs(1));
}

#[test]
fn a_removed_document_is_gone_everywhere() {
    let mut net = net();
    net.publish("profiles/extra", Some("{}"));
    net.run(Duration::from_secs(1));
    net.publish("profiles/extra", None);
    check(&mut net, 3, Duration::from_secs(1));
}

/// A node that missed a removal must not keep the document because the delta does not name it.
#[test]
fn a_removal_is_not_missed_by_a_node_that_was_away() {
    let mut net = net();
    net.publish("profiles/extra", Some("{}"));
    net.run(Duration::from_secs(1));
    net.set_partition(3, 1);
    net.block_source(3);
    net.run(Duration::from_secs(1));
    net.publish("profiles/extra", None);
    net.run(Duration::from_secs(1));
    net.publish("profiles/base", Some(r#"{"attempts": 1}"#));
    net.run(Duration::from_secs(1));
    net.heal_partitions();
    net.unblock_sources();
    check(&mut net, 4, Duration::from_secs(45));
}

/// A till keeps calling a service that no longer exists: more documents were removed than the
/// peers remember, and the delta it pulled did not say so. Its digest must, and the whole follows.
#[test]
fn a_delta_that_forgets_removals_is_not_taken() {
    cov_mark::check!(delta_mismatch);
    let mut net = net();
    let keys: Vec<String> = (0..300).map(|i| format!("profiles/extra-{i}")).collect();
    for key in &keys {
        net.publish(key, Some("{}"));
    }
    net.run(Duration::from_secs(1));
    net.set_partition(3, 1);
    net.block_source(3);
    net.run(Duration::from_secs(1));
    for key in &keys {
        net.publish(key, None);
        net.run(Duration::from_millis(50));
    }
    net.heal_partitions();
    check(&mut net, 601, Duration::from_secs(45));
}
