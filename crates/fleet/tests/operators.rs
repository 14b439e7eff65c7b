//! Publications: concurrent, frequent, large, removed and inconsistent documents.

use standins::simulation::{Net, Options};
use std::time::Duration;

fn net() -> Net {
    let mut net = Net::new(Options { nodes: 12, ..Options::default() });
    net.publish("profiles/base", Some("{}"));
    net.run(Duration::from_secs(3));
    net
}

/// Runs until the newest valid revision is in force; compares the revision and the time.
#[track_caller]
fn check(net: &mut Net, revision: u64, limit: Duration) {
    assert_eq!(net.newest_valid(), revision);
    assert!(net.run_until_in_force(revision, limit).is_some(), "not in force after {limit:?}");
    assert_eq!(net.violations, Vec::<String>::new());
}

#[test]
fn the_later_of_two_concurrent_publications_is_in_force() {
    let mut net = net();
    net.publish("profiles/base", Some(r#"{"attempts": 1}"#));
    net.publish("profiles/base", Some(r#"{"attempts": 2}"#));
    check(&mut net, 3, Duration::from_secs(1));
}

#[test]
fn one_revision_per_second_is_in_force_within_a_second() {
    let mut net = net();
    for second in 0..60 {
        let text = format!(r#"{{"deadline_ms": {}}}"#, 100 + second);
        let revision = net.publish("profiles/base", Some(&text));
        check(&mut net, revision, Duration::from_secs(1));
        net.run(Duration::from_millis(900));
    }
}

#[test]
fn a_document_of_one_megabyte_and_48_services_is_in_force_within_two_seconds() {
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

/// Guards against a configuration in force whose service names a missing profile.
#[test]
fn a_service_published_before_its_profile_waits_for_it() {
    cov_mark::check!(dangling_profile);
    let mut net = net();
    net.publish("services/till", Some(r#"{"profile": "late"}"#));
    net.run(Duration::from_secs(2));
    check(&mut net, 1, Duration::from_secs(1));
    net.publish("profiles/late", Some("{}"));
    check(&mut net, 3, Duration::from_secs(1));
}

#[test]
fn a_removed_document_is_removed_on_every_node() {
    let mut net = net();
    net.publish("profiles/extra", Some("{}"));
    net.run(Duration::from_secs(1));
    net.publish("profiles/extra", None);
    check(&mut net, 3, Duration::from_secs(1));
}

/// Guards against a document that stays on a node that was partitioned during its removal.
#[test]
fn a_reconnected_node_learns_of_a_removal() {
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

/// Guards against keeping removed documents when a delta lacks removals that the peer has pruned: the
/// content hash must differ and cause a full transfer.
#[test]
fn a_delta_that_lacks_removals_is_rejected() {
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
