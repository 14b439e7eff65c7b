//! A planned stop of the node that clients use, while a backend reads uploads slowly.

use crate::{
    client::{self, Request, Seen},
    record::Record,
    site::{self, GRACE, Site, TIMEOUT},
    stop,
};
use std::{path::Path, thread, time::Duration};

/// Size of an upload; the largest of the sheets.
const BODY: usize = 360_000;

/// How long a backend pauses while it reads an upload.
const PAUSE_MS: u64 = 2_000;

/// When the uploads are sent, in seconds after SIGTERM.
const SENT: [f64; 4] = [0.2, 0.5, 0.8, 1.1];

pub fn run(root: &Path, file: &Path, trouble: bool) -> i32 {
    let Some(mut site) = Site::start(root) else { return 2 };
    let (zero, start) = stop::stop(&site, trouble);
    let address = site.machines[0].at("outbound");
    let clients: Vec<_> = (0..SENT.len())
        .map(|number| {
            let record = site.record.clone();
            let request = Request {
                body: BODY,
                pause_ms: PAUSE_MS,
                ..site::request(&format!("upload-{number}"))
            };
            thread::spawn(move || {
                thread::sleep(
                    Duration::from_secs_f64(SENT[number]).saturating_sub(start.elapsed()),
                );
                client::send(&request, address, &record)
            })
        })
        .collect();
    if trouble {
        stop::restart(&mut site, start);
    }
    let seen: Vec<Seen> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_millis(PAUSE_MS));
    let mut report = String::new();
    let broken =
        seen.iter().filter(|seen| is_broken_off(seen, zero, &site.record, &mut report)).count();
    report +=
        &format!("{broken} of {} uploads broken off while their backend was at work\n", seen.len());
    site.finish(file, &report, zero);
    // The rule counts them around planned work only.
    i32::from(trouble && broken > 0)
}

/// Returns whether the node broke off the upload and answered in the backend's place, or not at all.
fn is_broken_off(seen: &Seen, zero: f64, record: &Record, report: &mut String) -> bool {
    let Some(sent) = seen.sent else { return false };
    let (sent, ended) = (sent - zero, seen.ended - zero);
    let runs = record.runs_of(&seen.id);
    let backend_broke_off = runs.iter().any(|run| run.ended.is_some() && !run.was_left());
    let is_own_answer = seen.answer.as_ref().is_none_or(|(_, stamp)| stamp.is_none());
    let is_over = ended - sent >= TIMEOUT;
    let is_planned = ended <= GRACE + 1.0;
    let is_broken_off =
        is_own_answer && !runs.is_empty() && !backend_broke_off && !is_over && is_planned;
    let status = seen.answer.as_ref().map_or("no answer", |(status, _)| status);
    *report += &format!(
        "{}: sent at {sent:.3} s, run begins at {:.3} s, {status} at {ended:.3} s: {}\n",
        seen.id,
        runs.first().map_or(f64::NAN, |run| run.begun - zero),
        if is_broken_off { "broken off" } else { "held" }
    );
    is_broken_off
}
