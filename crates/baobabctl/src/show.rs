//! Asks a node and prints what it says.

use ::fleet::{
    clock::Stamp,
    status::{Explanation, Fleet},
    timeline::Event,
};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    End,
    fleet::{self, Extent},
    logs,
    output::say,
};

/// Time for an answer; the node itself waits up to 2 s for each group of other nodes.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two looks when following.
const FOLLOW: Duration = Duration::from_secs(1);

/// How answers are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Form {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Prints the fleet; the answer is no while a node is behind, silent or holds a refused version.
pub(crate) fn status(node: SocketAddr, form: Form, extent: Extent) -> End {
    let Some(text) = fetch(node, "/fleet") else { return End::No };
    let Some(fleet) = parse::<Fleet>(&text) else { return End::No };
    if form == Form::Json {
        say!("{text}");
    } else {
        fleet::lines(&fleet, extent).iter().for_each(|line| say!("{line}"));
    }
    let newest = fleet::newest_revision(&fleet);
    let settled = fleet.silent.is_empty()
        && fleet.answered.iter().all(|n| n.version.revision == newest)
        && fleet.answered.iter().all(|n| n.rejected.iter().all(|r| r.version.revision < newest));
    if settled { End::Done } else { End::No }
}

/// Prints how a node would route calls to a service; the answer is no if it would refuse them.
pub(crate) fn explain(node: SocketAddr, service: &str, form: Form) -> End {
    let Some(text) = fetch(node, &format!("/explain?service={service}")) else { return End::No };
    let Some(explanation) = parse::<Explanation>(&text) else { return End::No };
    if form == Form::Json {
        say!("{text}");
    } else {
        print_explanation(&explanation);
    }
    let routable = explanation.known && explanation.upstreams.iter().any(|u| u.eligible);
    if routable { End::Done } else { End::No }
}

/// Prints the events of all reachable nodes.
pub(crate) fn timeline(node: SocketAddr, form: Form) -> End {
    let Some(events) = events_after(node, Stamp::default()) else { return End::No };
    events.iter().for_each(|e| event(e, form));
    End::Done
}

/// Prints events as they happen, until interrupted.
pub(crate) fn follow(node: SocketAddr, form: Form) -> End {
    let mut last = Stamp::default();
    loop {
        let Some(events) = events_after(node, last) else { return End::No };
        for e in &events {
            event(e, form);
            last = last.max(e.stamp);
        }
        thread::sleep(FOLLOW);
    }
}

fn events_after(node: SocketAddr, stamp: Stamp) -> Option<Vec<Event>> {
    let after = serde_json::to_string(&stamp).ok()?;
    parse(&fetch(node, &format!("/timeline?after={after}"))?)
}

fn fetch(node: SocketAddr, path: &str) -> Option<String> {
    let answer = attohttpc::get(format!("http://{node}{path}")).timeout(PATIENCE).send();
    let text = answer.and_then(attohttpc::Response::error_for_status).and_then(|a| a.text());
    text.map_err(|e| eprintln!("baobabctl: {node}: {e}")).ok()
}

fn parse<T: DeserializeOwned>(text: &str) -> Option<T> {
    let parsed = serde_json::from_str(text);
    parsed.map_err(|e| eprintln!("baobabctl: the node's answer is not understood: {e}")).ok()
}

fn print_explanation(explanation: &Explanation) {
    let Explanation { service, known, revision, profile, upstreams } = explanation;
    if !known {
        say!("{service}: not in revision {revision}; calls are answered not-run");
        return;
    }
    say!("{service}: revision {revision}");
    let fields = serde_json::to_value(profile).unwrap_or_default();
    for (name, value) in fields.as_object().into_iter().flatten() {
        say!("  {name}: {value}");
    }
    if upstreams.is_empty() {
        say!("no upstream is known; calls are answered not-run");
    }
    for upstream in upstreams {
        let mark = if upstream.eligible { "eligible" } else { "not eligible" };
        let latency = upstream.latency_ms.map_or("-".to_owned(), |ms| format!("{ms:.2} ms"));
        say!(
            "{:<20} {:<14} {:<12} in flight {:<4} latency {:<10} {}",
            upstream.instance,
            upstream.data_centre,
            mark,
            upstream.in_flight,
            latency,
            upstream.reason
        );
    }
}

/// Prints the events that nodes logged into `files`, in causal order.
pub(crate) fn files(files: &[String], form: Form) -> Result<End, String> {
    let mut events = logs::read(files)?.events;
    events.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
    events.iter().for_each(|e| event(e, form));
    Ok(if events.is_empty() { End::No } else { End::Done })
}

/// Prints one event.
pub(crate) fn event(event: &Event, form: Form) {
    let Ok(mut value) = serde_json::to_value(event) else { return };
    if form == Form::Json {
        say!("{value}");
        return;
    }
    let mut details = Vec::new();
    if let Some(fields) = value.as_object_mut() {
        for name in ["stamp", "node", "event"] {
            fields.remove(name);
        }
        details.extend(fields.iter().map(|(name, value)| format!("{name}={value}")));
    }
    say!(
        "{} {:<20} {:<14} {}",
        clock_text(event.stamp.wall_ms()),
        event.node,
        event_name(event),
        details.join(" ")
    );
}

fn event_name(event: &Event) -> String {
    let value = serde_json::to_value(event).ok();
    let name = value.as_ref().and_then(|v| v.get("event")).and_then(|v| v.as_str());
    name.unwrap_or("").to_owned()
}

/// Returns the time of day in UTC.
pub(crate) fn clock_text(ms: u64) -> String {
    let seconds = ms / 1_000;
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{:03}Z", ms % 1_000)
}
