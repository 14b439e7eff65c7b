//! Output of `baobabctl status` for a fleet of hundreds of nodes.

use serde_json::{Value, json};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpListener},
    process::Command,
    thread,
};

const NODES: usize = 295;
const DATA_CENTRES: [&str; 5] = ["ktm-a", "lalitpur-b", "bhaktapur-c", "kirtipur-d", "banepa-e"];
const NEWEST: u64 = 42;

/// Lines of a terminal, which the output of `status` must not exceed.
const SCREEN_LINES: usize = 50;

fn node(number: usize, revision: u64) -> Value {
    json!({
        "instance": format!("i-{number}"),
        "address": "10.0.0.1:7000",
        "service": "shelfview",
        "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
        "incarnation": 1,
        "product": "0.1.0",
        "state": "live",
        "version": { "revision": revision, "digest": "0".repeat(32) },
        "stamp": 1,
        "rejected": [],
        "reader_rank": number / DATA_CENTRES.len(),
        "source_age_ms": 100,
        "stale_source": null,
        "members": [],
        "refusing": match number {
            0..10 => vec![json!({ "document": "routes/sales", "pointer": "", "reason": "unknown kind" })],
            _ => vec![],
        },
        "evacuated": match number {
            1..NODES => vec![json!({ "data_centre": "lalitpur-b", "revision": 41 })],
            _ => vec![],
        },
        "quarantined": match number {
            0..10 => vec![json!({ "request": "00ff", "ends": 3, "seconds": 500 + number })],
            _ => vec![],
        },
    })
}

fn unreachable_node(number: usize) -> Value {
    json!({
        "instance": format!("i-{number}"),
        "address": "10.0.0.1:7000",
        "service": "paydesk",
        "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
        "state": "unreachable",
    })
}

/// Serves `fleet` in response to one HTTP request; returns the address.
fn serve(fleet: &Value) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has ports");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let text = fleet.to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let _request = stream.read(&mut [0; 4_096]);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
        stream.write_all((head + &text).as_bytes()).expect("the client reads the response");
    });
    address
}

/// Returns the exit status and output of `baobabctl status` for a fleet with `behind` outdated nodes
/// and `unreachable` nodes that do not answer.
fn status(behind: usize, unreachable: usize, flags: &[&str]) -> (Option<i32>, Vec<String>) {
    let revision = |number| if number < behind { NEWEST - 3 } else { NEWEST };
    let answered: Vec<Value> =
        (0..NODES - unreachable).map(|number| node(number, revision(number))).collect();
    let unreachable_nodes: Vec<Value> =
        (NODES - unreachable..NODES).map(unreachable_node).collect();
    let fleet =
        json!({ "node": node(0, NEWEST), "answered": answered, "silent": unreachable_nodes });
    let address = serve(&fleet);
    let mut command = Command::new(env!("CARGO_BIN_EXE_baobabctl"));
    let output = command.args(["status", "--node", &address]).args(flags).output();
    let output = output.expect("the program starts");
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    (output.status.code(), text.lines().map(str::to_owned).collect())
}

/// Guards against refused calls whose reason operators cannot see.
#[test]
fn status_lists_routes_that_refuse_their_calls_once() {
    let (_, lines) = status(0, 0, &[]);
    let refused = lines.iter().filter(|line| line.starts_with("calls are refused: "));
    assert_eq!(refused.collect::<Vec<_>>(), ["calls are refused: routes/sales: : unknown kind"]);
}

/// Guards against one line per node, which would hide the nodes that need attention.
#[test]
fn status_of_hundreds_of_nodes_fits_on_one_screen() {
    for (behind, unreachable) in [(0, 0), (5, 3), (200, 0), (0, 59)] {
        let (code, lines) = status(behind, unreachable, &[]);
        assert!(lines.len() <= SCREEN_LINES, "{} lines", lines.len());
        let in_force = NODES - behind - unreachable;
        let progress =
            format!("newest version in force: revision {NEWEST}, at {in_force} of {NODES} nodes");
        assert_eq!(lines[0], progress);
        assert!(DATA_CENTRES.iter().all(|name| lines.iter().any(|line| line.starts_with(name))));
        assert_eq!(code, Some(i32::from(behind + unreachable > 0)));
    }
}

#[test]
fn nodes_that_are_behind_or_do_not_answer_are_listed() {
    let (_, lines) = status(2, 1, &[]);
    let line_of = |id: &str| lines.iter().find(|line| line.starts_with(&format!("{id} ")));
    assert!(line_of("i-1").is_some_and(|line| line.contains("behind by 3 revisions")));
    assert!(line_of("i-294").is_some_and(|line| line.contains("does not answer")));
    assert!(line_of("i-100").is_none());
}

/// Guards against quarantined requests that the operator cannot see.
#[test]
fn a_quarantined_request_is_printed_once() {
    let (_, lines) = status(0, 0, &[]);
    let printed: Vec<&String> = lines.iter().filter(|line| line.contains("00ff")).collect();
    let expect =
        "quarantined at 10 of 295 nodes: request 00ff, for 509 s; 3 upstreams ended under it";
    assert_eq!(printed, [expect]);
}

#[test]
fn the_flag_all_lists_every_node() {
    let (_, lines) = status(200, 0, &["--all"]);
    let is_listed = |n: usize| lines.iter().any(|line| line.starts_with(&format!("i-{n} ")));
    assert!((0..NODES).all(is_listed));
}

/// Guards against an evacuation whose progress the operator cannot see.
#[test]
fn an_evacuated_data_centre_is_printed_once_with_the_nodes_that_do_not_know_of_it() {
    let (_, lines) = status(0, 0, &[]);
    let printed: Vec<&String> = lines.iter().filter(|line| line.contains("evacuated")).collect();
    assert_eq!(
        printed,
        ["evacuated at 294 of 295 nodes: lalitpur-b, by revision 41; not yet at i-0"]
    );
}
