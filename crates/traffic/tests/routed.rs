//! Calls that are routed by host and path to upstreams that the platform lists.

mod cluster;

use cluster::{Behaviour, Cluster, header, request, status};
use std::{io::Write, thread, time::Duration};

#[track_caller]
fn check(cluster: &Cluster, text: &str, expect: &str) -> String {
    let answer = cluster.exchange(0, text);
    assert_eq!(status(&answer), expect, "{answer}");
    answer
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let cluster = Cluster::new(1, 4);
    check(&cluster, &request("GET", "/read/a?b=1", "", ""), "200");
    check(&cluster, &request("GET", "/read/none/a", "", ""), "503");
    check(&cluster, &request("GET", "/reading/a", "", ""), "404");
    check(&cluster, &request("GET", "/paydesk/a", "", ""), "404");
    let elsewhere = request("GET", "/read/a", "", "").replace("shop.example", "other.example");
    check(&cluster, &elsewhere, "404");
    let with_port = request("GET", "/read/a", "", "").replace("shop.example", "Shop.Example:80");
    check(&cluster, &with_port, "200");
    assert!(cluster.received()[0].head.starts_with("GET /read/a?b=1 HTTP/1.1"));
}

/// A node that has just started tells every caller that their route does not exist, and they give
/// up: it holds no configuration yet, so it cannot know.
#[test]
fn without_a_configuration_nothing_is_said_about_routes() {
    let cluster = Cluster::without_config(1, 4);
    let answer = check(&cluster, &request("GET", "/read/a", "", ""), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("unready"));
}

/// Callers of a route that was just added give up: one node holds the configuration without it, and
/// tells them that the route does not exist, which they take for final. The node has heard that a newer
/// configuration is in force elsewhere, so it cannot know, and asks them to come back.
#[test]
fn a_node_that_is_behind_does_not_say_that_a_route_is_unknown() {
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
fn the_entry_node_sets_what_only_it_may_set() {
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
        let expected = seen.header("x-expect").expect("an identity is told");
        assert!(["i-0", "i-1"].contains(&expected), "{expected}");
        let deadline: u64 = seen.header("x-deadline").expect("it is told").parse().expect("ms");
        assert!((1_000..=1_500).contains(&deadline), "the route's timeout: {deadline}");
    }
}

/// A caller that claims to be an upstream's work, or the most urgent of all, goes before everybody:
/// only what other nodes say of a call's rank and of an upstream's life is believed.
#[test]
fn what_nodes_tell_each_other_is_not_believed_of_callers() {
    let cluster = Cluster::new(1, 4);
    let forged = "baobab-nested: 1\r\nbaobab-priority: none\r\nbaobab-started-ms: never\r\n";
    check(&cluster, &request("GET", "/read/a", forged, ""), "200");
    assert!(!cluster.received()[0].head.contains("baobab-"), "{}", cluster.received()[0].head);
}

/// A payment is refused by an upstream that is full and by one whose address was taken over. Both
/// prove that it has not run, so it goes on to the third.
#[test]
fn what_provably_has_not_run_goes_to_another_upstream() {
    for refusal in [Behaviour::Refuse, Behaviour::Other] {
        let cluster = Cluster::new(2, 4);
        cluster.upstreams[0].set(refusal);
        for _ in 0..5 {
            check(&cluster, &request("POST", "/post/a", "", "{}"), "200");
        }
        cluster.upstreams[1].set(refusal);
        let answer = check(&cluster, &request("POST", "/post/a", "", "{}"), "503");
        let after: f64 = header(&answer, "retry-after").expect("it is told").parse().expect("s");
        assert!(after > 0.0 && after < 1.0, "{after}");
    }
}

/// A payment is repeated by its caller, because a node passed on a 503 that promised nothing.
#[test]
fn answers_that_prove_nothing_are_not_passed_on_as_proof() {
    for behaviour in [Behaviour::Unmarked, Behaviour::Unstamped, Behaviour::Crossed] {
        let cluster = Cluster::new(2, 4);
        cluster.upstreams.iter().for_each(|upstream| upstream.set(behaviour));
        check(&cluster, &request("POST", "/post/a", "", "{}"), "502");
        assert_eq!(cluster.received().len(), 1, "{behaviour:?}");
    }
}

