//! Copies of the platform's list merge the same way, whatever arrives in which order.

use fleet::directory::{Change, Directory, Entry, Gap, Reason, Removal, Standing, Update};
use model::time::Time;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const NO_DOUBT: Duration = Duration::ZERO;
const DOUBT: Duration = Duration::from_secs(2);
const SEED: u64 = 23;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(id: &str, revision: u64) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "shelfview".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "ktm-a".to_owned(),
        slots: 9,
        standing: Standing::Ready,
        cold_ms: 0,
        started_ms: None,
        revision,
    }
}

fn removal(id: &str, revision: u64) -> Removal {
    Removal { id: id.to_owned(), revision, ..Removal::default() }
}

fn update(base: Option<u64>, revision: u64) -> Update {
    Update { revision, base, ..Update::default() }
}

/// Applies updates one after the other, a second apart, and compares the ids that are listed.
#[track_caller]
fn check(updates: Vec<Update>, expect: &[&str]) -> Directory {
    let mut copy = Directory::default();
    for (i, update) in updates.into_iter().enumerate() {
        copy.apply(update, NO_DOUBT, at(1_000 * i as u64)).expect("the update follows on");
    }
    let ids: Vec<&str> = copy.entries().map(|e| e.id.as_str()).collect();
    assert_eq!(ids, expect);
    copy
}

#[test]
fn the_higher_revision_of_a_name_counts() {
    let written =
        |id, revision| Update { entries: vec![entry(id, revision)], ..update(Some(0), revision) };
    let removed =
        |id, revision| Update { removed: vec![removal(id, revision)], ..update(Some(0), revision) };
    check(vec![written("a", 3), removed("a", 5)], &[]);
    check(vec![removed("a", 5), written("a", 3)], &[]);
    check(vec![removed("a", 5), written("a", 7)], &["a"]);
    check(vec![written("a", 7), removed("a", 5), written("b", 2)], &["a", "b"]);
}

#[test]
fn a_whole_list_removes_what_it_leaves_out_but_nothing_newer() {
    let first = Update { entries: vec![entry("a", 3), entry("b", 9)], ..update(None, 9) };
    let older = Update { entries: vec![entry("c", 2)], ..update(None, 5) };
    check(vec![first, older], &["b", "c"]);
}

/// Nothing is served for ten seconds: a change of the configuration alone had raised the revision,
/// the list was still complete only up to the one before, and every later change of the list was
/// refused as one that leaves a gap.
#[test]
fn an_empty_update_keeps_the_list_complete() {
    let written = Update { entries: vec![entry("a", 3)], ..update(Some(2), 3) };
    let mut copy = check(vec![update(None, 1), update(Some(1), 2), written], &["a"]);
    let gap = Update { entries: vec![entry("b", 9)], ..update(Some(8), 9) };
    assert_eq!(copy.apply(gap, NO_DOUBT, at(0)), Err(Gap));
}

/// Every upstream goes out of service just as the platform is back after an outage: entries had
/// lapsed while upstreams could not reach it, and were written anew a second later.
#[test]
fn removals_after_an_outage_wait_for_the_upstream_to_come_back() {
    let mut copy = check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let lapsed = Update { removed: vec![removal("a", 5)], ..update(Some(3), 5) };
    let changes = copy.apply(lapsed, DOUBT, at(10_000)).expect("it follows on");
    assert_eq!(changes[0].1, Change::RemovalPending);
    assert_eq!((copy.entries().count(), copy.expire(at(11_900)).len()), (1, 0));
    let back = Update { entries: vec![entry("a", 8)], ..update(Some(5), 8) };
    copy.apply(back, DOUBT, at(11_950)).expect("it follows on");
    assert_eq!((copy.expire(at(60_000)).len(), copy.entries().count()), (0, 1));
}

fn unusable(id: &str, revision: u64) -> Removal {
    Removal { reason: Reason::Unusable, ..removal(id, revision) }
}

