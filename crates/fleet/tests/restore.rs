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

/// Guards against an upstream that left, or was removed, before the return and gets calls because the copy
/// lists it as ready.
#[test]
fn what_had_left_does_not_come_back_with_the_copy() {
    for count in [2, 24] {
        for away_ms in AWAY_MS {
            let mut net = converged(count);
            let copy = net.store.revision();
            net.register(0, "i-0", Standing::Leaving);
            net.unregister("i-1");
            net.run(600);
            net.restore(copy, away_ms);
            for _ in 0..60 {
                net.run(50);
                for node in 0..count {
                    for id in ["i-0", "i-1"] {
                        assert!(!net.is_target(node, id), "{id} at node {node}, {}", net.now);
                    }
                }
            }
        }
    }
}

/// Guards against an upstream that is refused for ever because it was removed before the return.
#[test]
fn what_the_store_still_lists_long_after_its_return_gets_calls() {
    for count in [2, 24] {
        let mut net = converged(count);
        let copy = net.store.revision();
        net.unregister("i-1");
        net.run(600);
        net.restore(copy, 400);
        net.until(12_000, |net| (0..count).all(|node| net.is_target(node, "i-1")));
        net.unregister("i-1");
        net.until(IN_FORCE_WITHIN_MS, |net| (0..count).all(|node| !net.is_target(node, "i-1")));
    }
}

/// Guards against calls that stop for live upstreams because the copy lacks their registration, and against
/// those that go on for ever to dead ones.
#[test]
fn an_upstream_that_the_copy_lacks_is_kept_until_it_could_register_again() {
    for count in [2, 24] {
        let mut net = converged(count);
        let copy = net.store.revision();
        net.unregister("i-0");
        net.unregister("i-1");
        net.register(0, "i-live", Standing::Ready);
        net.register(1, "i-dead", Standing::Ready);
        net.until(IN_FORCE_WITHIN_MS, |net| (0..count).all(|node| net.is_target(node, "i-dead")));
        net.restore(copy, 400);
        net.run(1_500);
        assert!((0..count).all(|node| net.is_target(node, "i-live")));
        net.register(0, "i-live", Standing::Ready);
        net.run(3_000);
        assert!((0..count).all(|node| net.is_target(node, "i-live")));
        assert!((0..count).all(|node| !net.is_target(node, "i-dead")));
    }
}

/// Guards against a restarted node that stays at the copy's version, and against one that spreads it.
#[test]
fn a_node_that_restarts_beside_an_older_copy_gets_the_newest_version() {
    for count in [2, 24] {
        for restarted in [0, 1] {
            let mut net = converged(count);
            lose_versions(&mut net, 2, 400);
            net.run(50);
            net.kill(restarted);
            net.run(200);
            net.start(restarted);
            net.until(2_000, |net| net.node(restarted).open && knows_newest(net));
            assert!(net.regressions.iter().all(|(node, ..)| *node == restarted));
        }
    }
}

/// Guards against changes of an earlier era that a node which was cut off brings back.
#[test]
fn a_node_that_was_cut_off_meanwhile_learns_the_new_era_and_spreads_nothing_old() {
    for count in [2, 24] {
        let mut net = converged(count);
        let copy = net.store.revision();
        net.register(1, "i-lost", Standing::Ready);
        net.until(IN_FORCE_WITHIN_MS, |net| (0..count).all(|node| net.is_target(node, "i-lost")));
        net.treat(1, net::Treatment::Silent);
        (0..count).for_each(|node| net.set_cut(1, node, node != 1));
        net.restore(copy, 400);
        net.treat(1, net::Treatment::Silent);
        net.register(1, "i-1", Standing::Ready);
        net.publish();
        net.run(4_000);
        (0..count).for_each(|node| net.set_cut(1, node, false));
        net.run(6_000);
        assert!((0..count).all(|node| !net.is_target(node, "i-lost")));
        assert!(knows_newest(&net));
    }
}

/// Guards against standbys that continue from a revision of an earlier era once the readers are gone.
#[test]
fn a_standby_that_takes_over_after_a_restore_reads_the_new_era() {
    let mut net = converged(24);
    lose_versions(&mut net, 3, 400);
    net.run(500);
    let calls = net.store_calls;
    for node in 0..20 {
        net.kill(node);
    }
    net.run(2_500);
    net.publish();
    net.register(23, "i-23", Standing::Leaving);
    net.until(IN_FORCE_WITHIN_MS, |net| knows_newest(net) && !net.is_target(22, "i-23"));
    assert!(net.store_calls - calls < 60, "{}", net.store_calls - calls);
}

