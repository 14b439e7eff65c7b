//! The fault matrix of calls at the upstream: each fault, for calls that may be repeated and for
//! calls that may not. The upstream's ledger is the oracle.

mod rig;

use rig::Rig;
use standins::{
    caller::Call,
    upstream::{Mode, Settings},
};

const PROFILE: &str = r#"{"deadline_ms": 700, "refused_status": 503}"#;

/// Makes one post to a service whose only upstream is in `mode`; compares what the caller is told
/// and how often the work was begun.
#[track_caller]
fn check(mode: Mode, outcome: &str, cause: &str, runs: u32) {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    rig.upstreams[0].set_mode(mode);
    let answer = rig.call(&Call::post("/paydesk/payments", "pay"));
    let told = (answer.outcome(), answer.header("baobab-cause"));
    assert_eq!((told, rig.runs("pay")), ((outcome, cause), runs), "{mode:?}");
    assert_eq!(!answer.header("retry-after").is_empty(), outcome == "not-run", "{mode:?}");
}

/// A supplier payment posts twice: the upstream ran it and broke off, and somebody on the way took
/// that for a reason to run it again, or told the caller that it had not been run.
#[test]
fn a_payment_runs_at_most_once_and_its_outcome_is_true() {
    check(Mode::Normal, "answered", "", 1);
    check(Mode::Frozen, "unknown", "timeout", 0);
    check(Mode::Silent, "unknown", "timeout", 1);
    check(Mode::CloseBefore, "unknown", "broken", 0);
    check(Mode::CloseAfter, "unknown", "broken", 1);
    check(Mode::Truncate, "unknown", "bad-answer", 1);
    check(Mode::WrongId, "unknown", "bad-answer", 1);
    check(Mode::Refuse, "not-run", "refused", 0);
}

/// Makes one read while one of two upstreams is in `mode`.
#[track_caller]
fn check_read(mode: Mode) {
    let rig = Rig::new(vec![Settings::default(), Settings::default()], PROFILE);
    rig.upstreams[0].set_mode(mode);
    for _ in 0..12 {
        let answer = rig.call(&Call::get("/paydesk/balance"));
        assert_eq!(answer.outcome(), "answered", "{mode:?}");
    }
}

/// The stock lookup comes back empty although a healthy upstream stands beside the broken one.
#[test]
fn a_read_finds_the_healthy_upstream() {
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

/// One chef gets another's count: an answer that came twice was taken for the answer to the next
/// request on the same connection.
#[test]
fn a_doubled_answer_is_not_taken_for_the_next() {
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

/// An upstream process that is gone was never reached: its payments were truly not run.
#[test]
fn a_dead_upstream_is_not_run() {
    let rig = Rig::new(vec![Settings::default()], PROFILE);
    rig.call(&Call::get("/paydesk/balance"));
    rig.upstreams[0].kill();
    let rig_gone = || std::net::TcpStream::connect(rig.upstreams[0].address()).is_err();
    rig.wait(rig_gone);
    let answer = rig.call(&Call::post("/paydesk/payments", "pay"));
    assert_eq!((answer.outcome(), rig.runs("pay")), ("not-run", 0));
}

/// A payment finds the healthy upstream when the other one is gone, since it was provably not run.
#[test]
fn a_payment_moves_on_from_a_dead_upstream() {
    let rig = Rig::new(vec![Settings::default(), Settings::default()], PROFILE);
    rig.upstreams[0].kill();
    let rig_gone = || std::net::TcpStream::connect(rig.upstreams[0].address()).is_err();
    rig.wait(rig_gone);
    for i in 0..12 {
        let work = format!("pay-{i}");
        let answer = rig.call(&Call::post("/paydesk/payments", &work));
        assert_eq!((answer.outcome(), rig.runs(&work)), ("answered", 1));
    }
}

/// A read that may have run at one upstream was not "not run" because another one refused it.
#[test]
fn a_refusal_does_not_undo_an_attempt_that_may_have_run() {
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
