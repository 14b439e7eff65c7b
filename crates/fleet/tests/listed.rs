//! Convergence of nodes in list mode under faults of platform, nodes and network.

mod net;

use fleet::{control::Event, directory::Standing};
use net::{Net, Treatment};

const DATA_CENTRES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];

/// Time limit for a change to be in force on every connected node, in ms.
const IN_FORCE_WITHIN_MS: u64 = 2_000;

fn converged() -> Net {
    let mut net = Net::new(&DATA_CENTRES);
    net.until(3_000, |net| net.all(|n| n.open && n.view.iter().count() == DATA_CENTRES.len()));
    net.run(3_000);
    net
}

#[test]
fn a_version_is_in_force_on_all_nodes_within_600_ms() {
    let mut net = converged();
    let revision = net.publish();
    net.until(600, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

#[test]
fn few_nodes_call_the_platform() {
    let mut net = converged();
    let before = net.reads;
    net.run(10_000);
    // A reader in each of three data centres, each call held for 0.8 s.
    assert!(net.reads - before <= 3 * 13, "{}", net.reads - before);
}

/// Guards against calls to a leaving upstream because the readers of a data centre are rejected by the
/// platform.
#[test]
fn nodes_that_the_platform_refuses_learn_from_others() {
    for treatment in [Treatment::Refuse, Treatment::Silent] {
        for refused in 0..DATA_CENTRES.len() {
            let mut net = converged();
            net.treat(refused, treatment);
            net.run(300);
            net.register(3, "i-3", Standing::Leaving);
            net.until(IN_FORCE_WITHIN_MS, |net| {
                (0..7).all(|n| !net.targets(n).contains(&"i-3".to_owned()))
            });
        }
    }
}

/// Guards against a version that spreads only while the readers of every data centre are served.
#[test]
fn one_node_with_platform_access_updates_all_others() {
    for served in 0..DATA_CENTRES.len() {
        let mut net = converged();
        net.treat_all(Treatment::Refuse);
        net.treat(served, Treatment::Serve);
        net.run(200);
        let revision = net.publish();
        let elapsed = net.until(IN_FORCE_WITHIN_MS, |net| net.all(|n| n.in_force == revision));
        assert!(elapsed < IN_FORCE_WITHIN_MS, "served {served}: {elapsed} ms");
    }
}

/// Guards against calls to an upstream whose entry was overwritten with a malformed value, also on nodes that
/// learn of it from peers or from a full copy.
#[test]
fn a_malformed_entry_removes_its_upstream_on_every_node() {
    let mut net = converged();
    let targets = |net: &Net, id: &str| (0..7).any(|n| net.targets(n).contains(&id.to_owned()));
    net.treat(1, Treatment::Refuse);
    net.write_malformed("i-3");
    net.until(IN_FORCE_WITHIN_MS, |net| !targets(net, "i-3"));
    net.kill(5);
    net.start(5);
    net.until(3_000, |net| net.node(5).open);
    assert!(!net.targets(5).contains(&"i-3".to_owned()));
    net.register(3, "i-3", Standing::Ready);
    net.until(IN_FORCE_WITHIN_MS, |net| (0..7).all(|n| net.targets(n).contains(&"i-3".to_owned())));
}

/// Guards against treating an upstream that crashed while leaving and restarted under its name as leaving.
#[test]
fn an_upstream_that_starts_again_under_its_name_gets_calls() {
    let mut net = converged();
    let is_target = |net: &Net, n: usize| net.targets(n).contains(&"i-3".to_owned());
    net.treat(1, Treatment::Refuse);
    net.register_started(3, "i-3", Standing::Leaving, 5_000);
    net.until(IN_FORCE_WITHIN_MS, |net| (0..7).all(|n| !is_target(net, n)));
    net.register_started(3, "i-3", Standing::Ready, 9_000);
    net.until(IN_FORCE_WITHIN_MS, |net| (0..7).all(|n| is_target(net, n)));
    let starts = (0..7).map(|n| {
        let upstreams = net.node(n).view.upstreams("shelfview");
        upstreams.iter().find(|u| u.instance == "i-3").and_then(|u| u.started_ms)
    });
    assert!(starts.into_iter().all(|started| started == Some(9_000)));
}

/// Guards against answering 503 for a whole platform outage although peers hold the state.
#[test]
fn a_restarted_node_learns_from_others_while_the_platform_is_down() {
    let mut net = converged();
    net.treat_all(Treatment::Silent);
    net.run(2_000);
    net.kill(4);
    net.run(500);
    net.start(4);
    net.until(1_500, |net| {
        net.node(4).open && net.node(4).view.iter().count() == DATA_CENTRES.len()
    });
}

/// Guards against nodes that stay unready after a restart of all processes in a platform outage.
#[test]
fn a_mass_restart_in_an_outage_recovers_with_the_platform() {
    let mut net = converged();
    net.treat_all(Treatment::Silent);
    (0..DATA_CENTRES.len()).for_each(|node| net.kill(node));
    net.run(1_000);
    (0..DATA_CENTRES.len()).for_each(|node| net.start(node));
    net.run(4_000);
    assert!(net.all(|n| !n.open));
    net.treat_all(Treatment::Serve);
    net.until(3_500, |net| net.all(|n| n.open && n.view.iter().count() == DATA_CENTRES.len()));
}

/// Guards against dropping live upstreams whose entries expired in an outage, and against keeping dead ones.
#[test]
fn entries_that_expired_in_an_outage_are_removed_after_a_grace_period() {
    let mut net = converged();
    net.treat_all(Treatment::Silent);
    net.run(3_000);
    for node in 0..DATA_CENTRES.len() {
        net.unregister(&format!("i-{node}"));
    }
    net.treat_all(Treatment::Serve);
    for _ in 0..15 {
        net.run(100);
        for node in 0..DATA_CENTRES.len() {
            assert_eq!(net.targets(node).len(), DATA_CENTRES.len(), "at {}", net.now);
        }
    }
    for node in (0..DATA_CENTRES.len()).filter(|&node| node != 5) {
        net.register(node, &format!("i-{node}"), Standing::Ready);
    }
    net.run(4_500);
    for node in 0..DATA_CENTRES.len() {
        assert_eq!(net.targets(node).len(), DATA_CENTRES.len() - 1);
        assert!(!net.targets(node).contains(&"i-5".to_owned()));
    }
}

/// Guards against missing a removal that was compacted before the watch returned it.
#[test]
fn a_removal_in_compacted_history_is_applied() {
    let mut net = converged();
    net.unregister("i-2");
    net.compact();
    net.publish();
    net.compact();
    net.until(IN_FORCE_WITHIN_MS, |net| {
        (0..7).all(|n| !net.targets(n).contains(&"i-2".to_owned()))
    });
}

#[test]
fn a_leaving_node_gets_no_calls_and_its_next_incarnation_does() {
    let mut net = converged();
    net.inject(1, Event::Leave);
    net.until(100, |net| (0..7).all(|n| n == 1 || !net.targets(n).contains(&"i-1".to_owned())));
    net.kill(1);
    net.run(700);
    net.start(1);
    net.until(1_500, |net| (0..7).all(|n| net.targets(n).contains(&"i-1".to_owned())));
}

/// Guards against calls to a data centre that only the platform can still reach.
#[test]
fn a_partitioned_data_centre_gets_no_calls_until_it_reconnects() {
    let mut net = converged();
    let (near, far) = ([0, 1, 2, 3, 4], [5, 6]);
    for a in near {
        for b in far {
            net.set_cut(a, b, true);
        }
    }
    net.until(2_500, |net| net.targets(0).len() == 5 && net.targets(5).len() == 2);
    for a in near {
        for b in far {
            net.set_cut(a, b, false);
        }
    }
    net.until(1_500, |net| net.targets(0).len() == 7 && net.targets(5).len() == 7);
}

/// Guards against routing by a stale entry after its address was reused.
#[test]
fn the_later_of_two_entries_for_one_address_wins() {
    let mut net = converged();
    net.register(6, "i-new", Standing::Ready);
    net.until(IN_FORCE_WITHIN_MS, |net| {
        (0..7).all(|n| {
            let targets = net.targets(n);
            targets.contains(&"i-new".to_owned()) && !targets.contains(&"i-6".to_owned())
        })
    });
}

#[test]
fn frequent_versions_cause_few_platform_calls_and_no_regression() {
    let mut net = converged();
    let before = net.reads;
    let mut last = 0;
    for _ in 0..40 {
        last = net.publish();
        net.run(60);
    }
    net.until(IN_FORCE_WITHIN_MS, |net| net.all(|n| n.in_force == last));
    assert!(net.regressions.is_empty());
    assert!(net.reads - before < 3 * 16, "{}", net.reads - before);
}

/// Guards against applying the grace period of removals after a single lost call, which would keep calls
/// going to a removed upstream.
#[test]
fn a_lost_platform_call_of_one_node_does_not_delay_removals() {
    for lost in 0..DATA_CENTRES.len() {
        for wait in (100..2_500).step_by(200) {
            let mut net = converged();
            net.treat(lost, Treatment::Silent);
            net.run(4_000);
            net.treat(lost, Treatment::Serve);
            net.run(wait);
            net.unregister("i-2");
            net.until(1_500, |net| (0..7).all(|n| !net.targets(n).contains(&"i-2".to_owned())));
        }
    }
}
