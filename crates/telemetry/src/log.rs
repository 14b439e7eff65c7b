//! Logs as JSON lines on standard output.
//!
//! Whoever reads standard output may be slow or stop reading. No thread that does other work waits
//! for it: lines go through a bounded queue to a thread that writes them in batches, and what finds
//! the queue full is counted and left out.

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

/// Lines that may wait to be written. At 300 bytes each they take under 1.3 MB.
const QUEUE_LIMIT: usize = 4_096;

/// Time for which lines are gathered before they are written together: one system call and one
/// wake-up for many lines, and an engineer who follows the log notices no delay.
const GATHER: Duration = Duration::from_millis(100);

/// Starts logging events of `level` and above on standard output.
///
/// Every column of the logger is turned off: the message alone is a whole JSON object.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let (sender, receiver) = channel::bounded(QUEUE_LIMIT);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue { sender, dropped: dropped.clone(), line: Vec::new() };
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
    let work = move || write_all(&receiver, &dropped, &mut io::stdout());
    // Without the thread nothing is logged; the node works all the same.
    let _ = thread::Builder::new().name("log".to_owned()).spawn(work);
    Ok(())
}

/// Logs an event of the time line.
pub fn event(event: &Event) {
    line(event);
}

/// Logs anything that serializes to a JSON object.
pub fn line<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => log::info!("{text}"),
        Err(error) => message(log::Level::Error, "", &format!("a line cannot be written: {error}")),
    }
}

/// Logs a message that belongs to no event, such as a failure to start.
pub fn message(level: log::Level, node: &str, text: &str) {
    let line = serde_json::json!({ "node": node, "event": "message", "text": text });
    log::log!(level, "{line}");
}

/// Waits until the lines so far are written, but no longer than a moment.
pub fn flush() {
    thread::sleep(GATHER * 2);
}

/// The end of the queue that the logger writes to, in pieces of lines.
struct Queue {
    sender: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for Queue {
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

/// Writes lines in batches until the logger is gone.
fn write_all(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, output: &mut dyn Write) {
    while let Ok(first) = lines.recv() {
        thread::sleep(GATHER);
        let mut batch = first;
        batch.extend(lines.try_iter().take(QUEUE_LIMIT).flatten());
        let left_out = dropped.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let note = serde_json::json!({ "event": "lines-left-out", "count": left_out });
            batch.extend(format!("{note}\n").into_bytes());
        }
        // Standard output may be closed; then nobody reads.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}

#[cfg(test)]
mod tests;
