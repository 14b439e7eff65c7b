//! The version fence takes higher, whole and acceptable versions only.

use fleet::fence::{Fence, Verdict};
use model::document::{Delta, Document, Set};

/// A version to offer: revision and text of its only profile.
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

/// Offers versions in order and compares the verdicts, and the revision in force at the end.
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

/// Prices jump back to yesterday's routes: a lagging platform answers after a peer has already
/// handed over a newer version, and the old one is applied over it.
#[test]
fn never_moves_back() {
    cov_mark::check!(fence_not_newer);
    check(&[(5, GOOD), (4, GOOD)], &["in force", "not newer"], 5);
    check(&[(5, GOOD), (5, GOOD)], &["in force", "not newer"], 5);
    check(&[(5, GOOD), (9, GOOD), (7, OTHER)], &["in force", "in force", "not newer"], 9);
}

#[test]
fn a_bad_version_leaves_the_old_one_in_force() {
    cov_mark::check!(fence_rejects);
    check(&[(5, GOOD), (6, BAD)], &["in force", "rejected"], 5);
    check(&[(6, BAD)], &["rejected"], 0);
    check(&[(5, GOOD), (6, BAD), (7, OTHER)], &["in force", "rejected", "in force"], 7);
}

#[test]
fn a_bad_version_is_judged_once() {
    check(&[(6, BAD), (6, BAD)], &["rejected", "known bad"], 0);
}

/// Two data centres route by different rules under the same revision: the platform was restored
/// from a copy and gave out a number twice. A node must report it and not follow the later one.
#[test]
fn two_contents_of_one_revision_are_a_conflict() {
    cov_mark::check!(fence_conflict);
    check(&[(5, GOOD), (5, OTHER)], &["in force", "conflict"], 5);
    check(&[(5, GOOD), (5, OTHER), (6, OTHER)], &["in force", "conflict", "in force"], 6);
}

/// Compares what is known and what is expected after `offers`, where another node holds `heard`.
#[track_caller]
fn check_expected(offers: &[Offer], heard: u64, known: u64, expected: u64) {
    let mut fence = Fence::default();
    offers.iter().for_each(|&offer| drop(fence.offer(set(offer))));
    fence.observe(heard);
    assert_eq!((fence.known(), fence.expected()), (known, expected));
}

/// A node that refuses the newest version turns callers away as one that is behind, for ever: what it
/// has refused it is not going to hold.
#[test]
fn a_refused_version_is_not_expected() {
    check_expected(&[], 0, 0, 0);
    check_expected(&[(5, GOOD)], 4, 5, 5);
    check_expected(&[(5, GOOD)], 6, 6, 6);
    check_expected(&[(5, GOOD), (6, BAD)], 6, 6, 5);
    check_expected(&[(5, GOOD), (6, BAD)], 7, 7, 7);
}
