//! The operator adds a route whose name has an underscore, and later removes another route; at last all nodes
//! are killed and start again.

use crate::{
    client::Seen,
    fleet,
    site::{self, APPLY, CONTACT, HOST, RECOVER, SERVICE, Site},
};
use std::{path::Path, thread, time::Duration};

/// Requests to each node after each change.
const REQUESTS: usize = 5;

pub fn run(root: &Path, file: &Path, trouble: bool) -> i32 {
    let Some(mut site) = Site::start(root) else { return 2 };
    let name = if trouble { "sales_file_upload" } else { "sales-file-upload" };
    let added = format!(
        r#""{name}":{{"host":"{HOST}","prefix":"/files/","service":"{SERVICE}","kind":"upload","timeout_s":4.0,"slo_s":2.5,"attempts":2,"priority":1}}"#
    );
    site.store.put("op/config", &site::config("r4", &format!("{},{added}", site::ROUTE)));
    let zero = site.record.note(format!("the store acknowledges r4, which adds route {name}"));
    let mut report = String::new();
    // The machines stay in touch: nothing but the two changes happens.
    thread::sleep(APPLY + CONTACT);
    let to_added = send(&site, "added", "/files/today");
    let refused = count(&site, &to_added, zero, &mut report, |status, _| status == "404");
    site.store.put("op/config", &site::config("r5", &added));
    site.record.note("the store acknowledges r5, which removes route receipts");
    thread::sleep(APPLY + CONTACT);
    let to_dropped = send(&site, "dropped", "/receipts/reprint");
    let run = count(&site, &to_dropped, zero, &mut report, |_, has_run| has_run);
    kill_all(&mut site);
    thread::sleep(RECOVER + Duration::from_secs(1));
    let to_restarted = send(&site, "restarted", "/files/today");
    let unserved = count(&site, &to_restarted, zero, &mut report, |status, _| status != "200");
    report += &format!(
        "{refused} of {} requests refused with 404 though r4 has their route; {run} of {} run though r5 has dropped \
         theirs; {unserved} of {} not served after the restart of all nodes\n",
        to_added.len(),
        to_dropped.len(),
        to_restarted.len()
    );
    site.finish(file, &report, zero);
    let is_recovered = unserved * 4 <= to_restarted.len() * 3;
    i32::from(refused + run > 0 || !is_recovered)
}

/// Kills all nodes at the same moment and starts them again.
fn kill_all(site: &mut Site) {
    site.nodes.iter().for_each(|node| fleet::signal(&node.child, "KILL"));
    site.record.note("SIGKILL to all nodes");
    site.nodes.clear();
    let start = |machine| site.deployment.start(machine, false);
    site.nodes = site.machines.iter().map(start).collect();
    site.record.note("all nodes are started again");
}

/// Sends requests for `path` to every node.
fn send(site: &Site, name: &str, path: &str) -> Vec<Seen> {
    let mut seen = Vec::new();
    for number in 0..REQUESTS {
        for machine in &site.machines {
            let mut request = site::request(&format!("{name}-{}-{number}", machine.number));
            path.clone_into(&mut request.path);
            seen.push(site.send(&request, machine));
            thread::sleep(Duration::from_millis(50));
        }
    }
    seen
}

/// Counts the requests that are handled as only an older version allows, by status and whether they have run.
fn count(
    site: &Site,
    seen: &[Seen],
    zero: f64,
    report: &mut String,
    is_old: impl Fn(&str, bool) -> bool,
) -> usize {
    let mut old = 0;
    for seen in seen {
        let status = seen.answer.as_ref().map_or("no answer", |(status, _)| status);
        let has_run = !site.record.runs_of(&seen.id).is_empty();
        let sent = seen.sent.unwrap_or(f64::NAN) - zero;
        *report += &format!("{}: sent at {sent:.3} s, {status}, run: {has_run}\n", seen.id);
        old += usize::from(is_old(status, has_run));
    }
    old
}
