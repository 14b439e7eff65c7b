//! The state of a fleet as lines for people: by data centre, with the nodes that need attention.

use fleet::{
    member::State,
    source::READERS,
    status::{Fleet, Member, Node},
};
use std::collections::BTreeMap;

/// Most nodes, or requests, that are named one by one unless all are asked for; more would push the table of
/// the data centres off a screen of 50 lines.
const NAMED_MOST: usize = 30;

/// How much is printed of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Extent {
    /// Data centres, and the nodes that need attention.
    Attention,
    /// Every node as well.
    All,
}

/// What a data centre's nodes say.
#[derive(Debug, Default)]
struct Place<'a> {
    nodes: usize,
    in_force: usize,
    silent: usize,
    leaving: usize,
    readers: Vec<&'a str>,
}

/// Returns the highest revision in force at any node that answered.
pub(crate) fn newest_revision(fleet: &Fleet) -> u64 {
    fleet.answered.iter().map(|n| n.version.revision).max().unwrap_or(0)
}

/// Returns the lines that show `fleet`.
pub(crate) fn lines(fleet: &Fleet, extent: Extent) -> Vec<String> {
    let newest = newest_revision(fleet);
    let mut lines = vec![progress(fleet, newest)];
    lines.extend(table(&places(fleet, newest)));
    let attention = attention(fleet, newest);
    let most = if extent == Extent::All { usize::MAX } else { NAMED_MOST };
    if !attention.is_empty() {
        lines.push("need attention:".to_owned());
        lines.extend(shortened(attention, most));
    }
    if extent == Extent::All {
        lines.push("all nodes:".to_owned());
        lines.extend(fleet.answered.iter().map(|node| row(node, &notes(node, newest).join(", "))));
    }
    lines.extend(rejections(fleet));
    lines.extend(shortened(evacuated(fleet), most));
    lines.extend(shortened(quarantined(fleet), most));
    lines
}

/// Returns the first `most` lines, and how many were left out.
fn shortened(mut lines: Vec<String>, most: usize) -> Vec<String> {
    let left_out = lines.len().saturating_sub(most);
    lines.truncate(most);
    if left_out > 0 {
        lines.push(format!("and {left_out} more; --all names them"));
    }
    lines
}

fn progress(fleet: &Fleet, newest: u64) -> String {
    let in_force = fleet.answered.iter().filter(|n| n.version.revision == newest).count();
    let all = fleet.answered.len() + fleet.silent.len();
    format!("newest version in force: revision {newest}, at {in_force} of {all} nodes")
}

fn places(fleet: &Fleet, newest: u64) -> BTreeMap<&str, Place<'_>> {
    let mut places: BTreeMap<&str, Place<'_>> = BTreeMap::new();
    for node in &fleet.answered {
        let place = places.entry(&node.data_centre).or_default();
        place.nodes += 1;
        place.in_force += usize::from(node.version.revision == newest);
        place.leaving += usize::from(node.state == State::Leaving);
        if node.reader_rank < READERS {
            place.readers.push(&node.instance);
        }
    }
    for member in &fleet.silent {
        let place = places.entry(&member.data_centre).or_default();
        place.nodes += 1;
        place.silent += 1;
    }
    places
}

fn table(places: &BTreeMap<&str, Place<'_>>) -> Vec<String> {
    let head = format!(
        "{:<16} {:>6} {:>9} {:>7} {:>7} {:>8}  read the platform",
        "data centre", "nodes", "in force", "behind", "silent", "leaving"
    );
    let line = |(name, place): (&&str, &Place<'_>)| {
        let Place { nodes, in_force, silent, leaving, readers } = place;
        let behind = nodes - in_force - silent;
        let readers = readers.join(", ");
        format!(
            "{name:<16} {nodes:>6} {in_force:>9} {behind:>7} {silent:>7} {leaving:>8}  {readers}"
        )
    };
    std::iter::once(head).chain(places.iter().map(line)).collect()
}

