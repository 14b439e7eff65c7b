//! A backend starts again under its id while the time of day of its machine is back from a step, and drains later.

use review_standins_2::{
    backend::{Backend, Plan},
    client::{self, End, Request},
    deployment::{self, BACKEND, HOST, OUTBOUND, Run, Verdict},
};
use serde_json::json;
use std::{
    io,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// One backend in seven crashes: a share of 0.14.
const MACHINES: usize = 7;

/// Step of the time of day.
const STEP: Duration = Duration::from_millis(2_000);

/// `drain_s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which the backend serves after its report: `drain_s` and a little longer.
const SERVES: Duration = Duration::from_secs(6);

const DEADLINE: Duration = Duration::from_millis(1_200);

fn main() -> ExitCode {
    deployment::main(MACHINES, run)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let routes = json!({"r-redeem": {
        "host": HOST, "prefix": "/redeem/", "kind": "non_idempotent", "timeout_s": 1.2,
        "slo_s": 0.5, "priority": 1, "service": "voucher-desk", "attempts": 2,
    }});
    run.configure(3, routes, &["voucher-desk"]);
    let plan = |machine: usize, born: u64| Plan {
        id: format!("i-desk-{machine}"),
        service: "voucher-desk".to_owned(),
        zone: "zone-a".to_owned(),
        address: run.address(machine, BACKEND),
        born: Some(born),
        work: Duration::from_millis(160),
        answer_bytes: 500,
        cold_crash: None,
        is_recorded: true,
    };
    // The time of day of the last machine is ahead when its backend starts, in the run with the disruption.
    let step = if run.trouble { STEP.as_millis() as u64 } else { 0 };
    let mut backends = Vec::new();
    for machine in 0..MACHINES - 1 {
        backends.push(Backend::start(plan(machine, unix_ms()), &run.store, record)?);
    }
    let mut nodes = Vec::new();
    for machine in 0..MACHINES {
        nodes.push(run.start_node(machine, "voucher-desk", "zone-a")?);
    }
    thread::sleep(Duration::from_secs(2));
    let last = MACHINES - 1;
    let born = unix_ms() + step;
    record.line(format!("i-desk-{last} starts, born {born}"));
    let first = Backend::start(plan(last, born), &run.store, record)?;
    thread::sleep(Duration::from_millis(1_000));
    first.end();
    drop(first);
    thread::sleep(Duration::from_millis(300));
    let born = unix_ms();
    record.line(format!("i-desk-{last} has crashed and starts again, born {born}"));
    let second = Backend::start(plan(last, born), &run.store, record)?;

    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..MACHINES * 4)
        .map(|number| {
            let (record, ended) = (record.clone(), ended.clone());
            let node = run.address(number % MACHINES, OUTBOUND);
            thread::spawn(move || {
                let mut broken = Vec::new();
                for turn in 0.. {
                    if ended.load(Ordering::SeqCst) {
                        break;
                    }
                    let request = Request {
                        method: "POST",
                        host: HOST,
                        path: "/redeem/1".to_owned(),
                        id: format!("redeem-{number}-{turn}"),
                        deadline: DEADLINE,
                    };
                    let sent = Instant::now();
                    let end = match client::connect(node, DEADLINE) {
                        Ok(stream) => client::send(stream, &request, b"coupon=1"),
                        Err(_) => End::Broken { status: None, bytes: 0, of: 0 },
                    };
                    if !matches!(end, End::Answer { status: 200, .. }) {
                        record.line(format!("{} ended: {end:?}", request.id));
                        broken.push((request.id, sent, end));
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                broken
            })
        })
        .collect();
    // Well beyond contact_s after the crash and the step.
    thread::sleep(Duration::from_secs(8));
    second.drain();
    let acknowledged = Instant::now();
    record.line(format!("the store has accepted that i-desk-{last} is draining"));
    thread::sleep(SERVES);
    second.end();
    second.deregister();
    record.line(format!("i-desk-{last} has ended, its entry is removed"));
    thread::sleep(Duration::from_secs(2));
    ended.store(true, Ordering::SeqCst);
    let mut broken = Vec::new();
    for client in clients {
        broken.extend(client.join().map_err(|_| io::Error::other("a client failed"))?);
    }
    let runs = second.runs();
    let before = runs.iter().filter(|run| run.at < acknowledged).count();
    let late: Vec<_> = runs.iter().filter(|run| run.at > acknowledged + DRAIN).collect();
    record.line(format!(
        "i-desk-{last} ran {before} requests before its report and {} later than drain_s after it",
        late.len()
    ));
    for (id, _, end) in &broken {
        if runs.iter().any(|run| run.id == *id) {
            record.line(format!("{id} was run by it and ended as {end:?}"));
        }
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
