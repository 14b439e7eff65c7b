//! Route lookup, compared with a linear scan over all prefixes.

use model::{
    config::build,
    document::{Delta, Document, Set},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;

/// Few hosts and segments, so that routes often share prefixes and calls often match one.
const HOSTS: [&str; 2] = ["shop.example", "h"];
const PREFIX_SEGMENTS: [&str; 5] = ["a", "ab", "b", "", "%C3%A9"];

/// Segments of called paths, including some that no prefix has.
const CALL_SEGMENTS: [&str; 7] = ["a", "ab", "b", "", "%C3%A9", "é", "abc"];

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Location {
    host: &'static str,
    prefix: String,
}

impl Arbitrary for Location {
    fn arbitrary(g: &mut Gen) -> Self {
        let prefix =
            segments(g, &PREFIX_SEGMENTS).map(|segment| format!("{segment}/")).collect::<String>();
        Location { host: pick(g, &HOSTS), prefix: format!("/{prefix}") }
    }
}

#[derive(Clone, Debug)]
struct Call {
    host: &'static str,
    path: String,
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let path: Vec<&str> = segments(g, &CALL_SEGMENTS).collect();
        let start = pick(g, &["/", "/", "/", ""]);
        Call {
            host: pick(g, &[HOSTS[0], HOSTS[1], "none"]),
            path: format!("{start}{}", path.join("/")),
        }
    }
}

fn pick(g: &mut Gen, from: &[&'static str]) -> &'static str {
    g.choose(from).expect("the slice is not empty")
}

fn segments(g: &mut Gen, from: &[&'static str]) -> impl Iterator<Item = &'static str> {
    let count = usize::arbitrary(g) % 5;
    let segments: Vec<&str> = (0..count).map(|_| pick(g, from)).collect();
    segments.into_iter()
}

fn set(locations: &[Location]) -> Set {
    let text = |location: &Location| {
        format!(
            r#"{{"host": "{}", "prefix": "{}", "kind": "once", "targets": [{{"service": "s"}}]}}"#,
            location.host, location.prefix
        )
    };
    let routes = locations
        .iter()
        .enumerate()
        .map(|(i, location)| (format!("routes/r-{i:03}"), text(location)));
    let others = [("profiles/p", "{}"), ("services/s", r#"{"profile": "p"}"#)];
    let others = others.map(|(key, text)| (key.to_owned(), text.to_owned()));
    let documents = others.into_iter().chain(routes);
    let documents =
        documents.map(|(key, text)| Document { key, modified: 1, text: text.into() }).collect();
    Set::default().with(Delta { revision: 1, full: true, documents, ..Delta::default() })
}

/// Prefixes match whole path segments only, also where several share their first segments.
#[test]
fn call_takes_route_with_longest_matching_prefix() {
    fn property(locations: Vec<Location>, calls: Vec<Call>) -> bool {
        let distinct: BTreeSet<Location> = locations.into_iter().collect();
        let locations: Vec<Location> = distinct.into_iter().collect();
        let snapshot = build(&set(&locations)).expect("the locations are distinct");
        calls.iter().all(|call| {
            let matches = |p: &&Location| p.host == call.host && call.path.starts_with(&p.prefix);
            let expect =
                locations.iter().filter(matches).max_by_key(|location| location.prefix.len());
            let found = snapshot.route(call.host, &call.path);
            found.map(|route| &route.spec.prefix) == expect.map(|location| &location.prefix)
                && found.is_none_or(|route| route.spec.host == call.host)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Location>, Vec<Call>) -> bool);
}

/// Of routes with equal host and prefix, all but the first by name are faults, in name order.
#[test]
fn duplicate_routes_are_rejected() {
    fn property(locations: Vec<Location>) -> bool {
        let duplicate = |&i: &usize| locations[..i].contains(&locations[i]);
        let expect: Vec<String> = (0..locations.len())
            .filter(duplicate)
            .map(|i| format!("routes/r-{i:03}"))
            .take(32)
            .collect();
        let faults = build(&set(&locations)).err().unwrap_or_default();
        let found: Vec<String> = faults.iter().map(|fault| fault.document.clone()).collect();
        found == expect && faults.iter().all(|fault| fault.pointer == "/prefix")
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 6))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Location>) -> bool);
}