/// Calls go to an upstream for two seconds in whose place somebody else wrote nonsense: the value
/// was taken for one that lapsed in the outage which had just ended.
#[test]
fn a_value_that_names_no_upstream_is_no_effect_of_an_outage() {
    let mut copy = check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let spoiled = Update { removed: vec![unusable("a", 5)], ..update(Some(3), 5) };
    let changes = copy.apply(spoiled, DOUBT, at(10_000)).expect("it follows on");
    assert_eq!((changes[0].1, copy.entries().count()), (Change::Gone, 0));
    assert_eq!(copy.since(Some(3), at(10_001)).removed, [unusable("a", 5)]);
    let good = Update { entries: vec![entry("a", 6)], ..update(Some(5), 6) };
    let changes = copy.apply(good, DOUBT, at(11_000)).expect("it follows on");
    assert_eq!(changes[0].1, Change::Listed);
}

fn life(revision: u64, started_ms: Option<u64>, standing: Standing) -> Entry {
    Entry { started_ms, standing, ..entry("a", revision) }
}

/// Applies writes of the name "a" in order, and compares what each changed.
#[track_caller]
fn check_lives(writes: Vec<Entry>, expect: &[Option<Change>]) -> Directory {
    let mut copy = Directory::default();
    copy.apply(update(None, 1), NO_DOUBT, at(0)).expect("it holds the whole list");
    let mut changes = Vec::new();
    for write in writes {
        let revision = write.revision;
        let update = Update { entries: vec![write], ..update(Some(1), revision) };
        let changed = copy.apply(update, NO_DOUBT, at(0)).expect("it follows on");
        changes.push(changed.first().map(|(_, change)| *change));
    }
    assert_eq!(changes, expect);
    copy
}

/// An upstream that crashed while it was to leave gets no call again: it came back under its name,
/// and the word of its former life, or a write of that life heard late, was held against it.
#[test]
fn a_later_start_under_the_same_name_is_another_life() {
    use Change::{Leaving, Listed, Restarted, Revised};
    let ready = |revision, started| life(revision, Some(started), Standing::Ready);
    let leaving = |revision, started| life(revision, Some(started), Standing::Leaving);
    check_lives(vec![ready(2, 100), ready(3, 100)], &[Some(Listed), Some(Revised)]);
    let writes = vec![leaving(2, 100), ready(3, 200), leaving(4, 100), leaving(5, 200)];
    let copy = check_lives(writes, &[Some(Leaving), Some(Restarted), None, Some(Leaving)]);
    let held: Vec<_> = copy.entries().map(|e| (e.revision, e.started_ms)).collect();
    assert_eq!(held, [(5, Some(200))]);
}

/// An upstream is removed, and a write of the life before the last one is heard after that: calls
/// would go to a process that has long ended.
#[test]
fn a_removed_name_does_not_come_back_in_a_former_life() {
    let writes = vec![life(2, Some(200), Standing::Ready)];
    let mut copy = check_lives(writes, &[Some(Change::Listed)]);
    let removed = Update { removed: vec![removal("a", 3)], ..update(Some(2), 3) };
    copy.apply(removed, NO_DOUBT, at(1)).expect("it follows on");
    let mut told = Directory::default();
    told.apply(update(None, 1), NO_DOUBT, at(1)).expect("it holds the whole list");
    told.apply(copy.since(Some(1), at(2)), NO_DOUBT, at(2)).expect("it follows on");
    for copy in [&mut copy, &mut told] {
        let former = life(4, Some(100), Standing::Ready);
        let late = Update { entries: vec![former], ..update(Some(3), 4) };
        assert_eq!(copy.apply(late, NO_DOUBT, at(3)), Ok(vec![]));
        let same = life(5, Some(200), Standing::Ready);
        let back = Update { entries: vec![same], ..update(Some(4), 5) };
        assert_eq!(copy.apply(back, NO_DOUBT, at(4)).expect("it follows on").len(), 1);
    }
}

