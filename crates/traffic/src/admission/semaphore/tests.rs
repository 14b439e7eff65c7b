//! Tests of queueing, rejection and warm-up tokens.

use policy::outcome::Outcome;
use tokio::{runtime::Builder, task::yield_now};

use super::*;

const QUEUE: usize = 8;

const LONG: Duration = Duration::from_secs(60);

fn in_a_second(clock: Clock) -> Time {
    clock.now() + Duration::from_secs(1)
}

/// Guards against slots that leak or are released twice when an evacuation rejects waiting tasks.
#[test]
fn rejected_tasks_do_not_change_the_held_slots() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(async {
        let clock = Clock::default();
        let semaphore = Semaphore::new(clock, 1);
        let acquire = || {
            let (semaphore, deadline) = (semaphore.clone(), in_a_second(clock));
            async move { semaphore.acquire(Rank::default(), deadline, QUEUE).await }
        };
        let holder = acquire().await.expect("the slot is free");
        let waiting = [tokio::spawn(acquire()), tokio::spawn(acquire())];
        while semaphore.load().waiting < waiting.len() {
            yield_now().await;
        }
        semaphore.reject_waiting();
        for task in waiting {
            let outcome = task.await.expect("it ends").expect_err("it is rejected");
            assert!(matches!(outcome, Outcome::NotRun(Cause::Evacuated, _)), "{outcome:?}");
        }
        assert_eq!((semaphore.load().busy, semaphore.load().waiting), (1, 0));
        drop(holder);
        assert_eq!(semaphore.load().busy, 0);
        acquire().await.expect("the slot is free again");
    });
}

/// Guards against a task that never sees a new token because no other call finishes.
#[test]
fn a_waiting_task_gets_a_token_without_other_calls() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(async {
        let clock = Clock::default();
        let semaphore = Semaphore::new(clock, 4);
        let limit = Limit { rate: 50.0, burst: 1.0, until: clock.now() + Duration::from_secs(60) };
        semaphore.set_warm_up(Some(limit), clock.now());
        for _ in 0..3 {
            let deadline = clock.now() + Duration::from_secs(30);
            semaphore
                .acquire(Rank::default(), deadline, QUEUE)
                .await
                .expect("a token comes in time");
        }
    });
}

/// Returns a limit of 50 starts per second, without end.
fn fifty_starts(clock: Clock) -> Limit {
    Limit { rate: 50.0, burst: 1.0, until: clock.now() + Duration::from_secs(600) }
}

/// Guards against a task that never sees a free start because no other call finishes.
#[test]
fn a_waiting_task_gets_a_start_without_other_calls() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(async {
        let clock = Clock::default();
        let semaphore = Semaphore::new(clock, 4);
        semaphore.set_window(fifty_starts(clock), Trust::Assumed, clock.now());
        for _ in 0..3 {
            let deadline = clock.now() + Duration::from_secs(30);
            semaphore
                .acquire(Rank::default(), deadline, QUEUE)
                .await
                .expect("a start is free in time");
        }
    });
}

/// Guards against starts given back for calls that were sent and then cancelled by their callers.
#[test]
fn only_calls_that_were_not_sent_are_given_back() {
    for (sent, is_counted) in [(true, true), (false, false)] {
        let clock = Clock::default();
        let semaphore = Semaphore::new(clock, 4);
        // One start a second; the one at ten seconds is free whatever was recorded at the
        // beginning.
        let limit = Limit { rate: 1.0, burst: 1.0, ..fifty_starts(clock) };
        semaphore.set_window(limit, Trust::Assumed, Time::default());
        let later = Time::from_millis(10_000);
        let decision = semaphore.lock().limiter.admit(Ticket(1), later, later + LONG, QUEUE);
        assert_eq!(decision, Decision::Run);
        let permit = semaphore.permit(Ticket(1));
        if sent {
            semaphore.lock().limiter.record_sent(Ticket(1), later);
        }
        drop(permit);
        let next = semaphore.lock().limiter.admit(Ticket(2), later, later + LONG, QUEUE);
        assert_eq!(next != Decision::Run, is_counted, "{next:?}");
    }
}

/// Guards against a call that is sent and cancelled without being counted.
#[test]
fn a_permit_records_when_its_call_is_sent() {
    let clock = Clock::default();
    let semaphore = Semaphore::new(clock, 4);
    semaphore.set_window(fifty_starts(clock), Trust::Assumed, Time::default());
    let later = Time::from_millis(10_000);
    semaphore.lock().limiter.admit(Ticket(1), later, later + LONG, QUEUE);
    let permit = semaphore.permit(Ticket(1));
    assert_eq!(semaphore.recent_starts(), 0);
    permit.record_sent();
    drop(permit);
    assert_eq!(semaphore.recent_starts(), 1);
}
