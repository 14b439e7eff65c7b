//! The record of a run: what was sent, answered and run, with times in ms since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { begun: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.elapsed().as_millis(), text.as_ref());
        // A run whose record cannot be written is still judged.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
