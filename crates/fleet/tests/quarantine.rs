//! Nodes learn of poison requests by gossip and quarantine them.

mod net;

use fleet::{
    control::Event,
    quarantine::{Change, Crash, CrashId, Register, Report},
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
const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Time limit for all connected nodes to learn of a quarantine, in ms.
const LIMIT_MS: u64 = 1_000;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn crash(id: u32, requests: &[Fingerprint]) -> Crash {
    let suspect = |request: &Fingerprint| Suspect { request: *request, label: String::new() };
    Crash { id: CrashId(id), suspects: requests.iter().map(suspect).collect() }
}

fn converged(data_centres: &[&'static str], nodes: usize) -> Net {
    let data_centres: Vec<&'static str> =
        (0..nodes).map(|n| data_centres[n * data_centres.len() / nodes]).collect();
    let mut net = Net::new(&data_centres);
    net.until(6_000, |net| net.all(|n| n.open && n.view.iter().count() == nodes));
    net.run(1_000);
    net
}

fn crash_upstream(net: &mut Net, node: usize, requests: &[Fingerprint]) {
    net.inject(node, Event::UpstreamCrashed(crash(node as u32, requests)));
}

fn is_quarantined(net: &Net, request: Fingerprint) -> bool {
    net.all(|node| node.quarantine.until.contains_key(&request))
}

/// Guards against a poison request that moves on to nodes that have not seen a crash.
#[test]
fn crashes_at_three_nodes_quarantine_the_request_everywhere() {
    let mut net = converged(&DATA_CENTRES, NODES);
    for node in [0, 4, 8] {
        assert!(!is_quarantined(&net, FATAL));
        crash_upstream(&mut net, node, &[FATAL, Fingerprint(node as u64 + 100)]);
    }
    net.until(LIMIT_MS, |net| is_quarantined(net, FATAL));
    assert!(
        net.all(|node| node.quarantine.until.len() == 1),
        "only the poison request is quarantined"
    );
}

/// Guards against losing a report when its node is killed right after the crash.
#[test]
fn a_crash_report_outlives_its_node() {
    let mut net = converged(&DATA_CENTRES, NODES);
    for node in [0, 4, 8] {
        crash_upstream(&mut net, node, &[FATAL]);
        net.run(3);
        net.kill(node);
    }
    net.until(LIMIT_MS, |net| is_quarantined(net, FATAL));
}

/// Guards against missing a crash when the first reports of it are lost.
#[test]
fn lost_reports_arrive_by_other_nodes() {
    let mut net = converged(&DATA_CENTRES, NODES);
    net.digest_loss = 2;
    for node in [0, 4, 8] {
        crash_upstream(&mut net, node, &[FATAL]);
    }
    net.until(LIMIT_MS, |net| is_quarantined(net, FATAL));
}

/// Guards against a restarted node that runs a poison request first.
#[test]
fn a_restarted_node_learns_of_the_quarantine() {
    let mut net = converged(&DATA_CENTRES, NODES);
    for node in [0, 4, 8] {
        crash_upstream(&mut net, node, &[FATAL]);
    }
    net.run(30_000);
    net.kill(3);
    net.run(500);
    net.start(3);
    net.until(2 * LIMIT_MS, |net| is_quarantined(net, FATAL));
}

/// Guards against running a poison request in a data centre that was partitioned during the crashes.
#[test]
fn a_partitioned_data_centre_learns_of_the_quarantine_afterwards() {
    let mut net = converged(&DATA_CENTRES, NODES);
    let (inside, outside): (Vec<usize>, Vec<usize>) = (0..NODES).partition(|n| *n < 3);
    let cut = |net: &mut Net, cut| {
        for a in &inside {
            outside.iter().for_each(|b| net.set_cut(*a, *b, cut));
        }
    };
    cut(&mut net, true);
    for node in [4, 7, 10] {
        crash_upstream(&mut net, node, &[FATAL]);
    }
    net.run(20_000);
    assert!(net.node(0).quarantine.until.is_empty());
    cut(&mut net, false);
    net.until(2 * LIMIT_MS, |net| is_quarantined(net, FATAL));
}

/// Guards against reports of a large outage that displace those of a poison request.
#[test]
fn a_node_restarted_during_an_outage_learns_of_the_quarantine() {
    let mut net = converged(&DATA_CENTRES, 40);
    for node in [0, 4, 8] {
        crash_upstream(&mut net, node, &[FATAL]);
    }
    net.run(5_000);
    net.kill(3);
    for node in 4..40 {
        let ran: Vec<Fingerprint> = (0..8).map(|n| Fingerprint(node as u64 * 100 + n)).collect();
        net.inject(node, Event::UpstreamCrashed(crash(1_000 + node as u32, &ran)));
    }
    net.run(500);
    net.start(3);
    net.until(2 * LIMIT_MS, |net| is_quarantined(net, FATAL));
}

/// Guards against quarantining a popular request that ran on all upstreams that an outage took down.
#[test]
fn an_answer_anywhere_clears_a_request() {
    let mut net = converged(&DATA_CENTRES, NODES);
    for node in [0, 4, 8] {
        crash_upstream(&mut net, node, &[FATAL, OTHER]);
    }
    net.until(LIMIT_MS, |net| is_quarantined(net, OTHER));
    net.inject(2, Event::Cleared(OTHER));
    let is_cleared = |net: &Net| net.all(|node| !node.quarantine.until.contains_key(&OTHER));
    net.until(LIMIT_MS, is_cleared);
    net.run(10_000);
    assert!(is_cleared(&net) && is_quarantined(&net, FATAL));
}

/// Guards against slow propagation where each node gossips with few nodes of other data centres.
#[test]
fn hundreds_of_nodes_learn_of_the_quarantine_in_time() {
    const LARGE: [&str; 5] = ["a", "b", "c", "d", "e"];
    let mut net = converged(&LARGE, 295);
    net.digest_loss = 3;
    for node in [10, 100, 290] {
        crash_upstream(&mut net, node, &[FATAL, Fingerprint(node as u64 + 100)]);
        net.run(3);
        net.kill(node);
    }
    net.until(2 * LIMIT_MS, |net| is_quarantined(net, FATAL));
}

/// Guards against gossip about crashes that does not stop.
#[test]
fn gossip_about_crashes_stops() {
    let mut net = converged(&DATA_CENTRES, NODES);
    for node in 0..NODES {
        let ran: Vec<Fingerprint> = (0..11).map(|n| Fingerprint(node as u64 * 100 + n)).collect();
        crash_upstream(&mut net, node, &ran);
    }
    net.run(20_000);
    let before: u64 = net.bytes_received.iter().sum();
    net.run(10_000);
    let after: u64 = net.bytes_received.iter().sum();
    let mut idle = converged(&DATA_CENTRES, NODES);
    idle.run(20_000);
    let idle_before: u64 = idle.bytes_received.iter().sum();
    idle.run(10_000);
    let idle_after: u64 = idle.bytes_received.iter().sum();
    let (sent, idle_bytes) = (after - before, idle_after - idle_before);
    assert!(
        sent <= idle_bytes + idle_bytes / 20,
        "{sent} bytes in ten seconds, {idle_bytes} without crashes"
    );
}

/// Guards against quarantine reports that exceed the control traffic budget of 8 KB/s per node.
#[test]
fn gossip_about_quarantined_requests_is_bounded() {
    let mut net = converged(&DATA_CENTRES, NODES);
    for request in 0..40 {
        for number in 0..3 {
            let crash = crash(request * 3 + number, &[Fingerprint(request.into())]);
            net.inject(number as usize * 4, Event::UpstreamCrashed(crash));
        }
    }
    net.run(30_000);
    let before: u64 = net.bytes_received.iter().sum();
    net.run(10_000);
    let bytes_per_second = (net.bytes_received.iter().sum::<u64>() - before) / NODES as u64 / 10;
    assert!(bytes_per_second < 8_000, "{bytes_per_second} bytes per second and node");
    net.kill(3);
    net.start(3);
    net.until(3 * LIMIT_MS, |net| net.all(|node| node.quarantine.until.len() == 40));
}

/// Records crashes of one request at the given minutes; compares the end of its quarantine.
#[track_caller]
fn check(minutes: &[u64], quarantined_until: Option<u64>) {
    let mut register = Register::default();
    for (number, minute) in minutes.iter().enumerate() {
        let now = at(minute * MINUTE_MS);
        register.record_crash(&crash(number as u32, &[FATAL]), now);
        register.refresh(now);
    }
    let until = register.current().until.get(&FATAL).copied();
    assert_eq!(until, quarantined_until.map(|minute| at(minute * MINUTE_MS)));
    if let Some(until) = until {
        let changes = register.refresh(until).expect("the quarantine has expired");
        assert_eq!(changes, [Change::Released { request: FATAL }]);
    }
}

#[test]
fn each_further_crash_doubles_the_quarantine() {
    check(&[0, 0], None);
    check(&[0, 0, 0], Some(10));
    check(&[0, 4, 8], Some(18));
    check(&[0, 0, 0, 11], Some(31));
    check(&[0, 0, 0, 11, 32], Some(72));
    check(&[0, 0, 0, 11, 32, 80], Some(160));
}

#[test]
fn crashes_far_apart_do_not_quarantine_a_request() {
    check(&[0, 11, 22, 33], None);
}

/// Guards against crashes under ever new requests that evict a quarantined one.
#[test]
fn new_suspects_do_not_displace_a_quarantined_request() {
    let mut register = Register::default();
    for number in 0..3 {
        register.record_crash(&crash(number, &[FATAL]), at(0));
    }
    for number in 1_000..9_000 {
        register.record_crash(&crash(number as u32, &[Fingerprint(number)]), at(number));
    }
    register.refresh(at(9_000));
    assert!(register.current().until.contains_key(&FATAL));
    assert!(register.current().suspects.len() <= 512);
}

/// Guards against two nodes that exchange the same reports as new forever.
#[test]
fn known_crashes_are_not_reported_as_new() {
    let (mut one, mut other) = (Register::default(), Register::default());
    for number in 0..9 {
        one.record_crash(&crash(number, &[FATAL]), at(number.into()));
        other.record_crash(&crash(number + 50, &[FATAL]), at(number.into()));
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

/// Guards against quarantining a request that ran next to the cause of two crashes and had a third of
/// its own.
#[test]
fn concurrent_requests_are_not_blamed_for_the_same_crashes() {
    let mut register = Register::default();
    register.record_crash(&crash(1, &[FATAL]), at(15));
    register.record_crash(&crash(2, &[FATAL, OTHER]), at(23));
    register.record_crash(&crash(3, &[FATAL, OTHER]), at(29));
    register.record_crash(&crash(4, &[OTHER]), at(367));
    register.refresh(at(367));
    let held: Vec<&Fingerprint> = register.current().until.keys().collect();
    assert_eq!(held, [&FATAL]);
}

#[test]
fn two_requests_with_the_same_crashes_are_both_quarantined_until_one_has_more() {
    let mut register = Register::default();
    for id in 0..3 {
        register.record_crash(&crash(id, &[FATAL, OTHER]), at(0));
    }
    register.refresh(at(0));
    assert_eq!(register.current().until.len(), 2);
    register.record_crash(&crash(3, &[FATAL]), at(10));
    let changes = register.refresh(at(10)).expect("a crash is a change");
    assert_eq!(changes, [Change::Released { request: OTHER }]);
}

/// Guards against a node that keeps crashes which an answer received earlier has cleared.
#[test]
fn an_answer_that_arrives_before_the_crash_reports_clears_them() {
    let mut register = Register::default();
    let crashes = (0..3).map(CrashId).collect();
    let answer = Report { request: OTHER, crashes: Vec::new(), answered: true, age_ms: 500 };
    let crashed = Report { request: OTHER, crashes, answered: false, age_ms: 900 };
    assert!(register.merge(&[answer], at(30_000)));
    register.merge(&[crashed], at(30_100));
    register.refresh(at(30_100));
    assert!(register.current().until.is_empty());
}

/// An answer clears crashes for as long as a call may last: a request may become fatal later.
#[test]
fn an_old_answer_clears_no_later_crash() {
    let mut register = Register::default();
    let answered = Report { request: FATAL, crashes: Vec::new(), answered: true, age_ms: 20_000 };
    for number in 0..3 {
        register.record_crash(&crash(number, &[FATAL]), at(30_000));
    }
    assert!(!register.merge(std::slice::from_ref(&answered), at(30_000)));
    assert!(register.merge(&[Report { age_ms: 5_000, ..answered }], at(30_000)));
}
