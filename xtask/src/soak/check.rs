//! The promises, as callers, upstreams and operators see them.

use rand::{RngExt, rngs::SmallRng};
use std::{
    collections::HashMap,
    io,
    time::{Duration, Instant},
};

use crate::soak::{
    book::{Book, End, Ended, Kind},
    cut, fatal,
    history::Trouble,
    leaving,
    site::Site,
};

/// Most nodes that are asked for their state in one look, so that a look at many takes no longer.
const LOOKS: usize = 20;

/// Time for a version to be in force at a node that nothing hinders.
const IN_FORCE: Duration = Duration::from_secs(4);

/// What may keep a version from a node. An upstream's trouble does not.
const HINDRANCES: [Trouble; 7] = [
    Trouble::Killed,
    Trouble::Paused,
    Trouble::Stopping,
    Trouble::Stopped,
    Trouble::Crashed,
    Trouble::Nodes,
    Trouble::Platform,
];

/// Looks at nodes that nothing hinders: in one life the version may only rise, and it is the newest.
pub(crate) fn nodes(site: &mut Site, book: &Book, random: &mut SmallRng) -> io::Result<()> {
    for spot in &mut site.spots {
        spot.look()?;
    }
    let count = site.spots.len();
    let first = random.random_range(0..count);
    for number in (first..first + count.min(LOOKS)).map(|number| number % count) {
        look(site, number, book);
    }
    Ok(())
}

fn look(site: &Site, number: usize, book: &Book) {
    let (spot, asked) = (&site.spots[number], Instant::now());
    if spot.history.had(&HINDRANCES, asked, asked) {
        // One that is paused would keep the question waiting.
        return;
    }
    let Some(status) = spot.status() else { return };
    let revision = status.version.revision;
    let former = book.see(number, status.incarnation, revision);
    if revision < former {
        book.find(format!("node {number} went back from {former} to {revision}"));
    }
    let Some(since) = asked.checked_sub(IN_FORCE) else { return };
    let hindered = spot.history.had(&HINDRANCES, since, asked)
        || site.history.had(&[Trouble::Outage], since, asked);
    let due = site.content.newest_at(since);
    if !hindered && revision < due {
        let ms = IN_FORCE.as_millis();
        book.find(format!("node {number} holds {revision}, not {due}, after {ms} ms of calm"));
    }
}

/// Returns every broken promise.
pub(crate) fn promises(site: &Site, book: &Book) -> Vec<String> {
    let begun: Vec<HashMap<String, u32>> = site.spots.iter().map(|spot| spot.begun()).collect();
    let mut findings = book.findings();
    for call in book.ends() {
        let places: Vec<usize> =
            (0..begun.len()).filter(|&number| begun[number].contains_key(&call.work)).collect();
        let ran = places.iter().map(|&number| begun[number][&call.work]).sum();
        let promise =
            broken(call.kind, call.end, ran).or_else(|| cut::broken(&call, &places, site));
        findings.extend(promise.map(|promise| report(&call, ran, &places, promise)));
    }
    findings.extend(cut::late_stops(site));
    findings.extend(leaving::findings(site));
    findings.extend(fatal::findings(site));
    findings
}

fn report(call: &Ended, ran: u32, places: &[usize], promise: &str) -> String {
    let Ended { node, work, kind, end, .. } = call;
    let ms = (call.ended - call.begun).as_millis();
    format!(
        "{work}: {promise}; {kind:?} at node {node} ended as {end:?} after {ms} ms and ran {ran} times, at {places:?}"
    )
}

fn broken(kind: Kind, end: End, ran: u32) -> Option<&'static str> {
    match (kind, end) {
        (Kind::Post, _) if ran > 1 => Some("a call that is not idempotent runs at most once"),
        (_, End::Quarantined) if ran == 0 => {
            Some("a call that ends no upstream is not taken for one that does")
        }
        (_, End::NotRun | End::Quarantined) if ran > 0 => {
            Some("a call that is said not to have run has not run")
        }
        (_, End::Answered) if ran == 0 => Some("an answer is an upstream's"),
        (_, End::Mixed) => Some("an answer is whole and belongs to its call"),
        _ => None,
    }
}
