//! Which documents are accepted, and which faults are reported.

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

/// Asserts that the faults, each as "document pointer", equal `expect` in order.
#[track_caller]
fn check(documents: &[(&str, &str)], expect: &[&str]) {
    let faults = build(&set(documents)).err().unwrap_or_default();
    let locations: Vec<String> =
        faults.iter().map(|f| format!("{} {}", f.document, f.pointer)).collect();
    assert_eq!(locations, expect, "{faults:?}");
}

#[test]
fn valid_documents_are_accepted() {
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
fn every_fault_is_reported_with_its_location() {
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

/// Guards against a service without a profile, whose calls would all fail.
#[test]
fn service_with_missing_profile_is_rejected() {
    cov_mark::check!(dangling_profile);
    check(&[("services/s", r#"{"profile": "a"}"#)], &["services/s /profile"]);
    check(&[("services/s", "{}")], &["services/s /profile"]);
    check(&[("profiles/a", "{}"), ("services/s", r#"{"profile": "b"}"#)], &["services/s /profile"]);
}

#[test]
fn malformed_documents_are_rejected() {
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
fn oversized_documents_and_sets_are_rejected() {
    let large = format!("{{}}{}", " ".repeat(1 << 20));
    check(&[("profiles/a", &large)], &["profiles/a "]);
    let half = format!("{{}}{}", " ".repeat(900_000));
    let many: Vec<(String, &str)> = (0..MAX_SET_BYTES / 900_000 + 1)
        .map(|i| (format!("profiles/p{i}"), half.as_str()))
        .collect();
    let many: Vec<(&str, &str)> = many.iter().map(|(key, text)| (key.as_str(), *text)).collect();
    check(&many, &[" "]);
}

/// Guards against a limit on documents below the platform's: nodes would reject a configuration
/// that the platform accepted, and keep serving the previous version.
#[test]
fn configuration_of_maximum_size_is_accepted() {
    // About as many minimal routes as fit into the platform's maximum value size of 1 MiB.
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

/// Arbitrary text is accepted or rejected with faults, without a panic.
#[test]
fn arbitrary_text_does_not_panic() {
    fn property(text: String, key: String) -> bool {
        let key = format!("profiles/{key}");
        let result = build(&set(&[(&key, &text)]));
        result.is_ok() || result.is_err_and(|faults| !faults.is_empty())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2_000)
        .quickcheck(property as fn(String, String) -> bool);
}

/// Applying a delta to any older set gives exactly the newer set, including removals.
#[test]
fn deltas_from_any_revision_give_the_newest_set() {
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

/// Guards against sending all documents after a restart: the restarted node has read every document
/// again, so by revision all look modified.
#[test]
fn bucket_delta_holds_only_changed_content_after_a_restart() {
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
fn invalid_routes_and_limits_are_rejected() {
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
    check_route(&route("/a/", "").replace("\"h\"", "\"\""), &["routes/r /host"]);
    check_route(&route("/a/", "").replace("\"h\"", "\"ä_h:80\""), &[]);
    let refusing = route("/a/", "").replace("\"kind\"", "\"refuse\": \"no\", \"kind\"");
    check_route(&refusing, &["routes/r /refuse"]);
    let refusing = refusing.replace("{\"service\": \"s\"}", "");
    check_route(&refusing, &[]);
    check_route(&refusing.replace("\"no\"", "\"\""), &["routes/r /refuse"]);
    check_route(&route("/a/", "").replace("{\"service\": \"s\"}", ""), &["routes/r /targets"]);
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
