//! Commands that query a node, or read the logs of nodes, and print the result.

use ::fleet::{
    clock::Stamp,
    status::{Explanation, Fleet, Load},
    timeline::Event,
};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    Exit,
    fleet::{self, Detail},
    load, logs,
    output::print_line,
};

/// Timeout of a request; the node itself waits up to 2 s for each group of other nodes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two requests of `timeline --follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

/// Prints the state of the fleet; fails while a node is behind, does not answer or has rejected a
/// version that is not older than the newest one in force.
pub(crate) fn status(node: SocketAddr, format: Format, detail: Detail) -> Exit {
    let Some(text) = fetch(node, "/fleet") else { return Exit::Failure };
    let Some(fleet) = parse::<Fleet>(&text) else { return Exit::Failure };
    if format == Format::Json {
        print_line!("{text}");
    } else {
        fleet::lines(&fleet, detail).iter().for_each(|line| print_line!("{line}"));
    }
    let newest = fleet::newest_revision(&fleet);
    let is_converged = fleet.silent.is_empty()
        && fleet.answered.iter().all(|n| n.version.revision == newest)
        && fleet.answered.iter().all(|n| n.rejected.iter().all(|r| r.version.revision < newest));
    if is_converged { Exit::Success } else { Exit::Failure }
}

/// Prints how a node would route calls to a service; fails if it would refuse them.
pub(crate) fn explain(node: SocketAddr, service: &str, format: Format) -> Exit {
    let Some(text) = fetch(node, &format!("/explain?service={service}")) else {
        return Exit::Failure;
    };
    let Some(explanation) = parse::<Explanation>(&text) else { return Exit::Failure };
    if format == Format::Json {
        print_line!("{text}");
    } else {
        print_explanation(&explanation);
    }
    let is_routable = explanation.known && explanation.upstreams.iter().any(|u| u.eligible);
    if is_routable { Exit::Success } else { Exit::Failure }
}

/// Prints the calls and the load of a node; fails if it does not answer.
pub(crate) fn load(node: SocketAddr, format: Format) -> Exit {
    let Some(text) = fetch(node, "/load") else { return Exit::Failure };
    let Some(load) = parse::<Load>(&text) else { return Exit::Failure };
    if format == Format::Json {
        print_line!("{text}");
    } else {
        load::lines(&load).iter().for_each(|line| print_line!("{line}"));
    }
    Exit::Success
}

/// Prints the events of all reachable nodes, in causal order.
pub(crate) fn timeline(node: SocketAddr, format: Format) -> Exit {
    let Some(events) = events_after(node, Stamp::default()) else { return Exit::Failure };
    events.iter().for_each(|e| print_event(e, format));
    Exit::Success
}

/// Prints events as they happen, until the process is interrupted.
pub(crate) fn follow(node: SocketAddr, format: Format) -> Exit {
    let mut last = Stamp::default();
    loop {
        let Some(events) = events_after(node, last) else { return Exit::Failure };
        for e in &events {
            print_event(e, format);
            last = last.max(e.stamp);
        }
        thread::sleep(FOLLOW_INTERVAL);
    }
}

fn events_after(node: SocketAddr, stamp: Stamp) -> Option<Vec<Event>> {
    let after = serde_json::to_string(&stamp).ok()?;
    parse(&fetch(node, &format!("/timeline?after={after}"))?)
}

fn fetch(node: SocketAddr, path: &str) -> Option<String> {
    let answer = attohttpc::get(format!("http://{node}{path}")).timeout(REQUEST_TIMEOUT).send();
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
        print_line!("{service}: not in revision {revision}; calls are answered not-run");
        return;
    }
    print_line!("{service}: revision {revision}");
    let fields = serde_json::to_value(profile).unwrap_or_default();
    for (name, value) in fields.as_object().into_iter().flatten() {
        print_line!("  {name}: {value}");
    }
    if upstreams.is_empty() {
        print_line!("no upstream is known; calls are answered not-run");
    }
    for upstream in upstreams {
        let mark = if upstream.eligible { "eligible" } else { "not eligible" };
        let latency = upstream.latency_ms.map_or("-".to_owned(), |ms| format!("{ms:.2} ms"));
        print_line!(
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

/// Prints the events in the logs `files`, in causal order; fails if there are none.
pub(crate) fn logged_timeline(files: &[String], format: Format) -> Result<Exit, String> {
    let mut events = logs::read(files)?.events;
    events.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
    events.iter().for_each(|e| print_event(e, format));
    Ok(if events.is_empty() { Exit::Failure } else { Exit::Success })
}

/// Prints one event as one line.
pub(crate) fn print_event(event: &Event, format: Format) {
    let Ok(mut value) = serde_json::to_value(event) else { return };
    if format == Format::Json {
        print_line!("{value}");
        return;
    }
    let mut details = Vec::new();
    if let Some(fields) = value.as_object_mut() {
        for name in ["stamp", "node", "event"] {
            fields.remove(name);
        }
        details.extend(fields.iter().map(|(name, value)| format!("{name}={value}")));
    }
    print_line!(
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

/// Formats the UTC time of day of `ms` since the Unix epoch.
pub(crate) fn clock_text(ms: u64) -> String {
    let seconds = ms / 1_000;
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{:03}Z", ms % 1_000)
}
