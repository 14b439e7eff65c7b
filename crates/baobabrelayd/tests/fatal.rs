//! Requests that end the process of every upstream that runs them.
//!
//! Chefs wait for counts that nobody answers: one lookup ended each upstream that ran it, the caller asked
//! again at the next node, and its upstream ended too, and those that had come back after it, until none was
//! left for minutes.
//!
//! Cause: each attempt was a fresh call to every node, and nothing was kept of what ran when an upstream ended.
//! Seen without the memory of it: 14 upstreams ended in 14 attempts.

use standins::{
    caller::{Answer, Call, Caller},
    mesh::{Mesh, Settings, places},
    upstream::POISON_SUFFIX,
};
use std::{path::PathBuf, thread, time::Duration};

/// Time after which the test gives up waiting.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time between two attempts: longer than an upstream takes to come back.
const PAUSE: Duration = Duration::from_millis(700);

/// Nodes, each beside an upstream.
const NODES: usize = 5;

/// Attempts of the caller.
const ATTEMPTS: usize = 14;

/// Ends after which nobody may doubt the cause.
const PROOF: usize = 3;

/// Ends while word of that spreads.
const SPREADING: usize = 3;

fn mesh() -> Mesh {
    let settings = Settings {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_baobabrelayd")),
        instances: places(&["counts"], &["ktm-a"], NODES),
        ..Settings::default()
    };
    let mesh = Mesh::start(&settings).expect("the processes can be started");
    let revision = mesh.platform.publish(&[
        ("profiles/p", Some(r#"{"attempts": 1}"#)),
        ("services/counts", Some(r#"{"profile": "p"}"#)),
    ]);
    mesh.wait_in_force(revision, PATIENCE).expect("the first version comes into force");
    mesh.wait_upstreams("counts", NODES, PATIENCE).expect("the nodes meet");
    mesh
}

fn call(mesh: &Mesh, node: usize, path: &str) -> Answer {
    let mut caller = Caller::new(mesh.instances[node].traffic);
    let answer = mesh.runtime().block_on(caller.call(&Call::get(path)));
    answer.unwrap_or_else(|_| panic!("node {node} answers"))
}

fn ends(mesh: &Mesh) -> usize {
    mesh.instances.iter().map(|instance| instance.upstream.ledger().crashes.len()).sum()
}

#[test]
fn a_request_that_ends_upstreams_is_not_sent_to_one_after_the_other() {
    let mesh = mesh();
    let fatal = format!("/counts{POISON_SUFFIX}");
    let mut last = None;
    for attempt in 0..ATTEMPTS {
        last = Some(call(&mesh, attempt % NODES, &fatal));
        thread::sleep(PAUSE);
    }
    let ends = ends(&mesh);
    assert!(ends <= PROOF + SPREADING, "{ends} upstreams ended under one request");
    let last = last.expect("attempts were made");
    assert_eq!((last.status, last.outcome()), (503, "not-run"));
    assert_eq!(last.header("baobab-cause"), "quarantined");
    for node in 0..NODES {
        let served = |mesh: &Mesh| call(mesh, node, "/counts/today").outcome() == "answered";
        mesh.wait(PATIENCE, served).expect("other requests are served");
    }
}
