//! Tests of the state machine of a connection, on a virtual clock.

use std::time::Duration;
use tokio::time::Instant;

use super::State;
use crate::limits::{Limits, Reason};

const LIMITS: Limits = Limits {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
    header_bytes: 16_384,
    answer: Duration::from_secs(60),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a time limit of a head that each byte starts anew.
#[test]
fn the_time_of_a_head_counts_from_its_first_byte() {
    let start = Instant::now();
    let mut state = State::new(start);
    assert_eq!(state.read_deadline(&LIMITS), Some((start + LIMITS.idle, Reason::Idle)));
    for step in 1..100 {
        assert!(state.read(b"a", start + ms(10 * step)).is_ok());
    }
    let expected = start + ms(10) + LIMITS.head;
    assert_eq!(state.read_deadline(&LIMITS), Some((expected, Reason::SlowHead)));
}

/// Guards against empty lines without end, however many arrive at a time.
#[test]
fn empty_lines_before_a_request_are_limited() {
    for part in [b"\r\n".as_slice(), b"\n", &b"\r\n".repeat(20)] {
        let mut state = State::new(Instant::now());
        let count = (0..100).take_while(|_| state.read(part, Instant::now()).is_ok()).count();
        assert!(count < 65 && count * part.len() <= 64, "{count} times {}", part.len());
        let mut state = State::new(Instant::now());
        assert_eq!(state.read(b"\r\nGET", Instant::now()), Ok(5));
        // Those behind the first byte belong to the head.
        assert_eq!(state.read(&b"\r\n".repeat(50), Instant::now()), Ok(100));
    }
}

/// Guards against framing without end, and against a limit that chunks of one byte meet.
#[test]
fn framing_is_limited_by_the_content() {
    let mut state = State::new(Instant::now());
    state.begin_request(true, Instant::now());
    for _ in 0..1_000_000 {
        assert_eq!(state.read(b"1\r\na\r\n", Instant::now()), Ok(0));
        state.receive_content(1);
    }
    let refused = (0..10_000_000).find(|_| state.read(&[b'0'; 1_000], Instant::now()).is_err());
    assert!(refused.is_some_and(|count| count < 10_000), "{refused:?}");
}

/// Guards against idle time that counts while an answer is being read, and against answers read without end.
#[test]
fn idle_time_starts_when_the_answer_was_read() {
    let start = Instant::now();
    let mut state = State::new(start);
    state.begin_request(false, start);
    state.end_request(start);
    state.begin_write(start);
    state.write(start + ms(59_000));
    assert_eq!(state.read_deadline(&LIMITS), None);
    assert_eq!(state.write_deadline(&LIMITS), Some(start + LIMITS.answer));
    state.end_write(start + ms(59_500));
    let expected = start + ms(59_500) + LIMITS.idle;
    assert_eq!(state.read_deadline(&LIMITS), Some((expected, Reason::Idle)));
    assert_eq!(state.write_deadline(&LIMITS), None);
}

/// Guards against connections that are closed in favour of others while their requests are served.
#[test]
fn only_connections_that_wait_for_their_client_give_way() {
    let start = Instant::now();
    let later = start + ms(5_000);
    let mut silent = State::new(start);
    assert_eq!(silent.replaceable(start), None);
    let mut kept = State::new(start);
    kept.begin_request(false, start);
    assert_eq!(kept.replaceable(later), None);
    let mut uploading = State::new(start);
    uploading.begin_request(true, start);
    assert_eq!(uploading.replaceable(start + ms(900)), None);
    assert!(uploading.replaceable(later).is_some());
    assert_eq!(uploading.read(b"part", later), Ok(0));
    assert_eq!(uploading.replaceable(later), None);
    uploading.end_body();
    assert_eq!(uploading.replaceable(later + ms(5_000)), None);
    kept.end_request(start);
    assert!(silent.replaceable(later) < kept.replaceable(later));
    assert_eq!(kept.replaceable(start + ms(500)), None);
    kept.begin_write(start);
    assert_eq!(kept.replaceable(later), None);
    assert!(silent.read(b"GET", start).is_ok());
    assert!(silent.replaceable(later).is_some());
}

/// Guards against clients that make progress and lose their memory to others.
#[test]
fn only_stalled_clients_that_hold_memory_lose_it() {
    let start = Instant::now();
    let mut state = State::new(start);
    assert_eq!(state.stalled(start + ms(9_000)), None);
    state.begin_request(true, start);
    assert_eq!(state.stalled(start + ms(900)), None);
    assert!(state.stalled(start + ms(1_000)).is_some());
    assert_eq!(state.read(b"part", start + ms(1_100)), Ok(0));
    assert_eq!(state.stalled(start + ms(2_000)), None);
    state.end_body();
    assert_eq!(state.stalled(start + ms(9_000)), None);
}
