//! Explains the outcome of a request in one sentence.

use crate::{Line, Step};

/// Returns a sentence on the outcome of a request and its cause, from its lines in causal order.
///
/// ```
/// assert_eq!(trace::explain(&[]), "No line about this request was found.");
/// ```
pub fn explain(lines: &[Line]) -> String {
    let Some(last) = lines.iter().rev().find(|line| is_final(&line.step)) else {
        return match lines.first() {
            None => "No line about this request was found.".to_owned(),
            Some(line) => format!(
                "The entry node's last line is missing: the node stopped before it answered, or the \
                 line was dropped; the first line is from {}.",
                line.node
            ),
        };
    };
    match &last.step {
        Step::Ended { outcome, status, ms, .. } if outcome == "answered" => {
            format!(
                "Answered with {status} after {ms} ms at {}{}.",
                last.node,
                slowest_upstream(lines)
            )
        }
        Step::Ended { outcome, reason, status, ms, retry_after_ms, attempts } => {
            let retry = if *retry_after_ms > 0 {
                format!(", retry after {retry_after_ms} ms")
            } else {
                String::new()
            };
            format!(
                "{} ({reason}) with {status} after {ms} ms and {attempts} attempts at {}{retry}: {}.",
                outcome_label(outcome),
                last.node,
                describe(reason, lines)
            )
        }
        Step::Abandoned { ms } => {
            format!(
                "The caller went away after {ms} ms at {}{}.",
                last.node,
                slowest_upstream(lines)
            )
        }
        _ => String::new(),
    }
}

fn is_final(step: &Step) -> bool {
    matches!(step, Step::Ended { .. } | Step::Abandoned { .. })
}

fn outcome_label(outcome: &str) -> &'static str {
    if outcome == "not-run" { "Not run" } else { "Outcome unknown" }
}

fn describe(reason: &str, lines: &[Line]) -> String {
    let text = match reason {
        "unknown-service" => "no route or service of the active revision matches",
        "unready" => "the node had no configuration yet",
        "outdated" => {
            "no route led anywhere in the configuration of the node, which was older than another's"
        }
        "unusable-route" => "its route cannot be used as it stands in the configuration",
        "no-upstream" => "no upstream of the service was listed and reachable",
        "overloaded" => "every upstream that was asked had no slot in time",
        "nested-overloaded" => {
            "the calls that it would have made to other services found no capacity there"
        }
        "refused" => "the upstream refused to execute it",
        "leaving" => "the node was shutting down",
        "unreachable" => "no connection to the upstream's node, or from that node to the upstream",
        "late" => "its deadline passed before it could be executed",
        "cancelled" => "the caller disconnected before it was executed",
        "paused" => "the node had been paused and could not determine the request's age",
        "replaced" => "another upstream now has the address",
        "quarantined" => "upstreams ended under the same request, which is in quarantine",
        "evacuated" => "every remaining upstream is in a data centre that operators have evacuated",
        "saturated" => "the entry node had reached its limit of requests in flight",
        "bad-request" => "the request was truncated, too large, too slow or malformed",
        "broken" => "the connection broke after the request was forwarded",
        "timeout" => "no answer came in time after the request was forwarded",
        "bad-answer" => "the answer was truncated or belonged to another request",
        _ => "unknown reason in this version",
    };
    format!("{text}{}", slowest_upstream(lines))
}

/// Returns a clause on the slowest execution at an upstream; empty if none executed the request.
fn slowest_upstream(lines: &[Line]) -> String {
    let executions = lines.iter().filter_map(|line| match line.step {
        Step::Ran { ms, .. } => Some((ms, &line.node)),
        _ => None,
    });
    match executions.max() {
        Some((ms, node)) => format!("; the upstream of {node} took {ms} ms"),
        None => String::new(),
    }
}
