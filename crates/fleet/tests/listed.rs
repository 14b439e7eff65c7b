//! Nodes that share the platform's list: what each believes, and how soon, under each fault.

mod net;

use fleet::{control::Event, directory::Standing};
use net::{Net, Treatment};

const PLACES: [&str; 7] = ["a", "a", "a", "b", "b", "c", "c"];

/// Time in which a change must be in force at every node in touch, in ms.
const BOUND: u64 = 2_000;

fn calm() -> Net {
    let mut net = Net::new(&PLACES);
    net.until(3_000, |net| net.all(|n| n.open && n.view.iter().count() == PLACES.len()));
    net.run(3_000);
    net
}

#[test]
fn a_version_is_in_force_everywhere_in_a_moment() {
    let mut net = calm();
    let revision = net.publish();
    net.until(600, |net| net.all(|n| n.in_force == revision));
    assert!(net.regressions.is_empty());
}

#[test]
fn few_nodes_call_the_platform() {
    let mut net = calm();
    let before = net.reads;
    net.run(10_000);
    // A reader in each of three places, a call at a time of 0.8 s.
    assert!(net.reads - before <= 3 * 13, "{}", net.reads - before);
}

/// A payment goes to an upstream that said seconds ago that it leaves, because the two nodes that
/// watch the platform for their data centre were refused, and the others waited for them.
#[test]
fn nodes_that_the_platform_refuses_learn_from_others() {
    for treatment in [Treatment::Refuse, Treatment::Silent] {
        for refused in 0..PLACES.len() {
            let mut net = calm();
            net.treat(refused, treatment);
            net.run(300);
            net.register(3, "i-3", Standing::Leaving);
            net.until(BOUND, |net| (0..7).all(|n| !net.targets(n).contains(&"i-3".to_owned())));
        }
    }
}

/// As above, with every node of one data centre and most of another refused in the same moment.
#[test]
fn one_node_that_the_platform_serves_is_enough() {
    for served in 0..PLACES.len() {
        let mut net = calm();
        net.treat_all(Treatment::Refuse);
        net.treat(served, Treatment::Serve);
        net.run(200);
        let revision = net.publish();
        let took = net.until(BOUND, |net| net.all(|n| n.in_force == revision));
        assert!(took < BOUND, "served {served}: {took} ms");
    }
}

/// A value that names no upstream takes the place of an upstream's entry. Nodes that the platform
/// refuses went on sending calls there, as did a node that read the whole list after that.
#[test]
fn a_spoiled_entry_takes_its_upstream_out_at_every_node() {
    let mut net = calm();
    let targets = |net: &Net, id: &str| (0..7).any(|n| net.targets(n).contains(&id.to_owned()));
    net.treat(1, Treatment::Refuse);
    net.write_malformed("i-3");
    net.until(BOUND, |net| !targets(net, "i-3"));
    net.kill(5);
    net.start(5);
    net.until(3_000, |net| net.node(5).open);
    assert!(!net.targets(5).contains(&"i-3".to_owned()));
    net.register(3, "i-3", Standing::Ready);
    net.until(BOUND, |net| (0..7).all(|n| net.targets(n).contains(&"i-3".to_owned())));
}

/// An upstream crashes while it is to leave and starts again under its name. Every node sends it
/// calls again, as to another life, also those that learn of it from others.
#[test]
fn an_upstream_that_starts_again_under_its_name_gets_calls() {
    let mut net = calm();
    let is_target = |net: &Net, n: usize| net.targets(n).contains(&"i-3".to_owned());
    net.treat(1, Treatment::Refuse);
    net.register_life(3, "i-3", Standing::Leaving, 5_000);
    net.until(BOUND, |net| (0..7).all(|n| !is_target(net, n)));
    net.register_life(3, "i-3", Standing::Ready, 9_000);
    net.until(BOUND, |net| (0..7).all(|n| is_target(net, n)));
    let lives = (0..7).map(|n| {
        let upstreams = net.node(n).view.upstreams("shelfview");
        upstreams.iter().find(|u| u.instance == "i-3").and_then(|u| u.started_ms)
    });
    assert!(lives.into_iter().all(|started| started == Some(9_000)));
}

/// A node is restarted during an outage of the platform and answers 503 until the platform is back,
/// although six nodes beside it know everything.
#[test]
fn a_restarted_node_learns_from_others_while_the_platform_is_down() {
    let mut net = calm();
    net.treat_all(Treatment::Silent);
    net.run(2_000);
    net.kill(4);
    net.run(500);
    net.start(4);
    net.until(1_500, |net| net.node(4).open && net.node(4).view.iter().count() == PLACES.len());
}

