//! Each cause alone makes the claim refuse a call, and pauses of the process are detected.

use model::time::Time;
use policy::{
    claim::{Conditions, deadline, refusal},
    outcome::Cause,
    pause::{Detector, Settings},
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn acceptable() -> Conditions {
    Conditions {
        now: at(10),
        deadline: at(100),
        paused: false,
        connected: true,
        leaving: false,
        current_incarnation: true,
        evacuated: false,
        quarantined: false,
    }
}

#[track_caller]
fn check(conditions: Conditions, expect: Option<Cause>) {
    assert_eq!(refusal(conditions), expect, "{conditions:?}");
}

/// Guards against a payment that runs twice: its node was frozen, the caller retried elsewhere, and
/// the resumed node ran the first request too.
#[test]
fn each_cause_refuses_the_call() {
    cov_mark::check!(claim_late);
    cov_mark::check!(claim_paused);
    cov_mark::check!(claim_cancelled);
    cov_mark::check!(claim_leaving);
    cov_mark::check!(claim_replaced);
    check(acceptable(), None);
    check(Conditions { now: at(99), ..acceptable() }, None);
    check(Conditions { now: at(100), ..acceptable() }, Some(Cause::Late));
    check(Conditions { paused: true, ..acceptable() }, Some(Cause::Paused));
    check(Conditions { connected: false, ..acceptable() }, Some(Cause::Cancelled));
    check(Conditions { leaving: true, ..acceptable() }, Some(Cause::Leaving));
    check(Conditions { current_incarnation: false, ..acceptable() }, Some(Cause::Replaced));
    check(Conditions { evacuated: true, ..acceptable() }, Some(Cause::Evacuated));
}

#[test]
fn shorter_of_two_deadlines_applies() {
    assert_eq!(deadline(at(50), Some(20), 500), at(70));
    assert_eq!(deadline(at(50), Some(9_000), 500), at(550));
    assert_eq!(deadline(at(50), None, 500), at(550));
}

/// Ticks at the given times, then checks a request.
#[track_caller]
fn check_pause(ticks: &[u64], received: u64, now: u64, expect: bool) {
    let mut detector = Detector::new(Settings::default(), at(0));
    ticks.iter().for_each(|&tick| {
        detector.tick(at(tick));
    });
    assert_eq!(detector.may_be_stale(at(received), at(now)), expect);
}

#[test]
fn requests_that_may_have_waited_during_a_pause_are_stale() {
    // No pause.
    check_pause(&[50, 100], 110, 120, false);
    // The pause has ended, but the ticking thread has not run yet.
    check_pause(&[50], 9_000, 9_000, true);
    // It has run, and the request was read shortly afterwards.
    check_pause(&[50, 9_000], 9_050, 9_060, true);
    // The same request is still stale when it is claimed later.
    check_pause(&[50, 9_000, 9_400, 9_800], 9_050, 9_900, true);
    // Read well after the pause.
    check_pause(&[50, 9_000, 9_300], 9_200, 9_310, false);
    // Read before the pause: its deadline was fixed then.
    check_pause(&[50, 100, 9_000], 60, 9_010, false);
}