/// Returns a line for each node that is behind, leaves, does not answer or sees an old platform.
fn attention(fleet: &Fleet, newest: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for node in &fleet.answered {
        let notes = notes(node, newest);
        if !notes.is_empty() {
            lines.push(row(node, &notes.join(", ")));
        }
    }
    lines.extend(fleet.silent.iter().map(silent_row));
    lines
}

fn notes(node: &Node, newest: u64) -> Vec<String> {
    let mut notes = Vec::new();
    let behind = newest - node.version.revision;
    if behind > 0 {
        notes.push(format!("behind by {behind} revisions"));
    }
    if node.state != State::Live {
        notes.push(state_name(node.state).to_owned());
    }
    if let Some(revision) = node.stale_source {
        notes.push(format!("the platform serves only revision {revision}"));
    }
    notes
}

fn row(node: &Node, note: &str) -> String {
    let Node { instance, data_centre, service, version, .. } = node;
    format!("{instance:<22} {data_centre:<14} {service:<14} {:<18} {note}", version.to_string())
}

fn silent_row(member: &Member) -> String {
    let Member { instance, data_centre, service, state, .. } = member;
    let state = state_name(*state);
    format!("{instance:<22} {data_centre:<14} {service:<14} {:<18} does not answer, {state}", "-")
}

fn rejections(fleet: &Fleet) -> Vec<String> {
    let mut lines = Vec::new();
    let mut seen = Vec::new();
    for node in &fleet.answered {
        for rejected in node.rejected.iter().filter(|r| !seen.contains(&r.version)) {
            lines.push(format!("rejected by {}: version {}", node.instance, rejected.version));
            lines.extend(rejected.faults.iter().map(|fault| format!("  {fault}")));
        }
        seen.extend(node.rejected.iter().map(|r| r.version));
    }
    lines
}

/// Returns a line for each request that any node does not run.
fn quarantined(fleet: &Fleet) -> Vec<String> {
    let mut held: BTreeMap<&str, (usize, u64, usize)> = BTreeMap::new();
    for request in fleet.answered.iter().flat_map(|node| &node.quarantined) {
        let (nodes, seconds, ends) = held.entry(&request.request).or_default();
        *nodes += 1;
        *seconds = request.seconds.max(*seconds);
        *ends = request.ends.max(*ends);
    }
    let all = fleet.answered.len();
    let line = |(request, (nodes, seconds, ends)): (&str, (usize, u64, usize))| {
        format!(
            "quarantined at {nodes} of {all} nodes: request {request}, for {seconds} s; {ends} upstreams ended \
             under it"
        )
    };
    held.into_iter().map(line).collect()
}

/// Returns a line for each data centre to which any node sends no work, and names the nodes that still send it.
fn evacuated(fleet: &Fleet) -> Vec<String> {
    let mut orders: BTreeMap<&str, u64> = BTreeMap::new();
    for order in fleet.answered.iter().flat_map(|node| &node.evacuated) {
        let revision = orders.entry(&order.data_centre).or_default();
        *revision = order.revision.max(*revision);
    }
    let line = |(data_centre, revision): (&str, u64)| {
        let has_heard = |node: &Node| node.evacuated.iter().any(|o| o.data_centre == data_centre);
        let unaware: Vec<&str> = fleet
            .answered
            .iter()
            .filter(|node| !has_heard(node))
            .map(|node| node.instance.as_str())
            .collect();
        let heard = fleet.answered.len() - unaware.len();
        let all = fleet.answered.len();
        let mut line =
            format!("evacuated at {heard} of {all} nodes: {data_centre}, by revision {revision}");
        if !unaware.is_empty() {
            line.push_str("; not yet at ");
            line.push_str(&unaware[..unaware.len().min(NAMED_MOST)].join(", "));
        }
        line
    };
    orders.into_iter().map(line).collect()
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Suspect => "suspect",
        State::Unreachable => "unreachable",
        State::Leaving => "leaving",
        State::Gone => "gone",
        State::Evacuated => "evacuated",
    }
}
