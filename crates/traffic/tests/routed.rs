//! Calls that are routed by host and path.

mod cluster;

use cluster::{
    Behaviour, Cluster, configuration_with, configuration_without_routes, header, request, status,
};
use std::{
    io::{Read, Write},
    thread,
    time::Duration,
};

#[track_caller]
fn check(cluster: &Cluster, text: &str, expect: &str) -> String {
    let answer = cluster.exchange(0, text);
    assert_eq!(status(&answer), expect, "{answer}");
    answer
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let cluster = Cluster::new(1, 4);
    check(&cluster, &request("GET", "/read/a?b=1", "", ""), "200");
    check(&cluster, &request("GET", "/read/none/a", "", ""), "503");
    check(&cluster, &request("GET", "/reading/a", "", ""), "404");
    check(&cluster, &request("GET", "/paydesk/a", "", ""), "404");
    let other_host = request("GET", "/read/a", "", "").replace("shop.example", "other.example");
    check(&cluster, &other_host, "404");
    let with_port = request("GET", "/read/a", "", "").replace("shop.example", "Shop.Example:80");
    check(&cluster, &with_port, "200");
    assert!(cluster.received()[0].head.starts_with("GET /read/a?b=1 HTTP/1.1"));
}

/// Guards against a node that addresses calls by service name once the last route is removed.
#[test]
fn without_routes_no_call_is_addressed_by_service_name() {
    let cluster = Cluster::new(2, 4);
    check(&cluster, &request("POST", "/post/a", "", "{}"), "200");
    cluster.proxies.iter().for_each(|proxy| proxy.set_config(configuration_without_routes()));
    check(&cluster, &request("POST", "/post/a", "", "{}"), "404");
    check(&cluster, &request("POST", "/paydesk/a", "", "{}"), "404");
    check(&cluster, &request("GET", "/paydesk?a=1", "", ""), "404");
    check(&cluster, &request("GET", "/", "baobab-service: paydesk\r\n", ""), "404");
    assert_eq!(cluster.received().len(), 1);
}

/// Guards against calls of an unusable route that are denied for good, or run by the route of a shorter prefix.
#[test]
fn a_route_that_refuses_calls_hides_shorter_prefixes() {
    let cluster = Cluster::new(1, 4);
    let route =
        r#"{"host": "shop.example", "prefix": "/post/some/", "kind": "once", "refuse": "no"}"#;
    cluster.proxies[0].set_config(configuration_with(("routes/Some_Route", route)));
    let answer = check(&cluster, &request("POST", "/post/some/a", "", "{}"), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("unusable-route"));
    assert!(header(&answer, "retry-after").is_some());
    assert!(cluster.received().is_empty());
    check(&cluster, &request("POST", "/post/a", "", "{}"), "200");
}

/// Guards against a starting node that reports routes as unknown, which callers do not retry.
#[test]
fn without_a_configuration_calls_are_refused_as_unready() {
    let cluster = Cluster::without_config(1, 4);
    let answer = check(&cluster, &request("GET", "/read/a", "", ""), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("unready"));
}

/// Guards against reporting a new route as unknown at a node that lacks the newest configuration.
#[test]
fn a_node_with_an_outdated_configuration_refuses_unknown_routes_as_outdated() {
    let cluster = Cluster::new(1, 4);
    let held = cluster.proxies[0].config().version.revision;
    cluster.proxies[0].set_expected_revision(held + 1);
    let answer = check(&cluster, &request("GET", "/added/a", "", ""), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("outdated"));
    assert!(header(&answer, "retry-after").is_some());
    check(&cluster, &request("GET", "/read/a", "", ""), "200");
    cluster.proxies[0].set_expected_revision(held);
    check(&cluster, &request("GET", "/added/a", "", ""), "404");
}

#[test]
fn the_entry_node_overwrites_headers_that_only_it_may_set() {
    let cluster = Cluster::new(2, 4);
    let forged = "x-caller: somebody\r\nx-expect: i-9\r\nx-other: kept\r\nbaobab-offer: 0\r\n";
    for _ in 0..4 {
        check(&cluster, &request("POST", "/post/a", forged, "{}"), "200");
    }
    for seen in cluster.received() {
        assert_eq!(seen.header("x-caller"), Some("paydesk"));
        assert_eq!(seen.header("x-other"), Some("kept"));
        assert_eq!(seen.header("x-id"), Some("r1"));
        assert_eq!(seen.body, b"{}");
        let expected = seen.header("x-expect").expect("an identity is sent");
        assert!(["i-0", "i-1"].contains(&expected), "{expected}");
        let deadline: u64 = seen.header("x-deadline").expect("it is sent").parse().expect("ms");
        assert!((1_000..=1_500).contains(&deadline), "the route's timeout: {deadline}");
    }
}

