//! Requests that end upstreams: which ones are told of, and which are not run.

mod cluster;

use cluster::{Behaviour, Cluster, header, request, status};
use fleet::quarantine::{Crash, Quarantine};
use model::{request::Fingerprint, time::Time};
use std::{cell::RefCell, io::Write, sync::Arc, thread, time::Duration};

/// Time in which a node finds out whether its upstream has ended, with room to spare.
const FOUND: Duration = Duration::from_millis(500);

/// Time for which requests are quarantined here, in s; far more than any test takes.
const HELD: u64 = 1_000;

/// Returns what ran when the upstream of `node` ended, once that is found.
fn ended(cluster: &Cluster, node: usize) -> Crash {
    let found = RefCell::new(Vec::new());
    cluster.wait(|| {
        found.borrow_mut().extend(cluster.proxies[node].take_crashes());
        !found.borrow().is_empty()
    });
    let mut ends = found.into_inner();
    assert_eq!(ends.len(), 1, "one end");
    ends.remove(0)
}

/// Ends the only upstream by `bytes`, and starts it again.
fn lose(cluster: &Cluster, bytes: &str) -> Crash {
    cluster.upstreams[0].set(Behaviour::Crash);
    assert_eq!(status(&cluster.exchange(0, bytes)), "502");
    let loss = ended(cluster, 0);
    assert_eq!(loss.suspects.len(), 1);
    cluster.upstreams[0].restart();
    loss
}

/// Ends the only upstream by `bytes`, and starts it again; returns what they ask for.
fn crash(cluster: &Cluster, bytes: &str) -> Fingerprint {
    lose(cluster, bytes).suspects[0].request
}

fn hold(cluster: &Cluster, node: usize, request: Fingerprint) {
    let until = Time::at(Duration::from_secs(HELD));
    let quarantine = Quarantine { until: [(request, until)].into(), suspects: [request].into() };
    cluster.proxies[node].set_quarantine(Arc::new(quarantine));
}

/// Returns what a node is told of suspects that may run.
fn suspected(suspects: &[Fingerprint]) -> Arc<Quarantine> {
    let suspects = suspects.iter().copied().collect();
    Arc::new(Quarantine { suspects, ..Quarantine::default() })
}

#[track_caller]
fn check_refused(cluster: &Cluster, node: usize, bytes: &str) {
    let before = cluster.received().len();
    let answer = cluster.exchange(node, bytes);
    assert_eq!(status(&answer), "503", "{answer}");
    assert_eq!(header(&answer, "baobab-cause"), Some("quarantined"));
    let after: f64 = header(&answer, "retry-after").and_then(|t| t.parse().ok()).unwrap_or(0.0);
    assert!(after > HELD as f64 / 2.0, "to come back after {after} s");
    assert_eq!(cluster.received().len(), before, "it has not run");
}

/// Ends the upstream by one request, and brings another one once the first is not to be run.
#[track_caller]
fn check(first: &str, second: &str, same: bool) {
    let cluster = Cluster::new(1, 4);
    let fatal = crash(&cluster, first);
    hold(&cluster, 0, fatal);
    if same {
        check_refused(&cluster, 0, second);
    } else {
        let answer = cluster.exchange(0, second);
        assert_eq!(status(&answer), "200", "{answer}");
    }
}

/// An operator sees that upstreams end, and not under what.
#[test]
fn an_end_is_told_with_all_that_ran() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Silent);
    let mut waiting = cluster.connect(0);
    let read = request("GET", "/read/waiting", "", "");
    waiting.write_all(read.as_bytes()).expect("the node reads");
    cluster.wait(|| cluster.received().len() == 1);
    cluster.upstreams[0].set(Behaviour::Crash);
    cluster.exchange(0, &request("POST", "/post/fatal?day=2", "", "{}"));
    let mut labels: Vec<String> =
        ended(&cluster, 0).suspects.into_iter().map(|s| s.label).collect();
    labels.sort();
    assert_eq!(labels, ["GET shop.example/read/waiting", "POST shop.example/post/fatal?day=2"]);
}

/// Answers are cut short, and after three of them a popular page is refused everywhere.
#[test]
fn a_connection_that_breaks_is_no_end() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Close);
    assert_eq!(status(&cluster.exchange(0, &request("GET", "/read/a", "", ""))), "502");
    cluster.upstreams[0].set(Behaviour::Answer);
    thread::sleep(FOUND);
    assert!(cluster.proxies[0].take_crashes().is_empty());
}

