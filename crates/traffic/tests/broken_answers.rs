//! Answers that are cut off, or that the protocol gives no meaning, from an upstream and from another node.

mod cluster;

use cluster::{
    Behaviour, Cluster, End, Moment, Script, configuration_of_body_limit, request, status,
};
use fleet::member::State;
use std::time::Duration;

/// Size of an upload that is still being written when its early answer arrives, in bytes.
const UPLOAD_BYTES: usize = 6 << 20;

/// Times from an answer to the end of its connection.
const PAUSES: [Duration; 3] = [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(30)];

/// Where an answer comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Hop {
    /// The colocated upstream.
    Upstream,
    /// The serving node of another upstream.
    Node,
}

const HOPS: [Hop; 2] = [Hop::Upstream, Hop::Node];

/// Headers of an answer that both hops accept.
macro_rules! answer {
    ($status:literal, $rest:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nx-id: ID\r\nx-stamp: s1\r\nbaobab-id: OFFER\r\nbaobab-outcome: answered\r\n",
            $rest
        )
    };
}

/// Returns a node whose calls go to the first upstream over `hop`.
fn start(hop: Hop) -> Cluster {
    let cluster = Cluster::new(2, 8);
    cluster.proxies.iter().for_each(|p| p.set_config(configuration_of_body_limit(UPLOAD_BYTES)));
    let address = cluster.upstreams[0].address;
    match hop {
        Hop::Upstream => cluster.show(0, 1, |upstream| upstream.state = State::Evacuated),
        Hop::Node => {
            cluster.show(0, 0, |upstream| upstream.state = State::Evacuated);
            cluster.show(0, 1, |upstream| upstream.traffic = address);
        }
    }
    cluster
}

/// Uploads through a node while its upstream plays `script`; returns the status of the answer.
fn upload(cluster: &Cluster, script: Script, bytes: usize) -> String {
    cluster.upstreams[0].set(Behaviour::Script(script));
    let text = request("POST", "/post/a", "", &"a".repeat(bytes));
    status(&cluster.exchange(0, &text)).to_owned()
}

