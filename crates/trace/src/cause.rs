//! One sentence for what happened to a request.

use crate::{Line, Step};

/// Returns the cause of a request's end, as far as its ordered lines tell.
///
/// ```
/// assert_eq!(trace::explain(&[]), "No line about this request was found.");
/// ```
pub fn explain(lines: &[Line]) -> String {
    let Some(last) = lines.iter().rev().find(|line| is_end(&line.step)) else {
        return match lines.first() {
            None => "No line about this request was found.".to_owned(),
            Some(line) => format!(
                "The entry node's last line is missing: it ended before it answered, or its line \
                 was left out; the first line is of {}.",
                line.node
            ),
        };
    };
    match &last.step {
        Step::Ended { outcome, status, ms, .. } if outcome == "answered" => {
            format!("Answered with {status} after {ms} ms at {}{}.", last.node, slowest(lines))
        }
        Step::Ended { outcome, reason, status, ms, retry_after_ms, attempts } => {
            let back = if *retry_after_ms > 0 {
                format!(", to come back after {retry_after_ms} ms")
            } else {
                String::new()
            };
            format!(
                "{} ({reason}) with {status} after {ms} ms and {attempts} attempts at {}{back}: {}.",
                capital(outcome),
                last.node,
                meaning(reason, lines)
            )
        }
        Step::Abandoned { ms } => {
            format!("The caller went away after {ms} ms at {}{}.", last.node, slowest(lines))
        }
        _ => String::new(),
    }
}

fn is_end(step: &Step) -> bool {
    matches!(step, Step::Ended { .. } | Step::Abandoned { .. })
}

fn capital(outcome: &str) -> &'static str {
    if outcome == "not-run" { "Not run" } else { "Outcome unknown" }
}

fn meaning(reason: &str, lines: &[Line]) -> String {
    let text = match reason {
        "unknown-service" => "no route or service of the revision in force matches",
        "unready" => "the node held no configuration yet",
        "outdated" => {
            "no route led anywhere in the configuration of the node, which was older than another's"
        }
        "no-upstream" => "no upstream of the service was listed and within reach",
        "overloaded" => "every upstream that was asked had no slot in time",
        "refused" => "the upstream refused to run it",
        "leaving" => "the node was about to stop",
        "unreachable" => "no connection to the upstream's node, or from it to the upstream",
        "late" => "its time was over before it could run",
        "cancelled" => "its caller went away before it ran",
        "paused" => "the node had not run for a while and could not tell how old it was",
        "replaced" => "another upstream answers at the address",
        "quarantined" => "upstreams ended under the same request, which is not run for a while",
        "evacuated" => "operators had the data centre of every upstream that was left evacuated",
        "saturated" => "the entry node held as many requests as it may",
        "bad-request" => "the request was cut short, too large, too slow or malformed",
        "broken" => "the connection broke after the request was passed on",
        "timeout" => "no answer came in time after the request was passed on",
        "bad-answer" => "the answer was cut short or belonged to another request",
        _ => "the reason is not known to this version",
    };
    format!("{text}{}", slowest(lines))
}

/// Names the step that took the longest, where an upstream took any time.
fn slowest(lines: &[Line]) -> String {
    let ran = lines.iter().filter_map(|line| match line.step {
        Step::Ran { ms, .. } => Some((ms, &line.node)),
        _ => None,
    });
    match ran.max() {
        Some((ms, node)) => format!("; the upstream beside {node} took {ms} ms"),
        None => String::new(),
    }
}
