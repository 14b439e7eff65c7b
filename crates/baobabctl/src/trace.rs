//! `baobabctl trace`: decisions of all nodes about one request.

use fleet::timeline::{Event, Kind};
use trace::{Line, Step};

use crate::{
    Exit,
    logs::{self, Logs},
    output::print_line,
    show::{self, Format},
};

/// Prints the lines about `id` in the logs `files`, in causal order, then the events that they depend
/// on, then one sentence for the cause. Fails if there are no lines.
pub(crate) fn run(id: &str, files: &[String], format: Format) -> Result<Exit, String> {
    let logs = logs::read(files)?;
    let has_id = |line: &&Line| line.id == id;
    let lines = trace::sort_causally(logs.lines.iter().filter(has_id).cloned().collect());
    match format {
        Format::Json => lines.iter().for_each(print_json),
        Format::Text => {
            lines.iter().for_each(print_line);
            context(&lines, &logs).into_iter().for_each(|event| show::print_event(event, format));
            print_line!("{}", trace::explain(&lines));
        }
    }
    Ok(if lines.is_empty() { Exit::Failure } else { Exit::Success })
}

fn print_json(line: &Line) {
    if let Ok(text) = serde_json::to_string(line) {
        print_line!("{text}");
    }
}

fn print_line(line: &Line) {
    let value = serde_json::to_value(&line.step).unwrap_or_default();
    let fields = value.as_object().into_iter().flatten();
    let details: Vec<String> = fields
        .filter(|(name, _)| *name != "event")
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let event = value.get("event").and_then(|v| v.as_str()).unwrap_or("");
    let time = show::clock_text(line.t);
    print_line!("{time} {:<20} {event:<10} {}", line.node, details.join(" "));
}

/// Returns the events that explain the decisions: when the entry node put the revision in force, the
/// last change of each chosen upstream that it knew, and when it quarantined the request.
fn context<'a>(lines: &[Line], logs: &'a Logs) -> Vec<&'a Event> {
    let mut events = Vec::new();
    for line in lines {
        let at_node = |event: &&Event| event.node == line.node;
        let matches: Box<dyn Fn(&&Event) -> bool> = match &line.step {
            Step::Routed { revision, .. } | Step::Unrouted { revision, .. } => {
                let revision = *revision;
                Box::new(move |event| match &event.kind {
                    Kind::InForce { version, .. } => version.revision == revision,
                    _ => false,
                })
            }
            Step::Quarantined { request } => {
                let fingerprint = request.clone();
                Box::new(move |event| match &event.kind {
                    Kind::Quarantined { request, .. } => *request == fingerprint,
                    _ => false,
                })
            }
            Step::Offered { upstream, .. } => {
                let (upstream, at) = (upstream.clone(), line.t);
                Box::new(move |event| match &event.kind {
                    Kind::Upstream { id, .. } => *id == upstream && event.stamp.wall_ms() <= at,
                    _ => false,
                })
            }
            _ => continue,
        };
        let found = logs.events.iter().filter(at_node).filter(matches).max_by_key(|e| e.stamp);
        events.extend(found.filter(|event| !events.contains(event)));
    }
    events
}
