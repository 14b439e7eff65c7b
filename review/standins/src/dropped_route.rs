//! The operator removes the last route; its path begins with the name of a service.

use crate::site::{self, APPLY, CONTACT, Site};
use std::{path::Path, thread, time::Duration};

/// Requests to each node after the change.
const REQUESTS: usize = 5;

pub fn run(root: &Path, file: &Path, trouble: bool) -> i32 {
    let Some(site) = Site::start(root) else { return 2 };
    if trouble {
        site.store.put("op/config", &site::config("r4", ""));
    }
    let zero = site.record.note(match trouble {
        true => "the store acknowledges r4, without the route /receipts/",
        false => "no change of the configuration",
    });
    // The machines stay in touch: nothing else happens.
    thread::sleep(APPLY + CONTACT);
    let mut report = String::new();
    let (mut after_removal, mut changed) = (0, 0);
    for number in 0..REQUESTS {
        for machine in &site.machines {
            let request = site::request(&format!("late-{}-{number}", machine.number));
            let seen = site.send(&request, machine);
            let (status, stamp) = seen.answer.clone().unwrap_or(("no answer".to_owned(), None));
            report += &format!(
                "{}: POST {} sent at {:.3} s to machine {}: {status}, stamp {}\n",
                seen.id,
                request.path,
                seen.sent.unwrap_or(f64::NAN) - zero,
                machine.number,
                stamp.as_deref().unwrap_or("none"),
            );
            for run in site.record.runs_of(&seen.id) {
                report += &format!("    run by {} as {}\n", run.backend, run.request);
                after_removal += usize::from(trouble);
                changed += usize::from(run.request != format!("POST {}", request.path));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    report += &format!(
        "{after_removal} requests run though their route was removed, {changed} with a changed path\n"
    );
    site.finish(file, &report, zero);
    i32::from(after_removal + changed > 0)
}
