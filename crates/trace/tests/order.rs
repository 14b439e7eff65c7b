//! Causal order of a trace under clock skew, and explanations of outcomes.

use trace::{Line, Step, explain, sort_causally};

fn line(node: &str, t: u64, step: Step) -> Line {
    Line { t, node: node.to_owned(), id: "9c41".to_owned(), step }
}

fn offered(attempt: u64) -> Step {
    Step::Offered {
        attempt,
        upstream: "i-1".to_owned(),
        peer: "10.0.0.2:1".to_owned(),
        near: true,
        in_flight: 0,
        expected_load: 0.0,
        failure_share: 0.0,
        candidates: 2,
    }
}

fn claimed(attempt: u64, decision: &str) -> Step {
    Step::Claimed {
        attempt,
        upstream: "i-1".to_owned(),
        decision: decision.to_owned(),
        busy: 9,
        waiting: 2,
        waited_ms: 30,
        left_ms: 900,
    }
}

fn attempted(attempt: u64, outcome: &str, reason: &str) -> Step {
    Step::Attempted {
        attempt,
        outcome: outcome.to_owned(),
        reason: reason.to_owned(),
        status: 0,
        ms: 40,
    }
}

fn ended(outcome: &str, reason: &str) -> Step {
    Step::Ended {
        outcome: outcome.to_owned(),
        reason: reason.to_owned(),
        status: 503,
        retry_after_ms: 80,
        ms: 45,
        attempts: 1,
    }
}

fn names(lines: &[Line]) -> Vec<String> {
    let name = |line: &Line| {
        let value = serde_json::to_value(&line.step).expect("steps are JSON");
        format!("{} {}", line.node, value["event"].as_str().unwrap_or("?"))
    };
    lines.iter().map(name).collect()
}

/// Guards against sorting by timestamps alone, where the request seems to run before it is sent.
#[test]
fn causal_order_holds_if_the_serving_node_clock_is_behind() {
    let lines = vec![
        line("serving", 5_010, claimed(7, "overloaded")),
        line("entry", 10_000, offered(7)),
        line("entry", 10_040, attempted(7, "not-run", "overloaded")),
        line("entry", 10_045, ended("not-run", "overloaded")),
    ];
    let expect = ["entry offered", "serving claimed", "entry attempted", "entry ended"];
    assert_eq!(names(&sort_causally(lines)), expect);
}

#[test]
fn causal_order_holds_if_the_serving_node_clock_is_ahead() {
    let lines = vec![
        line("entry", 10_000, offered(7)),
        line("entry", 10_040, attempted(7, "not-run", "overloaded")),
        line("serving", 99_000, claimed(7, "overloaded")),
    ];
    assert_eq!(
        names(&sort_causally(lines)),
        ["entry offered", "serving claimed", "entry attempted"]
    );
}

/// Guards against the write order of a node that is both entry and serving node of a call.
#[test]
fn causal_order_holds_if_entry_and_serving_node_are_the_same() {
    let lines = vec![
        line("both", 10_010, claimed(7, "run")),
        line("both", 10_000, offered(7)),
        line("both", 10_040, attempted(7, "answered", "")),
    ];
    let expect = ["both offered", "both claimed", "both attempted"];
    assert_eq!(names(&sort_causally(lines)), expect);
}

#[test]
fn missing_lines_do_not_block_the_others() {
    let lines = vec![
        line("serving", 1, claimed(7, "run")),
        line("entry", 2, attempted(8, "unknown", "timeout")),
    ];
    assert_eq!(names(&sort_causally(lines)), ["serving claimed", "entry attempted"]);
}

#[test]
fn explanation_names_the_cause() {
    let check = |lines: Vec<Line>, expect: &str| {
        let explanation = explain(&sort_causally(lines));
        assert!(explanation.contains(expect), "{explanation}");
    };
    check(vec![line("e", 1, ended("not-run", "overloaded"))], "no slot in time");
    check(vec![line("e", 1, ended("unknown", "timeout"))], "no answer came in time");
    check(vec![line("e", 1, Step::Abandoned { ms: 300 })], "went away after 300 ms");
    check(vec![line("s", 1, claimed(7, "run"))], "last line is missing");
    check(vec![], "No line");
}
