//! Herd restarts: the platform's limit of reads holds, and everything is in force again.

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

/// Restarts every node while the platform is in `source`, which ends after ten seconds; compares
/// how long it takes from then, or from the restart, until all is in force.
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
    let healed = net.run_until_in_force(newest, limit);
    assert!(healed.is_some(), "{source:?}: not in force after {limit:?}");
    assert!(net.peak_reads <= READS_PER_SECOND, "{source:?}: {} reads in a second", net.peak_reads);
    assert_eq!(net.violations, Vec::<String>::new());
}

/// At opening time no till is served: after a power cut every node starts in the same second, each
/// knows nobody and reads the platform, which refuses all over its limit, and they try again
/// together.
#[test]
fn a_herd_restart_keeps_the_limit() {
    check(Source::Up, 4, Duration::from_secs(3));
    check(Source::Up, 0, Duration::from_secs(3));
    check(Source::Slow(Duration::from_millis(700)), 4, Duration::from_secs(3));
    check(Source::Stale, 4, Duration::from_secs(3));
    check(Source::Down, 4, Duration::from_secs(32));
    check(Source::Down, 0, Duration::from_secs(32));
}

/// Starts 570 nodes that know nobody; compares the reads with half of the limit.
///
/// Without the random wait before the first read, all 1,140 come at once when the platform is slow.
#[track_caller]
fn check_strangers(source: Source) {
    let options =
        Options { nodes: 570, data_centres: 6, services: 48, seeds: 0, ..Options::default() };
    let mut net = Net::new(options);
    net.set_source(source);
    let newest = net.publish("profiles/base", Some("{}"));
    let begun = net.run_until_in_force(newest, Duration::from_secs(5));
    assert!(begun.is_some(), "{source:?}: not in force");
    assert!(
        net.peak_reads <= READS_PER_SECOND / 2,
        "{source:?}: {} reads in a second",
        net.peak_reads
    );
}

/// The same at the size of two years from now, with not one contact known.
#[test]
fn a_herd_of_570_strangers_keeps_the_limit() {
    check_strangers(Source::Up);
    check_strangers(Source::Slow(Duration::from_millis(700)));
}

/// One data centre restarts as a whole while the others go on.
#[test]
fn a_data_centre_restarts() {
    let mut net = net(60, 4);
    net.peak_reads = 0;
    (0..net.len()).filter(|node| node % 6 == 2).for_each(|node| net.start(node));
    let newest = net.newest_valid();
    assert!(net.run_until_in_force(newest, Duration::from_secs(3)).is_some());
    assert!(net.peak_reads <= 60, "{} reads in a second", net.peak_reads);
}

/// A node that joins hundreds gets their records in parts, and still knows all within a moment.
#[test]
fn a_large_table_is_learned_in_parts() {
    cov_mark::check!(sync_goes_on);
    let mut net = net(400, 4);
    net.start(7);
    net.run(Duration::from_secs(2));
    let known = net.control(7).map(|control| control.roster().iter().count());
    assert_eq!(known, Some(400));
}
