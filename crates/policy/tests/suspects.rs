//! Which requests may have ended the own upstream.

use model::{
    request::{Fingerprint, Suspect},
    time::Time,
};
use policy::suspects::{History, Loss};

enum Step {
    Answer(u64),
    Lose(u64, Loss),
    Survive,
}

use Loss::{Abandoned, Broken};
use Step::{Answer, Lose, Survive};

fn suspect(request: u64) -> Suspect {
    Suspect { request: Fingerprint(request), label: format!("GET /{request}") }
}

/// Plays steps at their times, in ms, and compares the suspects of an end at `end`.
#[track_caller]
fn check(steps: &[(u64, Step)], end: u64, expect: &[u64]) {
    let mut runs = History::default();
    for (at, step) in steps {
        let now = Time::from_millis(*at);
        match step {
            Answer(request) => runs.record_answer(Fingerprint(*request), now),
            Lose(request, loss) => runs.record_loss(suspect(*request), *loss, now),
            Survive => runs.clear_broken(),
        }
    }
    let expect: Vec<Suspect> = expect.iter().copied().map(suspect).collect();
    assert_eq!(runs.take_suspects(Time::from_millis(end)), expect);
}

#[test]
fn all_calls_that_broke_with_the_process_are_suspects_each_once() {
    check(&[(0, Lose(2, Broken)), (1, Lose(1, Broken)), (1, Lose(2, Broken))], 100, &[1, 2]);
}

#[test]
fn a_call_that_broke_long_before_is_none() {
    check(&[(0, Lose(1, Broken)), (900, Lose(2, Broken))], 1_000, &[2]);
}

/// A popular lookup is refused everywhere after an outage of one upstream, since copies of it ran there. Its
/// other copies were answered a moment before, which a request that ends upstreams never is.
#[test]
fn a_request_that_was_answered_lately_is_none() {
    check(&[(0, Answer(1)), (9_000, Lose(1, Broken)), (9_000, Lose(2, Broken))], 9_100, &[2]);
    check(&[(0, Answer(1)), (9_950, Lose(1, Broken))], 10_000, &[1]);
}

/// Answers that are cut short are no ends: the upstream goes on.
#[test]
fn what_the_upstream_outlived_is_none() {
    check(&[(0, Lose(1, Broken)), (50, Survive), (60, Lose(2, Broken))], 100, &[2]);
}

/// A caller gives up after 50 ms, and the upstream ends after 100 under the request that nobody waits for.
#[test]
fn a_call_whose_caller_left_stays_a_suspect() {
    check(&[(0, Lose(1, Abandoned)), (50, Survive), (60, Lose(2, Broken))], 100, &[1, 2]);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut runs = History::default();
    for request in 0..100_000 {
        runs.record_loss(suspect(request), Broken, Time::from_millis(5));
        runs.record_answer(Fingerprint(request + 1_000_000), Time::from_millis(5));
    }
    let is_known = |n: u64| runs.was_answered(Fingerprint(n + 1_000_000), Time::from_millis(6));
    assert!((0..100_000).filter(|n| is_known(*n)).count() <= 2_048);
    assert!(runs.take_suspects(Time::from_millis(6)).len() <= 256);
}
