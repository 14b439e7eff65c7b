//! A newer version is put together from pieces, whoever they come from.

use fleet::{
    catchup::{Progress, Transfer},
    fence::Fence,
    message::Bundle,
};
use model::{
    config::Version,
    document::{Delta, Document, Set},
};

/// Most pieces that any of these cases takes.
const PIECES: usize = 100;

fn documents(count: usize, text: &str) -> Vec<Document> {
    let document = |i| Document {
        key: format!("profiles/p{i}"),
        modified: 1,
        text: format!("{{\"deadline_ms\": {text}}}{}", " ".repeat(200)).into(),
    };
    (0..count).map(document).collect()
}

fn set(revision: u64, count: usize, text: &str) -> Set {
    let documents = documents(count, text);
    Set::default().with(Delta { revision, full: true, documents, ..Delta::default() })
}

/// A node with `set` in force; none of its documents if that has none.
fn holder(set: Set) -> Fence {
    let mut fence = Fence::default();
    fence.offer(set);
    fence
}

/// Asks `other` until the draft is whole; returns the version and the number of answers.
#[track_caller]
fn finish(transfer: &mut Transfer, own: &Fence, other: &Fence) -> (Version, usize) {
    for answers in 1..PIECES {
        match transfer.receive(own, other.answer(&transfer.pull_content(own))) {
            Progress::Complete(set) => return (set.version(), answers),
            Progress::Partial => {}
            Progress::Stale => panic!("stale after {answers} answers"),
            Progress::Unusable => panic!("unusable after {answers} answers"),
        }
    }
    panic!("not whole after {PIECES} answers");
}

#[track_caller]
fn check(own: &Set, other: &Set, expect: std::ops::RangeInclusive<usize>) {
    let (own, other) = (holder(own.clone()), holder(other.clone()));
    let (version, answers) = finish(&mut Transfer::default(), &own, &other);
    assert_eq!(version, other.version());
    assert!(expect.contains(&answers), "{answers}");
}

#[test]
fn large_differences_come_in_pieces_and_small_ones_at_once() {
    check(&Set::default(), &set(2, 3_000, "1"), 5..=10);
    check(&set(1, 1_600, "1"), &set(2, 3_000, "1"), 5..=10);
    check(&set(1, 3_000, "1"), &set(2, 10, "1"), 1..=1);
    check(&set(1, 10, "1"), &set(2, 10, "2"), 1..=1);
    check(&set(1, 10, "1"), &set(2, 10, "1"), 1..=1);
}

/// A node that was far behind is told of still another version by the next node it asks, since the
/// first one ended. What it has received must count, and the result be one whole version.
#[test]
fn pieces_of_two_versions_lead_to_the_later_one() {
    let own = holder(set(1, 100, "1"));
    let (older, newer) = (holder(set(2, 3_000, "1")), holder(set(3, 3_500, "1")));
    let mut transfer = Transfer::default();
    for _ in 0..4 {
        let answer = older.answer(&transfer.pull_content(&own));
        assert!(matches!(transfer.receive(&own, answer), Progress::Partial));
    }
    assert_eq!(finish(&mut transfer, &own, &newer).0, newer.version());
}

/// A node is never served by some of the documents of a version: no piece comes into force, and what
/// does not have the announced digest is begun from nothing once, and then dropped.
#[test]
fn what_does_not_have_the_announced_digest_is_dropped() {
    let own = holder(set(1, 100, "1"));
    let other = holder(set(2, 200, "1"));
    let mut transfer = Transfer::default();
    let lie =
        |answer: Bundle| Bundle { version: Version { revision: 3, ..answer.version }, ..answer };
    let first = transfer.receive(&own, lie(other.answer(&transfer.pull_content(&own))));
    assert!(matches!(first, Progress::Partial));
    let second = transfer.receive(&own, lie(other.answer(&transfer.pull_content(&own))));
    assert!(matches!(second, Progress::Unusable));
    assert!(transfer.is_empty());
}

/// A faulty node promises more and sends nothing, again and again; it must not be asked for ever.
#[test]
fn promises_without_documents_end() {
    let own = holder(set(1, 100, "1"));
    let mut transfer = Transfer::default();
    let delta = Delta { revision: 2, ..Delta::default() };
    let version = Version { revision: 2, ..Version::default() };
    let empty = || Bundle { version, delta: delta.clone(), more: true };
    assert!(matches!(transfer.receive(&own, empty()), Progress::Partial));
    assert!(matches!(transfer.receive(&own, empty()), Progress::Unusable));
}

/// Two product versions run side by side: a former one neither asks for pieces nor answers with them.
#[test]
fn nodes_that_know_no_pieces_get_and_give_everything() {
    let own = holder(set(1, 1_600, "1"));
    let other = holder(set(2, 3_000, "1"));
    let mut pull = Transfer::default().pull_content(&own);
    pull.limit = None;
    let answer = other.answer(&pull);
    assert!(!answer.more);
    assert!(matches!(Transfer::default().receive(&own, answer), Progress::Complete(_)));
    let everything =
        Bundle { version: other.version(), delta: other.set().since(None), more: false };
    assert!(matches!(Transfer::default().receive(&own, everything), Progress::Complete(_)));
}

/// Changes since a revision are told at once or not at all; then they are asked for by content.
#[test]
fn what_changed_since_a_revision_is_told_if_it_is_little() {
    let own = holder(set(1, 100, "1"));
    let transfer = Transfer::default();
    let little = set(1, 100, "1").with(Delta {
        revision: 2,
        documents: vec![Document { modified: 2, ..documents(1, "2").remove(0) }],
        ..Delta::default()
    });
    let little = holder(little).answer(&transfer.pull_changes(&own));
    assert_eq!((little.delta.documents.len(), little.more), (1, false));
    let documents = documents(3_000, "2").into_iter().map(|d| Document { modified: 2, ..d });
    let much = set(1, 100, "1").with(Delta {
        revision: 2,
        documents: documents.collect(),
        ..Delta::default()
    });
    let much = holder(much).answer(&transfer.pull_changes(&own));
    assert_eq!((much.delta.documents.len(), much.more), (0, true));
}

/// A node that was ahead has restarted and answers with less than the asker holds, or with nothing. What
/// has come from others counts.
#[test]
fn an_answer_that_is_behind_keeps_what_has_come() {
    for behind in [Set::default(), set(1, 50, "1")] {
        let own = holder(set(2, 100, "1"));
        let other = holder(set(3, 3_000, "1"));
        let mut transfer = Transfer::default();
        for _ in 0..3 {
            transfer.receive(&own, other.answer(&transfer.pull_content(&own)));
        }
        let before = transfer.pull_content(&own);
        let stale = transfer.receive(&own, holder(behind).answer(&before));
        assert!(matches!(stale, Progress::Stale));
        assert_eq!(transfer.pull_content(&own).buckets, before.buckets);
    }
}

/// One answer that is lost says nothing about the link; two in a row do.
#[test]
fn less_is_asked_for_after_two_losses_in_a_row() {
    let fence = Fence::default();
    let mut transfer = Transfer::default();
    let size = |transfer: &Transfer| transfer.pull(&fence).limit.expect("pieces are bounded");
    let usual = size(&transfer);
    transfer.note_timeout();
    assert_eq!(size(&transfer), usual);
    transfer.note_timeout();
    assert_eq!(size(&transfer), usual / 2);
    (0..20).for_each(|_| transfer.note_timeout());
    assert!(size(&transfer) >= 1 << 10);
}