/// Copies of a page that were answered a moment ago ran when the upstream ended; the page is not the cause.
#[test]
fn what_was_just_answered_is_no_suspect() {
    let cluster = Cluster::new(1, 4);
    let page = request("GET", "/read/page", "", "");
    assert_eq!(status(&cluster.exchange(0, &page)), "200");
    cluster.upstreams[0].set(Behaviour::Crash);
    assert_eq!(status(&cluster.exchange(0, &page)), "502");
    thread::sleep(FOUND);
    assert!(cluster.proxies[0].take_crashes().is_empty());
}

/// The caller leaves before the upstream ends under its request, so nobody sees that call break.
#[test]
fn the_next_call_finds_an_end_that_nobody_waited_for() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Silent);
    let mut left = cluster.connect(0);
    let read = request("GET", "/read/left", "", "");
    left.write_all(read.as_bytes()).expect("the node reads");
    cluster.wait(|| cluster.received().len() == 1);
    drop(left);
    cluster.wait(|| cluster.proxies[0].calls_in_flight() == 0);
    cluster.upstreams[0].crash();
    assert_eq!(status(&cluster.exchange(0, &request("GET", "/read/next", "", ""))), "503");
    let suspects = ended(&cluster, 0).suspects;
    assert_eq!(suspects.len(), 1);
    assert_eq!(suspects[0].label, "GET shop.example/read/left");
}

#[test]
fn a_request_is_the_same_by_whichever_way_it_comes() {
    let read = request("GET", "/read/x?day=2", "", "");
    check(&read, &read, true);
    check(&read, &read.replace("x-id: r1", "x-id: r2").replace("3000", "700"), true);
    check(&read, &read.replace("shop.example", "SHOP.example:8080"), true);
    check(&read, &request("GET", "/read/x?day=2", "x-caller: till\r\nuser-agent: b\r\n", ""), true);
    check(&read, &read.replace("GET /", "GET http://shop.example/"), true);
    let post = request("POST", "/post/x", "", "0123456789");
    let chunked = post.replace("content-length: 10", "transfer-encoding: chunked");
    check(&post, &chunked.replace("0123456789", "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"), true);
}

/// A caller whose own lookup is sound is told to come back in ten minutes.
#[test]
fn another_request_runs() {
    let read = request("GET", "/read/x?day=2", "", "");
    check(&read, &request("GET", "/read/x?day=3", "", ""), false);
    check(&read, &request("GET", "/read/x", "", ""), false);
    check(&read, &request("GET", "/read/y?day=2", "", ""), false);
    check(&read, &request("GET", "/read/x?day=2", "authorization: b\r\n", ""), false);
    let post = request("POST", "/post/x", "", "0123456789");
    check(&post, &request("POST", "/post/x", "", "9876543210"), false);
}

/// The entry node has not heard of it yet; the upstream's own node has.
#[test]
fn the_serving_node_refuses_what_an_entry_node_offers() {
    let cluster = Cluster::new(1, 4);
    let read = request("GET", "/read/x", "", "");
    let fatal = crash(&cluster, &read);
    let entry = Cluster::without_config(1, 4);
    let mut view = fleet::view::View::default();
    for (service, upstream) in cluster.proxies[0].view().iter() {
        // The entry node has an address of its own, so the upstream is another node's.
        let address = "127.0.0.3:7000".parse().expect("an address");
        view.add(service, fleet::view::Upstream { address, ..upstream.clone() });
    }
    entry.proxies[0].set_config(cluster.proxies[0].config());
    entry.proxies[0].set_view(Arc::new(view));
    assert_eq!(status(&entry.exchange(0, &request("GET", "/read/y", "", ""))), "200");
    hold(&cluster, 0, fatal);
    let before = cluster.received().len();
    let answer = entry.exchange(0, &read);
    assert_eq!((status(&answer), header(&answer, "baobab-cause")), ("503", Some("quarantined")));
    assert_eq!(cluster.received().len(), before);
}

/// A copy is sent ahead on a connection that waits for another answer.
#[test]
fn a_request_that_is_sent_ahead_is_refused_too() {
    let cluster = Cluster::new(1, 4);
    let read = request("GET", "/read/x", "", "");
    let fatal = crash(&cluster, &read);
    hold(&cluster, 0, fatal);
    let before = cluster.received().len();
    let first = request("GET", "/read/y", "", "").replace("connection: close\r\n", "");
    let answers = cluster.exchange(0, &format!("{first}{read}"));
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 1, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 503").count(), 1, "{answers}");
    assert_eq!(cluster.received().len(), before + 1);
}

