//! Checks files as a node would check a published version.

use model::{
    config::{self, PROFILES, SERVICES},
    document::{Delta, Document, Set},
    fault::Fault,
};
use std::{fs, path::Path};

use crate::{End, output::say};

/// Checks `files` together as one version and prints each fault with its file.
pub(crate) fn run(files: &[String]) -> End {
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
        say!("{fault}");
    }
    if !faults.is_empty() {
        return End::No;
    }
    say!("{} documents, no faults", keys.len());
    End::Done
}

fn read(file: &str) -> Result<Document, Fault> {
    let key = key_of(file).ok_or_else(|| {
        Fault::new(file, "", "lies neither in a folder profiles nor in a folder services")
    })?;
    let text = fs::read_to_string(file).map_err(|e| Fault::new(file, "", e.to_string()))?;
    Ok(Document { key, modified: 1, text: text.into() })
}

/// Returns the key under which a file's content would be published.
fn key_of(file: &str) -> Option<String> {
    let path = Path::new(file);
    let name = path.file_stem()?.to_str()?;
    let folder = path.parent()?.file_name()?.to_str()?;
    let prefix = [PROFILES, SERVICES].into_iter().find(|p| p.trim_end_matches('/') == folder)?;
    Some(format!("{prefix}{name}"))
}

/// Names the file in the place of the key, since that is what the operator edits.
fn with_file(fault: Fault, keys: &[(String, &String)]) -> Fault {
    match keys.iter().find(|(key, _)| *key == fault.document) {
        Some((_, file)) => Fault { document: (*file).clone(), ..fault },
        None => fault,
    }
}
