//! What documents are accepted, and how faults are told.

use model::{
    config::build,
    document::{Delta, Document, MAX_SET_BYTES, Set},
};
use quickcheck::{Gen, QuickCheck};

fn set(documents: &[(&str, &str)]) -> Set {
    let documents = documents
        .iter()
        .map(|(key, text)| Document { key: (*key).to_owned(), modified: 1, text: (*text).into() })
        .collect();
    Set::default().with(Delta { revision: 1, full: true, documents, ..Delta::default() })
}

/// Compares the faults, each as "document pointer", in order.
#[track_caller]
fn check(documents: &[(&str, &str)], expect: &[&str]) {
    let faults = build(&set(documents)).err().unwrap_or_default();
    let places: Vec<String> =
        faults.iter().map(|f| format!("{} {}", f.document, f.pointer)).collect();
    assert_eq!(places, expect, "{faults:?}");
}

#[test]
fn good_documents() {
    check(&[], &[]);
    check(&[("profiles/a", "{}"), ("services/s", r#"{"profile": "a"}"#)], &[]);
    check(
        &[(
            "profiles/a",
            r#"{"routes": [{"prefix": "/x", "methods": ["POST"], "idempotent": true}]}"#,
        )],
        &[],
    );
}

#[test]
fn every_fault_is_told_with_its_place() {
    check(
        &[("profiles/a", r#"{"deadline_ms": "soon", "attempts": 9, "spill": 1, "more": 1}"#)],
        &[
            "profiles/a /deadline_ms",
            "profiles/a /attempts",
            "profiles/a /spill",
            "profiles/a /more",
        ],
    );
    check(
        &[("profiles/a", r#"{"routes": [{"prefix": "x", "odd/name": 1}, 7]}"#)],
        &[
            "profiles/a /routes/0/prefix",
            "profiles/a /routes/0/odd~1name",
            "profiles/a /routes/1",
            "profiles/a /routes/1/prefix",
        ],
    );
}

/// A route that points at nothing answers each call with an error; none may come into force.
#[test]
fn references_must_lead_somewhere() {
    cov_mark::check!(dangling_profile);
    check(&[("services/s", r#"{"profile": "a"}"#)], &["services/s /profile"]);
    check(&[("services/s", "{}")], &["services/s /profile"]);
    check(&[("profiles/a", "{}"), ("services/s", r#"{"profile": "b"}"#)], &["services/s /profile"]);
}

#[test]
fn hostile_documents_are_faults() {
    let deep = format!("{}1{}", "[".repeat(50_000), "]".repeat(50_000));
    check(&[("profiles/a", &deep)], &["profiles/a "]);
    check(&[("profiles/a", r#"{"attempts": 1e999}"#)], &["profiles/a "]);
    check(&[("profiles/a", r#"{"attempts": 99999999999999999999}"#)], &["profiles/a /attempts"]);
    check(&[("profiles/a", r#"{"attempts": -1}"#)], &["profiles/a /attempts"]);
    check(&[("profiles/a", r#"{"attempts": 1, "attempts": 2}"#)], &["profiles/a /attempts"]);
    check(&[("profiles/a", "{} {}")], &["profiles/a "]);
    check(&[("profiles/a", "")], &["profiles/a "]);
    check(&[("profiles/../a", "{}")], &["profiles/../a "]);
    check(&[("secrets/a", "{}")], &["secrets/a "]);
    check(&[("profiles/a", "[]")], &["profiles/a "]);
}

#[test]
fn sizes_are_bounded() {
    let large = format!("{{}}{}", " ".repeat(1 << 20));
    check(&[("profiles/a", &large)], &["profiles/a "]);
    let half = format!("{{}}{}", " ".repeat(900_000));
    let many: Vec<(String, &str)> = (0..MAX_SET_BYTES / 900_000 + 1)
        .map(|i| (format!("profiles/p{i}"), half.as_str()))
        .collect();
    let many: Vec<(&str, &str)> = many.iter().map(|(key, text)| (key.as_str(), *text)).collect();
    check(&many, &[" "]);
}

/// Callers of new routes are told 404 on every node, and nothing published afterwards comes into
/// force. The platform had accepted a configuration of its largest size; each node refused it, since
/// it held more documents than a node takes, and kept the version of before. Seen as nodes that start
/// long after the change and still serve the version before it.
#[test]
fn a_configuration_of_the_largest_size_is_accepted() {
    // The platform's largest value, 1 MiB, holds about 12,000 routes if they name only what they must.
    let routes = (0..12_000).map(|i| {
        let text = format!(
            r#"{{"host": "shop.example", "prefix": "/p{i}/", "kind": "idempotent", "attempts": 2,
                "timeout_ms": 3000, "objective_ms": 1000, "priority": 2,
                "targets": [{{"service": "shelfview"}}]}}"#
        );
        (format!("routes/r-{i}"), text)
    });
    let mut documents = vec![
        ("profiles/p".to_owned(), "{}".to_owned()),
        ("services/shelfview".to_owned(), r#"{"profile": "p"}"#.to_owned()),
    ];
    documents.extend(routes);
    let documents: Vec<(&str, &str)> =
        documents.iter().map(|(key, text)| (key.as_str(), text.as_str())).collect();
    check(&documents, &[]);
}

/// Any bytes at all lead to a verdict and not to a panic.
#[test]
fn no_text_stops_the_process() {
    fn property(text: String, key: String) -> bool {
        let key = format!("profiles/{key}");
        let verdict = build(&set(&[(&key, &text)]));
        verdict.is_ok() || verdict.is_err_and(|faults| !faults.is_empty())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2_000)
        .quickcheck(property as fn(String, String) -> bool);
}

/// A delta from any older set leads to exactly the newer one, removals included.
#[test]
fn deltas_lead_to_the_whole() {
    fn property(first: Vec<u8>, second: Vec<u8>, third: Vec<u8>) -> bool {
        let step = |set: &Set, revision: u64, changes: &[u8]| {
            let mut delta = Delta { revision, ..Delta::default() };
            for &change in changes {
                let key = format!("profiles/p{}", change % 6);
                delta.documents.retain(|d| d.key != key);
                delta.removed.retain(|r| r.key != key);
                if change % 3 == 0 {
                    delta.removed.push(model::document::Removal { key, revision });
                } else {
                    let text = format!("{change}").into();
                    delta.documents.push(Document { key, modified: revision, text });
                }
            }
            set.with(delta)
        };
        let one = step(&Set::default(), 1, &first);
        let two = step(&one, 2, &second);
        let three = step(&two, 3, &third);
        let same = |set: Set| set.version() == three.version();
        same(one.with(three.since(Some(1))))
            && same(two.with(three.since(Some(2))))
            && same(one.with(three.since(None)))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 4))
        .tests(500)
        .quickcheck(property as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

/// Nodes on slow links stay eight seconds behind: the node that they ask has restarted and read
/// everything anew, so it takes every document for modified and answers with hundreds of kilobytes,
/// which do not arrive in time, again and again.
#[test]
fn what_differs_is_told_by_content_whoever_read_it_when() {
    let documents = |revision: u64, changed: usize| -> Vec<Document> {
        let text = |i: usize| format!("{{\"deadline_ms\": {}}}", if i == changed { 7 } else { 8 });
        (0..500)
            .map(|i| Document {
                key: format!("profiles/p{i}"),
                modified: revision,
                text: text(i).into(),
            })
            .collect()
    };
    let whole = |revision, changed| Delta {
        revision,
        full: true,
        documents: documents(revision, changed),
        ..Delta::default()
    };
    let old = Set::default().with(whole(5, 3));
    let fresh = Set::default().with(whole(9, 4));
    assert_eq!(fresh.since(Some(5)).documents.len(), 500);
    let delta = fresh.differing(old.buckets());
    assert!(delta.documents.len() < 40, "{}", delta.documents.len());
    assert_eq!(old.with(delta).version(), fresh.version());
    let mut shrunk = whole(11, 4);
    shrunk.documents.truncate(480);
    let shrunk = fresh.with(shrunk);
    let delta = shrunk.differing(fresh.buckets());
    assert_eq!(fresh.with(delta).version(), shrunk.version());
}

#[test]
fn routes_lead_to_services_that_exist_and_no_two_to_the_same_calls() {
    let services = [("profiles/a", "{}"), ("services/s", r#"{"profile": "a"}"#)];
    let route = |prefix: &str, more: &str| {
        format!(
            r#"{{"host": "h", "prefix": "{prefix}", "kind": "once",
                "targets": [{{"service": "s"}}{more}]}}"#
        )
    };
    let check_route = |text: &str, expect: &[&str]| {
        check(&[services[0], services[1], ("routes/r", text)], expect);
    };
    check_route(&route("/a/", ""), &[]);
    check_route(&route("/a", ""), &["routes/r /prefix"]);
    check_route(&route("/a/", r#", {"service": "none"}"#), &["routes/r /targets/1/service"]);
    check_route(
        &route("/a/", r#", {"service": "s", "weight": -1}"#),
        &["routes/r /targets/1/weight"],
    );
    check_route(&route("/a/", "").replace("once", "twice"), &["routes/r /kind"]);
    check_route(&route("/a/", "").replace("\"h\"", "\"H\""), &["routes/r /host"]);
    let same = route("/a/", "");
    check(
        &[services[0], services[1], ("routes/q", &same), ("routes/r", &same)],
        &["routes/r /prefix"],
    );
    check(
        &[("limits", r#"{"idle_ms": 1, "body_bytes": "much"}"#)],
        &["limits /body_bytes", "limits /idle_ms"],
    );
}
