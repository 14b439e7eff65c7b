//! Runs a node until SIGTERM or SIGINT, and reloads its settings on SIGHUP or when the file changes.
//!
//! New settings are applied only if all of them are valid.

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals as SignalIterator,
};
use std::{fs, io, thread, time::Duration};

use crate::{Node, settings::Settings};

/// Interval at which signals are polled; bounds the delay before a planned stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Signal polls per read of the settings file, which is thus read every 3 s.
const POLLS_PER_READ: u32 = 30;

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

/// Runs `node`, started with the settings file at `path`, until a stop signal arrives.
pub fn run(mut signals: Signals, mut node: Node, path: &str, parse: Parser<'_>) {
    let mut current = fs::read_to_string(path).unwrap_or_default();
    let mut polls = 0;
    loop {
        thread::sleep(POLL_INTERVAL);
        polls += 1;
        let pending: Vec<i32> = signals.iterator.pending().collect();
        if pending.iter().any(|&signal| signal != SIGHUP) {
            return node.stop();
        }
        if pending.is_empty() && polls % POLLS_PER_READ != 0 {
            continue;
        }
        // The file may be missing while it is being replaced; a later poll reads it.
        let Ok(text) = fs::read_to_string(path) else { continue };
        if text == current && pending.is_empty() {
            continue;
        }
        match parse(&text) {
            Ok(settings) => node.reload(&settings),
            Err(faults) => node.refuse_reload(&faults),
        }
        current = text;
    }
}
