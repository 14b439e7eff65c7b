//! The committed reference pages match the tables in the code.

use super::{pages, tools};
use node::settings::{FIELDS, read};
use serde_json::{Map, Value};
use std::fs;

#[test]
fn committed_pages_match_the_code() {
    for (name, text) in pages() {
        let page = fs::read_to_string(tools::root().join("docs").join(name)).unwrap_or_default();
        assert_eq!(page, text, "docs/{name} is outdated: run `cargo xtask reference`");
    }
}

/// Builds a settings file from the examples of the fields that `keep` selects.
fn example(keep: impl Fn(&str) -> bool) -> String {
    let mut root = Map::new();
    for field in FIELDS.iter().filter(|f| keep(f.pointer)) {
        let value: Value = serde_json::from_str(field.example).expect("examples are JSON");
        let mut names = field.pointer.split('/').skip(1);
        let (first, second) = (names.next().expect("a pointer has a name"), names.next());
        match second {
            None => drop(root.insert(first.to_owned(), value)),
            Some(second) => {
                let group = root.entry(first).or_insert_with(|| Value::Object(Map::new()));
                if let Value::Object(group) = group {
                    group.insert(second.to_owned(), value);
                }
            }
        }
    }
    Value::Object(root).to_string()
}

#[test]
fn example_settings_are_valid_unless_a_required_one_is_missing() {
    assert!(read("page", &example(|_| true)).is_ok());
    for field in FIELDS {
        let without = read("page", &example(|pointer| pointer != field.pointer));
        assert_eq!(without.is_err(), field.default.is_none(), "{}", field.pointer);
    }
}
