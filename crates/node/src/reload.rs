//! Runs a node until SIGTERM or SIGINT, and reloads its settings on SIGHUP or when the file changes.
//!
//! New settings are applied only if all of them are valid.

use crossbeam::channel::{self, Receiver, RecvTimeoutError};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals as SignalIterator,
};
use std::{fs, io, thread, time::Duration};

use crate::{Node, settings::Settings};

/// Interval at which the settings file is read, in case it changes without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum number of signals that wait for the running node.
const MAX_PENDING_SIGNALS: usize = 16;

/// Parses the text of a settings file, or returns all of its faults.
pub type Parser<'a> = &'a dyn Fn(&str) -> Result<Settings, Vec<String>>;

/// Handlers of the signals that stop or reload a node.
#[derive(Debug)]
pub struct Signals {
    iterator: SignalIterator,
}

impl Signals {
    /// Installs the handlers. Call this before the node starts: a SIGHUP without a handler ends the
    /// process.
    pub fn register() -> io::Result<Self> {
        Ok(Signals { iterator: SignalIterator::new([SIGTERM, SIGINT, SIGHUP])? })
    }
}

/// Runs `node`, started with the settings file at `path`, until a stop signal arrives; fails if the thread
/// that waits for signals cannot be started.
pub fn run(signals: Signals, mut node: Node, path: &str, parse: Parser<'_>) -> io::Result<()> {
    let received = forward(signals)?;
    let mut current = fs::read_to_string(path).unwrap_or_default();
    loop {
        let is_signalled = match received.recv_timeout(READ_INTERVAL) {
            Ok(SIGHUP) => true,
            Err(RecvTimeoutError::Timeout) => false,
            Ok(_) | Err(RecvTimeoutError::Disconnected) => break,
        };
        // The file may be missing while it is being replaced; a later read finds it.
        let Ok(text) = fs::read_to_string(path) else { continue };
        if text == current && !is_signalled {
            continue;
        }
        match parse(&text) {
            Ok(settings) => node.reload(&settings),
            Err(faults) => node.refuse_reload(&faults),
        }
        current = text;
    }
    node.stop();
    Ok(())
}

/// Starts a thread that waits for signals, so that a planned stop begins when its signal arrives.
fn forward(mut signals: Signals) -> io::Result<Receiver<i32>> {
    let (sender, receiver) = channel::bounded(MAX_PENDING_SIGNALS);
    let work = move || {
        for signal in signals.iterator.forever() {
            if sender.send(signal).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(work)?;
    Ok(receiver)
}
