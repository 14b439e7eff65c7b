//! Replicas of the platform's list converge in any order of updates.

use fleet::directory::{Change, Directory, Entry, Gap, Reason, Removal, Standing, Update};
use model::time::Time;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const NO_GRACE: Duration = Duration::ZERO;
const GRACE: Duration = Duration::from_secs(2);
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

/// Applies updates a second apart and compares the listed ids.
#[track_caller]
fn check(updates: Vec<Update>, expect: &[&str]) -> Directory {
    let mut replica = Directory::default();
    for (i, update) in updates.into_iter().enumerate() {
        replica
            .apply(update, NO_GRACE, at(1_000 * i as u64))
            .expect("the update follows the held revision");
    }
    let ids: Vec<&str> = replica.entries().map(|e| e.id.as_str()).collect();
    assert_eq!(ids, expect);
    replica
}

#[test]
fn the_higher_revision_of_an_identity_wins() {
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
fn a_whole_list_removes_omitted_entries_except_newer_ones() {
    let first = Update { entries: vec![entry("a", 3), entry("b", 9)], ..update(None, 9) };
    let older = Update { entries: vec![entry("c", 2)], ..update(None, 5) };
    check(vec![first, older], &["b", "c"]);
}

/// Guards against a gap after a revision that changed only the configuration: all later updates would
/// be rejected.
#[test]
fn an_empty_update_keeps_the_list_complete() {
    let written = Update { entries: vec![entry("a", 3)], ..update(Some(2), 3) };
    let mut replica = check(vec![update(None, 1), update(Some(1), 2), written], &["a"]);
    let gap = Update { entries: vec![entry("b", 9)], ..update(Some(8), 9) };
    assert_eq!(replica.apply(gap, NO_GRACE, at(0)), Err(Gap));
}

/// Guards against removing every upstream when the platform is back and their registrations have
/// expired.
#[test]
fn removals_after_an_outage_wait_for_the_upstream_to_register_again() {
    let mut replica =
        check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let expired = Update { removed: vec![removal("a", 5)], ..update(Some(3), 5) };
    let changes =
        replica.apply(expired, GRACE, at(10_000)).expect("the update follows the held revision");
    assert_eq!(changes[0].1, Change::RemovalPending);
    assert_eq!((replica.entries().count(), replica.expire(at(11_900)).len()), (1, 0));
    let registered = Update { entries: vec![entry("a", 8)], ..update(Some(5), 8) };
    replica.apply(registered, GRACE, at(11_950)).expect("the update follows the held revision");
    assert_eq!((replica.expire(at(60_000)).len(), replica.entries().count()), (0, 1));
}

fn unusable(id: &str, revision: u64) -> Removal {
    Removal { reason: Reason::Unusable, ..removal(id, revision) }
}

/// Guards against calls to an upstream whose entry was overwritten by an invalid value.
#[test]
fn an_invalid_value_removes_its_upstream_without_grace_period() {
    let mut replica =
        check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let overwritten = Update { removed: vec![unusable("a", 5)], ..update(Some(3), 5) };
    let changes = replica
        .apply(overwritten, GRACE, at(10_000))
        .expect("the update follows the held revision");
    assert_eq!((changes[0].1, replica.entries().count()), (Change::Gone, 0));
    assert_eq!(replica.since(Some(3), at(10_001)).removed, [unusable("a", 5)]);
    let valid = Update { entries: vec![entry("a", 6)], ..update(Some(5), 6) };
    let changes =
        replica.apply(valid, GRACE, at(11_000)).expect("the update follows the held revision");
    assert_eq!(changes[0].1, Change::Listed);
}

fn incarnation(revision: u64, started_ms: Option<u64>, standing: Standing) -> Entry {
    Entry { started_ms, standing, ..entry("a", revision) }
}

/// Applies writes of the identity "a" in order and compares the changes.
#[track_caller]
fn check_incarnations(writes: Vec<Entry>, expect: &[Option<Change>]) -> Directory {
    let mut replica = Directory::default();
    replica.apply(update(None, 1), NO_GRACE, at(0)).expect("a whole list leaves no gap");
    let mut changes = Vec::new();
    for write in writes {
        let revision = write.revision;
        let update = Update { entries: vec![write], ..update(Some(1), revision) };
        let changed =
            replica.apply(update, NO_GRACE, at(0)).expect("the update follows the held revision");
        changes.push(changed.first().map(|(_, change)| *change));
    }
    assert_eq!(changes, expect);
    replica
}

/// Guards against a restarted upstream that gets no calls because its previous incarnation was leaving.
#[test]
fn a_later_start_under_the_same_identity_is_a_new_incarnation() {
    use Change::{Leaving, Listed, Restarted, Revised};
    let ready = |revision, started| incarnation(revision, Some(started), Standing::Ready);
    let leaving = |revision, started| incarnation(revision, Some(started), Standing::Leaving);
    check_incarnations(vec![ready(2, 100), ready(3, 100)], &[Some(Listed), Some(Revised)]);
    let writes = vec![leaving(2, 100), ready(3, 200), leaving(4, 100), leaving(5, 200)];
    let replica =
        check_incarnations(writes, &[Some(Leaving), Some(Restarted), None, Some(Leaving)]);
    let held: Vec<_> = replica.entries().map(|e| (e.revision, e.started_ms)).collect();
    assert_eq!(held, [(5, Some(200))]);
}

/// Guards against an upstream whose clock was set back before it restarted, and that then can never say that it leaves.
#[test]
fn an_earlier_start_that_is_written_again_is_a_new_incarnation() {
    use Change::{Leaving, Listed, Restarted, Revised};
    let ready = |revision, started| incarnation(revision, Some(started), Standing::Ready);
    let leaving = |revision, started| incarnation(revision, Some(started), Standing::Leaving);
    let writes = vec![ready(2, 200), ready(3, 100), ready(4, 100), ready(5, 100), leaving(6, 100)];
    let expect = [Some(Listed), None, Some(Restarted), Some(Revised), Some(Leaving)];
    let replica = check_incarnations(writes, &expect);
    let held: Vec<_> = replica.entries().map(|e| (e.revision, e.started_ms)).collect();
    assert_eq!(held, [(6, Some(100))]);
    // A peer sees only one of the writes, by way of a replica that has seen two.
    let mut peer = Directory::default();
    let first = Update { entries: vec![ready(2, 200)], ..update(None, 2) };
    peer.apply(first, NO_GRACE, at(0)).expect("a whole list leaves no gap");
    let copied = peer.apply_copy(replica.since(Some(2), at(1)), NO_GRACE, at(1));
    assert_eq!(copied.expect("the update follows")[0].1, Leaving);
    // Delayed writes between those of the known incarnation are none of a new one.
    let writes = vec![ready(2, 200), ready(3, 100), ready(4, 200), ready(5, 100), leaving(6, 200)];
    check_incarnations(writes, &[Some(Listed), None, Some(Revised), None, Some(Leaving)]);
}

/// Guards against calls to a process that has ended.
#[test]
fn a_delayed_write_does_not_revive_a_removed_incarnation() {
    let writes = vec![incarnation(2, Some(200), Standing::Ready)];
    let mut replica = check_incarnations(writes, &[Some(Change::Listed)]);
    let removed = Update { removed: vec![removal("a", 3)], ..update(Some(2), 3) };
    replica.apply(removed, NO_GRACE, at(1)).expect("the update follows the held revision");
    let mut peer = Directory::default();
    peer.apply(update(None, 1), NO_GRACE, at(1)).expect("a whole list leaves no gap");
    peer.apply(replica.since(Some(1), at(2)), NO_GRACE, at(2))
        .expect("the update follows the held revision");
    for replica in [&mut replica, &mut peer] {
        let earlier = incarnation(4, Some(100), Standing::Ready);
        let delayed = Update { entries: vec![earlier], ..update(Some(3), 4) };
        assert_eq!(replica.apply(delayed, NO_GRACE, at(3)), Ok(vec![]));
        let same = incarnation(5, Some(200), Standing::Ready);
        let registered = Update { entries: vec![same], ..update(Some(4), 5) };
        assert_eq!(
            replica
                .apply(registered, NO_GRACE, at(4))
                .expect("the update follows the held revision")
                .len(),
            1
        );
    }
}

/// Guards against calls to an upstream whose incarnation is unknown.
#[test]
fn a_missing_start_time_after_a_known_one_makes_the_entry_invalid() {
    let writes = vec![
        incarnation(2, None, Standing::Ready),
        incarnation(3, Some(100), Standing::Ready),
        incarnation(4, None, Standing::Ready),
        incarnation(5, Some(100), Standing::Ready),
    ];
    let expect = [Change::Listed, Change::Restarted, Change::Gone, Change::Listed];
    check_incarnations(writes, &expect.map(Some));
}

#[test]
fn an_upstream_that_does_not_register_again_is_removed_after_the_grace_period() {
    let mut replica =
        check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let expired = Update { removed: vec![removal("a", 5)], ..update(Some(3), 5) };
    replica.apply(expired, GRACE, at(10_000)).expect("the update follows the held revision");
    let update = replica.since(Some(3), at(11_500));
    assert_eq!(update.removed[0].grace_ms, 500);
    let changes = replica.expire(at(12_000));
    assert_eq!((changes[0].1, replica.entries().count()), (Change::Gone, 0));
    assert_eq!(replica.since(Some(3), at(12_500)).removed, [removal("a", 5)]);
}

#[test]
fn a_replica_older_than_pruned_tombstones_gets_the_whole_list() {
    let mut replica =
        check(vec![Update { entries: vec![entry("a", 3)], ..update(None, 3) }], &["a"]);
    let removed = Update { removed: vec![removal("a", 5)], ..update(Some(3), 5) };
    replica.apply(removed, NO_GRACE, at(0)).expect("the update follows the held revision");
    assert_eq!(replica.since(Some(3), at(1)).base, Some(3));
    replica
        .apply(update(Some(5), 6), NO_GRACE, at(300_000))
        .expect("the update follows the held revision");
    assert_eq!(replica.since(Some(3), at(300_001)).base, None);
    assert_eq!(replica.since(Some(5), at(300_001)).base, Some(5));
}

/// Writes and removals of four upstreams in the platform's order.
#[derive(Clone, Debug)]
struct History(Vec<(u8, bool)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        History(Vec::<(u8, bool)>::arbitrary(g).into_iter().take(30).collect())
    }
}

