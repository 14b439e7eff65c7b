//! Checks that every change must pass.

use std::fs;

use crate::{
    soak,
    tools::{self, Failure},
};

/// File that lists the tests known to fail, one per line: test, cause, issue.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Limit of the lines in [`KNOWN_RED`] that count.
const MAX_KNOWN_RED: usize = 4;

/// End of the lines that do not count: failing tests of this issue landed before what they test.
const UNCOUNTED_ISSUE: &str = "issue \"Clients that don't behave\"";

/// Runs the format check, the linter, the documentation build, the tests and a short soak.
pub(crate) fn run() -> Result<(), Failure> {
    tools::cargo(&["fmt", "--all", "--check"])?;
    tools::cargo(&["clippy", "--workspace", "--all-targets", "--", "--deny", "warnings"])?;
    build_docs()?;
    let skipped = known_red()?;
    let mut arguments = vec!["test".to_owned(), "--workspace".to_owned()];
    if !skipped.is_empty() {
        // Without `--exact`, tests whose paths contain a skipped one would be skipped as well.
        arguments.extend(["--".to_owned(), "--exact".to_owned()]);
        for test in &skipped {
            arguments.extend(["--skip".to_owned(), test.clone()]);
        }
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    tools::cargo(&arguments)?;
    soak::short()
}

/// Builds the documentation with warnings denied.
fn build_docs() -> Result<(), Failure> {
    let config = "build.rustdocflags=[\"--deny\", \"warnings\"]";
    tools::cargo(&["doc", "--workspace", "--no-deps", "--quiet", "--config", config])
}

/// Reads and prints the names of the tests known to fail.
fn known_red() -> Result<Vec<String>, Failure> {
    let Ok(text) = fs::read_to_string(tools::root().join(KNOWN_RED)) else {
        return Ok(Vec::new());
    };
    let lines: Vec<&str> = text.lines().filter(|line| !line.trim().is_empty()).collect();
    let counted = count_limited(&lines);
    if counted > MAX_KNOWN_RED {
        return Err(Failure::Task(format!(
            "{KNOWN_RED} has {counted} lines; at most {MAX_KNOWN_RED} are allowed"
        )));
    }
    for line in &lines {
        println!("skipping a test known to fail: {line}");
    }
    Ok(lines.iter().filter_map(|line| test_name(line)).map(str::to_owned).collect())
}

/// Returns how many lines of [`KNOWN_RED`] count towards their limit.
fn count_limited(lines: &[&str]) -> usize {
    lines.iter().filter(|line| !line.trim_end().ends_with(UNCOUNTED_ISSUE)).count()
}

/// Returns the path of the test that a line of [`KNOWN_RED`] begins with; none if it describes a run by hand.
///
/// A text of several words must not reach the tests: documentation tests would take each for a filter, and
/// none of them would run.
fn test_name(line: &str) -> Option<&str> {
    let separators = line.match_indices([':', ',']).map(|(index, _)| index);
    let is_in_path = |&index: &usize| {
        line[index..].starts_with("::")
            || (line[index..].starts_with(':') && line[..index].ends_with(':'))
    };
    let end = separators.into_iter().find(|index| !is_in_path(index)).unwrap_or(line.len());
    let name = line[..end].trim();
    (!name.contains(char::is_whitespace)).then_some(name)
}

#[cfg(test)]
mod tests;
