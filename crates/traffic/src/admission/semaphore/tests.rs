//! Tests of queueing, rejection and warm-up tokens.

use policy::outcome::Outcome;
use tokio::{runtime::Builder, task::yield_now};

use super::*;

const QUEUE: usize = 8;

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