/// A request waits for a slot while the word comes that it must not run.
#[test]
fn a_request_that_waits_for_a_slot_is_refused() {
    let cluster = Cluster::new(1, 1);
    let read = request("GET", "/read/long/x", "", "");
    let fatal = crash(&cluster, &read);
    cluster.upstreams[0].set(Behaviour::Slowly(Duration::from_millis(400)));
    let mut first = cluster.connect(0);
    first.write_all(request("GET", "/read/long/y", "", "").as_bytes()).expect("the node reads");
    let before = cluster.received().len();
    cluster.wait(|| cluster.received().len() > before);
    let mut second = cluster.connect(0);
    second.write_all(read.as_bytes()).expect("the node reads");
    cluster.wait(|| cluster.proxies[0].calls_in_flight() >= 3);
    hold(&cluster, 0, fatal);
    let mut answer = String::new();
    // A reset ends the text as well.
    let _ = std::io::Read::read_to_string(&mut second, &mut answer);
    assert_eq!(header(&answer, "baobab-cause"), Some("quarantined"), "{answer}");
    assert_eq!(cluster.received().len(), before + 1);
}

/// Two copies ran when the process ended, and the break of one was read later than that of the other: a third of
/// the way to being refused, not two thirds.
#[test]
fn one_process_ends_once() {
    let cluster = Cluster::new(1, 4);
    let read = request("GET", "/read/x", "", "");
    cluster.upstreams[0].set(Behaviour::Silent);
    let mut copies: Vec<_> = (0..2).map(|_| cluster.connect(0)).collect();
    copies.iter_mut().for_each(|c| c.write_all(read.as_bytes()).expect("the node reads"));
    cluster.wait(|| cluster.received().len() == 2);
    cluster.upstreams[0].crash_but_one();
    let first = ended(&cluster, 0);
    cluster.upstreams[0].crash();
    assert_eq!(ended(&cluster, 0), first);
    cluster.upstreams[0].restart();
    assert_ne!(lose(&cluster, &read).end, first.end);
}

/// One attempt of a caller ends two upstreams: its repeat at the next one begins before word of the first end has
/// come. Once that has come, the outcome is told and not tried again.
#[test]
fn a_suspect_whose_outcome_is_unknown_is_not_repeated() {
    let read = request("GET", "/read/x", "", "");
    let suspect = crash(&Cluster::new(1, 4), &read);
    for (suspects, runs) in [(vec![], 2), (vec![suspect], 1)] {
        let cluster = Cluster::new(2, 4);
        cluster.proxies[0].set_quarantine(suspected(&suspects));
        cluster.upstreams.iter().for_each(|upstream| upstream.set(Behaviour::Close));
        assert_eq!(status(&cluster.exchange(0, &read)), "502");
        assert_eq!(cluster.received().len(), runs);
    }
}

/// A request is suspected by others after an outage, and this node answered it a moment before, or does now.
#[test]
fn an_answer_here_clears_what_others_suspect() {
    let cluster = Cluster::new(1, 4);
    let read = request("GET", "/read/x", "", "");
    let suspect = crash(&cluster, &read);
    cluster.proxies[0].set_quarantine(suspected(&[suspect]));
    assert!(cluster.proxies[0].take_cleared().is_empty());
    assert_eq!(status(&cluster.exchange(0, &read)), "200");
    assert_eq!(cluster.proxies[0].take_cleared(), [suspect]);
    cluster.proxies[0].set_quarantine(Arc::default());
    cluster.proxies[0].set_quarantine(suspected(&[suspect]));
    assert_eq!(cluster.proxies[0].take_cleared(), [suspect]);
}

/// An upstream says that it failed, as it does where a call that it makes is refused; that clears nothing.
#[test]
fn a_failure_clears_nothing() {
    let cluster = Cluster::new(1, 4);
    let read = request("GET", "/read/x", "", "");
    let suspect = crash(&cluster, &read);
    cluster.proxies[0].set_quarantine(suspected(&[suspect]));
    cluster.upstreams[0].set(Behaviour::Fail);
    assert_eq!(status(&cluster.exchange(0, &read)), "500");
    assert!(cluster.proxies[0].take_cleared().is_empty());
}
