//! Which route a call takes, compared with looking at every prefix in turn.

use model::{
    config::build,
    document::{Delta, Document, Set},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;

/// Few hosts and segments, so that routes often share a beginning and calls often meet one.
const HOSTS: [&str; 2] = ["shop.example", "h"];
const SEGMENTS: [&str; 5] = ["a", "ab", "b", "", "%C3%A9"];

/// Segments of paths, besides those of prefixes: a caller may send any bytes.
const CALLED: [&str; 7] = ["a", "ab", "b", "", "%C3%A9", "é", "abc"];

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    host: &'static str,
    prefix: String,
}

impl Arbitrary for Place {
    fn arbitrary(g: &mut Gen) -> Self {
        let prefix =
            segments(g, &SEGMENTS).map(|segment| format!("{segment}/")).collect::<String>();
        Place { host: pick(g, &HOSTS), prefix: format!("/{prefix}") }
    }
}

#[derive(Clone, Debug)]
struct Call {
    host: &'static str,
    path: String,
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let path: Vec<&str> = segments(g, &CALLED).collect();
        let start = pick(g, &["/", "/", "/", ""]);
        Call {
            host: pick(g, &[HOSTS[0], HOSTS[1], "none"]),
            path: format!("{start}{}", path.join("/")),
        }
    }
}

fn pick(g: &mut Gen, from: &[&'static str]) -> &'static str {
    g.choose(from).expect("there is something to choose from")
}

fn segments(g: &mut Gen, from: &[&'static str]) -> impl Iterator<Item = &'static str> {
    let count = usize::arbitrary(g) % 5;
    let segments: Vec<&str> = (0..count).map(|_| pick(g, from)).collect();
    segments.into_iter()
}

fn set(places: &[Place]) -> Set {
    let text = |place: &Place| {
        format!(
            r#"{{"host": "{}", "prefix": "{}", "kind": "once", "targets": [{{"service": "s"}}]}}"#,
            place.host, place.prefix
        )
    };
    let routes =
        places.iter().enumerate().map(|(i, place)| (format!("routes/r-{i:03}"), text(place)));
    let others = [("profiles/p", "{}"), ("services/s", r#"{"profile": "p"}"#)];
    let others = others.map(|(key, text)| (key.to_owned(), text.to_owned()));
    let documents = others.into_iter().chain(routes);
    let documents =
        documents.map(|(key, text)| Document { key, modified: 1, text: text.into() }).collect();
    Set::default().with(Delta { revision: 1, full: true, documents, ..Delta::default() })
}

/// The longest prefix holds, whichever other prefixes share its beginning, and a part of a segment
/// is no beginning.
#[test]
fn a_call_takes_the_route_with_the_longest_prefix_of_its_path() {
    fn property(places: Vec<Place>, calls: Vec<Call>) -> bool {
        let distinct: BTreeSet<Place> = places.into_iter().collect();
        let places: Vec<Place> = distinct.into_iter().collect();
        let snapshot = build(&set(&places)).expect("no two routes are for the same calls");
        calls.iter().all(|call| {
            let begins = |p: &&Place| p.host == call.host && call.path.starts_with(&p.prefix);
            let expect = places.iter().filter(begins).max_by_key(|place| place.prefix.len());
            let found = snapshot.route(call.host, &call.path);
            found.map(|route| &route.spec.prefix) == expect.map(|place| &place.prefix)
                && found.is_none_or(|route| route.spec.host == call.host)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Place>, Vec<Call>) -> bool);
}

/// Each route but the first for the same calls is a fault, in the order of their names.
#[test]
fn every_second_route_for_the_same_calls_is_a_fault() {
    fn property(places: Vec<Place>) -> bool {
        let second = |&i: &usize| places[..i].contains(&places[i]);
        let expect: Vec<String> =
            (0..places.len()).filter(second).map(|i| format!("routes/r-{i:03}")).take(32).collect();
        let faults = build(&set(&places)).err().unwrap_or_default();
        let found: Vec<String> = faults.iter().map(|fault| fault.document.clone()).collect();
        found == expect && faults.iter().all(|fault| fault.pointer == "/prefix")
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 6))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Place>) -> bool);
}
