//! The checks that every change must pass.

use std::fs;

use crate::{
    soak,
    tools::{self, Failure},
};

/// File that lists tests known to fail, one line each: test, cause, issue.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Most lines of that file.
const KNOWN_RED_LIMIT: usize = 3;

/// Runs format check, linter, documentation, tests and a short soak.
pub(crate) fn run() -> Result<(), Failure> {
    tools::cargo(&["fmt", "--all", "--check"])?;
    tools::cargo(&["clippy", "--workspace", "--all-targets", "--", "--deny", "warnings"])?;
    document()?;
    let red = known_red()?;
    let mut arguments = vec!["test".to_owned(), "--workspace".to_owned()];
    if !red.is_empty() {
        arguments.push("--".to_owned());
        for test in &red {
            arguments.extend(["--skip".to_owned(), test.clone()]);
        }
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    tools::cargo(&arguments)?;
    soak::short()
}

/// Builds the documentation with warnings denied.
fn document() -> Result<(), Failure> {
    let config = "build.rustdocflags=[\"--deny\", \"warnings\"]";
    tools::cargo(&["doc", "--workspace", "--no-deps", "--quiet", "--config", config])
}

/// Reads and prints the tests known to fail.
fn known_red() -> Result<Vec<String>, Failure> {
    let Ok(text) = fs::read_to_string(tools::root().join(KNOWN_RED)) else {
        return Ok(Vec::new());
    };
    let lines: Vec<&str> = text.lines().filter(|line| !line.trim().is_empty()).collect();
    if lines.len() > KNOWN_RED_LIMIT {
        return Err(Failure::Task(format!("{KNOWN_RED} holds more than {KNOWN_RED_LIMIT} lines")));
    }
    for line in &lines {
        println!("known red, passed over: {line}");
    }
    let test = |line: &&str| line.split([':', ',']).next().unwrap_or("").trim().to_owned();
    Ok(lines.iter().map(test).collect())
}
