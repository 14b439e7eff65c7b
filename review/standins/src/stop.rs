//! A planned stop of the node that clients use, while answers take more than two seconds.

use crate::{
    client::{self, Request, Seen},
    fleet,
    record::Record,
    site::{self, GRACE, Site, TIMEOUT},
};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Requests sent later than this after SIGTERM have no excuse for work that goes on late in the grace period.
const EXCUSED_UNTIL: f64 = 3.0;

/// Work of the measured requests, in ms.
const WORK_MS: u64 = 2_700;

/// When the measured requests are sent, in seconds after SIGTERM; few enough for the slots of two backends.
const SENT: [f64; 22] = [
    2.900, 2.950, 3.001, 3.003, 3.005, 3.007, 3.009, 3.011, 3.014, 3.017, 3.020, 3.024, 3.028,
    3.032, 3.040, 3.048, 3.056, 3.064, 3.072, 3.080, 3.090, 3.100,
];

pub fn run(root: &Path, file: &Path, trouble: bool) -> i32 {
    let Some(mut site) = Site::start(root) else { return 2 };
    let (zero, start) = stop(&site, trouble);
    let address = site.machines[0].at("outbound");
    let clients: Vec<_> = (0..SENT.len())
        .map(|number| {
            let record = site.record.clone();
            let request = Request { work_ms: WORK_MS, ..site::request(&format!("late-{number}")) };
            let at = Duration::from_secs_f64(SENT[number]);
            thread::spawn(move || {
                thread::sleep(at.saturating_sub(start.elapsed()));
                client::send(&request, address, &record)
            })
        })
        .collect();
    if trouble {
        restart(&mut site, start);
    }
    let seen: Vec<Seen> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_millis(500));
    let mut report = String::new();
    let lost = seen.iter().filter(|seen| is_lost(seen, zero, &site.record, &mut report)).count();
    let unserved = seen.iter().filter(|seen| seen.answer.is_none()).count();
    report += &format!(
        "of {} requests, {unserved} end without an answer, {lost} of them without an excuse\n",
        seen.len()
    );
    site.finish(file, &report, zero);
    match trouble {
        true => i32::from(lost > 0),
        false => i32::from(unserved > 0),
    }
}

/// Sends SIGTERM to the node of machine 1, if `trouble`; returns the time after it.
pub fn stop(site: &Site, trouble: bool) -> (f64, Instant) {
    if trouble {
        fleet::signal(&site.nodes[0].child, "TERM");
    }
    // Taken after the signal, so that no request counts as later than it was.
    let zero = site.record.note(match trouble {
        true => "SIGTERM to the node of machine 1",
        false => "no SIGTERM",
    });
    (zero, Instant::now())
}

/// Starts the node of machine 1 again at the end of the grace period.
pub fn restart(site: &mut Site, start: Instant) {
    thread::sleep(Duration::from_secs_f64(GRACE).saturating_sub(start.elapsed()));
    match site.nodes[0].child.try_wait() {
        Ok(Some(status)) => {
            site.record.note(format!("the process of machine 1 has ended: {status}"))
        }
        _ => site.record.note("SIGKILL at the end of the grace period"),
    };
    site.nodes[0] = site.deployment.start(&site.machines[0], false);
}

/// Returns whether the rule counts the request as lost, and explains it in `report`.
fn is_lost(seen: &Seen, zero: f64, record: &Record, report: &mut String) -> bool {
    let Some(sent) = seen.sent else { return false };
    let (sent, ended) = (sent - zero, seen.ended - zero);
    if let Some((status, _)) = &seen.answer {
        *report += &format!("{}: sent at {sent:.3} s, {status} at {ended:.3} s\n", seen.id);
        return false;
    }
    let runs = record.runs_of(&seen.id);
    let was_passed_on = !runs.is_empty();
    let backend_broke_off = runs.iter().any(|run| run.ended.is_some() && !run.was_left());
    let is_over = ended - sent >= TIMEOUT;
    let late = GRACE * 5.0 / 6.0;
    let at_work_late = runs.iter().any(|run| run.end().is_none_or(|end| end - zero >= late));
    let is_excused = at_work_late && sent <= EXCUSED_UNTIL;
    let is_planned = ended <= GRACE + 1.0;
    let is_lost = was_passed_on && !backend_broke_off && !is_over && !is_excused && is_planned;
    *report += &format!(
        "{}: sent at {sent:.3} s, run begins at {:.3} s, closed without an answer at {ended:.3} s: {}\n",
        seen.id,
        runs.first().map_or(f64::NAN, |run| run.begun - zero),
        if is_lost { "lost" } else { "excused" }
    );
    is_lost
}
