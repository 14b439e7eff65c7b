//! The log holds nobody up, and says what it left out.

use super::{Queue, write_all};
use crossbeam::channel;
use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// A standard output that nobody reads until it is opened.
struct Shut {
    open: channel::Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Shut {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is gone once the reader has begun to read for good.
        let _ = self.open.recv();
        self.text.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Every request of a node hangs, because whoever collects its log has stopped reading and the
/// thread that carries calls waits to write a line.
#[test]
fn a_reader_that_stops_holds_up_nobody() {
    let (sender, lines) = channel::bounded(8);
    let (reader, open) = channel::bounded(0);
    let dropped = Arc::new(AtomicU64::new(0));
    let text = Arc::new(Mutex::new(Vec::new()));
    let mut output = Shut { open, text: text.clone() };
    let counted = dropped.clone();
    let writer = thread::spawn(move || write_all(&lines, &counted, &mut output));
    let mut queue = Queue { sender, dropped: dropped.clone(), line: Vec::new() };
    // None of these may wait; nothing reads yet.
    for number in 0..10_000 {
        write!(queue, "{{\"line\":{number}}}").expect("the queue takes pieces");
        writeln!(queue).expect("and ends of lines");
    }
    assert!(dropped.load(Ordering::SeqCst) > 9_000);
    drop(reader);
    drop(queue);
    writer.join().expect("the writer ends with the queue");
    let text = text.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let text = String::from_utf8(text).expect("lines are text");
    assert!(text.starts_with("{\"line\":0}\n"), "{text}");
    assert!(text.contains("lines-left-out"), "{text}");
}
