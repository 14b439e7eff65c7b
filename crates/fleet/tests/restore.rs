//! A store that comes back from an older copy: its revisions go back and are given out again.

mod net;

use fleet::directory::Standing;
use net::Net;

/// Time limit for a change to be in force on every node, in ms.
const IN_FORCE_WITHIN_MS: u64 = 2_000;

/// How long the store is away before it comes back, in ms.
const AWAY_MS: [u64; 2] = [400, 2_500];

/// Time from the return to the next change, in ms.
const QUIET_MS: [u64; 3] = [5, 300, 3_100];

/// Number of writes that the copy lacks.
const LOST_WRITES: std::ops::RangeInclusive<u64> = 1..=3;

/// Returns `count` nodes in two data centres with their upstreams known everywhere.
fn converged(count: usize) -> Net {
    let data_centres: Vec<&'static str> = (0..count).map(|n| ["a", "b"][n % 2]).collect();
    let mut net = Net::new(&data_centres);
    net.until(4_000, |net| net.all(|n| n.open && n.view.iter().count() == count));
    net.run(3_000);
    net
}

/// Publishes versions that the copy lacks, takes the store away and brings it back without them.
fn lose_versions(net: &mut Net, lost: u64, away_ms: u64) {
    let copy = net.store.revision();
    for _ in 0..lost {
        net.publish();
        net.run(400);
    }
    net.restore(copy, away_ms);
}

/// Calls `check` with a fleet of each size after each loss, at each time after the return.
fn after_each_loss(check: impl Fn(&mut Net, usize, &str)) {
    for count in [2, 24] {
        for away_ms in AWAY_MS {
            for quiet_ms in QUIET_MS {
                for lost in LOST_WRITES {
                    let mut net = converged(count);
                    lose_versions(&mut net, lost, away_ms);
                    net.run(quiet_ms);
                    let case = format!(
                        "{count} nodes, away for {away_ms} ms, {lost} writes lost, {quiet_ms} ms later"
                    );
                    check(&mut net, count, &case);
                }
            }
        }
    }
}

fn knows_newest(net: &Net) -> bool {
    let version = net.store.version();
    net.all(|n| n.number == version)
}

/// Guards against a version that is never read, or is dropped as older, because its revision was given out
/// before.
#[test]
fn a_version_published_after_a_restore_is_in_force_in_time() {
    after_each_loss(|net, _, case| {
        net.publish();
        let begin = net.now;
        while !knows_newest(net) {
            assert!(net.now - begin < IN_FORCE_WITHIN_MS, "{case}");
            net.run(10);
        }
        assert!(net.regressions.is_empty(), "{case}: {:?}", net.regressions);
    });
}

/// Guards against calls to an upstream whose leave got a revision that was given out before.
#[test]
fn a_leave_after_a_restore_is_known_in_time() {
    after_each_loss(|net, count, case| {
        net.register(1, "i-1", Standing::Leaving);
        let begin = net.now;
        while (0..count).any(|node| net.is_target(node, "i-1")) {
            assert!(net.now - begin < IN_FORCE_WITHIN_MS, "{case}");
            net.run(10);
        }
    });
}
