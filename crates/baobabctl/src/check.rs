//! `baobabctl check`: validates files as a node validates a published version.

use model::{
    config::{self, PROFILES, ROUTES, SERVICES},
    document::{Delta, Document, Set},
    fault::Fault,
    limits,
};
use std::{fs, path::Path};

use crate::{Exit, output::print_line};

/// Validates `files` as one version and prints each fault with its file.
pub(crate) fn run(files: &[String]) -> Exit {
    let mut documents = Vec::new();
    let mut faults = Vec::new();
    let mut keys: Vec<(String, &String)> = Vec::new();
    for file in files {
        match read(file) {
            Ok(document) => {
                if let Some((_, other)) = keys.iter().find(|(key, _)| *key == document.key) {
                    faults.push(Fault::new(file, "", format!("has the same key as {other}")));
                }
                keys.push((document.key.clone(), file));
                documents.push(document);
            }
            Err(fault) => faults.push(fault),
        }
    }
    let set = Set::default().with(Delta { revision: 1, full: true, documents, ..Delta::default() });
    if let Err(found) = config::build(&set) {
        faults.extend(found.into_iter().map(|fault| with_file(fault, &keys)));
    }
    for fault in &faults {
        print_line!("{fault}");
    }
    if !faults.is_empty() {
        return Exit::Failure;
    }
    print_line!("{} documents, no faults", keys.len());
    Exit::Success
}

fn read(file: &str) -> Result<Document, Fault> {
    let key = key_of(file).ok_or_else(|| {
        let reason = "lies in no folder profiles, services or routes, and is not limits.json";
        Fault::new(file, "", reason)
    })?;
    let text = fs::read_to_string(file).map_err(|e| Fault::new(file, "", e.to_string()))?;
    Ok(Document { key, modified: 1, text: text.into() })
}

/// Returns the key of the document that a file holds, from its folder and name.
fn key_of(file: &str) -> Option<String> {
    let path = Path::new(file);
    let name = path.file_stem()?.to_str()?;
    if name == limits::KEY {
        return Some(name.to_owned());
    }
    let folder = path.parent()?.file_name()?.to_str()?;
    let prefix =
        [PROFILES, SERVICES, ROUTES].into_iter().find(|p| p.trim_end_matches('/') == folder)?;
    Some(format!("{prefix}{name}"))
}

/// Replaces the document's key in a fault by the path of its file.
fn with_file(fault: Fault, keys: &[(String, &String)]) -> Fault {
    match keys.iter().find(|(key, _)| *key == fault.document) {
        Some((_, file)) => Fault { document: (*file).clone(), ..fault },
        None => fault,
    }
}
