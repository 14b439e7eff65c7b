//! Poison requests: requests that crash every upstream that runs them.

use standins::{
    caller::{Answer, Call, Caller},
    mesh::{Mesh, Settings, places},
    upstream::POISON_SUFFIX,
};
use std::{path::PathBuf, thread, time::Duration};

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two attempts; exceeds the restart time of an upstream.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(700);

/// Nodes, each with one upstream.
const NODES: usize = 5;

/// Attempts of the caller.
const ATTEMPTS: usize = 14;

/// Crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Crashes while the quarantine reaches the other nodes.
const CRASHES_DURING_GOSSIP: usize = 3;

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
    mesh.wait_in_force(revision, TIMEOUT).expect("the first version comes into force");
    mesh.wait_upstreams("counts", NODES, TIMEOUT).expect("the nodes discover each other");
    mesh
}

fn call(mesh: &Mesh, node: usize, path: &str) -> Answer {
    let mut caller = Caller::new(mesh.instances[node].traffic);
    let answer = mesh.runtime().block_on(caller.call(&Call::get(path)));
    answer.unwrap_or_else(|_| panic!("node {node} does not answer"))
}

fn crashes(mesh: &Mesh) -> usize {
    mesh.instances.iter().map(|instance| instance.upstream.ledger().crashes.len()).sum()
}

/// Guards against retries that carry a poison request from upstream to upstream.
#[test]
fn a_poison_request_is_quarantined_before_it_crashes_every_upstream() {
    let mesh = mesh();
    let poison = format!("/counts{POISON_SUFFIX}");
    let mut last = None;
    for attempt in 0..ATTEMPTS {
        last = Some(call(&mesh, attempt % NODES, &poison));
        thread::sleep(ATTEMPT_INTERVAL);
    }
    let crashes = crashes(&mesh);
    assert!(
        crashes <= CRASHES_TO_QUARANTINE + CRASHES_DURING_GOSSIP,
        "{crashes} upstreams crashed on one request"
    );
    let last = last.expect("attempts were made");
    assert_eq!((last.status, last.outcome()), (503, "not-run"));
    assert_eq!(last.header("baobab-cause"), "quarantined");
    for node in 0..NODES {
        let is_served = |mesh: &Mesh| call(mesh, node, "/counts/today").outcome() == "answered";
        mesh.wait(TIMEOUT, is_served).expect("other requests are served");
    }
}
