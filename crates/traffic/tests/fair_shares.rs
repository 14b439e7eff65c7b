//! Fair shares between entry nodes: the usage that offers state, and the order in which a node runs them. Paced
//! returns of refused callers.

mod cluster;

use cluster::{Behaviour, Cluster, TIMEOUT, header, request, status};
use fleet::member::State;
use policy::overload;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};
use traffic::Tuning;

/// Time for which the first offer holds the only slot while the others are queued.
const HOLD: Duration = Duration::from_secs(1);

const ON: overload::Settings = overload::Settings {
    nested_admission: false,
    cold_window: false,
    retry_priority: false,
    fair_shares: true,
    overflow: false,
    paced_returns: false,
};

const PACED: overload::Settings =
    overload::Settings { fair_shares: false, paced_returns: true, ..ON };

fn cluster(nodes: usize, slots: usize, overload: overload::Settings) -> Cluster {
    let cluster = Cluster::new(nodes, slots);
    let tuning = Tuning { overload, ..Tuning::default() };
    cluster.proxies.iter().for_each(|proxy| proxy.set_tuning(tuning));
    cluster
}

/// Sends an offer to a node as another node would, and returns the response.
fn offer(node: SocketAddr, id: u64, extra: &str) -> String {
    let mut stream = TcpStream::connect(node).expect("the node listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    let offer = format!(
        "baobab-offer: 1\r\nbaobab-id: {id}\r\nbaobab-deadline-ms: 9000\r\n\
         baobab-idempotent: 0\r\nbaobab-priority: 3\r\n{extra}"
    );
    let request = request("POST", "/post/a", &offer, "{}");
    let request = request.replace("x-id: r1", &format!("x-id: r{id}"));
    stream.write_all(request.as_bytes()).expect("the node reads");
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    response
}

/// Returns the calls that run and wait at a node, which it states also in the answer to a malformed offer.
fn load(node: SocketAddr) -> Option<String> {
    let answer = offer(node, 99, "baobab-started-ms: malformed\r\n");
    header(&answer, "baobab-load").map(str::to_owned)
}

/// Queues two offers with the given headers behind a running one; returns the order in which all run.
fn order(overload: overload::Settings, second: &str, third: &str) -> Vec<String> {
    let cluster = cluster(1, 1, overload);
    let node = cluster.proxies[0].view().upstreams("paydesk")[0].traffic;
    cluster.upstreams[0].set(Behaviour::Slowly(HOLD));
    thread::scope(|scope| {
        for (id, headers, expected) in [(1, "", "1,0,0"), (2, second, "1,1,0"), (3, third, "1,2,0")]
        {
            scope.spawn(move || assert_eq!(status(&offer(node, id, headers)), "200"));
            cluster.wait(|| load(node).as_deref() == Some(expected));
            cluster.wait(|| !cluster.received().is_empty());
        }
        cluster.upstreams[0].set(Behaviour::Answer);
    });
    let received = cluster.received();
    received.iter().filter_map(|seen| seen.header("x-id")).map(str::to_owned).collect()
}

/// Guards against callers of one node that take the slots from those of others by their number alone.
#[test]
fn offers_of_nodes_with_less_usage_run_first() {
    let order = order(ON, "baobab-usage: 100\r\n", "baobab-usage: 2\r\n");
    assert_eq!(order, ["r1", "r3", "r2"]);
}

#[test]
fn with_the_switch_off_offers_run_in_order_of_arrival() {
    let off = overload::Settings::default();
    let order = order(off, "baobab-usage: 100\r\n", "baobab-usage: 2\r\n");
    assert_eq!(order, ["r1", "r2", "r3"]);
}

/// Guards against refusing or delaying the offers of older nodes, and those with a malformed number.
#[test]
fn the_usage_of_the_node_itself_stands_for_one_that_is_missing_or_malformed() {
    for header in ["", "baobab-usage: many\r\n", "baobab-usage: -1\r\n"] {
        assert_eq!(order(ON, header, "baobab-usage: 0\r\n"), ["r1", "r2", "r3"], "{header:?}");
    }
}

/// Refuses every offer; returns its address and the usages that the offers state.
fn refusing_node() -> (SocketAddr, mpsc::Receiver<Option<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = String::new();
            let mut byte = [0];
            while !head.ends_with("\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
                head.push(byte[0].into());
            }
            let id = header(&head, "baobab-id").unwrap_or_default();
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\nbaobab-id: {id}\r\nbaobab-outcome: not-run\r\n\
                 baobab-cause: overloaded\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            let _ = sender.send(header(&head, "baobab-usage").map(str::to_owned));
            let _ = stream.write_all(refusal.as_bytes());
        }
    });
    (address, receiver)
}

/// Returns the usage that an offer of a node states after eight calls of its callers were answered, and the
/// response to the refused caller.
fn refused_offer(overload: overload::Settings) -> (Option<String>, String) {
    let cluster = cluster(2, 4, overload);
    let (address, usages) = refusing_node();
    cluster.show(0, 1, |upstream| upstream.traffic = address);
    let call = |path: &str| cluster.exchange(0, &request("GET", path, "", ""));
    (0..8).for_each(|number| assert_eq!(status(&call(&format!("/read/{number}"))), "200"));
    // Only the refusing node is left.
    cluster.show(0, 0, |upstream| upstream.state = State::Evacuated);
    let refusal = call("/read/long/last");
    assert_eq!(status(&refusal), "503");
    let usage = usages.try_iter().last();
    (usage.expect("the last call was offered to the refusing node"), refusal)
}

/// Guards against offers without the number that the order of other nodes' queues depends on.
#[test]
fn offers_state_the_calls_that_were_answered() {
    let usage = refused_offer(ON).0.and_then(|text| text.parse().ok());
    assert!(usage.is_some_and(|calls: u64| (1..=8).contains(&calls)), "{usage:?}");
}

#[test]
fn with_the_switch_off_offers_state_no_usage() {
    assert_eq!(refused_offer(overload::Settings::default()).0, None);
}

/// Returns the retry-after in seconds of a call with an objective of 9 s.
fn retry_after(overload: overload::Settings) -> f64 {
    let (_, refusal) = refused_offer(overload);
    let text = header(&refusal, "retry-after").expect("a refusal states when to return");
    text.parse().expect("a number of seconds")
}

/// Guards against a first refused caller that waits although no other return was promised.
#[test]
fn a_refused_caller_gets_the_first_free_place() {
    let delay = retry_after(PACED);
    assert!((0.015..0.1).contains(&delay), "{delay}");
}

/// The random time is at least a quarter of the slack.
#[test]
fn with_the_switch_off_a_refused_caller_returns_at_a_random_time() {
    for overload in [overload::Settings::default(), ON] {
        let delay = retry_after(overload);
        assert!(delay > 0.25 * 4.0, "{delay}");
    }
}