/// Checks that no answer of `answers` reaches the caller as the upstream's, whenever and however it ends.
#[track_caller]
fn check(answers: &[&'static str], moments: &[Moment], ends: &[End]) {
    let mut passed_on = Vec::new();
    for hop in HOPS {
        let cluster = start(hop);
        for answer in answers {
            for (moment, end) in moments.iter().flat_map(|m| ends.iter().map(move |e| (*m, *e))) {
                for pause in PAUSES {
                    let script = Script { moment, answer, pause, end };
                    let bytes = if moment == Moment::Early { UPLOAD_BYTES } else { 10 };
                    let status = upload(&cluster, script, bytes);
                    if status != "502" {
                        passed_on.push((hop, status, script));
                    }
                }
            }
        }
    }
    assert!(passed_on.is_empty(), "{} answers: {passed_on:#?}", passed_on.len());
}

/// Guards against a part of an answer that is taken for the whole, since its connection was reset.
#[test]
fn an_answer_that_a_reset_cuts_off_is_not_passed_on() {
    let answers = [
        answer!("200 OK", "\r\npart"),
        answer!("200 OK", "connection: close\r\n\r\npart"),
        answer!("200 OK", "\r\n"),
        answer!("200 OK", "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"),
        answer!("200 OK", "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n"),
        answer!("200 OK", "content-length: 9\r\n\r\npart"),
        answer!("500 Failed", "\r\npart"),
    ];
    check(&answers, &[Moment::Early, Moment::Late], &[End::Reset]);
}

/// Guards against an answer that ends before its declared end, or before its last chunk.
#[test]
fn an_answer_that_ends_early_is_not_passed_on() {
    let answers = [
        answer!("200 OK", "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"),
        answer!("200 OK", "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n"),
        answer!("200 OK", "content-length: 9\r\n\r\npart"),
    ];
    check(&answers, &[Moment::Early, Moment::Late], &[End::Close]);
}

/// Guards against statuses that end no exchange, or that the protocol does not have.
#[test]
fn an_answer_without_a_final_status_is_not_passed_on() {
    let answers = [
        answer!("000 ", "content-length: 4\r\n\r\nbody"),
        answer!("000", "content-length: 4\r\n\r\nbody"),
        answer!("001 Odd", "content-length: 4\r\n\r\nbody"),
        answer!("099 Odd", "content-length: 4\r\n\r\nbody"),
        answer!("100 Continue", "\r\n"),
        answer!("101 Switching Protocols", "\r\n"),
        answer!("101 Switching Protocols", "connection: upgrade\r\nupgrade: h2c\r\n\r\n"),
        answer!("102 Processing", "content-length: 4\r\n\r\nbody"),
        answer!("199 Odd", "content-length: 4\r\n\r\nbody"),
        answer!("600 Odd", "content-length: 4\r\n\r\nbody"),
        answer!("700 Odd", "content-length: 4\r\n\r\nbody"),
        answer!("999 Odd", "content-length: 4\r\n\r\nbody"),
        answer!("20 Odd", "content-length: 4\r\n\r\nbody"),
        answer!("2000 Odd", "content-length: 4\r\n\r\nbody"),
    ];
    check(&answers, &[Moment::Late], &[End::Close, End::Reset]);
}

/// Guards against a body that is passed on without the coding that it was sent in, or with ambiguous ends.
#[test]
fn an_answer_with_ambiguous_framing_is_not_passed_on() {
    let answers = [
        answer!("200 OK", "transfer-encoding: gzip\r\n\r\nbody"),
        answer!("200 OK", "transfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        answer!("200 OK", "transfer-encoding: identity\r\n\r\nbody"),
        answer!("200 OK", "content-length: 4\r\ncontent-length: 9\r\n\r\nbodybodyb"),
        answer!("200 OK", "content-length: 4, 9\r\n\r\nbodybodyb"),
        answer!("200 OK", "content-length: +4\r\n\r\nbody"),
    ];
    check(&answers, &[Moment::Late], &[End::Close]);
}

/// Guards against whole answers that are lost to the checks of this file.
#[test]
fn whole_answers_are_passed_on() {
    let answers = [
        answer!("200 OK", "connection: close\r\ncontent-length: 4\r\n\r\nbody"),
        answer!(
            "200 OK",
            "connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        ),
        answer!(
            "200 OK",
            "connection: close\r\ntransfer-encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\nx: y\r\n\r\n"
        ),
        answer!("200 OK", "\r\nbody"),
        answer!("200 OK", "connection: close\r\n\r\nbody"),
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: ID\r\nx-stamp: s1\r\n\
         baobab-id: OFFER\r\nbaobab-outcome: answered\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody",
    ];
    for hop in HOPS {
        let cluster = start(hop);
        for answer in answers {
            let (moment, pause, end) = (Moment::Late, Duration::ZERO, End::Close);
            let script = Script { moment, answer, pause, end };
            cluster.upstreams[0].set(Behaviour::Script(script));
            let received = cluster.exchange(0, &request("POST", "/post/a", "", "{}"));
            assert_eq!(status(&received), "200", "{hop:?}, {answer:?}: {received}");
            assert!(received.ends_with("body"), "{hop:?}, {answer:?}: {received}");
        }
    }
}

/// Guards against answers without a body that are taken for cut off.
#[test]
fn answers_that_have_no_body_are_passed_on() {
    let cases = [
        ("HEAD", "200", answer!("200 OK", "connection: close\r\ncontent-length: 9\r\n\r\n")),
        ("HEAD", "200", answer!("200 OK", "connection: close\r\n\r\n")),
        ("POST", "204", answer!("204 No Content", "connection: close\r\n\r\n")),
        (
            "POST",
            "304",
            answer!("304 Not Modified", "connection: close\r\ncontent-length: 9\r\n\r\n"),
        ),
    ];
    for hop in HOPS {
        let cluster = start(hop);
        for (method, expected, answer) in cases {
            let (moment, pause, end) = (Moment::Late, Duration::ZERO, End::Close);
            let script = Script { moment, answer, pause, end };
            cluster.upstreams[0].set(Behaviour::Script(script));
            let received = cluster.exchange(0, &request(method, "/post/a", "", ""));
            assert_eq!(status(&received), expected, "{hop:?}, {method}, {answer:?}: {received}");
        }
    }
}