/// Guards against two returns in a row, the second to a copy from before the first.
#[test]
fn two_returns_in_a_row_lose_nothing_that_is_written_again() {
    for count in [2, 24] {
        let mut net = converged(count);
        let copy = net.store.revision();
        lose_versions(&mut net, 2, 400);
        net.run(700);
        net.publish();
        net.register(0, "i-0", Standing::Leaving);
        net.run(100);
        net.restore(copy, 400);
        net.run(300);
        net.publish();
        net.register(1, "i-1", Standing::Leaving);
        net.register(0, "i-0", Standing::Leaving);
        let left = |net: &Net, node| net.is_target(node, "i-0") || net.is_target(node, "i-1");
        net.until(IN_FORCE_WITHIN_MS, |net| {
            knows_newest(net) && (0..count).all(|node| !left(net, node))
        });
        assert!(net.regressions.is_empty(), "{:?}", net.regressions);
    }
}

/// Guards against an evacuation that ends, or comes back, because the copy is older than the order.
#[test]
fn evacuations_neither_end_nor_come_back_with_the_copy() {
    for count in [2, 24] {
        let mut net = converged(count);
        net.evacuate("a");
        net.run(600);
        let copy = net.store.revision();
        net.withdraw("a");
        net.evacuate("b");
        net.run(600);
        net.restore(copy, 400);
        let holds = |net: &Net| {
            (0..count).all(|node| net.is_target(node, "i-0") && !net.is_target(node, "i-1"))
        };
        for _ in 0..20 {
            net.run(50);
            assert!(holds(&net), "{}", net.now);
        }
        net.withdraw("a");
        net.evacuate("b");
        net.run(3_000);
        assert!(holds(&net));
        net.withdraw("b");
        net.until(IN_FORCE_WITHIN_MS, |net| (0..count).all(|node| net.is_target(node, "i-1")));
    }
}

/// Guards against calls to the previous upstream of an address, whose entry the copy still has.
#[test]
fn the_later_upstream_of_an_address_keeps_its_calls() {
    for count in [2, 24] {
        let mut net = converged(count);
        let copy = net.store.revision();
        net.register(0, "i-new", Standing::Ready);
        let has_moved = |net: &Net| {
            (0..count).all(|node| net.is_target(node, "i-new") && !net.is_target(node, "i-0"))
        };
        net.until(IN_FORCE_WITHIN_MS, has_moved);
        net.restore(copy, 400);
        for _ in 0..30 {
            net.run(50);
            assert!(has_moved(&net), "{}", net.now);
        }
        net.register(0, "i-new", Standing::Ready);
        net.run(3_000);
        assert!(has_moved(&net));
    }
}

/// Guards against an upstream, or an evacuation, that only the copy of an earlier return had and that comes into
/// force after the next one.
#[test]
fn what_only_an_earlier_copy_had_does_not_come_back() {
    for count in [2, 24] {
        let mut net = converged(count);
        let first = net.store.revision();
        net.register(0, "i-x", Standing::Ready);
        net.evacuate("b");
        net.run(600);
        let second = net.store.revision();
        net.unregister("i-x");
        net.withdraw("b");
        net.run(600);
        net.restore(second, 400);
        net.run(500);
        net.restore(first, 400);
        for _ in 0..140 {
            net.run(100);
            for node in 0..count {
                assert!(!net.is_target(node, "i-x"), "{}", net.now);
                assert!(net.is_target(node, "i-1"), "{}", net.now);
            }
        }
    }
}

/// Guards against taking the first leave of an upstream for an old entry of the copy, because it was written
/// before any node had read the new era.
#[test]
fn a_leave_written_before_the_first_read_of_the_era_counts() {
    for count in [2, 24] {
        let mut net = converged(count);
        let copy = net.store.revision();
        for _ in 0..3 {
            net.register(1, "i-1", Standing::Ready);
            net.run(400);
        }
        net.restore(copy, 400);
        net.register(1, "i-1", Standing::Leaving);
        net.until(IN_FORCE_WITHIN_MS, |net| (0..count).all(|node| !net.is_target(node, "i-1")));
    }
}

/// Guards against calls to an upstream whose value was overwritten by an invalid one before the first read of the
/// era.
#[test]
fn an_invalid_value_written_before_the_first_read_of_the_era_counts() {
    for count in [2, 24] {
        let mut net = converged(count);
        let copy = net.store.revision();
        for _ in 0..3 {
            net.register(1, "i-1", Standing::Ready);
            net.run(400);
        }
        net.restore(copy, 400);
        net.write_malformed("i-1");
        net.until(IN_FORCE_WITHIN_MS, |net| (0..count).all(|node| !net.is_target(node, "i-1")));
    }
}
