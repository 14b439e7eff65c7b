//! Requests that end upstreams, as all nodes come to know of them.

mod net;

use fleet::{
    control::Event,
    quarantine::{Change, Crash, End, Register, Report},
};
use model::{
    request::{Fingerprint, Suspect},
    time::Time,
};
use net::Net;

const FATAL: Fingerprint = Fingerprint(7);
const OTHER: Fingerprint = Fingerprint(8);

/// Nodes in four data centres.
const NODES: usize = 12;
const PLACES: [&str; 4] = ["a", "b", "c", "d"];

/// Time in which all nodes in touch know of a request that has ended enough upstreams, in ms.
const KNOWN: u64 = 1_000;

/// Time that passes in the tests of the register alone.
const MINUTE: u64 = 60_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn loss(end: u32, requests: &[Fingerprint]) -> Crash {
    let suspect = |request: &Fingerprint| Suspect { request: *request, label: String::new() };
    Crash { end: End(end), suspects: requests.iter().map(suspect).collect() }
}

fn calm(places: &[&'static str], nodes: usize) -> Net {
    let zones: Vec<&'static str> = (0..nodes).map(|n| places[n * places.len() / nodes]).collect();
    let mut net = Net::new(&zones);
    net.until(6_000, |net| net.all(|n| n.open && n.view.iter().count() == nodes));
    net.run(1_000);
    net
}

fn end(net: &mut Net, node: usize, requests: &[Fingerprint]) {
    net.inject(node, Event::UpstreamEnded(loss(node as u32, requests)));
}

fn is_held(net: &Net, request: Fingerprint) -> bool {
    net.all(|node| node.quarantine.until.contains_key(&request))
}

/// A lookup ends three upstreams beside three nodes, and the caller asks at a fourth, which has seen nothing.
#[test]
fn what_three_nodes_saw_once_each_is_known_everywhere() {
    let mut net = calm(&PLACES, NODES);
    for node in [0, 4, 8] {
        assert!(!is_held(&net, FATAL));
        end(&mut net, node, &[FATAL, Fingerprint(node as u64 + 100)]);
    }
    net.until(KNOWN, |net| is_held(net, FATAL));
    assert!(net.all(|node| node.quarantine.until.len() == 1), "bystanders run on");
}

/// The node that saw the last end is killed in the next moment; the lookup goes on to the others.
#[test]
fn what_a_node_saw_outlives_it() {
    let mut net = calm(&PLACES, NODES);
    for node in [0, 4, 8] {
        end(&mut net, node, &[FATAL]);
        net.run(3);
        net.kill(node);
    }
    net.until(KNOWN, |net| is_held(net, FATAL));
}

/// The only words of an end are lost on the way to some; they hear it from others.
#[test]
fn lost_words_are_made_good() {
    let mut net = calm(&PLACES, NODES);
    net.digest_loss = 2;
    for node in [0, 4, 8] {
        end(&mut net, node, &[FATAL]);
    }
    net.until(KNOWN, |net| is_held(net, FATAL));
}

/// A node starts again, and the first thing that it is asked is the lookup that ended its upstream before.
#[test]
fn a_node_that_starts_learns_of_it() {
    let mut net = calm(&PLACES, NODES);
    for node in [0, 4, 8] {
        end(&mut net, node, &[FATAL]);
    }
    net.run(30_000);
    net.kill(3);
    net.run(500);
    net.start(3);
    net.until(2 * KNOWN, |net| is_held(net, FATAL));
}

/// A data centre is cut off while the lookup ends upstreams elsewhere. Its callers bring the lookup after the
/// cut.
#[test]
fn a_data_centre_that_was_cut_off_learns_of_it() {
    let mut net = calm(&PLACES, NODES);
    let (inside, outside): (Vec<usize>, Vec<usize>) = (0..NODES).partition(|n| *n < 3);
    let cut = |net: &mut Net, cut| {
        for a in &inside {
            outside.iter().for_each(|b| net.set_cut(*a, *b, cut));
        }
    };
    cut(&mut net, true);
    for node in [4, 7, 10] {
        end(&mut net, node, &[FATAL]);
    }
    net.run(20_000);
    assert!(net.node(0).quarantine.until.is_empty());
    cut(&mut net, false);
    net.until(2 * KNOWN, |net| is_held(net, FATAL));
}

/// A large outage ends forty upstreams, and what ran there fills the nodes' summaries; a node that starts in the
/// middle of it runs the lookup.
#[test]
fn a_node_that_starts_in_an_outage_learns_of_it() {
    let mut net = calm(&PLACES, 40);
    for node in [0, 4, 8] {
        end(&mut net, node, &[FATAL]);
    }
    net.run(5_000);
    net.kill(3);
    for node in 4..40 {
        let ran: Vec<Fingerprint> = (0..8).map(|n| Fingerprint(node as u64 * 100 + n)).collect();
        net.inject(node, Event::UpstreamEnded(loss(1_000 + node as u32, &ran)));
    }
    net.run(500);
    net.start(3);
    net.until(2 * KNOWN, |net| is_held(net, FATAL));
}

/// Callers of a popular page are turned away for minutes, since copies of it ran on all upstreams that an
/// outage took. One node answered it a moment before.
#[test]
fn an_answer_anywhere_clears_a_request() {
    let mut net = calm(&PLACES, NODES);
    for node in [0, 4, 8] {
        end(&mut net, node, &[FATAL, OTHER]);
    }
    net.until(KNOWN, |net| is_held(net, OTHER));
    net.inject(2, Event::Cleared(OTHER));
    let is_cleared = |net: &Net| net.all(|node| !node.quarantine.until.contains_key(&OTHER));
    net.until(KNOWN, is_cleared);
    net.run(10_000);
    assert!(is_cleared(&net) && is_held(&net, FATAL));
}

/// Hundreds of nodes, of which each speaks to a few of other data centres in a second.
#[test]
fn hundreds_of_nodes_know_in_time() {
    const LARGE: [&str; 5] = ["a", "b", "c", "d", "e"];
    let mut net = calm(&LARGE, 295);
    net.digest_loss = 3;
    for node in [10, 100, 290] {
        end(&mut net, node, &[FATAL, Fingerprint(node as u64 + 100)]);
        net.run(3);
        net.kill(node);
    }
    net.until(2 * KNOWN, |net| is_held(net, FATAL));
}

/// What the nodes tell each other of it costs nothing where nothing ends, and little where much does.
#[test]
fn reports_end() {
    let mut net = calm(&PLACES, NODES);
    for node in 0..NODES {
        let ran: Vec<Fingerprint> = (0..11).map(|n| Fingerprint(node as u64 * 100 + n)).collect();
        end(&mut net, node, &ran);
    }
    net.run(20_000);
    let before: u64 = net.bytes_received.iter().sum();
    net.run(10_000);
    let after: u64 = net.bytes_received.iter().sum();
    let mut idle = calm(&PLACES, NODES);
    idle.run(20_000);
    let idle_before: u64 = idle.bytes_received.iter().sum();
    idle.run(10_000);
    let idle_after: u64 = idle.bytes_received.iter().sum();
    let (told, usual) = (after - before, idle_after - idle_before);
    assert!(told <= usual + usual / 20, "{told} bytes in ten seconds, usually {usual}");
}

/// For as long as requests are quarantined, their reports fill the links of nodes, which may spend 8 KB a second on
/// control.
#[test]
fn what_is_quarantined_is_told_at_a_small_cost() {
    let mut net = calm(&PLACES, NODES);
    for request in 0..40 {
        for number in 0..3 {
            let loss = loss(request * 3 + number, &[Fingerprint(request.into())]);
            net.inject(number as usize * 4, Event::UpstreamEnded(loss));
        }
    }
    net.run(30_000);
    let before: u64 = net.bytes_received.iter().sum();
    net.run(10_000);
    let a_node = (net.bytes_received.iter().sum::<u64>() - before) / NODES as u64 / 10;
    assert!(a_node < 8_000, "{a_node} bytes a second and node");
    net.kill(3);
    net.start(3);
    net.until(3 * KNOWN, |net| net.all(|node| node.quarantine.until.len() == 40));
}

/// Ends under one request at the given times, in minutes; whether it may run after the last, and when it may
/// again.
#[track_caller]
fn check(ends: &[u64], held_until: Option<u64>) {
    let mut register = Register::default();
    for (number, minute) in ends.iter().enumerate() {
        let now = at(minute * MINUTE);
        register.note_end(&loss(number as u32, &[FATAL]), now);
        register.refresh(now);
    }
    let until = register.current().until.get(&FATAL).copied();
    assert_eq!(until, held_until.map(|minute| at(minute * MINUTE)));
    if let Some(until) = until {
        let changes = register.refresh(until).expect("its time is over");
        assert_eq!(changes, [Change::Released { request: FATAL }]);
    }
}

#[test]
fn each_further_end_doubles_the_time() {
    check(&[0, 0], None);
    check(&[0, 0, 0], Some(10));
    check(&[0, 4, 8], Some(18));
    check(&[0, 0, 0, 11], Some(31));
    check(&[0, 0, 0, 11, 32], Some(72));
    check(&[0, 0, 0, 11, 32, 80], Some(160));
}

#[test]
fn ends_that_lie_far_apart_are_chance() {
    check(&[0, 11, 22, 33], None);
}

/// Many callers end upstreams under ever new requests, and the nodes forget the one that they refuse.
#[test]
fn new_suspects_do_not_displace_a_quarantined_request() {
    let mut register = Register::default();
    for number in 0..3 {
        register.note_end(&loss(number, &[FATAL]), at(0));
    }
    for number in 1_000..9_000 {
        register.note_end(&loss(number as u32, &[Fingerprint(number)]), at(number));
    }
    register.refresh(at(9_000));
    assert!(register.current().until.contains_key(&FATAL));
    assert!(register.current().suspects.len() <= 512);
}

/// Two nodes tell each other the same for ever, each time as news.
#[test]
fn what_is_known_is_no_news() {
    let (mut one, mut other) = (Register::default(), Register::default());
    for number in 0..9 {
        one.note_end(&loss(number, &[FATAL]), at(number.into()));
        other.note_end(&loss(number + 50, &[FATAL]), at(number.into()));
    }
    let exchange = |from: &mut Register, to: &mut Register, now: u64| {
        let reports: Vec<Report> = from.next_reports(9, at(now));
        to.merge(&reports, at(now))
    };
    exchange(&mut one, &mut other, 20);
    exchange(&mut other, &mut one, 30);
    for round in 4..20 {
        assert!(!exchange(&mut one, &mut other, round * 10));
        assert!(!exchange(&mut other, &mut one, round * 10 + 5));
    }
}

/// A read ran beside the request that ended two upstreams, and a third upstream ended by itself: callers of the
/// read are turned away, before the first upstream is back to answer it.
#[test]
fn what_ran_beside_the_cause_is_not_blamed_for_its_ends() {
    let mut register = Register::default();
    register.note_end(&loss(1, &[FATAL]), at(15));
    register.note_end(&loss(2, &[FATAL, OTHER]), at(23));
    register.note_end(&loss(3, &[FATAL, OTHER]), at(29));
    register.note_end(&loss(4, &[OTHER]), at(367));
    register.refresh(at(367));
    let held: Vec<&Fingerprint> = register.current().until.keys().collect();
    assert_eq!(held, [&FATAL]);
}

/// Two requests ran at the same three ends. One of them goes on to end a fourth.
#[test]
fn of_two_that_ran_at_the_same_ends_both_are_held_until_one_ends_more() {
    let mut register = Register::default();
    for end in 0..3 {
        register.note_end(&loss(end, &[FATAL, OTHER]), at(0));
    }
    register.refresh(at(0));
    assert_eq!(register.current().until.len(), 2);
    register.note_end(&loss(3, &[FATAL]), at(10));
    let changes = register.refresh(at(10)).expect("an end is news");
    assert_eq!(changes, [Change::Released { request: OTHER }]);
}

/// One node refuses a page for ten minutes that all others serve: it heard that the page was answered before it
/// heard of the ends, and kept the ends alone.
#[test]
fn an_answer_that_overtakes_the_ends_clears_them() {
    let mut register = Register::default();
    let ends = (0..3).map(End).collect();
    let answer = Report { request: OTHER, ends: Vec::new(), answered: true, age_ms: 500 };
    let ended = Report { request: OTHER, ends, answered: false, age_ms: 900 };
    assert!(register.merge(&[answer], at(30_000)));
    register.merge(&[ended], at(30_100));
    register.refresh(at(30_100));
    assert!(register.current().until.is_empty());
}

/// An answer of before the ends clears as long as a call lasts, and not for ever: a request may become fatal.
#[test]
fn an_old_answer_clears_nothing() {
    let mut register = Register::default();
    let answered = Report { request: FATAL, ends: Vec::new(), answered: true, age_ms: 20_000 };
    for number in 0..3 {
        register.note_end(&loss(number, &[FATAL]), at(30_000));
    }
    assert!(!register.merge(std::slice::from_ref(&answered), at(30_000)));
    assert!(register.merge(&[Report { age_ms: 5_000, ..answered }], at(30_000)));
}
