//! Output of `baobabctl load`.

use serde_json::{Value, json};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpListener},
    process::Command,
    thread,
};

/// Serves `load` in response to one HTTP request; returns the address.
fn serve(load: &Value) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has ports");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let text = load.to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut request = [0; 4_096];
        let read = stream.read(&mut request).expect("the client writes");
        assert!(request[..read].starts_with(b"GET /load HTTP/1.1"), "the page is asked for");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
        stream.write_all((head + &text).as_bytes()).expect("the client reads the response");
    });
    address
}

/// Returns the exit status and output of `baobabctl load` with `arguments`.
fn load(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_baobabctl"));
    let output = command.arg("load").args(arguments).output().expect("the program starts");
    (output.status.code(), String::from_utf8(output.stdout).expect("the output is UTF-8"))
}

/// A page, with a field of a newer version that the command does not know.
fn page() -> Value {
    json!({
        "instance": "i-4",
        "entry": [{
            "service": "stock", "answered": 120, "refused": {"limited": 4, "overloaded": 10},
            "retries_denied": 2, "acceptance": 0.75, "nested_acceptance": 1.0, "added": 1,
        }],
        "serving": {"service": "paydesk", "slots": 10, "busy": 9, "waiting": 3},
    })
}

/// Guards against refusals that are shown without their cause.
#[test]
fn refusals_are_shown_by_service_and_cause() {
    let (code, text) = load(&["--node", &serve(&page())]);
    assert_eq!(code, Some(0));
    let expect = "i-4 as entry node, since its start:\n  \
        stock: answered 120, refused 14 (limited 4, overloaded 10), retries denied 2, \
        accepted elsewhere 0.75, nested 1.00\n\
        i-4 as serving node of paydesk: 10 slots, 9 busy, 3 waiting\n";
    assert_eq!(text, expect);
}

/// Guards against operators who do not see why a node refuses calls while its upstream has free slots.
#[test]
fn cold_upstreams_and_short_nested_services_are_shown() {
    let mut page = page();
    page["serving"]["starts"] = json!({"used": 18, "limit": 20});
    page["serving"]["warm_up"] = json!({"source": "list", "age_ms": 250, "cold_ms": 1_800});
    page["serving"]["nested"] = json!([{"service": "stock", "refused_share": 0.31}]);
    let (code, text) = load(&["--node", &serve(&page)]);
    assert_eq!(code, Some(0));
    let expect = "3 waiting\n  cold: 18 of 20 calls in the last second\n  \
        warm-up: cold for 1800 ms more, by a report of 250 ms ago (list)\n  \
        refuses 31 in 100 calls that need stock\n";
    assert!(text.ends_with(expect), "{text}");
}

/// Guards against output that programs cannot read, or that lacks fields of newer nodes.
#[test]
fn json_output_is_the_page_of_the_node() {
    let (code, text) = load(&["--node", &serve(&page()), "--json"]);
    assert_eq!(code, Some(0));
    assert_eq!(serde_json::from_str::<Value>(&text).expect("the output is JSON"), page());
}

/// Guards against scripts that take a node that does not answer, or a wrong usage, for success.
#[test]
fn failures_have_their_exit_statuses() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has ports");
    let silent = listener.local_addr().expect("the listener is bound").to_string();
    drop(listener);
    assert_eq!(load(&["--node", &silent]).0, Some(1));
    assert_eq!(load(&[]).0, Some(2));
    assert_eq!(load(&["--node", &silent, "more"]).0, Some(2));
}
