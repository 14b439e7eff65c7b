//! Names of tests in the list of tests known to fail.

use super::{count_limited, test_name};

#[track_caller]
fn check(line: &str, expect: &str) {
    assert_eq!(test_name(line), Some(expect));
}

/// Guards against skipping a whole module for one test that is known to fail.
#[test]
fn the_path_of_a_test_ends_at_a_single_colon_or_comma() {
    check("a_test: seed 7, seen once, issue", "a_test");
    check("a_test, cargo test, seen once", "a_test");
    check("module::a_test: seed 7", "module::a_test");
    check("outer::inner::a_test, seed 7: seen", "outer::inner::a_test");
    check("  a_test", "a_test");
}

/// Guards against documentation tests that are all skipped because of an entry in words.
#[test]
fn an_entry_that_describes_a_run_by_hand_names_no_test() {
    assert_eq!(test_name("soak of a request (by hand): seen once, issue"), None);
}

/// Guards against a list without limit: only the lines of one issue, which names itself at their end, do not count.
#[test]
fn only_lines_of_the_open_issue_do_not_count() {
    let lines = [
        "a_test: seed 7, seen once; issue \"Standing request\"",
        "b_test: no seed, seen once; issue \"Clients that don't behave\"",
        "c_test: beside issue \"Clients that don't behave\"; issue \"Standing request\"",
    ];
    assert_eq!(count_limited(&lines), 2);
}
