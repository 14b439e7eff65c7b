//! Each fault of an upstream, for idempotent and non-idempotent calls. The upstream's ledger is the
//! oracle.

mod rig;

use rig::Rig;
use standins::{
    caller::Call,
    upstream::{Mode, Settings},
};

const PROFILE: &str = r#"{"deadline_ms": 700, "refused_status": 503}"#;

/// Makes one post to a service whose only upstream is in `mode`; checks the reported outcome and
/// the number of runs.
#[track_caller]
fn check(mode: Mode, outcome: &str, cause: &str, runs: u32) {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    rig.upstreams[0].set_mode(mode);
    let answer = rig.call(&Call::post("/paydesk/payments", "pay"));
    let reported = (answer.outcome(), answer.header("baobab-cause"));
    assert_eq!((reported, rig.runs("pay")), ((outcome, cause), runs), "{mode:?}");
    assert_eq!(!answer.header("retry-after").is_empty(), outcome == "not-run", "{mode:?}");
}

/// Guards against running a payment again, or reporting it as not run, after the upstream ran it.
#[test]
fn a_payment_runs_at_most_once_and_its_outcome_is_correct() {
    check(Mode::Normal, "answered", "", 1);
    check(Mode::Frozen, "unknown", "timeout", 0);
    check(Mode::Silent, "unknown", "timeout", 1);
    check(Mode::CloseBefore, "unknown", "broken", 0);
    check(Mode::CloseAfter, "unknown", "broken", 1);
    check(Mode::Truncate, "unknown", "bad-answer", 1);
    check(Mode::WrongId, "unknown", "bad-answer", 1);
    check(Mode::Refuse, "not-run", "refused", 0);
}

/// Makes reads while one of two upstreams is in `mode`.
#[track_caller]
fn check_read(mode: Mode) {
    let rig = Rig::new(vec![Settings::default(), Settings::default()], PROFILE);
    rig.upstreams[0].set_mode(mode);
    for _ in 0..12 {
        let answer = rig.call(&Call::get("/paydesk/balance"));
        assert_eq!(answer.outcome(), "answered", "{mode:?}");
    }
}

/// Guards against failing a read while a healthy upstream is available.
#[test]
fn a_read_is_answered_by_the_healthy_upstream() {
    for mode in [
        Mode::Frozen,
        Mode::Silent,
        Mode::CloseBefore,
        Mode::CloseAfter,
        Mode::Truncate,
        Mode::WrongId,
        Mode::Refuse,
    ] {
        check_read(mode);
    }
}

/// Guards against taking a duplicated answer for that to the next request on the connection.
#[test]
fn a_duplicated_answer_is_not_taken_for_the_next() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    rig.upstreams[0].set_mode(Mode::Duplicate);
    for i in 0..30 {
        let work = format!("pay-{i}");
        let answer = rig.call(&Call::post("/paydesk/payments", &work));
        if answer.outcome() == "answered" {
            assert_eq!(answer.header("x-work"), work);
        }
        assert!(rig.runs(&work) <= 1);
    }
}

/// Guards against an unknown outcome when the upstream could not be connected to.
#[test]
fn a_call_to_a_dead_upstream_is_not_run() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    rig.call(&Call::get("/paydesk/balance"));
    rig.upstreams[0].kill();
    let is_closed = || std::net::TcpStream::connect(rig.upstreams[0].address()).is_err();
    rig.wait(is_closed);
    let answer = rig.call(&Call::post("/paydesk/payments", "pay"));
    assert_eq!((answer.outcome(), rig.runs("pay")), ("not-run", 0));
}

/// Guards against failing a payment that was provably not run while an upstream is available.
#[test]
fn a_payment_is_retried_after_a_dead_upstream() {
    let rig = Rig::new(vec![Settings::default(), Settings::default()], PROFILE);
    rig.upstreams[0].kill();
    let is_closed = || std::net::TcpStream::connect(rig.upstreams[0].address()).is_err();
    rig.wait(is_closed);
    for i in 0..12 {
        let work = format!("pay-{i}");
        let answer = rig.call(&Call::post("/paydesk/payments", &work));
        assert_eq!((answer.outcome(), rig.runs(&work)), ("answered", 1));
    }
}

/// Guards against reporting "not run" after a refusal when an earlier attempt may have run.
#[test]
fn a_refusal_does_not_override_an_earlier_unknown_outcome() {
    let rig = Rig::new(vec![Settings::default(), Settings::default()], PROFILE);
    rig.upstreams[0].set_mode(Mode::CloseAfter);
    rig.upstreams[1].set_mode(Mode::Refuse);
    for _ in 0..12 {
        let before = rig.upstreams[0].ledger().runs;
        let answer = rig.call(&Call::get("/paydesk/balance"));
        let ran = rig.upstreams[0].ledger().runs > before;
        assert!(!ran || answer.outcome() == "unknown", "{}", answer.outcome());
    }
}
