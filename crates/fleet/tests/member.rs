//! Which of two records about a node wins.

use fleet::{
    member::{Record, State},
    roster::{Change, Propagation, Roster},
};
use model::time::Time;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 7;
const STATES: [State; 5] =
    [State::Live, State::Suspect, State::Unreachable, State::Leaving, State::Gone];

fn record(port: u16, incarnation: u64, sequence: u64, state: State) -> Record {
    let address = ([127, 0, 0, 1], port).into();
    Record {
        address,
        traffic: address,
        instance: "paydesk-1".to_owned(),
        service: "paydesk".to_owned(),
        data_centre: "ktm-a".to_owned(),
        incarnation,
        sequence,
        state,
    }
}

/// Merges records of another node in order; compares the resulting state.
#[track_caller]
fn check(records: &[(u64, u64, State)], expect: State) {
    let mut roster = Roster::new(record(1, 1, 0, State::Live), Time::default());
    for &(incarnation, sequence, state) in records {
        roster.learn(
            &record(2, incarnation, sequence, state),
            Propagation::Gossip,
            Time::default(),
        );
    }
    let held = roster.get(([127, 0, 0, 1], 2).into()).map(|r| r.state);
    assert_eq!(held, Some(expect));
}

/// Guards against calls to a node that has left.
#[test]
fn a_delayed_record_does_not_revive_a_node() {
    check(&[(1, 3, State::Leaving), (1, 4, State::Live)], State::Leaving);
    check(&[(1, 3, State::Live), (1, 3, State::Gone), (1, 9, State::Live)], State::Gone);
    check(&[(2, 0, State::Live), (1, 9, State::Gone)], State::Live);
}

#[test]
fn only_the_node_itself_ends_a_suspicion() {
    check(&[(1, 0, State::Live), (1, 0, State::Suspect), (1, 0, State::Live)], State::Suspect);
    check(&[(1, 0, State::Suspect), (1, 1, State::Live)], State::Live);
    check(&[(1, 0, State::Unreachable), (1, 0, State::Suspect)], State::Unreachable);
}

#[test]
fn a_new_incarnation_replaces_the_old_one() {
    check(&[(1, 5, State::Gone), (2, 0, State::Live)], State::Live);
    check(&[(1, 5, State::Leaving), (2, 0, State::Live)], State::Live);
}

#[test]
fn a_node_refutes_wrong_records_about_itself() {
    cov_mark::check!(suspicion_refuted);
    cov_mark::check!(incarnation_raised);
    let mut roster = Roster::new(record(1, 5, 0, State::Live), Time::default());
    let mut learn = |incarnation, sequence, state| {
        roster.learn(&record(1, incarnation, sequence, state), Propagation::Gossip, Time::default())
    };
    assert_eq!(learn(5, 0, State::Suspect), Change::Refuted);
    assert_eq!(learn(4, 9, State::Gone), Change::None);
    assert_eq!(learn(8, 0, State::Gone), Change::Refuted);
    assert_eq!(learn(9, 0, State::Leaving), Change::LeaveRequested);
    assert_eq!(roster.own().incarnation, 9);
    assert_eq!(roster.own().state, State::Live);
}

/// A random record; small numbers, so that records often compete.
#[derive(Clone, Debug)]
struct RandomRecord(Record);

impl Arbitrary for RandomRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen| u64::arbitrary(g) % 3;
        let state = STATES[usize::arbitrary(g) % STATES.len()];
        let port = 2 + (u16::arbitrary(g) % 3);
        RandomRecord(record(port, small(g), small(g), state))
    }
}

#[test]
fn the_order_of_records_does_not_matter() {
    fn property(records: Vec<RandomRecord>) -> bool {
        let learn = |records: &mut dyn Iterator<Item = &RandomRecord>| {
            let mut roster = Roster::new(record(1, 1, 0, State::Live), Time::default());
            for RandomRecord(record) in records {
                roster.learn(record, Propagation::Gossip, Time::default());
            }
            roster.digest()
        };
        learn(&mut records.iter()) == learn(&mut records.iter().rev())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, SEED))
        .quickcheck(property as fn(Vec<RandomRecord>) -> bool);
}

#[test]
fn invalid_records_are_detected() {
    let valid = record(2, 1, 1, State::Live);
    let named = |name: &str| Record { service: name.to_owned(), ..valid.clone() };
    assert_eq!(valid.fault(), None);
    assert!(named("").fault().is_some());
    assert!(named("pay\ndesk").fault().is_some());
    assert_eq!(named("Pay Desk").fault(), None);
    assert_eq!(named(&"x".repeat(4_096)).fault(), None);
    assert!(named(&"x".repeat(4_097)).fault().is_some());
    let centre = |name: &str| Record { data_centre: name.to_owned(), ..valid.clone() };
    assert_eq!(centre(&"x".repeat(200)).fault(), None);
    assert!(centre(&"x".repeat(201)).fault().is_some());
    assert!(centre("").fault().is_some());
    assert!(Record { instance: "a\0b".to_owned(), ..valid.clone() }.fault().is_some());
    assert!(Record { sequence: u64::MAX, ..valid.clone() }.fault().is_some());
    assert!(Record { incarnation: u64::MAX, ..valid.clone() }.fault().is_some());
}
