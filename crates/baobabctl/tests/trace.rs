//! `baobabctl trace` and `timeline` on the logs of two nodes.

use std::{fs, process::Command};

/// Log of the entry node; the clock of the serving node is 5 s behind.
const ENTRY: &str = r#"
2026-12-02T20:00:00Z {"stamp":655360000000,"node":"entry","event":"in-force","version":{"revision":7,"digest":"00000000000000000000000000000000"},"from":null}
{"stamp":655360000001,"node":"entry","event":"upstream","id":"i-1","service":"stock","address":"10.0.0.2:80","change":"listed","revision":6,"from":null}
{"t":10000001,"node":"entry","id":"9c41","event":"routed","route":"r-1","service":"stock","revision":7,"nested":false,"elapsed_ms":0,"left_ms":1200,"priority":6}
{"t":10000002,"node":"entry","id":"9c41","event":"offered","attempt":4,"upstream":"i-1","peer":"10.0.0.2:8000","near":true,"in_flight":0,"expected_load":9.0,"failure_share":0.0,"candidates":1}
{"t":10000030,"node":"entry","id":"9c41","event":"attempted","attempt":4,"outcome":"not-run","reason":"overloaded","status":0,"ms":28}
{"t":10000031,"node":"entry","id":"9c41","event":"ended","outcome":"not-run","reason":"overloaded","status":503,"retry_after_ms":60,"ms":30,"attempts":1}
{"t":10000040,"node":"entry","id":"77a0","event":"unrouted","revision":7,"expected":9}
{"t":10000040,"node":"entry","id":"77a0","event":"ended","outcome":"not-run","reason":"outdated","status":503,"retry_after_ms":500,"ms":0,"attempts":0}
{"stamp":655360000002,"node":"entry","event":"quarantined","request":"00ff","ends":3,"seconds":600}
{"t":10000050,"node":"entry","id":"88b1","event":"quarantined","request":"00ff"}
{"t":10000050,"node":"entry","id":"88b1","event":"ended","outcome":"not-run","reason":"quarantined","status":503,"retry_after_ms":599000,"ms":0,"attempts":0}
a line of somebody else
"#;

/// Log of the serving node.
const SERVING: &str = r#"
{"t":9995010,"node":"serving","id":"9c41","event":"claimed","attempt":4,"upstream":"i-1","decision":"overloaded","busy":9,"waiting":3,"waited_ms":25,"left_ms":1100}
{"t":9995011,"node":"serving","id":"other","event":"claimed","attempt":5,"upstream":"i-1","decision":"run","busy":9,"waiting":3,"waited_ms":0,"left_ms":1100}
"#;

/// Runs the command on both logs; returns its output and exit status.
fn ctl(arguments: &[&str]) -> (String, Option<i32>) {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let mut command = Command::new(env!("CARGO_BIN_EXE_baobabctl"));
    command.args(arguments);
    for (name, text) in [("serving.log", SERVING), ("entry.log", ENTRY)] {
        let path = folder.path().join(name);
        fs::write(&path, text).expect("the file can be written");
        command.arg(path);
    }
    let output = command.output().expect("the program can be run");
    (String::from_utf8_lossy(&output.stdout).into_owned(), output.status.code())
}

/// Compares the exit status, and finds the parts `expect` in the output in this order.
#[track_caller]
fn check(arguments: &[&str], status: i32, expect: &[&str]) {
    let (printed, code) = ctl(arguments);
    let mut rest = printed.as_str();
    for part in expect {
        let at = rest.find(part).unwrap_or_else(|| panic!("{part} is missing in order: {printed}"));
        rest = &rest[at + part.len()..];
    }
    assert_eq!(code, Some(status), "{printed}");
}

#[test]
fn a_trace_is_in_causal_order_and_shows_the_events_behind_it() {
    check(
        &["trace", "9c41"],
        0,
        &[
            "routed",
            "offered",
            "claimed",
            "attempted",
            "ended",
            "in-force",
            "listed",
            "every upstream that was asked had no slot in time",
        ],
    );
}

/// The trace must show that the node was behind, and since when its revision was in force.
#[test]
fn a_trace_of_an_unrouted_request_shows_the_revision_in_force() {
    let outdated = "no route led anywhere in the configuration of the node";
    check(&["trace", "77a0"], 0, &["unrouted", "revision=7 expected=9", "in-force", outdated]);
}

/// The trace must show which request is quarantined, and after how many crashes of upstreams.
#[test]
fn a_trace_of_a_quarantined_request_shows_the_crashes() {
    let cause = "upstreams ended under the same request";
    check(&["trace", "88b1"], 0, &["quarantined", "request=\"00ff\"", "ends", cause]);
}

#[test]
fn unknown_requests_and_wrong_usage_are_reported() {
    check(&["trace", "none"], 1, &["No line about this request"]);
    check(&["trace", "9c41", "--what"], 2, &[]);
    check(&["timeline"], 0, &["in-force", "upstream"]);
}
