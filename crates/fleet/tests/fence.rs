//! The version fence accepts higher, complete and valid versions only.

use fleet::fence::{Fence, Verdict};
use model::document::{Delta, Document, Set};

/// A version to offer: its revision and the text of its only profile.
type Offer = (u64, &'static str);

fn set((revision, text): Offer) -> Set {
    let document =
        Document { key: "profiles/reading".to_owned(), modified: revision, text: text.into() };
    Set::default().with(Delta {
        revision,
        full: true,
        documents: vec![document],
        ..Delta::default()
    })
}

fn name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::InForce(_) => "in force",
        Verdict::NotNewer => "not newer",
        Verdict::Conflict(_) => "conflict",
        Verdict::Rejected(_) => "rejected",
        Verdict::AlreadyRejected => "known bad",
    }
}

/// Offers versions in order; compares the verdicts and the resulting revision.
#[track_caller]
fn check(offers: &[Offer], expect: &[&str], revision: u64) {
    let mut fence = Fence::default();
    let verdicts: Vec<Verdict> = offers.iter().map(|&offer| fence.offer(set(offer))).collect();
    let names: Vec<&str> = verdicts.iter().map(name).collect();
    assert_eq!(names, expect);
    assert_eq!(fence.version().revision, revision);
}

const GOOD: &str = "{}";
const OTHER: &str = r#"{"attempts": 2}"#;
const BAD: &str = r#"{"attempts": 99}"#;

/// Guards against a lagging platform that replaces a newer version pulled from a peer.
#[test]
fn an_older_or_equal_revision_is_not_put_in_force() {
    cov_mark::check!(fence_not_newer);
    check(&[(5, GOOD), (4, GOOD)], &["in force", "not newer"], 5);
    check(&[(5, GOOD), (5, GOOD)], &["in force", "not newer"], 5);
    check(&[(5, GOOD), (9, GOOD), (7, OTHER)], &["in force", "in force", "not newer"], 9);
}

#[test]
fn an_invalid_version_leaves_the_previous_one_in_force() {
    cov_mark::check!(fence_rejects);
    check(&[(5, GOOD), (6, BAD)], &["in force", "rejected"], 5);
    check(&[(6, BAD)], &["rejected"], 0);
    check(&[(5, GOOD), (6, BAD), (7, OTHER)], &["in force", "rejected", "in force"], 7);
}

#[test]
fn an_invalid_version_is_validated_once() {
    check(&[(6, BAD), (6, BAD)], &["rejected", "known bad"], 0);
}

/// Guards against nodes with different configurations after the platform reused a revision, for example
/// after a restore from backup.
#[test]
fn two_contents_of_one_revision_are_a_conflict() {
    cov_mark::check!(fence_conflict);
    check(&[(5, GOOD), (5, OTHER)], &["in force", "conflict"], 5);
    check(&[(5, GOOD), (5, OTHER), (6, OTHER)], &["in force", "conflict", "in force"], 6);
}

/// Compares the known and the expected revision after `offers`, while another node holds
/// `observed`.
#[track_caller]
fn check_expected(offers: &[Offer], observed: u64, known: u64, expected: u64) {
    let mut fence = Fence::default();
    offers.iter().for_each(|&offer| drop(fence.offer(set(offer))));
    fence.observe(observed);
    assert_eq!((fence.known(), fence.expected()), (known, expected));
}

/// Guards against a node that makes callers wait for a version that it has rejected.
#[test]
fn a_rejected_version_is_not_expected() {
    check_expected(&[], 0, 0, 0);
    check_expected(&[(5, GOOD)], 4, 5, 5);
    check_expected(&[(5, GOOD)], 6, 6, 6);
    check_expected(&[(5, GOOD), (6, BAD)], 6, 6, 5);
    check_expected(&[(5, GOOD), (6, BAD)], 7, 7, 7);
}
