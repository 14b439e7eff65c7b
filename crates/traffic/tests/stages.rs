//! Checks the layering of this crate's modules: each imports only modules of lower layers.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Modules from the top layer to the bottom; each imports only those that follow.
const LAYERS: [&str; 14] = [
    "intake",
    "routing",
    "entry",
    "forward",
    "serving",
    "upstream",
    "proxy",
    "admission",
    "call",
    "net",
    "record",
    "wire",
    "lock",
    "clock",
];

fn rank(module: &str) -> usize {
    let rank = LAYERS.iter().position(|known| *known == module);
    rank.unwrap_or_else(|| panic!("module {module} is missing from LAYERS"))
}

fn source() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Returns all source files below `folder`.
fn files(folder: &Path) -> Vec<PathBuf> {
    let mut all = Vec::new();
    for entry in fs::read_dir(folder).expect("the sources are readable") {
        let path = entry.expect("the sources are readable").path();
        if path.is_dir() {
            all.extend(files(&path));
        } else {
            all.push(path);
        }
    }
    all
}

/// Returns the top-level module that `file` belongs to.
fn module_of(file: &Path) -> String {
    let inner = file.strip_prefix(source()).expect("the file is a source");
    let first = inner.iter().next().expect("the file has a name").to_string_lossy().into_owned();
    first.trim_end_matches(".rs").to_owned()
}

/// Returns the top-level modules that `text` refers to by `crate::` paths.
fn imported_modules(text: &str) -> BTreeSet<String> {
    let code: Vec<&str> = text.lines().filter(|line| !line.trim().starts_with("//")).collect();
    let code = code.join("\n");
    code.split("crate::").skip(1).flat_map(first_segments).collect()
}

/// Returns the first segments of the path, or of all paths in braces, at the start of `rest`.
fn first_segments(rest: &str) -> Vec<String> {
    let Some(group) = rest.strip_prefix('{') else { return vec![first_segment(rest)] };
    let mut names = Vec::new();
    let (mut depth, mut is_first) = (0, true);
    for (at, letter) in group.char_indices() {
        match letter {
            '{' => depth += 1,
            '}' if depth == 0 => break,
            '}' => depth -= 1,
            ',' if depth == 0 => is_first = true,
            _ if is_first && letter.is_alphabetic() => {
                names.push(first_segment(&group[at..]));
                is_first = false;
            }
            _ => {}
        }
    }
    names
}

fn first_segment(path: &str) -> String {
    path.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect()
}

#[track_caller]
fn check(text: &str, expect: &[&str]) {
    let expect: BTreeSet<String> = expect.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(imported_modules(text), expect, "{text}");
}

#[test]
fn imports_are_parsed() {
    check("use crate::hub::Hub;", &["hub"]);
    check("use crate::{\n    hub::{Hub, room::{Held}},\n    wire,\n};", &["hub", "wire"]);
    check(
        "use crate::{\n    net::{\n        body::{self, Inflow},\n    },\n    call::Call,\n};\n",
        &["net", "call"],
    );
    check("fn f() { crate::lock::lock(&x) }\n// crate::serving\n", &["lock"]);
    check("use std::fmt;", &[]);
}

#[test]
fn modules_import_only_lower_layers() {
    let mut checked = 0;
    for file in files(&source()) {
        let own = module_of(&file);
        if own == "lib" {
            continue;
        }
        let text = fs::read_to_string(&file).expect("the sources are readable");
        for other in imported_modules(&text).iter().filter(|other| **other != own) {
            assert!(
                rank(&own) < rank(other),
                "{} imports {other}, which is not in a lower layer",
                file.display()
            );
            checked += 1;
        }
    }
    assert!(checked > 50, "only {checked} imports were found");
}