#[test]
fn an_upstream_s_own_failure_is_passed_on_whole() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Fail);
    let answer = check(&cluster, &request("POST", "/post/a", "", "{}"), "500");
    assert_eq!(header(&answer, "x-stamp"), Some("s1"));
    assert!(answer.ends_with("\r\n\r\nbody"));
}

#[test]
fn an_answer_may_end_with_its_connection() {
    let cluster = Cluster::new(2, 4);
    cluster.upstreams.iter().for_each(|upstream| upstream.set(Behaviour::Unframed));
    let answer = check(&cluster, &request("GET", "/read/a", "", ""), "200");
    assert_eq!(header(&answer, "content-length"), Some("4"));
}

/// A shop waits until its deadline for a stock lookup that an upstream ran and whose answer was
/// lost; another upstream could have answered in time.
#[test]
fn a_silent_upstream_gets_a_rival() {
    let cluster = Cluster::new(2, 4);
    cluster.upstreams[0].set(Behaviour::Silent);
    for _ in 0..3 {
        check(&cluster, &request("GET", "/read/a", "", ""), "200");
    }
}

/// An answer that was on its way is thrown away: the attempt was cut after its share of the time
/// although there was nobody else to ask.
#[test]
fn a_slow_answer_is_waited_for_where_nobody_else_can_be_asked() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Slowly(Duration::from_millis(1_200)));
    check(&cluster, &request("GET", "/read/a", "", ""), "200");
    assert_eq!(cluster.received().len(), 1);
}

#[test]
fn a_payment_has_no_rival() {
    let cluster = Cluster::new(2, 4);
    cluster.upstreams.iter().for_each(|u| u.set(Behaviour::Slowly(Duration::from_millis(900))));
    check(&cluster, &request("POST", "/post/a", "", "{}"), "200");
    assert_eq!(cluster.received().len(), 1);
}

/// The answer to a pharmacy's last lookup never arrives, although it was written: more lookups
/// waited unread behind it, and closing the socket reset the connection.
#[test]
fn the_last_answer_of_a_closing_node_arrives() {
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

/// An upload that is refused in the end has crossed a slow link for nothing, and held up everything
/// behind it.
#[test]
fn a_large_body_crosses_only_if_it_will_be_taken() {
    let cluster = Cluster::new(2, 1);
    let body = "x".repeat(100_000);
    for _ in 0..6 {
        check(&cluster, &request("POST", "/post/big", "", &body), "200");
    }
    let whole = |seen: &cluster::Received| seen.body.len() == 100_000;
    assert!(cluster.received().iter().all(whole));
    let too_large = "x".repeat(200_001);
    check(&cluster, &request("POST", "/post/big", "", &too_large), "413");
}

/// The rest of a rejected upload is taken for the next request: the upstream answers before it has
/// read everything and keeps the connection.
#[test]
fn a_connection_with_an_early_answer_is_not_used_again() {
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

/// A refused caller's connection ends: it comes back on a new one, and thousands of old ones would
/// fill the table.
#[test]
fn a_refusal_ends_its_connection() {
    let cluster = Cluster::new(1, 1);
    cluster.upstreams[0].set(Behaviour::Slowly(Duration::from_millis(700)));
    let holding = request("GET", "/read/long/a", "", "");
    let refused = request("GET", "/read/a", "", "").replace("connection: close\r\n", "");
    thread::scope(|scope| {
        scope.spawn(|| cluster.exchange(0, &holding));
        cluster.wait(|| !cluster.received().is_empty());
        // The text ends only because the node ends the connection.
        let answer = check(&cluster, &refused, "503");
        assert_eq!(header(&answer, "connection"), Some("close"));
    });
}

#[test]
fn a_node_that_ends_soon_takes_nothing_more() {
    let cluster = Cluster::new(1, 4);
    cluster.proxies[0].leave();
    cluster.proxies[0].close();
    let answer = check(&cluster, &request("GET", "/read/a", "", ""), "503");
    assert_eq!(header(&answer, "baobab-cause"), Some("leaving"));
    assert!(cluster.received().is_empty());
}

#[test]
fn heads_over_the_limit_are_refused() {
    let cluster = Cluster::new(1, 4);
    let large = format!("x-large: {}\r\n", "x".repeat(20_000));
    check(&cluster, &request("GET", "/read/a", &large, ""), "431");
    assert!(cluster.received().is_empty());
    let fitting = format!("x-large: {}\r\n", "x".repeat(10_000));
    check(&cluster, &request("GET", "/read/a", &fitting, ""), "200");
}
