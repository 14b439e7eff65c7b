//! Logs as JSON lines on standard output.
//!
//! Logging never blocks, even if the reader of standard output does not read: lines go through a
//! bounded queue to a thread that writes them in batches. Lines that do not fit into it are
//! dropped and counted.

use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use fleet::timeline::Event;
use log::{LevelFilter, SetLoggerError};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4_096;

/// Time for which lines are collected into one batch, to save system calls and wake-ups.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Starts logging at `level` and above to standard output.
///
/// All prefixes of the logger are turned off, since each message is a complete JSON object.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let (sender, receiver) = channel::bounded(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = QueueWriter { sender, dropped: dropped.clone(), line: Vec::new() };
    let mut config = ConfigBuilder::new();
    config
        .set_time_level(LevelFilter::Off)
        .set_level_padding(simplelog::LevelPadding::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("telemetry");
    WriteLogger::init(level, config.build(), queue)?;
    let work = move || write_batches(&receiver, &dropped, &mut io::stdout());
    // If the thread cannot be started, the node runs without a log.
    let _ = thread::Builder::new().name("log".to_owned()).spawn(work);
    Ok(())
}

/// Logs an event of the timeline.
pub fn event(event: &Event) {
    line(event);
}

/// Logs a value that serializes to a JSON object.
pub fn line<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => log::info!("{text}"),
        Err(error) => message(
            log::Level::Error,
            "",
            &format!("cannot serialize a log line, which is dropped: {error}"),
        ),
    }
}

/// Logs a free-text message, such as a failure to start.
pub fn message(level: log::Level, node: &str, text: &str) {
    let line = serde_json::json!({ "node": node, "event": "message", "text": text });
    log::log!(level, "{line}");
}

/// Waits for two batch intervals, in which queued lines are normally written.
pub fn flush() {
    thread::sleep(BATCH_INTERVAL * 2);
}

/// Writer of the logger: assembles lines and puts them into the queue.
struct QueueWriter {
    sender: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            match self.sender.try_send(line) {
                Ok(()) => {}
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines in batches until the logger is dropped.
fn write_batches(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, output: &mut dyn Write) {
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_INTERVAL);
        let mut batch = first;
        batch.extend(lines.try_iter().take(QUEUE_LINES).flatten());
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let note = serde_json::json!({ "event": "lines-left-out", "count": dropped_lines });
            batch.extend(format!("{note}\n").into_bytes());
        }
        // Ignores errors, such as a closed standard output.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}

#[cfg(test)]
mod tests;
