//! Daemon processes that are killed, suspended, stopped and sent malformed input.
//!
//! Results do not depend on the speed of the machine: waits end on a condition, and outcomes reported
//! to callers are compared with what the upstreams ran.

use rustix::process::Signal;
use standins::{
    caller::{Answer, Call, Caller},
    mesh::{Mesh, Settings, places},
    platform,
    upstream::{self, Mode},
};
use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    path::PathBuf,
    time::Duration,
};

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(60);

const PROFILE: &str =
    r#"{"deadline_ms": 20000, "routes": [{"prefix": "/brief", "deadline_ms": 400}]}"#;

/// Starts a mesh with `count` upstreams of "paydesk" and one of "shelfview"; node 0, colocated with the
/// latter, is the entry node.
fn mesh(count: usize, work: Duration) -> Mesh {
    let mut instances = places(&["shelfview"], &["ktm-a"], 1);
    instances.extend(places(&["paydesk"], &["ktm-a"], count));
    let settings = Settings {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_baobabrelayd")),
        instances,
        upstream: upstream::Settings { service_time: work, ..upstream::Settings::default() },
        ..Settings::default()
    };
    let mesh = Mesh::start(&settings).expect("the processes can be started");
    let revision = mesh.platform.publish(&[
        ("profiles/p", Some(PROFILE)),
        ("services/paydesk", Some(r#"{"profile": "p"}"#)),
        ("services/shelfview", Some(r#"{"profile": "p"}"#)),
    ]);
    mesh.wait_in_force(revision, TIMEOUT).expect("the first version comes into force");
    mesh.wait_upstreams("paydesk", count, TIMEOUT).expect("the nodes discover each other");
    mesh
}

fn call(mesh: &Mesh, call: &Call) -> Answer {
    let entry = mesh.instances[0].traffic;
    mesh.runtime().block_on(Caller::new(entry).call(call)).expect("the entry node answers")
}

fn runs(mesh: &Mesh, work: &str) -> u32 {
    mesh.instances.iter().filter_map(|s| s.upstream.ledger().runs_by_work.get(work).copied()).sum()
}

/// Compares the outcome that a caller received for `work` with the number of its runs.
#[track_caller]
fn check_outcome(mesh: &Mesh, work: &str, outcome: &str) {
    let runs = runs(mesh, work);
    let is_consistent = match outcome {
        "answered" => runs == 1,
        "not-run" => runs == 0,
        _ => runs <= 1,
    };
    assert!(is_consistent, "{work} has the outcome {outcome} and ran {runs} times");
}

/// Guards against a resumed node that runs calls from its socket buffers, whose callers have long been
/// answered "unknown".
#[test]
fn a_resumed_node_runs_no_abandoned_call() {
    let mut mesh = mesh(1, Duration::ZERO);
    assert_eq!(call(&mesh, &Call::post("/paydesk/pay", "first")).outcome(), "answered");
    mesh.signal_node(1, Signal::STOP).expect("the process can be suspended");
    let abandoned: Vec<String> = (0..6).map(|i| format!("old-{i}")).collect();
    for work in &abandoned {
        let answer = call(&mesh, &Call::post("/paydesk/brief", work));
        assert_ne!(answer.outcome(), "answered");
        check_outcome(&mesh, work, answer.outcome());
    }
    mesh.signal_node(1, Signal::CONT).expect("the process can be resumed");
    let fresh =
        |mesh: &Mesh| call(mesh, &Call::post("/paydesk/pay", "fresh")).outcome() == "answered";
    mesh.wait(TIMEOUT, fresh).expect("the node answers calls again");
    for work in &abandoned {
        assert_eq!(runs(&mesh, work), 0, "{work} was abandoned before the node resumed");
    }
    mesh.kill_node(1).expect("the process can be killed");
}

/// The serving node is killed while a call runs: the outcome is unknown, and the call is not retried.
#[test]
fn a_killed_serving_node_leaves_the_outcome_unknown() {
    let mut mesh = mesh(2, Duration::ZERO);
    for instance in &mesh.instances {
        instance.upstream.set_mode(Mode::Silent);
    }
    let entry = mesh.instances[0].traffic;
    let task = mesh
        .runtime()
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/pay", "w")).await });
    mesh.wait(TIMEOUT, |mesh| runs(mesh, "w") == 1).expect("the call has started");
    let serving = (1..3).find(|&i| mesh.instances[i].upstream.ledger().runs == 1);
    mesh.kill_node(serving.expect("one upstream runs the call"))
        .expect("the process can be killed");
    let answer =
        mesh.runtime().block_on(task).expect("the task ends").expect("the entry node answers");
    assert_eq!((answer.outcome(), runs(&mesh, "w")), ("unknown", 1));
}

/// The entry node is killed while a call runs: the slot is released, and the call is not run again.
#[test]
fn a_killed_entry_node_frees_the_slot() {
    let mut mesh = mesh(1, Duration::ZERO);
    mesh.instances[1].upstream.set_mode(Mode::Silent);
    let entry = mesh.instances[0].traffic;
    let task = mesh
        .runtime()
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/pay", "w")).await });
    mesh.wait(TIMEOUT, |mesh| runs(mesh, "w") == 1).expect("the call has started");
    mesh.kill_node(0).expect("the process can be killed");
    assert!(mesh.runtime().block_on(task).expect("the task ends").is_err());
    mesh.instances[1].upstream.set_mode(Mode::Normal);
    let other = mesh.instances[1].traffic;
    let posts: Vec<String> = (0..12).map(|i| format!("next-{i}")).collect();
    for work in &posts {
        let answer =
            mesh.runtime().block_on(Caller::new(other).call(&Call::post("/paydesk/pay", work)));
        assert_eq!(answer.expect("the node answers").outcome(), "answered");
    }
    assert_eq!(runs(&mesh, "w"), 1);
}

/// Guards against calls lost in a planned stop, both those in flight and those that arrive during it.
#[test]
fn a_planned_stop_loses_no_call() {
    let mut mesh = mesh(3, Duration::from_millis(40));
    let entry = mesh.instances[0].traffic;
    let workers: Vec<_> = (0..4)
        .map(|worker| {
            mesh.runtime().spawn(async move {
                let mut caller = Caller::new(entry);
                let mut outcomes = Vec::new();
                for i in 0..60 {
                    let work = format!("cover-{worker}-{i}");
                    let answer = caller.call(&Call::post("/paydesk/pay", &work)).await;
                    let outcome = answer.map_or("no answer".to_owned(), |a| a.outcome().to_owned());
                    outcomes.push((work, outcome));
                }
                outcomes
            })
        })
        .collect();
    mesh.wait(TIMEOUT, |mesh| mesh.instances[2].upstream.busy() > 0).expect("a call has started");
    assert_eq!(mesh.stop_node(2).expect("the process can be stopped"), Some(0));
    for worker in workers {
        for (work, outcome) in mesh.runtime().block_on(worker).expect("the task ends") {
            assert_eq!(outcome, "answered", "{work}");
            check_outcome(&mesh, &work, &outcome);
        }
    }
}

/// Guards against a stop that waits past `drain_ms`, here for an unanswered call, an idle connection and
/// a platform that hangs, after two signals.
#[test]
fn a_planned_stop_ends_at_its_limit_with_a_call_in_flight() {
    let mut mesh = mesh(1, Duration::ZERO);
    let profile = r#"{"deadline_ms": 20000, "drain_ms": 1000}"#;
    let revision = mesh.platform.publish(&[("profiles/p", Some(profile))]);
    mesh.wait_in_force(revision, TIMEOUT).expect("the profile comes into force");
    let entry = mesh.instances[0].traffic;
    let mut idle = Caller::new(entry);
    let first = mesh.runtime().block_on(idle.call(&Call::get("/paydesk/till")));
    assert_eq!(first.expect("the entry node answers").outcome(), "answered");
    mesh.instances[1].upstream.set_mode(Mode::Silent);
    mesh.platform.set_mode(platform::Mode::Slow(TIMEOUT));
    let task = mesh
        .runtime()
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/pay", "w")).await });
    mesh.wait(TIMEOUT, |mesh| runs(mesh, "w") == 1).expect("the call has started");
    mesh.signal_node(0, Signal::TERM).expect("the process can be stopped");
    assert_eq!(mesh.stop_node(0).expect("the process can be stopped"), Some(0));
    let answer = mesh.runtime().block_on(task).expect("the task ends");
    assert!(answer.is_err(), "the stop exceeded its limit: {answer:?}");
    let log = fs::read_to_string(mesh.folder().join(format!("{}.log", mesh.instances[0].name)));
    let log = log.expect("the node has a log");
    let steps: Vec<&str> = log.lines().filter(|line| line.contains(r#""event":"stop""#)).collect();
    assert_eq!(steps.len(), 2, "{steps:?}");
    assert!(steps[0].contains(r#""step":"begun""#), "{steps:?}");
    assert!(steps[1].contains(r#""step":"ended""#), "{steps:?}");
    assert!(steps[1].contains(r#""in_hand":1"#), "the dropped call is not logged: {steps:?}");
}

/// Guards against a restarted node that puts an old revision of a stale platform in force.
#[test]
fn a_restarted_node_learns_the_newest_from_its_peers() {
    let mut mesh = mesh(2, Duration::ZERO);
    let old = mesh.revision(0).expect("the node answers");
    let newest = mesh.platform.publish(&[("profiles/q", Some("{}"))]);
    mesh.wait_in_force(newest, TIMEOUT).expect("the version comes into force");
    mesh.platform.set_stale_at(old);
    mesh.kill_node(1).expect("the process can be killed");
    mesh.start_node(1).expect("the process can be started");
    mesh.wait_in_force(newest, TIMEOUT).expect("the node learns the newest version");
    let text = mesh.page(1, "/timeline?scope=node").expect("the node answers");
    assert!(!text.contains(&format!(r#""revision":{old}"#)), "the old version came into force");
}

#[test]
fn an_invalid_version_is_rejected_and_reported() {
    let mesh = mesh(1, Duration::ZERO);
    let before = mesh.revision(0);
    mesh.platform.publish(&[("profiles/p", Some(r#"{"attempts": 77}"#))]);
    let is_reported = |mesh: &Mesh| {
        (0..2).any(|i| mesh.page(i, "/status").is_some_and(|page| page.contains("/attempts")))
    };
    mesh.wait(TIMEOUT, is_reported).expect("a reader reports the fault");
    assert_eq!(mesh.revision(0), before);
}

/// Guards against a process that ends or stops serving after malformed input on any port.
#[test]
fn malformed_input_does_not_stop_a_node() {
    let mesh = mesh(1, Duration::ZERO);
    let json = r#"{"jsonrpc":"2.0","id":1,"method":"beat","params":[{"f":17}]}"#;
    let post = format!(
        "POST / HTTP/1.1\r\nhost: n\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{json}",
        json.len()
    );
    let inputs: [&[u8]; 4] =
        [b"\0\xff\xfe garbage\r\n\r\n", post.as_bytes(), b"GET /explain HTTP/1.1\r\n\r\n", b""];
    for port in [mesh.instances[1].traffic, mesh.instances[1].peers, mesh.instances[1].operators] {
        for input in inputs {
            let mut stream = TcpStream::connect(port).expect("the node listens");
            stream.write_all(input).expect("the node reads");
            stream.shutdown(std::net::Shutdown::Write).expect("the connection is open");
            let mut answer = Vec::new();
            // The node may close the connection with or without an answer.
            let _ = stream.read_to_end(&mut answer);
        }
    }
    assert_eq!(call(&mesh, &Call::post("/paydesk/pay", "w")).outcome(), "answered");
}
