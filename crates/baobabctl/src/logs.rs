//! Reads the logs of nodes from files.

use fleet::timeline::Event;
use std::fs;
use trace::Line;

/// Lines of one or more logs, by kind, in the order of the files.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    /// Trace lines: decisions about requests.
    pub(crate) lines: Vec<Line>,
    /// Timeline events: changes of configuration, membership and quarantine.
    pub(crate) events: Vec<Event>,
}

/// Reads `files`. Text before a line's JSON, such as a log collector's time, is skipped, and so are
/// lines of other kinds.
pub(crate) fn read(files: &[String]) -> Result<Logs, String> {
    let mut logs = Logs::default();
    for file in files {
        let bytes = fs::read(file).map_err(|e| format!("{file}: {e}"))?;
        for text in String::from_utf8_lossy(&bytes).lines() {
            let Some(start) = text.find('{') else { continue };
            let text = &text[start..];
            if let Some(line) = trace::parse(text) {
                logs.lines.push(line);
            } else if let Ok(event) = serde_json::from_str(text) {
                logs.events.push(event);
            }
        }
    }
    Ok(logs)
}
