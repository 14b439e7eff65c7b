//! Real processes that are killed, frozen, stopped and fed with nonsense.
//!
//! No verdict depends on how fast the machine is: waiting ends when something is seen, and what
//! callers were told is compared with the upstreams' ledgers.

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

/// Time after which a test that waits for something gives up.
const PATIENCE: Duration = Duration::from_secs(60);

const PROFILE: &str =
    r#"{"deadline_ms": 20000, "routes": [{"prefix": "/brief", "deadline_ms": 400}]}"#;

/// Starts a mesh with `count` upstreams of "paydesk" and one of "shelfview", the entry node.
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
    mesh.wait_in_force(revision, PATIENCE).expect("the first version comes into force");
    mesh.wait_upstreams("paydesk", count, PATIENCE).expect("the nodes meet");
    mesh
}

fn call(mesh: &Mesh, call: &Call) -> Answer {
    let entry = mesh.instances[0].traffic;
    mesh.runtime().block_on(Caller::new(entry).call(call)).expect("the entry node answers")
}

fn runs(mesh: &Mesh, work: &str) -> u32 {
    mesh.instances.iter().filter_map(|s| s.upstream.ledger().runs_by_work.get(work).copied()).sum()
}

/// Compares what a caller was told about `work` with the ledgers.
#[track_caller]
fn check_truth(mesh: &Mesh, work: &str, outcome: &str) {
    let runs = runs(mesh, work);
    let true_outcome = match outcome {
        "answered" => runs == 1,
        "not-run" => runs == 0,
        _ => runs <= 1,
    };
    assert!(true_outcome, "{work} was told {outcome} and ran {runs} times");
}

/// A supplier payment posts twice. Its node was frozen with the payment in its socket's buffer; the
/// caller was told "unknown" and went home; hours later the node woke and ran it.
#[test]
fn a_frozen_node_runs_nothing_old() {
    let mut mesh = mesh(1, Duration::ZERO);
    assert_eq!(call(&mesh, &Call::post("/paydesk/pay", "first")).outcome(), "answered");
    mesh.signal_node(1, Signal::STOP).expect("the process can be frozen");
    let old: Vec<String> = (0..6).map(|i| format!("old-{i}")).collect();
    for work in &old {
        let told = call(&mesh, &Call::post("/paydesk/brief", work));
        assert_ne!(told.outcome(), "answered");
        check_truth(&mesh, work, told.outcome());
    }
    mesh.signal_node(1, Signal::CONT).expect("the process can be thawed");
    let fresh =
        |mesh: &Mesh| call(mesh, &Call::post("/paydesk/pay", "fresh")).outcome() == "answered";
    mesh.wait(PATIENCE, fresh).expect("the node works again");
    for work in &old {
        assert_eq!(runs(&mesh, work), 0, "{work} was given up before the node woke");
    }
    mesh.kill_node(1).expect("the process can be killed");
}

/// The node of an upstream dies while a payment runs: its caller learns at once that the outcome
/// is unknown, and nobody runs it again.
#[test]
fn a_killed_serving_node_leaves_the_outcome_unknown() {
    let mut mesh = mesh(2, Duration::ZERO);
    for instance in &mesh.instances {
        instance.upstream.set_mode(Mode::Silent);
    }
    let entry = mesh.instances[0].traffic;
    let told = mesh
        .runtime()
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/pay", "w")).await });
    mesh.wait(PATIENCE, |mesh| runs(mesh, "w") == 1).expect("the payment is begun");
    let serving = (1..3).find(|&i| mesh.instances[i].upstream.ledger().runs == 1);
    mesh.kill_node(serving.expect("one upstream has it")).expect("the process can be killed");
    let told = mesh.runtime().block_on(told).expect("the task ends").expect("an answer comes");
    assert_eq!((told.outcome(), runs(&mesh, "w")), ("unknown", 1));
}

