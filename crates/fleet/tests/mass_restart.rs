//! Restarts of many nodes at once: reads stay within the platform's rate limit, and all nodes recover.

use standins::{
    platform::READS_PER_SECOND,
    simulation::{Net, Options, Source},
};
use std::time::Duration;

fn net(nodes: usize, seeds: usize) -> Net {
    let options = Options { nodes, data_centres: 6, services: 12, seeds, ..Options::default() };
    let mut net = Net::new(options);
    net.publish("profiles/base", Some("{}"));
    net.publish("services/service-0", Some(r#"{"profile": "base"}"#));
    net.run(Duration::from_secs(4));
    net
}

/// Restarts every node while the platform is in the state `source`, which lasts ten seconds unless it is up;
/// checks the time from then until the newest version is in force, and the rate of reads.
#[track_caller]
fn check(source: Source, seeds: usize, limit: Duration) {
    let mut net = net(120, seeds);
    net.peak_reads = 0;
    net.set_source(source);
    (0..net.len()).for_each(|node| net.start(node));
    if source != Source::Up {
        net.run(Duration::from_secs(10));
        net.set_source(Source::Up);
    }
    let newest = net.newest_valid();
    let elapsed = net.run_until_in_force(newest, limit);
    assert!(elapsed.is_some(), "{source:?}: not in force after {limit:?}");
    assert!(net.peak_reads <= READS_PER_SECOND, "{source:?}: {} reads in a second", net.peak_reads);
    assert_eq!(net.violations, Vec::<String>::new());
}

/// Guards against synchronised reads and retries when every node starts in the same second.
#[test]
fn a_mass_restart_stays_within_the_read_limit() {
    check(Source::Up, 4, Duration::from_secs(3));
    check(Source::Up, 0, Duration::from_secs(3));
    check(Source::Slow(Duration::from_millis(700)), 4, Duration::from_secs(3));
    check(Source::Stale, 4, Duration::from_secs(3));
    check(Source::Down, 4, Duration::from_secs(32));
    check(Source::Down, 0, Duration::from_secs(32));
}

/// Starts 570 nodes without seeds; checks that reads stay within half of the limit.
///
/// This depends on the jitter before the first read.
#[track_caller]
fn check_without_seeds(source: Source) {
    let options =
        Options { nodes: 570, data_centres: 6, services: 48, seeds: 0, ..Options::default() };
    let mut net = Net::new(options);
    net.set_source(source);
    let newest = net.publish("profiles/base", Some("{}"));
    let elapsed = net.run_until_in_force(newest, Duration::from_secs(5));
    assert!(elapsed.is_some(), "{source:?}: not in force");
    assert!(
        net.peak_reads <= READS_PER_SECOND / 2,
        "{source:?}: {} reads in a second",
        net.peak_reads
    );
}

/// Guards against exceeding the limit in a large fleet where no node knows a peer.
#[test]
fn a_start_of_570_nodes_without_seeds_stays_within_the_read_limit() {
    check_without_seeds(Source::Up);
    check_without_seeds(Source::Slow(Duration::from_millis(700)));
}

/// One data centre restarts as a whole while the others continue.
#[test]
fn a_restarted_data_centre_recovers_within_three_seconds() {
    let mut net = net(60, 4);
    net.peak_reads = 0;
    (0..net.len()).filter(|node| node % 6 == 2).for_each(|node| net.start(node));
    let newest = net.newest_valid();
    assert!(net.run_until_in_force(newest, Duration::from_secs(3)).is_some());
    assert!(net.peak_reads <= 60, "{} reads in a second", net.peak_reads);
}

/// Guards against a member table that is truncated to one sync message.
#[test]
fn a_large_member_table_is_synced_in_parts() {
    cov_mark::check!(sync_goes_on);
    let mut net = net(400, 4);
    net.start(7);
    net.run(Duration::from_secs(2));
    let known = net.control(7).map(|control| control.roster().iter().count());
    assert_eq!(known, Some(400));
}
