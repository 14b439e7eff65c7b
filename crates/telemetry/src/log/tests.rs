//! Logging does not block, and dropped lines are reported.

use super::{QueueWriter, write_batches};
use crossbeam::channel;
use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// An output that blocks until its reader starts to read.
struct BlockedOutput {
    open: channel::Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Blocks until the sender is dropped.
        let _ = self.open.recv();
        self.text.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against calls that hang because the reader of the log has stopped reading.
#[test]
fn logging_does_not_block_while_the_reader_is_stopped() {
    let (sender, lines) = channel::bounded(8);
    let (reader, open) = channel::bounded(0);
    let dropped = Arc::new(AtomicU64::new(0));
    let text = Arc::new(Mutex::new(Vec::new()));
    let mut output = BlockedOutput { open, text: text.clone() };
    let counter = dropped.clone();
    let writer = thread::spawn(move || write_batches(&lines, &counter, &mut output));
    let mut queue = QueueWriter { sender, dropped: dropped.clone(), line: Vec::new() };
    // None of these may block while the output does.
    for number in 0..10_000 {
        write!(queue, "{{\"line\":{number}}}").expect("writing to the queue");
        writeln!(queue).expect("writing to the queue");
    }
    assert!(dropped.load(Ordering::SeqCst) > 9_000);
    drop(reader);
    drop(queue);
    writer.join().expect("the writer thread ends");
    let text = text.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let text = String::from_utf8(text).expect("lines are UTF-8");
    assert!(text.starts_with("{\"line\":0}\n"), "{text}");
    assert!(text.contains("lines-left-out"), "{text}");
}
