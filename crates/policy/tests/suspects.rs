//! Suspects of a crash of the colocated upstream.

use model::{
    request::{Fingerprint, Suspect},
    time::Time,
};
use policy::suspects::{History, Loss};

enum Step {
    Answer(u64),
    Lose(u64, Loss),
    ClearBroken,
}

use Loss::{Abandoned, Broken};
use Step::{Answer, ClearBroken, Lose};

fn suspect(request: u64) -> Suspect {
    Suspect { request: Fingerprint(request), label: format!("GET /{request}") }
}

/// Runs steps at the given milliseconds and compares the suspects of a crash at `end`.
#[track_caller]
fn check(steps: &[(u64, Step)], end: u64, expect: &[u64]) {
    let mut history = History::default();
    for (at, step) in steps {
        let now = Time::from_millis(*at);
        match step {
            Answer(request) => history.record_answer(Fingerprint(*request), now),
            Lose(request, loss) => history.record_loss(suspect(*request), *loss, now),
            ClearBroken => history.clear_broken(),
        }
    }
    let expect: Vec<Suspect> = expect.iter().copied().map(suspect).collect();
    assert_eq!(history.take_suspects(Time::from_millis(end)), expect);
}

#[test]
fn calls_broken_by_a_crash_are_suspects_without_duplicates() {
    check(&[(0, Lose(2, Broken)), (1, Lose(1, Broken)), (1, Lose(2, Broken))], 100, &[1, 2]);
}

#[test]
fn call_broken_long_before_a_crash_is_not_a_suspect() {
    check(&[(0, Lose(1, Broken)), (900, Lose(2, Broken))], 1_000, &[2]);
}

/// Guards against quarantine of a popular request because copies of it were in flight when the
/// upstream crashed.
#[test]
fn recently_answered_request_is_not_a_suspect() {
    check(&[(0, Answer(1)), (9_000, Lose(1, Broken)), (9_000, Lose(2, Broken))], 9_100, &[2]);
    check(&[(0, Answer(1)), (9_950, Lose(1, Broken))], 10_000, &[1]);
}

/// Guards against suspects from a truncated answer of an upstream that is still running.
#[test]
fn call_broken_before_the_upstream_proved_to_be_alive_is_not_a_suspect() {
    check(&[(0, Lose(1, Broken)), (50, ClearBroken), (60, Lose(2, Broken))], 100, &[2]);
}

/// Guards against a poison request that escapes because its caller cancelled before the upstream
/// crashed.
#[test]
fn cancelled_call_stays_a_suspect_after_the_upstream_proved_to_be_alive() {
    check(&[(0, Lose(1, Abandoned)), (50, ClearBroken), (60, Lose(2, Broken))], 100, &[1, 2]);
}

#[test]
fn history_is_bounded() {
    let mut history = History::default();
    for request in 0..100_000 {
        history.record_loss(suspect(request), Broken, Time::from_millis(5));
        history.record_answer(Fingerprint(request + 1_000_000), Time::from_millis(5));
    }
    let is_known = |n: u64| history.was_answered(Fingerprint(n + 1_000_000), Time::from_millis(6));
    assert!((0..100_000).filter(|n| is_known(*n)).count() <= 2_048);
    assert!(history.take_suspects(Time::from_millis(6)).len() <= 256);
}