/// Guards against callers that raise their rank by headers which only nodes may send.
#[test]
fn headers_between_nodes_are_ignored_from_callers() {
    let cluster = Cluster::new(1, 4);
    let forged = "baobab-nested: 1\r\nbaobab-priority: none\r\nbaobab-started-ms: never\r\n";
    check(&cluster, &request("GET", "/read/a", forged, ""), "200");
    assert!(!cluster.received()[0].head.contains("baobab-"), "{}", cluster.received()[0].head);
}

/// Guards against giving up on a payment after a refusal that proves that it has not run.
#[test]
fn a_call_provably_not_run_is_retried_at_another_upstream() {
    for refusal in [Behaviour::Refuse, Behaviour::WrongInstance] {
        let cluster = Cluster::new(2, 4);
        cluster.upstreams[0].set(refusal);
        for _ in 0..5 {
            check(&cluster, &request("POST", "/post/a", "", "{}"), "200");
        }
        cluster.upstreams[1].set(refusal);
        let answer = check(&cluster, &request("POST", "/post/a", "", "{}"), "503");
        let after: f64 = header(&answer, "retry-after").expect("it is sent").parse().expect("s");
        assert!(after > 0.0 && after < 1.0, "{after}");
    }
}

/// Guards against a caller that repeats a payment after a 503 that does not prove "not run".
#[test]
fn answers_without_proof_have_an_unknown_outcome() {
    for behaviour in [Behaviour::Unmarked, Behaviour::Unstamped, Behaviour::WrongId] {
        let cluster = Cluster::new(2, 4);
        cluster.upstreams.iter().for_each(|upstream| upstream.set(behaviour));
        check(&cluster, &request("POST", "/post/a", "", "{}"), "502");
        assert_eq!(cluster.received().len(), 1, "{behaviour:?}");
    }
}

#[test]
fn an_error_of_the_upstream_itself_is_forwarded_whole() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Fail);
    let answer = check(&cluster, &request("POST", "/post/a", "", "{}"), "500");
    assert_eq!(header(&answer, "x-stamp"), Some("s1"));
    assert!(answer.ends_with("\r\n\r\nbody"));
}

#[test]
fn an_answer_may_be_delimited_by_the_end_of_its_connection() {
    let cluster = Cluster::new(2, 4);
    cluster.upstreams.iter().for_each(|upstream| upstream.set(Behaviour::Unframed));
    let answer = check(&cluster, &request("GET", "/read/a", "", ""), "200");
    assert_eq!(header(&answer, "content-length"), Some("4"));
}

/// Guards against waiting until the deadline when another upstream could answer.
#[test]
fn a_call_to_a_silent_upstream_is_hedged() {
    let cluster = Cluster::new(2, 4);
    cluster.upstreams[0].set(Behaviour::Silent);
    for _ in 0..3 {
        check(&cluster, &request("GET", "/read/a", "", ""), "200");
    }
}

/// Guards against cancelling a slow attempt when there is no upstream to hedge at.
#[test]
fn a_slow_answer_is_awaited_without_another_upstream() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Slowly(Duration::from_millis(1_200)));
    check(&cluster, &request("GET", "/read/a", "", ""), "200");
    assert_eq!(cluster.received().len(), 1);
}

#[test]
fn a_non_idempotent_call_is_not_hedged() {
    let cluster = Cluster::new(2, 4);
    cluster.upstreams.iter().for_each(|u| u.set(Behaviour::Slowly(Duration::from_millis(900))));
    check(&cluster, &request("POST", "/post/a", "", "{}"), "200");
    assert_eq!(cluster.received().len(), 1);
}