/// The replicas synchronize at random points of the history.
#[test]
fn two_replicas_converge_to_the_platform() {
    fn property(history: History, syncs: Vec<bool>) -> bool {
        let (mut reader, mut other) = (Directory::default(), Directory::default());
        let mut expect = std::collections::BTreeMap::new();
        reader.apply(update(None, 1), NO_GRACE, at(0)).expect("a whole list leaves no gap");
        for (i, (id, removed)) in history.0.iter().enumerate() {
            let revision = i as u64 + 2;
            let id = format!("i-{}", id % 4);
            let mut change = update(Some(revision - 1), revision);
            if *removed {
                expect.remove(&id);
                change.removed.push(removal(&id, revision));
            } else {
                expect.insert(id.clone(), revision);
                change.entries.push(entry(&id, revision));
            }
            reader
                .apply(change, NO_GRACE, at(revision))
                .expect("the update follows the held revision");
            if syncs.get(i).copied().unwrap_or(false) {
                sync(&reader, &mut other, at(revision));
            }
        }
        sync(&reader, &mut other, at(1_000));
        let held = |replica: &Directory| -> std::collections::BTreeMap<String, u64> {
            replica.entries().map(|e| (e.id.clone(), e.revision)).collect()
        };
        held(&reader) == expect && held(&other) == expect
    }
    let gen_ = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new().rng(gen_).quickcheck(property as fn(History, Vec<bool>) -> bool);
}

fn sync(from: &Directory, to: &mut Directory, now: Time) {
    let held = Some(to.revision()).filter(|&revision| revision > 0);
    to.apply(from.since(held, now), NO_GRACE, now).expect("the update follows the held revision");
}
