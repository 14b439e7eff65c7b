//! Assembling a newer configuration version from chunks of several peers.

use fleet::{
    catchup::{Progress, Transfer},
    fence::Fence,
    message::Bundle,
};
use model::{
    config::Version,
    document::{Delta, Document, Set},
};

/// Maximum number of chunks in a transfer.
const MAX_CHUNKS: usize = 100;

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

/// Returns a fence with `set` in force; without documents if that is empty.
fn fence_with(set: Set) -> Fence {
    let mut fence = Fence::default();
    fence.offer(set);
    fence
}

/// Transfers the version of `other`; returns it and the number of chunks.
#[track_caller]
fn complete(transfer: &mut Transfer, own: &Fence, other: &Fence) -> (Version, usize) {
    for answers in 1..MAX_CHUNKS {
        match transfer.receive(own, other.answer(&transfer.pull_content(own))) {
            Progress::Complete(set) => return (set.version(), answers),
            Progress::Partial => {}
            Progress::Stale => panic!("stale after {answers} answers"),
            Progress::Unusable => panic!("unusable after {answers} answers"),
        }
    }
    panic!("not complete after {MAX_CHUNKS} answers");
}

#[track_caller]
fn check(own: &Set, other: &Set, expect: std::ops::RangeInclusive<usize>) {
    let (own, other) = (fence_with(own.clone()), fence_with(other.clone()));
    let (version, answers) = complete(&mut Transfer::default(), &own, &other);
    assert_eq!(version, other.version());
    assert!(expect.contains(&answers), "{answers}");
}

#[test]
fn large_deltas_are_chunked_and_small_ones_are_not() {
    check(&Set::default(), &set(2, 3_000, "1"), 5..=10);
    check(&set(1, 1_600, "1"), &set(2, 3_000, "1"), 5..=10);
    check(&set(1, 3_000, "1"), &set(2, 10, "1"), 1..=1);
    check(&set(1, 10, "1"), &set(2, 10, "2"), 1..=1);
    check(&set(1, 10, "1"), &set(2, 10, "1"), 1..=1);
}

/// Guards against losing received documents when the next peer holds a later version.
#[test]
fn chunks_of_two_versions_result_in_the_later_one() {
    let own = fence_with(set(1, 100, "1"));
    let (older, newer) = (fence_with(set(2, 3_000, "1")), fence_with(set(3, 3_500, "1")));
    let mut transfer = Transfer::default();
    for _ in 0..4 {
        let answer = older.answer(&transfer.pull_content(&own));
        assert!(matches!(transfer.receive(&own, answer), Progress::Partial));
    }
    assert_eq!(complete(&mut transfer, &own, &newer).0, newer.version());
}

/// Guards against partial versions in force: a wrong digest restarts the transfer once, then ends it.
#[test]
fn documents_without_the_announced_digest_are_discarded() {
    let own = fence_with(set(1, 100, "1"));
    let other = fence_with(set(2, 200, "1"));
    let mut transfer = Transfer::default();
    let with_wrong_revision =
        |answer: Bundle| Bundle { version: Version { revision: 3, ..answer.version }, ..answer };
    let first =
        transfer.receive(&own, with_wrong_revision(other.answer(&transfer.pull_content(&own))));
    assert!(matches!(first, Progress::Partial));
    let second =
        transfer.receive(&own, with_wrong_revision(other.answer(&transfer.pull_content(&own))));
    assert!(matches!(second, Progress::Unusable));
    assert!(transfer.is_empty());
}

/// Guards against an endless transfer from a faulty peer.
#[test]
fn a_peer_that_only_sends_empty_chunks_is_given_up() {
    let own = fence_with(set(1, 100, "1"));
    let mut transfer = Transfer::default();
    let delta = Delta { revision: 2, ..Delta::default() };
    let version = Version { revision: 2, ..Version::default() };
    let empty = || Bundle { version, delta: delta.clone(), more: true };
    assert!(matches!(transfer.receive(&own, empty()), Progress::Partial));
    assert!(matches!(transfer.receive(&own, empty()), Progress::Unusable));
}

/// Guards against incompatibility with older product versions during an upgrade.
#[test]
fn nodes_without_chunk_support_exchange_whole_versions() {
    let own = fence_with(set(1, 1_600, "1"));
    let other = fence_with(set(2, 3_000, "1"));
    let mut pull = Transfer::default().pull_content(&own);
    pull.limit = None;
    let answer = other.answer(&pull);
    assert!(!answer.more);
    assert!(matches!(Transfer::default().receive(&own, answer), Progress::Complete(_)));
    let unlimited =
        Bundle { version: other.version(), delta: other.set().since(None), more: false };
    assert!(matches!(Transfer::default().receive(&own, unlimited), Progress::Complete(_)));
}

/// After an incomplete answer the requester pulls by bucket digests.
#[test]
fn changes_since_a_revision_are_sent_only_if_small() {
    let own = fence_with(set(1, 100, "1"));
    let transfer = Transfer::default();
    let small = set(1, 100, "1").with(Delta {
        revision: 2,
        documents: vec![Document { modified: 2, ..documents(1, "2").remove(0) }],
        ..Delta::default()
    });
    let small = fence_with(small).answer(&transfer.pull_changes(&own));
    assert_eq!((small.delta.documents.len(), small.more), (1, false));
    let documents = documents(3_000, "2").into_iter().map(|d| Document { modified: 2, ..d });
    let large = set(1, 100, "1").with(Delta {
        revision: 2,
        documents: documents.collect(),
        ..Delta::default()
    });
    let large = fence_with(large).answer(&transfer.pull_changes(&own));
    assert_eq!((large.delta.documents.len(), large.more), (0, true));
}

/// Guards against restarting the transfer when a peer has restarted and is behind.
#[test]
fn a_stale_answer_keeps_the_received_documents() {
    for outdated in [Set::default(), set(1, 50, "1")] {
        let own = fence_with(set(2, 100, "1"));
        let other = fence_with(set(3, 3_000, "1"));
        let mut transfer = Transfer::default();
        for _ in 0..3 {
            transfer.receive(&own, other.answer(&transfer.pull_content(&own)));
        }
        let before = transfer.pull_content(&own);
        let stale = transfer.receive(&own, fence_with(outdated).answer(&before));
        assert!(matches!(stale, Progress::Stale));
        assert_eq!(transfer.pull_content(&own).buckets, before.buckets);
    }
}

/// A single timeout may have other causes than a slow link.
#[test]
fn chunks_shrink_after_two_consecutive_timeouts() {
    let fence = Fence::default();
    let mut transfer = Transfer::default();
    let size = |transfer: &Transfer| transfer.pull(&fence).limit.expect("chunks are bounded");
    let usual = size(&transfer);
    transfer.record_timeout();
    assert_eq!(size(&transfer), usual);
    transfer.record_timeout();
    assert_eq!(size(&transfer), usual / 2);
    (0..20).for_each(|_| transfer.record_timeout());
    assert!(size(&transfer) >= 1 << 10);
}
