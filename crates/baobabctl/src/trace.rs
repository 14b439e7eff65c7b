//! All that was decided about one request, over all nodes.

use fleet::timeline::{Event, Kind};
use trace::{Line, Step};

use crate::{
    End,
    logs::{self, Logs},
    output::say,
    show::{self, Form},
};

/// Prints the lines about `id` out of `files` in causal order, then what they were decided under,
/// then one sentence for the cause.
pub(crate) fn run(id: &str, files: &[String], form: Form) -> Result<End, String> {
    let logs = logs::read(files)?;
    let own = |line: &&Line| line.id == id;
    let lines = trace::sort_causally(logs.lines.iter().filter(own).cloned().collect());
    match form {
        Form::Json => lines.iter().for_each(print_json),
        Form::Text => {
            lines.iter().for_each(print_line);
            background(&lines, &logs).into_iter().for_each(|event| show::event(event, form));
            say!("{}", trace::explain(&lines));
        }
    }
    Ok(if lines.is_empty() { End::No } else { End::Done })
}

fn print_json(line: &Line) {
    if let Ok(text) = serde_json::to_string(line) {
        say!("{text}");
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
    say!("{time} {:<20} {event:<10} {}", line.node, details.join(" "));
}

/// Returns the events that explain the decisions: when the revision came into force at the entry
/// node, what it had last heard of each upstream that it chose, and since when it does not run the request.
fn background<'a>(lines: &[Line], logs: &'a Logs) -> Vec<&'a Event> {
    let mut events = Vec::new();
    for line in lines {
        let at_node = |event: &&Event| event.node == line.node;
        let fits: Box<dyn Fn(&&Event) -> bool> = match &line.step {
            Step::Routed { revision, .. } | Step::Unrouted { revision, .. } => {
                let revision = *revision;
                Box::new(move |event| match &event.kind {
                    Kind::InForce { version, .. } => version.revision == revision,
                    _ => false,
                })
            }
            Step::Quarantined { request } => {
                let held = request.clone();
                Box::new(move |event| match &event.kind {
                    Kind::Quarantined { request, .. } => *request == held,
                    _ => false,
                })
            }
            Step::Offered { upstream, .. } => {
                let (upstream, until) = (upstream.clone(), line.t);
                Box::new(move |event| match &event.kind {
                    Kind::Upstream { id, .. } => *id == upstream && event.stamp.wall_ms() <= until,
                    _ => false,
                })
            }
            _ => continue,
        };
        let found = logs.events.iter().filter(at_node).filter(fits).max_by_key(|e| e.stamp);
        events.extend(found.filter(|event| !events.contains(event)));
    }
    events
}