/// Guards against a connection reset that destroys the last answer because pipelined requests were
/// unread.
#[test]
fn the_last_answer_before_a_node_closes_its_connection_arrives() {
    let cluster = Cluster::new(1, 4);
    cluster.proxies[0].set_ready(true);
    cluster.upstreams[0].set(Behaviour::Slowly(Duration::from_millis(50)));
    for round in 0..20 {
        cluster.proxies[0].set_ready(true);
        let one = request("GET", "/read/a", "", "").replace("connection: close\r\n", "");
        let mut stream = cluster.connect(0);
        stream.write_all(one.repeat(30).as_bytes()).expect("the node reads");
        cluster.wait(|| cluster.received().len() > round);
        cluster.proxies[0].set_ready(false);
        let mut text = String::new();
        let read = std::io::Read::read_to_string(&mut stream, &mut text);
        let answers = text.matches("HTTP/1.1 200").count();
        assert!(read.is_ok(), "{read:?} after {answers} answers");
        assert!(text.ends_with("body") && answers >= 1, "{text}");
        assert_eq!(text.matches("connection: close").count(), 1);
        let ran = cluster.received().len();
        cluster.wait(|| cluster.proxies[0].calls_in_flight() == 0);
        assert_eq!(cluster.received().len(), ran);
    }
}

/// Guards against transferring a large body over a slow link before the call is admitted.
#[test]
fn a_large_body_is_transferred_only_if_it_is_admitted() {
    let cluster = Cluster::new(2, 1);
    let body = "x".repeat(100_000);
    for _ in 0..6 {
        check(&cluster, &request("POST", "/post/big", "", &body), "200");
    }
    let is_complete = |seen: &cluster::Received| seen.body.len() == 100_000;
    assert!(cluster.received().iter().all(is_complete));
    let too_large = "x".repeat(200_001);
    check(&cluster, &request("POST", "/post/big", "", &too_large), "413");
}

/// Guards against the rest of a rejected upload being read as the next request.
#[test]
fn a_connection_with_an_early_answer_is_not_reused() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Early);
    let body = "x".repeat(150_000);
    for _ in 0..5 {
        check(&cluster, &request("POST", "/post/big", "", &body), "400");
    }
    cluster.upstreams[0].set(Behaviour::Answer);
    check(&cluster, &request("POST", "/post/a", "", "{}"), "200");
    for seen in cluster.received() {
        assert!(seen.head.starts_with("POST /post/"), "{}", seen.head);
    }
}

/// Guards against idle connections of refused callers using up the connection limit.
#[test]
fn a_refusal_closes_its_connection() {
    let cluster = Cluster::new(1, 1);
    cluster.upstreams[0].set(Behaviour::Slowly(Duration::from_millis(700)));
    let slow_request = request("GET", "/read/long/a", "", "");
    let refused = request("GET", "/read/a", "", "").replace("connection: close\r\n", "");
    thread::scope(|scope| {
        scope.spawn(|| cluster.exchange(0, &slow_request));
        cluster.wait(|| !cluster.received().is_empty());
        // The exchange returns only when the node closes the connection.
        let answer = check(&cluster, &refused, "503");
        assert_eq!(header(&answer, "connection"), Some("close"));
    });
}

#[test]
fn a_node_that_is_about_to_exit_refuses_calls() {
    let cluster = Cluster::new(1, 4);
    cluster.proxies[0].leave();
    cluster.proxies[0].close();
    let answer = check(&cluster, &request("GET", "/read/a", "", ""), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("leaving"));
    assert!(cluster.received().is_empty());
}

/// Guards against calls broken off by a planned stop because their bodies arrived after the close.
#[test]
fn a_body_that_arrives_after_the_close_is_refused() {
    let cluster = Cluster::new(2, 4);
    let text = request("POST", "/post/a", "", "0123456789");
    let (first, rest) = text.split_at(text.len() - 5);
    let mut stream = cluster.connect(0);
    stream.write_all(first.as_bytes()).expect("the node reads");
    cluster.wait(|| cluster.proxies[0].calls_in_flight() > 0);
    cluster.proxies[0].leave();
    cluster.proxies[0].close();
    stream.write_all(rest.as_bytes()).expect("the node reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the node answers and closes");
    assert_eq!(status(&answer), "503", "{answer}");
    assert_eq!(header(&answer, "baobab-cause"), Some("leaving"));
    assert!(cluster.received().is_empty());
}

#[test]
fn heads_over_the_limit_are_refused() {
    let cluster = Cluster::new(1, 4);
    let large = format!("x-large: {}\r\n", "x".repeat(20_000));
    check(&cluster, &request("GET", "/read/a", &large, ""), "431");
    assert!(cluster.received().is_empty());
    let within_limit = format!("x-large: {}\r\n", "x".repeat(10_000));
    check(&cluster, &request("GET", "/read/a", &within_limit, ""), "200");
}
