//! Calls that a caller pipelines on one connection.

mod cluster;

use cluster::{Behaviour, Cluster};
use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

/// Returns the start of a request that keeps the connection open.
fn request(method: &str, path: &str, id: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\nx-deadline: 8000\r\n")
}

fn get(id: &str) -> String {
    request("GET", "/read/long/a", id) + "\r\n"
}

fn post(id: &str) -> String {
    request("POST", "/post/a", id) + "content-length: 2\r\n\r\n{}"
}

/// Reads `count` answers of the cluster's upstreams; returns their ids in order.
fn ids(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    let mut chunk = [0; 4096];
    while text.matches("\r\n\r\nbody").count() < count {
        let read = stream.read(&mut chunk).expect("the node answers in time");
        assert!(read > 0, "the connection ended: {text}");
        text += std::str::from_utf8(&chunk[..read]).expect("answers are UTF-8");
    }
    let lines = text.lines().filter_map(|line| line.strip_prefix("x-id: "));
    lines.map(str::to_owned).collect()
}

/// Guards against running the pipelined calls of a connection one after the other.
#[test]
fn pipelined_calls_run_concurrently_and_are_answered_in_order() {
    let cluster = Cluster::new(2, 4);
    cluster.upstreams.iter().for_each(|u| u.set(Behaviour::Answer));
    let mut stream = cluster.connect(0);
    // The upstream answers once it has all four calls, so sequential calls would never finish.
    cluster.upstreams[1].set(Behaviour::Refuse);
    cluster.upstreams[0].set(Behaviour::Batch(4));
    let all: String = ["r1", "r2", "r3", "r4"].map(get).concat();
    stream.write_all(all.as_bytes()).expect("the node reads");
    assert_eq!(ids(&mut stream, 4), ["r1", "r2", "r3", "r4"]);
    cluster.upstreams[0].set(Behaviour::Answer);
    stream.write_all(get("r5").as_bytes()).expect("the node reads");
    assert_eq!(ids(&mut stream, 1), ["r5"]);
}

#[test]
fn fragmented_heads_are_reassembled() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Batch(3));
    let mut stream = cluster.connect(0);
    let all: String = ["r1", "r2", "r3"].map(get).concat();
    for piece in all.as_bytes().chunks(37) {
        stream.write_all(piece).expect("the node reads");
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(ids(&mut stream, 3), ["r1", "r2", "r3"]);
}

/// Guards against running a payment early: the caller sends it again if an answer before it closes
/// the connection.
#[test]
fn a_non_idempotent_call_waits_for_the_answers_before_it() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Slowly(Duration::from_millis(300)));
    let mut stream = cluster.connect(0);
    stream.write_all((get("r1") + &post("r2") + &get("r3")).as_bytes()).expect("the node reads");
    cluster.wait(|| !cluster.received().is_empty());
    thread::sleep(Duration::from_millis(100));
    assert_eq!(cluster.received().len(), 1, "only the first call has run");
    assert_eq!(ids(&mut stream, 3), ["r1", "r2", "r3"]);
    let order: Vec<String> =
        cluster.received().iter().filter_map(|s| s.header("x-id").map(str::to_owned)).collect();
    assert_eq!(order, ["r1", "r2", "r3"]);
}

/// Guards against calls that keep running after their caller has disconnected.
#[test]
fn pipelined_calls_are_cancelled_with_their_connection() {
    let cluster = Cluster::new(1, 4);
    cluster.upstreams[0].set(Behaviour::Silent);
    let mut stream = cluster.connect(0);
    stream.write_all((get("r1") + &get("r2")).as_bytes()).expect("the node reads");
    cluster.wait(|| cluster.received().len() == 2);
    drop(stream);
    cluster.wait(|| cluster.proxies[0].calls_in_flight() == 0);
}

/// Guards against lost, reordered or stalled body bytes on connections with prefetching.
#[test]
fn fragmented_bodies_arrive_whole() {
    let cluster = Cluster::new(1, 16);
    let body = "x".repeat(60_000);
    let upload = request("POST", "/post/a", "r1") + "content-length: 60000\r\n\r\n" + &body;
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let mut stream = cluster.connect(0);
                for _ in 0..40 {
                    for piece in upload.as_bytes().chunks(1_400) {
                        stream.write_all(piece).expect("the node reads");
                    }
                    assert_eq!(ids(&mut stream, 1), ["r1"]);
                }
            });
        }
    });
    assert!(cluster.received().iter().all(|seen| seen.body.len() == body.len()));
}
