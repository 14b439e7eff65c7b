//! Fault injection between entry node and serving node.

mod rig;

use fleet::member::State;
use rig::{Rig, record};
use standins::{caller::Call, upstream::Settings};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

const PROFILE: &str = r#"{"deadline_ms": 700}"#;

/// Fault of a serving node.
#[derive(Clone, Copy, Debug)]
enum Fault {
    CloseAtOnce,
    CloseAfterReading,
    Silent,
    NoOutcome,
    OtherId,
    Truncated,
    NotRun,
    Malformed,
}

/// Starts a fake serving node with `fault`; it runs no calls.
fn faulty_node(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_with(stream, fault));
        }
    });
    address
}

fn serve_with(mut stream: TcpStream, fault: Fault) {
    if matches!(fault, Fault::CloseAtOnce) {
        return;
    }
    let mut buffer = [0; 4_096];
    let count = stream.read(&mut buffer).unwrap_or(0);
    let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
    let id = head.lines().find_map(|l| l.strip_prefix("baobab-id: ")).unwrap_or("").to_owned();
    let answer = match fault {
        Fault::CloseAtOnce | Fault::CloseAfterReading => return,
        Fault::Silent => {
            thread::sleep(rig::TIMEOUT);
            return;
        }
        Fault::NoOutcome => format!("HTTP/1.1 200 OK\r\nbaobab-id: {id}\r\ncontent-length: 2\r\n\r\nok"),
        Fault::OtherId => "HTTP/1.1 200 OK\r\nbaobab-id: 0\r\nbaobab-outcome: answered\r\ncontent-length: 2\r\n\r\nok".to_owned(),
        Fault::Truncated => format!("HTTP/1.1 200 OK\r\nbaobab-id: {id}\r\nbaobab-outcome: answered\r\ncontent-length: 9\r\n\r\nok"),
        Fault::NotRun => format!("HTTP/1.1 503 No\r\nbaobab-id: {id}\r\nbaobab-outcome: not-run\r\nbaobab-cause: leaving\r\ncontent-length: 0\r\n\r\n"),
        Fault::Malformed => "BREAKFAST 12\r\n\r\n".to_owned(),
    };
    // The entry node may have closed the connection.
    let _ = stream.write_all(answer.as_bytes());
}

/// Posts one call through a faulty serving node; returns the outcome that the caller receives.
fn outcome_with(fault: Fault) -> String {
    let rig = Rig::new(vec![], PROFILE);
    rig.set_view(&[record(0, faulty_node(fault), State::Live)]);
    rig.call(&Call::post("/paydesk/payments", "pay")).outcome().to_owned()
}

#[track_caller]
fn check(fault: Fault, outcome: &str) {
    assert_eq!(outcome_with(fault), outcome, "{fault:?}");
}

/// Guards against `not-run` for a call that a serving node may have received.
#[test]
fn a_forwarded_call_without_a_valid_answer_is_unknown() {
    check(Fault::CloseAfterReading, "unknown");
    check(Fault::Silent, "unknown");
    check(Fault::NoOutcome, "unknown");
    check(Fault::OtherId, "unknown");
    check(Fault::Truncated, "unknown");
    check(Fault::Malformed, "unknown");
    check(Fault::NotRun, "not-run");
}

/// Guards against an invented answer. Either outcome is correct: whether the entry node had begun to
/// write when the connection closed depends on timing.
#[test]
fn a_connection_closed_at_once_is_not_answered() {
    let outcome = outcome_with(Fault::CloseAtOnce);
    assert!(outcome == "not-run" || outcome == "unknown", "{outcome}");
}

#[test]
fn an_idempotent_call_is_retried_at_another_node() {
    for fault in
        [Fault::CloseAtOnce, Fault::Silent, Fault::OtherId, Fault::Truncated, Fault::NotRun]
    {
        let rig = Rig::new(vec![Settings::default()], PROFILE);
        let healthy = record(0, rig.nodes[0].traffic, State::Live);
        rig.set_view(&[healthy, record(1, faulty_node(fault), State::Live)]);
        for _ in 0..6 {
            assert_eq!(rig.call(&Call::get("/paydesk/balance")).outcome(), "answered", "{fault:?}");
        }
    }
}

#[test]
fn a_call_to_a_closed_port_is_not_run() {
    let rig = Rig::new(vec![], PROFILE);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    rig.set_view(&[record(0, address, State::Live)]);
    assert_eq!(rig.call(&Call::post("/paydesk/payments", "pay")).outcome(), "not-run");
}

/// Guards against running a call at a new incarnation that reuses the address of the intended node.
#[test]
fn an_offer_to_a_previous_incarnation_is_refused() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    let mut previous = record(0, rig.nodes[0].traffic, State::Live);
    previous.incarnation -= 1;
    rig.set_view(&[previous]);
    let answer = rig.call(&Call::post("/paydesk/payments", "pay"));
    assert_eq!((answer.outcome(), answer.header("baobab-cause")), ("not-run", "replaced"));
    assert_eq!(rig.runs("pay"), 0);
}

/// Guards against calls to upstreams that are leaving, unreachable or gone, even if there is no other.
#[test]
fn a_service_without_available_upstreams_is_refused_with_503() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    for state in [State::Leaving, State::Unreachable, State::Gone] {
        rig.set_view(&[record(0, rig.nodes[0].traffic, state)]);
        let answer = rig.call(&Call::post("/paydesk/payments", "pay"));
        assert_eq!((answer.status, answer.header("baobab-cause")), (503, "no-upstream"));
        assert_eq!(answer.header("retry-after"), "2");
    }
    assert_eq!(rig.call(&Call::get("/nobody/x")).status, 404);
    assert_eq!(rig.runs("pay"), 0);
}
