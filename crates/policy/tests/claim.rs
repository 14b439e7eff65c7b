//! The claim refuses a call for each single reason, and pauses are noticed.

use model::time::Time;
use policy::{
    claim::{Conditions, deadline, refusal},
    outcome::Cause,
    pause::{Detector, Settings},
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn good() -> Conditions {
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
fn check(facts: Conditions, expect: Option<Cause>) {
    assert_eq!(refusal(facts), expect, "{facts:?}");
}

/// A supplier payment posts twice: its node was frozen with the request in hand, the caller was
/// told "unknown" and paid again, and the woken node ran the first request after all.
#[test]
fn each_reason_refuses() {
    cov_mark::check!(claim_late);
    cov_mark::check!(claim_paused);
    cov_mark::check!(claim_cancelled);
    cov_mark::check!(claim_leaving);
    cov_mark::check!(claim_replaced);
    check(good(), None);
    check(Conditions { now: at(99), ..good() }, None);
    check(Conditions { now: at(100), ..good() }, Some(Cause::Late));
    check(Conditions { paused: true, ..good() }, Some(Cause::Paused));
    check(Conditions { connected: false, ..good() }, Some(Cause::Cancelled));
    check(Conditions { leaving: true, ..good() }, Some(Cause::Leaving));
    check(Conditions { current_incarnation: false, ..good() }, Some(Cause::Replaced));
    check(Conditions { evacuated: true, ..good() }, Some(Cause::Evacuated));
}

#[test]
fn the_shorter_of_two_deadlines_counts() {
    assert_eq!(deadline(at(50), Some(20), 500), at(70));
    assert_eq!(deadline(at(50), Some(9_000), 500), at(550));
    assert_eq!(deadline(at(50), None, 500), at(550));
}

/// Runs beats at the given times, then asks about a request.
#[track_caller]
fn check_pause(beats: &[u64], received: u64, now: u64, expect: bool) {
    let mut watch = Detector::new(Settings::default(), at(0));
    beats.iter().for_each(|&beat| {
        watch.tick(at(beat));
    });
    assert_eq!(watch.may_be_stale(at(received), at(now)), expect);
}

#[test]
fn requests_that_may_have_waited_through_a_pause_are_in_doubt() {
    // No pause.
    check_pause(&[50, 100], 110, 120, false);
    // The pause ended, but the thread that beats has not run yet.
    check_pause(&[50], 9_000, 9_000, true);
    // It has run, and the request was read just after.
    check_pause(&[50, 9_000], 9_050, 9_060, true);
    // The same request is still in doubt when its turn comes later.
    check_pause(&[50, 9_000, 9_400, 9_800], 9_050, 9_900, true);
    // Read well after the pause.
    check_pause(&[50, 9_000, 9_300], 9_200, 9_310, false);
    // Read before the pause: its deadline counted on meanwhile.
    check_pause(&[50, 100, 9_000], 60, 9_010, false);
}
