//! A backend becomes cold again; its health answers say so at once, its entry with its next heartbeat.

use review_standins_2::{
    backend::{Backend, Plan},
    client::{Kept, Request},
    deployment::{self, BACKEND, HOST, OUTBOUND, Run, Verdict},
};
use serde_json::json;
use std::{
    env, io,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const MACHINES: usize = 3;

/// Clients of each machine; each sends 20 requests a second.
const CLIENTS: usize = 16;

const INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the backend is cold, `cold_start_s`.
const COLD: Duration = Duration::from_secs(3);

/// Time from the moment at which it becomes cold to its next heartbeat; `heartbeat_s` is 1.5 s.
const NEXT_BEAT: Duration = Duration::from_millis(1_200);

/// Requests in a second at which the cold backend crashes, well above both `cold_per_s` and the bound.
const COLD_CRASH: usize = 250;

/// `cold_excess` and `cold_slack`.
const EXCESS: f64 = 1.5;
const SLACK: f64 = 8.0;

fn main() -> ExitCode {
    deployment::main(MACHINES, run)
}

fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let cold_per_s =
        env::var("COLD_PER_S").ok().and_then(|text| text.parse().ok()).unwrap_or(100.0);
    let routes = json!({"r-checks": {
        "host": HOST, "prefix": "/checks/", "kind": "non_idempotent", "timeout_s": 1.5,
        "slo_s": 0.3, "priority": 1, "service": "ledgerhub", "attempts": 2,
    }});
    run.configure_cold(3, routes, &["ledgerhub"], cold_per_s);
    let mut backends = Vec::new();
    for machine in 0..MACHINES {
        let plan = Plan {
            id: format!("i-hub-{machine}"),
            service: "ledgerhub".to_owned(),
            zone: "zone-a".to_owned(),
            address: run.address(machine, BACKEND),
            born: None,
            work: Duration::from_millis(5),
            answer_bytes: 400,
            cold_crash: run.trouble.then_some(COLD_CRASH).filter(|_| machine == 0),
            is_recorded: false,
        };
        backends.push(Backend::start(plan, &run.store, record)?);
    }
    let mut nodes = Vec::new();
    for machine in 0..MACHINES {
        nodes.push(run.start_node(machine, "ledgerhub", "zone-a")?);
    }
    thread::sleep(Duration::from_secs(2));
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..MACHINES * CLIENTS)
        .map(|number| {
            let (node, ended) = (run.address(number % MACHINES, OUTBOUND), ended.clone());
            thread::spawn(move || send_requests(node, number, &ended))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let cold_at = Instant::now();
    if run.trouble {
        backends[0].become_cold(COLD);
        record.line("i-hub-0 is cold again for 3 s");
    }
    thread::sleep(NEXT_BEAT);
    if !backends[0].has_ended() {
        backends[0].beat(5);
        record.line("i-hub-0 writes its entry");
    }
    thread::sleep(COLD - NEXT_BEAT + Duration::from_secs(1));
    ended.store(true, Ordering::SeqCst);
    let tallies: Vec<Tally> =
        clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    let answered: usize = tallies.iter().map(|tally| tally.answered).sum();
    record.line(format!("{answered} requests were answered in all"));
    let runs = backends[0].runs();
    for (id, end) in tallies.iter().flat_map(|tally| &tally.failed) {
        let was_run = runs.iter().any(|run| run.id == *id);
        let note = if was_run { ", after i-hub-0 had begun to run it" } else { "" };
        record.line(format!("{id} ended: {end}{note}"));
    }
    let bound = (cold_per_s * EXCESS + SLACK) as usize;
    let arrivals: Vec<Instant> =
        runs.iter().map(|run| run.at).filter(|at| *at >= cold_at && *at < cold_at + COLD).collect();
    let within = |begin: &Instant| {
        arrivals.iter().filter(|at| *at >= begin && **at < *begin + Duration::from_secs(1)).count()
    };
    let most = arrivals.iter().map(within).max().unwrap_or(0);
    let probes = backends[0].probes.lock().unwrap().clone();
    let probed = probes.iter().filter(|at| **at >= cold_at && **at < cold_at + COLD).count();
    record.line(format!("{} health probes in all, {probed} in these 3 s", probes.len()));
    record.line(format!("at most {most} requests reached i-hub-0 in one of these seconds"));
    record.line(format!("bound while it is cold: {cold_per_s} x {EXCESS} + {SLACK} = {bound}"));
    Ok(if run.trouble && most > bound { Verdict::Broken } else { Verdict::Held })
}

/// How the requests of one client ended.
#[derive(Default)]
struct Tally {
    answered: usize,
    /// Those without an answer of a backend, with what the client got.
    failed: Vec<(String, String)>,
}

/// Sends requests on a kept connection until the end.
fn send_requests(node: std::net::SocketAddr, number: usize, ended: &AtomicBool) -> Tally {
    let deadline = Duration::from_millis(1_500);
    let (mut kept, mut tally) = (None, Tally::default());
    for turn in 0.. {
        if ended.load(Ordering::SeqCst) {
            break;
        }
        let due = Instant::now() + INTERVAL;
        let request = Request {
            method: "POST",
            host: HOST,
            path: "/checks/1".to_owned(),
            id: format!("check-{number}-{turn}"),
            deadline,
        };
        if kept.as_ref().is_none_or(|kept: &Kept| kept.is_closing) {
            kept = Kept::open(node, deadline).ok();
        }
        match kept.as_mut().map(|kept| kept.send(&request, "amount=1")) {
            Some(Ok(200)) => tally.answered += 1,
            Some(Ok(status)) => tally.failed.push((request.id, status.to_string())),
            Some(Err(error)) => {
                tally.failed.push((request.id, error.to_string()));
                kept = None;
            }
            None => {}
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    tally
}
