//! Runs a node until it is told to stop, and reads its settings again when they change.
//!
//! A change is announced by SIGHUP, or not at all; so the file is looked at from time to time as
//! well. New settings come into force whole or not at all.

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals as SignalIterator,
};
use std::{fs, io, thread, time::Duration};

use crate::{Node, settings::Settings};

/// Time between two looks at signals. A planned stop begins within it, and each look costs one
/// wake-up.
const POLL: Duration = Duration::from_millis(100);

/// Looks at signals between two looks at the file: it is read every three seconds.
const POLLS_PER_READ: u32 = 30;

/// Reads settings, or returns every fault.
pub type Parser<'a> = &'a dyn Fn(&str) -> Result<Settings, Vec<String>>;

/// Signals that have arrived for a node.
#[derive(Debug)]
pub struct Signals {
    signals: SignalIterator,
}

impl Signals {
    /// Takes signals from now on. It must exist before the node does: a SIGHUP that came earlier
    /// would end the process.
    pub fn register() -> io::Result<Self> {
        Ok(Signals { signals: SignalIterator::new([SIGTERM, SIGINT, SIGHUP])? })
    }
}

/// Runs `node`, whose settings came from the file at `path`, until a signal asks it to stop.
pub fn run(mut signals: Signals, mut node: Node, path: &str, parse: Parser<'_>) {
    let mut known = fs::read_to_string(path).unwrap_or_default();
    let mut polls = 0;
    loop {
        thread::sleep(POLL);
        polls += 1;
        let pending: Vec<i32> = signals.signals.pending().collect();
        if pending.iter().any(|&signal| signal != SIGHUP) {
            return node.stop();
        }
        if pending.is_empty() && polls % POLLS_PER_READ != 0 {
            continue;
        }
        // A file that cannot be read is one that is being replaced; the next look finds it.
        let Ok(text) = fs::read_to_string(path) else { continue };
        if text == known && pending.is_empty() {
            continue;
        }
        match parse(&text) {
            Ok(settings) => node.reload(&settings),
            Err(faults) => node.refuse_reload(&faults),
        }
        known = text;
    }
}