/// A value without a start time where one was told before is of another writer: whose upstream it
/// means, nobody can say.
#[test]
fn a_start_time_that_is_no_longer_told_names_no_upstream() {
    let writes = vec![
        life(2, None, Standing::Ready),
        life(3, Some(100), Standing::Ready),
        life(4, None, Standing::Ready),
        life(5, Some(100), Standing::Ready),
    ];
    let expect = [Change::Listed, Change::Restarted, Change::Gone, Change::Listed];
    check_lives(writes, &expect.map(Some));
}

#[test]
fn one_that_stays_away_is_gone_when_the_doubt_is_over() {
    let mut copy = check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let lapsed = Update { removed: vec![removal("a", 5)], ..update(Some(3), 5) };
    copy.apply(lapsed, DOUBT, at(10_000)).expect("it follows on");
    let told = copy.since(Some(3), at(11_500));
    assert_eq!(told.removed[0].grace_ms, 500);
    let gone = copy.expire(at(12_000));
    assert_eq!((gone[0].1, copy.entries().count()), (Change::Gone, 0));
    assert_eq!(copy.since(Some(3), at(12_500)).removed, [removal("a", 5)]);
}

#[test]
fn a_holder_from_before_the_forgotten_removals_gets_the_whole_list() {
    let mut copy = check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let removed = Update { removed: vec![removal("a", 5)], ..update(Some(3), 5) };
    copy.apply(removed, NO_DOUBT, at(0)).expect("it follows on");
    assert_eq!(copy.since(Some(3), at(1)).base, Some(3));
    copy.apply(update(Some(5), 6), NO_DOUBT, at(300_000)).expect("it follows on");
    assert_eq!(copy.since(Some(3), at(300_001)).base, None);
    assert_eq!(copy.since(Some(5), at(300_001)).base, Some(5));
}

/// A write or removal of one of four upstreams, in the order of the platform.
#[derive(Clone, Debug)]
struct History(Vec<(u8, bool)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        History(Vec::<(u8, bool)>::arbitrary(g).into_iter().take(30).collect())
    }
}

/// Two nodes exchange what they lack at random moments; at the end both hold what the platform
/// holds, however the rest was ordered.
#[test]
fn two_copies_agree_with_the_platform() {
    fn holds(history: History, meetings: Vec<bool>) -> bool {
        let (mut reader, mut other) = (Directory::default(), Directory::default());
        let mut truth = std::collections::BTreeMap::new();
        reader.apply(update(None, 1), NO_DOUBT, at(0)).expect("the first is whole");
        for (i, (id, removed)) in history.0.iter().enumerate() {
            let revision = i as u64 + 2;
            let id = format!("i-{}", id % 4);
            let mut change = update(Some(revision - 1), revision);
            if *removed {
                truth.remove(&id);
                change.removed.push(removal(&id, revision));
            } else {
                truth.insert(id.clone(), revision);
                change.entries.push(entry(&id, revision));
            }
            reader.apply(change, NO_DOUBT, at(revision)).expect("it follows on");
            if meetings.get(i).copied().unwrap_or(false) {
                meet(&reader, &mut other, at(revision));
            }
        }
        meet(&reader, &mut other, at(1_000));
        let held = |copy: &Directory| -> std::collections::BTreeMap<String, u64> {
            copy.entries().map(|e| (e.id.clone(), e.revision)).collect()
        };
        held(&reader) == truth && held(&other) == truth
    }
    let gen_ = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new().rng(gen_).quickcheck(holds as fn(History, Vec<bool>) -> bool);
}

fn meet(from: &Directory, to: &mut Directory, now: Time) {
    let have = Some(to.revision()).filter(|&revision| revision > 0);
    to.apply(from.since(have, now), NO_DOUBT, now).expect("it follows on what was asked for");
}
