//! A call passes the stages of this crate in one order, and imports follow it.
//!
//! Story: a stage takes a shortcut to one above it. Nothing fails, but after a few more nobody can
//! change a stage without reading all of them, and the next fault of the claim is looked for in
//! sixteen files.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Modules of the crate; each imports only those that come after it.
const ORDER: [&str; 14] = [
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
    let rank = ORDER.iter().position(|known| *known == module);
    rank.unwrap_or_else(|| panic!("the order of stages does not name {module}"))
}

fn source() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Returns every source file below `folder`.
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

/// Returns the module directly below the crate that `file` belongs to.
fn module_of(file: &Path) -> String {
    let inner = file.strip_prefix(source()).expect("the file is a source");
    let first = inner.iter().next().expect("the file has a name").to_string_lossy().into_owned();
    first.trim_end_matches(".rs").to_owned()
}

/// Returns the modules directly below the crate that `text` names by `crate::`.
fn named(text: &str) -> BTreeSet<String> {
    let code: Vec<&str> = text.lines().filter(|line| !line.trim().starts_with("//")).collect();
    let code = code.join("\n");
    code.split("crate::").skip(1).flat_map(first_names).collect()
}

/// Returns the first names of the paths that `rest` begins with: of one path, or of all in braces.
fn first_names(rest: &str) -> Vec<String> {
    let Some(group) = rest.strip_prefix('{') else { return vec![name(rest)] };
    let mut names = Vec::new();
    let (mut depth, mut is_first) = (0, true);
    for (at, letter) in group.char_indices() {
        match letter {
            '{' => depth += 1,
            '}' if depth == 0 => break,
            '}' => depth -= 1,
            ',' if depth == 0 => is_first = true,
            _ if is_first && letter.is_alphabetic() => {
                names.push(name(&group[at..]));
                is_first = false;
            }
            _ => {}
        }
    }
    names
}

fn name(path: &str) -> String {
    path.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect()
}

#[track_caller]
fn check(text: &str, expect: &[&str]) {
    let expect: BTreeSet<String> = expect.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(named(text), expect, "{text}");
}

#[test]
fn imports_are_read_as_the_compiler_reads_them() {
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
fn a_stage_imports_only_what_is_below_it() {
    let mut checked = 0;
    for file in files(&source()) {
        let own = module_of(&file);
        if own == "lib" {
            continue;
        }
        let text = fs::read_to_string(&file).expect("the sources are readable");
        for other in named(&text).iter().filter(|other| **other != own) {
            assert!(rank(&own) < rank(other), "{} names {other}", file.display());
            checked += 1;
        }
    }
    assert!(checked > 50, "only {checked} imports were found");
}
