//! Text output of `baobabctl status`: a summary by data centre, and the nodes that need attention.

use fleet::{
    member::State,
    source::READERS,
    status::{Fleet, Member, Node},
};
use model::{fault::Fault, revision};
use std::collections::{BTreeMap, BTreeSet};

/// Nodes or requests listed one by one without `--all`; with the table of data centres they fit on a
/// screen of 50 lines.
const MAX_LISTED: usize = 30;

/// Level of detail of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Detail {
    /// Data centres and the nodes that need attention.
    Problems,
    /// In addition, every node.
    All,
}

/// Node counts of a data centre, and its readers of the platform.
#[derive(Debug, Default)]
struct DataCentre<'a> {
    nodes: usize,
    in_force: usize,
    silent: usize,
    leaving: usize,
    readers: Vec<&'a str>,
}

/// Returns the highest revision in force at a node that answered.
pub(crate) fn newest_revision(fleet: &Fleet) -> u64 {
    fleet.answered.iter().map(|n| n.version.revision).max().unwrap_or(0)
}

/// Returns the lines that `baobabctl status` prints.
pub(crate) fn lines(fleet: &Fleet, detail: Detail) -> Vec<String> {
    let newest = newest_revision(fleet);
    let mut lines = vec![progress(fleet, newest)];
    lines.extend(table(&data_centres(fleet, newest)));
    let attention = attention(fleet, newest);
    let limit = if detail == Detail::All { usize::MAX } else { MAX_LISTED };
    if !attention.is_empty() {
        lines.push("need attention:".to_owned());
        lines.extend(truncated(attention, limit));
    }
    if detail == Detail::All {
        lines.push("all nodes:".to_owned());
        lines.extend(fleet.answered.iter().map(|node| row(node, &notes(node, newest).join(", "))));
    }
    lines.extend(rejections(fleet));
    lines.extend(truncated(refusing(fleet), limit));
    lines.extend(truncated(evacuated(fleet), limit));
    lines.extend(truncated(quarantined(fleet), limit));
    lines
}

/// Returns the first `limit` lines, and a line with the number of those left out.
fn truncated(mut lines: Vec<String>, limit: usize) -> Vec<String> {
    let left_out = lines.len().saturating_sub(limit);
    lines.truncate(limit);
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

fn data_centres(fleet: &Fleet, newest: u64) -> BTreeMap<&str, DataCentre<'_>> {
    let mut data_centres: BTreeMap<&str, DataCentre<'_>> = BTreeMap::new();
    for node in &fleet.answered {
        let counts = data_centres.entry(&node.data_centre).or_default();
        counts.nodes += 1;
        counts.in_force += usize::from(node.version.revision == newest);
        counts.leaving += usize::from(node.state == State::Leaving);
        if node.reader_rank < READERS {
            counts.readers.push(&node.instance);
        }
    }
    for member in &fleet.silent {
        let counts = data_centres.entry(&member.data_centre).or_default();
        counts.nodes += 1;
        counts.silent += 1;
    }
    data_centres
}

fn table(data_centres: &BTreeMap<&str, DataCentre<'_>>) -> Vec<String> {
    let header = format!(
        "{:<16} {:>6} {:>9} {:>7} {:>7} {:>8}  read the platform",
        "data centre", "nodes", "in force", "behind", "silent", "leaving"
    );
    let line = |(name, counts): (&&str, &DataCentre<'_>)| {
        let DataCentre { nodes, in_force, silent, leaving, readers } = counts;
        let behind = nodes - in_force - silent;
        let readers = readers.join(", ");
        format!(
            "{name:<16} {nodes:>6} {in_force:>9} {behind:>7} {silent:>7} {leaving:>8}  {readers}"
        )
    };
    std::iter::once(header).chain(data_centres.iter().map(line)).collect()
}

/// Returns a line for each node that is behind, is not live, does not answer or reads from a platform
/// that serves an outdated revision.
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
    let mut listed = Vec::new();
    for node in &fleet.answered {
        for rejected in node.rejected.iter().filter(|r| !listed.contains(&r.version)) {
            lines.push(format!("rejected by {}: version {}", node.instance, rejected.version));
            lines.extend(rejected.faults.iter().map(|fault| format!("  {fault}")));
        }
        listed.extend(node.rejected.iter().map(|r| r.version));
    }
    lines
}

/// Returns a line for each route that refuses its calls at any node.
fn refusing(fleet: &Fleet) -> Vec<String> {
    let faults: BTreeSet<&Fault> = fleet.answered.iter().flat_map(|node| &node.refusing).collect();
    faults.into_iter().map(|fault| format!("calls are refused: {fault}")).collect()
}

/// Returns a line for each request that is quarantined at any node.
fn quarantined(fleet: &Fleet) -> Vec<String> {
    let mut requests: BTreeMap<&str, (usize, u64, usize)> = BTreeMap::new();
    for request in fleet.answered.iter().flat_map(|node| &node.quarantined) {
        let (nodes, seconds, crashes) = requests.entry(&request.request).or_default();
        *nodes += 1;
        *seconds = request.seconds.max(*seconds);
        *crashes = request.ends.max(*crashes);
    }
    let all = fleet.answered.len();
    let line = |(request, (nodes, seconds, crashes)): (&str, (usize, u64, usize))| {
        format!(
            "quarantined at {nodes} of {all} nodes: request {request}, for {seconds} s; {crashes} upstreams ended \
             under it"
        )
    };
    requests.into_iter().map(line).collect()
}

/// Returns a line for each evacuated data centre, with the nodes that do not know of the order yet.
fn evacuated(fleet: &Fleet) -> Vec<String> {
    let mut orders: BTreeMap<&str, u64> = BTreeMap::new();
    for order in fleet.answered.iter().flat_map(|node| &node.evacuated) {
        let revision = orders.entry(&order.data_centre).or_default();
        *revision = order.revision.max(*revision);
    }
    let line = |(data_centre, revision): (&str, u64)| {
        let knows_order = |node: &Node| node.evacuated.iter().any(|o| o.data_centre == data_centre);
        let unaware: Vec<&str> = fleet
            .answered
            .iter()
            .filter(|node| !knows_order(node))
            .map(|node| node.instance.as_str())
            .collect();
        let aware = fleet.answered.len() - unaware.len();
        let revision = revision::text(revision);
        let all = fleet.answered.len();
        let mut line =
            format!("evacuated at {aware} of {all} nodes: {data_centre}, by revision {revision}");
        if !unaware.is_empty() {
            line.push_str("; not yet at ");
            line.push_str(&unaware[..unaware.len().min(MAX_LISTED)].join(", "));
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
