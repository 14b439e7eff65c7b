//! Tests of the final checks before a call runs: cancellation, draining, pauses, slots, uploads.

mod rig;

use rig::Rig;
use standins::{
    caller::{Call, Caller},
    upstream::{Mode, Settings},
};
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    time::Duration,
};

const PROFILE: &str = r#"{"deadline_ms": 15000, "max_request_bytes": 1000, "upload_ms": 300}"#;

fn one_slot() -> Vec<Settings> {
    vec![Settings { slots: 1, ..Settings::default() }]
}

/// Guards against running a call whose caller disconnected while it waited for a slot.
#[test]
fn a_call_cancelled_in_the_queue_does_not_run() {
    let rig = Rig::new(one_slot(), PROFILE);
    rig.upstreams[0].set_service_time(Duration::from_secs(2));
    let entry = rig.entry.traffic;
    rig.runtime
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/a", "first")).await });
    rig.wait(|| rig.runs("first") == 1);
    let second = rig
        .runtime
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/a", "second")).await });
    rig.wait(|| rig.nodes[0].proxy.calls_in_flight() == 2);
    second.abort();
    rig.wait(|| rig.nodes[0].proxy.calls_in_flight() == 1);
    rig.upstreams[0].set_service_time(Duration::ZERO);
    assert_eq!(rig.call(&Call::post("/paydesk/a", "third")).outcome(), "answered");
    assert_eq!((rig.runs("second"), rig.runs("third")), (0, 1));
}

/// Guards against a slot that leaks when the caller disconnects while its call runs.
#[test]
fn a_call_cancelled_while_it_runs_frees_its_slot() {
    let rig = Rig::new(one_slot(), PROFILE);
    rig.upstreams[0].set_mode(Mode::Silent);
    let entry = rig.entry.traffic;
    let first = rig
        .runtime
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/a", "first")).await });
    rig.wait(|| rig.runs("first") == 1);
    first.abort();
    rig.upstreams[0].set_mode(Mode::Normal);
    rig.wait(|| rig.nodes[0].proxy.calls_in_flight() == 0);
    assert_eq!(rig.call(&Call::post("/paydesk/a", "second")).outcome(), "answered");
}

/// Guards against more concurrent calls than the upstream has slots.
#[test]
fn concurrent_calls_never_exceed_the_slots() {
    let rig = Rig::new(vec![Settings { slots: 3, ..Settings::default() }], PROFILE);
    rig.upstreams[0].set_service_time(Duration::from_millis(5));
    let entry = rig.entry.traffic;
    let calls: Vec<_> = (0..60)
        .map(|i| {
            rig.runtime.spawn(async move {
                let call = Call::post("/paydesk/a", &format!("w{i}"));
                Caller::new(entry).call(&call).await.map(|a| a.outcome().to_owned())
            })
        })
        .collect();
    for (i, call) in calls.into_iter().enumerate() {
        let outcome = rig.runtime.block_on(call).expect("the task ends").expect("the node answers");
        let expect = u32::from(outcome == "answered");
        assert_eq!(rig.runs(&format!("w{i}")), expect, "{outcome}");
    }
    let ledger = rig.upstreams[0].ledger();
    assert!(ledger.max_busy <= 3);
    assert_eq!(ledger.shed, 0);
}

/// Guards against a drain that aborts a call in flight or admits a new one.
#[test]
fn a_draining_node_finishes_calls_in_flight_and_refuses_new_ones() {
    let rig = Rig::new(one_slot(), PROFILE);
    rig.upstreams[0].set_service_time(Duration::from_millis(300));
    let entry = rig.entry.traffic;
    let first = rig
        .runtime
        .spawn(async move { Caller::new(entry).call(&Call::post("/paydesk/a", "first")).await });
    rig.wait(|| rig.runs("first") == 1);
    rig.nodes[0].proxy.leave();
    let answer = rig.call(&Call::post("/paydesk/a", "second"));
    assert_eq!((answer.outcome(), answer.header("baobab-cause")), ("not-run", "leaving"));
    let first = rig.runtime.block_on(first).expect("the task ends").expect("the node answers");
    assert_eq!((first.outcome(), rig.runs("second")), ("answered", 0));
}

/// Guards against running a request that waited in a buffer while the process was paused.
#[test]
fn a_paused_node_refuses_requests_that_may_be_stale() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    rig.stop_ticks();
    // The rig's pause detector reports a pause after three seconds without a tick.
    std::thread::sleep(Duration::from_millis(3_200));
    let answer = rig.call(&Call::post("/paydesk/a", "old"));
    assert_eq!((answer.outcome(), answer.header("baobab-cause")), ("not-run", "paused"));
    assert_eq!(rig.runs("old"), 0);
}

/// Sends raw bytes to the entry node and returns the status line of the response.
fn exchange_raw(rig: &Rig, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(rig.entry.traffic).expect("the node listens");
    stream.write_all(bytes).expect("the node reads");
    stream.shutdown(Shutdown::Write).expect("the connection is open");
    let mut answer = String::new();
    // A node may reset the connection after its response if bytes are left unread.
    let _ = stream.read_to_string(&mut answer);
    answer.lines().next().unwrap_or("").to_owned()
}

/// Guards against forwarding a truncated upload as if it were complete.
#[test]
fn a_truncated_upload_is_never_forwarded() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    let truncated = b"POST /paydesk/sales HTTP/1.1\r\nhost: n\r\nx-work: file\r\ncontent-length: 500\r\n\r\nhalf";
    assert!(!exchange_raw(&rig, truncated).contains(" 200 "));
    let chunked = b"POST /paydesk/sales HTTP/1.1\r\nhost: n\r\nx-work: file\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    assert!(!exchange_raw(&rig, chunked).contains(" 200 "));
    assert_eq!(rig.call(&Call::get("/paydesk/sales")).outcome(), "answered");
    assert_eq!(rig.runs("file"), 0);
}

#[test]
fn large_and_slow_uploads_are_refused_with_413_and_408() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    let large = Call { body: vec![b'x'; 1_001].into(), ..Call::post("/paydesk/sales", "large") };
    let answer = rig.call(&large);
    assert_eq!((answer.status, answer.outcome()), (413, "not-run"));
    let mut slow = TcpStream::connect(rig.entry.traffic).expect("the node listens");
    let head =
        b"POST /paydesk/sales HTTP/1.1\r\nhost: n\r\nx-work: slow\r\ncontent-length: 9\r\n\r\nx";
    slow.write_all(head).expect("the node reads");
    let mut answer = [0; 12];
    slow.read_exact(&mut answer).expect("the node answers");
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert_eq!((rig.runs("large"), rig.runs("slow")), (0, 0));
}

/// Guards against internal headers that an upstream or a caller forges.
#[test]
fn internal_headers_from_an_upstream_are_replaced() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    let answer = rig.call(&Call::get("/paydesk/x"));
    assert_eq!(answer.header("baobab-id"), "");
    assert_eq!(answer.header("baobab-version"), "1");
}