/// All processes are killed while the platform is down; as soon as it is back, all serve again.
#[test]
fn a_herd_restart_ends_with_the_platform_s_return() {
    let mut net = calm();
    net.treat_all(Treatment::Silent);
    (0..PLACES.len()).for_each(|node| net.kill(node));
    net.run(1_000);
    (0..PLACES.len()).for_each(|node| net.start(node));
    net.run(4_000);
    assert!(net.all(|n| !n.open));
    net.treat_all(Treatment::Serve);
    net.until(3_500, |net| net.all(|n| n.open && n.view.iter().count() == PLACES.len()));
}

/// After an outage in which every entry lapsed, the nodes keep sending calls to the upstreams that
/// come back, and stop sending them to the one that does not.
#[test]
fn lapsed_entries_are_doubted_and_then_gone() {
    let mut net = calm();
    net.treat_all(Treatment::Silent);
    net.run(3_000);
    for node in 0..PLACES.len() {
        net.unregister(&format!("i-{node}"));
    }
    net.treat_all(Treatment::Serve);
    for _ in 0..15 {
        net.run(100);
        for node in 0..PLACES.len() {
            assert_eq!(net.targets(node).len(), PLACES.len(), "at {}", net.now);
        }
    }
    for node in (0..PLACES.len()).filter(|&node| node != 5) {
        net.register(node, &format!("i-{node}"), Standing::Ready);
    }
    net.run(4_500);
    for node in 0..PLACES.len() {
        assert_eq!(net.targets(node).len(), PLACES.len() - 1);
        assert!(!net.targets(node).contains(&"i-5".to_owned()));
    }
}

/// The platform forgets its history just as an upstream leaves; the watch that would have told it
/// is answered with "gone", and the whole list must be read at once.
#[test]
fn a_change_in_a_forgotten_stretch_of_history_is_found() {
    let mut net = calm();
    net.unregister("i-2");
    net.compact();
    net.publish();
    net.compact();
    net.until(BOUND, |net| (0..7).all(|n| !net.targets(n).contains(&"i-2".to_owned())));
}

#[test]
fn a_node_that_leaves_gets_no_more_calls_and_its_next_life_does() {
    let mut net = calm();
    net.inject(1, Event::Leave);
    net.until(100, |net| (0..7).all(|n| n == 1 || !net.targets(n).contains(&"i-1".to_owned())));
    net.kill(1);
    net.run(700);
    net.start(1);
    net.until(1_500, |net| (0..7).all(|n| net.targets(n).contains(&"i-1".to_owned())));
}

/// Calls go on to a data centre that is cut off, each of them lost, until the platform's list says
/// something, which it never does: the platform still reaches everybody.
#[test]
fn a_data_centre_that_is_cut_off_is_left_alone_and_found_again() {
    let mut net = calm();
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

/// An address is taken over by an upstream of another life while the old entry has not lapsed yet.
#[test]
fn of_two_entries_for_one_address_the_later_one_counts() {
    let mut net = calm();
    net.register(6, "i-new", Standing::Ready);
    net.until(BOUND, |net| {
        (0..7).all(|n| {
            let targets = net.targets(n);
            targets.contains(&"i-new".to_owned()) && !targets.contains(&"i-6".to_owned())
        })
    });
}

#[test]
fn a_storm_of_versions_costs_few_calls_and_never_goes_back() {
    let mut net = calm();
    let before = net.reads;
    let mut last = 0;
    for _ in 0..40 {
        last = net.publish();
        net.run(60);
    }
    net.until(BOUND, |net| net.all(|n| n.in_force == last));
    assert!(net.regressions.is_empty());
    assert!(net.reads - before < 3 * 16, "{}", net.reads - before);
}

/// A payment goes to an upstream two seconds after the platform dropped it: one call of one reader
/// had been lost, the next answer looked like the platform's return from an outage, and the
/// removal that it brought was doubted.
#[test]
fn a_lost_call_of_one_node_is_no_outage() {
    for lost in 0..PLACES.len() {
        for wait in (100..2_500).step_by(200) {
            let mut net = calm();
            net.treat(lost, Treatment::Silent);
            net.run(4_000);
            net.treat(lost, Treatment::Serve);
            net.run(wait);
            net.unregister("i-2");
            net.until(1_500, |net| (0..7).all(|n| !net.targets(n).contains(&"i-2".to_owned())));
        }
    }
}