/// The entry node dies while a payment runs. The upstream's slot must come free again, and the
/// payment must not be run by anybody else.
#[test]
fn a_killed_entry_node_frees_the_slot() {
    let mut mesh = mesh(1, Duration::ZERO);
    mesh.instances[1].upstream.set_mode(Mode::Silent);
    let entry = mesh.instances[0].traffic;
    let told = mesh
        .runtime()
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/pay", "w")).await });
    mesh.wait(PATIENCE, |mesh| runs(mesh, "w") == 1).expect("the payment is begun");
    mesh.kill_node(0).expect("the process can be killed");
    assert!(mesh.runtime().block_on(told).expect("the task ends").is_err());
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

/// A planned stop cuts covers that are being logged, or loses those that come meanwhile.
#[test]
fn a_planned_stop_cuts_nothing() {
    let mut mesh = mesh(3, Duration::from_millis(40));
    let entry = mesh.instances[0].traffic;
    let workers: Vec<_> = (0..4)
        .map(|worker| {
            mesh.runtime().spawn(async move {
                let mut caller = Caller::new(entry);
                let mut told = Vec::new();
                for i in 0..60 {
                    let work = format!("cover-{worker}-{i}");
                    let answer = caller.call(&Call::post("/paydesk/pay", &work)).await;
                    let outcome = answer.map_or("no answer".to_owned(), |a| a.outcome().to_owned());
                    told.push((work, outcome));
                }
                told
            })
        })
        .collect();
    mesh.wait(PATIENCE, |mesh| mesh.instances[2].upstream.busy() > 0).expect("work has begun");
    assert_eq!(mesh.stop_node(2).expect("the process can be stopped"), Some(0));
    for worker in workers {
        for (work, outcome) in mesh.runtime().block_on(worker).expect("the task ends") {
            assert_eq!(outcome, "answered", "{work}");
            check_truth(&mesh, &work, &outcome);
        }
    }
}

/// A rolling update stands still: an upstream never answers a payment, the platform hangs, a
/// terminal keeps its connection open, and the operator asks twice. The stop waits for the payment as
/// long as the profile grants. Then the process ends by itself; without that bound it would stay
/// until the payment's own time is up, and the payment would be answered "unknown".
#[test]
fn a_planned_stop_ends_although_nothing_it_waits_for_does() {
    let mut mesh = mesh(1, Duration::ZERO);
    let profile = r#"{"deadline_ms": 20000, "drain_ms": 1000}"#;
    let revision = mesh.platform.publish(&[("profiles/p", Some(profile))]);
    mesh.wait_in_force(revision, PATIENCE).expect("the bound comes into force");
    let entry = mesh.instances[0].traffic;
    let mut idle = Caller::new(entry);
    let kept = mesh.runtime().block_on(idle.call(&Call::get("/paydesk/till")));
    assert_eq!(kept.expect("the entry node answers").outcome(), "answered");
    mesh.instances[1].upstream.set_mode(Mode::Silent);
    mesh.platform.set_mode(platform::Mode::Slow(PATIENCE));
    let told = mesh
        .runtime()
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/pay", "w")).await });
    mesh.wait(PATIENCE, |mesh| runs(mesh, "w") == 1).expect("the payment is begun");
    mesh.signal_node(0, Signal::TERM).expect("the process can be stopped");
    assert_eq!(mesh.stop_node(0).expect("the process can be stopped"), Some(0));
    let told = mesh.runtime().block_on(told).expect("the task ends");
    assert!(told.is_err(), "the stop outlived its bound: {told:?}");
    let log = fs::read_to_string(mesh.folder().join(format!("{}.log", mesh.instances[0].name)));
    let log = log.expect("the node has a log");
    let steps: Vec<&str> = log.lines().filter(|line| line.contains(r#""event":"stop""#)).collect();
    assert_eq!(steps.len(), 2, "{steps:?}");
    assert!(steps[0].contains(r#""step":"begun""#), "{steps:?}");
    assert!(steps[1].contains(r#""step":"ended""#), "{steps:?}");
    assert!(steps[1].contains(r#""in_hand":1"#), "the call that was cut is not told: {steps:?}");
}

/// Every node of the mesh is restarted at once, with the platform serving an old revision to make
/// things worse. Whoever was restarted first must not start the others on the old one.
#[test]
fn a_restarted_node_learns_the_newest_from_its_peers() {
    let mut mesh = mesh(2, Duration::ZERO);
    let old = mesh.revision(0).expect("the node answers");
    let newest = mesh.platform.publish(&[("profiles/q", Some("{}"))]);
    mesh.wait_in_force(newest, PATIENCE).expect("the version comes into force");
    mesh.platform.set_stale_at(old);
    mesh.kill_node(1).expect("the process can be killed");
    mesh.start_node(1).expect("the process can be started");
    mesh.wait_in_force(newest, PATIENCE).expect("the node learns the newest version");
    let text = mesh.page(1, "/timeline?scope=node").expect("the node answers");
    assert!(!text.contains(&format!(r#""revision":{old}"#)), "the old version came into force");
}

#[test]
fn a_bad_version_is_rejected_and_shown() {
    let mesh = mesh(1, Duration::ZERO);
    let before = mesh.revision(0);
    mesh.platform.publish(&[("profiles/p", Some(r#"{"attempts": 77}"#))]);
    let shown = |mesh: &Mesh| {
        (0..2).any(|i| mesh.page(i, "/status").is_some_and(|page| page.contains("/attempts")))
    };
    mesh.wait(PATIENCE, shown).expect("a reader shows the fault");
    assert_eq!(mesh.revision(0), before);
}

/// Whatever arrives at its ports, the process stays up and goes on.
#[test]
fn nonsense_does_not_stop_a_node() {
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
            // The node may close the connection in whatever way it likes.
            let _ = stream.read_to_end(&mut answer);
        }
    }
    assert_eq!(call(&mesh, &Call::post("/paydesk/pay", "w")).outcome(), "answered");
}
