//! Clients upload files in chunks, more of them at once than usual; the platform kills a process that exceeds its
//! memory.

use review_standins_2::{
    backend::{Backend, Plan},
    client::{self, End, Framing, Kept, Request},
    deployment::{self, BACKEND, HOST, OUTBOUND, Run, Verdict},
};
use rustix::process::Signal;
use serde_json::json;
use std::{
    env, io,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Size of a file; the operator's limit on bodies is 64 MiB.
const FILE_BYTES: usize = 15 << 20;

/// Speed of a client, 84 Mbit/s; ten of them stay below the link's 1,000 Mbit/s.
const BYTES_PER_S: usize = 10 << 20;

/// Files that are uploaded at once at one machine on a usual day.
const USUAL: usize = 6;

/// The same while many users come at once, 1.67 times as many.
const BURST: usize = 10;

/// Clients of each machine that log covers meanwhile, some six a second each.
const LOGGERS: usize = 4;

/// Machines at which it happens, and how often.
const MACHINES: usize = 2;
const ROUNDS: usize = 14;

/// Time that clients wait, and the timeout of the route.
const DEADLINE: Duration = Duration::from_secs(2);

/// `memory_mb` of the settings.
const MEMORY_BYTES: u64 = 260 << 20;

fn main() -> ExitCode {
    deployment::main(MACHINES, run)
}

fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let routes = json!({
        "r-files": {
            "host": HOST, "prefix": "/files/", "kind": "upload", "timeout_s": 2,
            "slo_s": 0.3, "priority": 1, "service": "groups", "attempts": 2,
        },
        "r-logs": {
            "host": HOST, "prefix": "/logs/", "kind": "non_idempotent", "timeout_s": 1.5,
            "slo_s": 0.25, "priority": 1, "service": "groups", "attempts": 2,
        },
    });
    run.configure(3, routes, &["groups"]);
    let mut backends = Vec::new();
    for machine in 0..MACHINES {
        let plan = Plan {
            id: format!("i-groups-{machine}"),
            service: "groups".to_owned(),
            zone: "zone-a".to_owned(),
            address: run.address(machine, BACKEND),
            born: None,
            work: Duration::from_millis(110),
            answer_bytes: 1_500,
            cold_crash: None,
            is_recorded: true,
        };
        backends.push(Backend::start(plan, &run.store, record)?);
    }
    let mut nodes = Vec::new();
    for machine in 0..MACHINES {
        nodes.push(run.start_node(machine, "groups", "zone-a")?);
    }
    thread::sleep(Duration::from_secs(4));

    let nodes: Vec<_> = nodes.into_iter().map(|node| Arc::new(Mutex::new(node))).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let (peaks, kills): (Vec<_>, Vec<_>) =
        (0..MACHINES).map(|_| (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)))).unzip();
    let platforms: Vec<_> = (0..MACHINES)
        .map(|machine| {
            let (node, record, ended) = (nodes[machine].clone(), record.clone(), ended.clone());
            let (peak, killed) = (peaks[machine].clone(), kills[machine].clone());
            thread::spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let mut node = node.lock().unwrap();
                    let memory = node.memory();
                    peak.fetch_max(memory, Ordering::SeqCst);
                    if memory > MEMORY_BYTES {
                        killed.fetch_add(1, Ordering::SeqCst);
                        record.line(format!(
                            "node {machine} holds {} MiB of {} MiB: the platform kills it",
                            memory >> 20,
                            MEMORY_BYTES >> 20
                        ));
                        node.signal(Signal::KILL);
                        node.wait();
                        thread::sleep(Duration::from_millis(500));
                        let _ = node.restart();
                        let _ = node.wait_until_ready(Duration::from_secs(10));
                    }
                    drop(node);
                    thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();

    let loggers: Vec<_> = (0..MACHINES * LOGGERS)
        .map(|number| {
            let (node, ended) = (run.address(number % MACHINES, OUTBOUND), ended.clone());
            thread::spawn(move || send_logs(node, number, &ended))
        })
        .collect();
    let uploads = if run.trouble { BURST } else { USUAL };
    let mut lost = 0;
    for round in 0..ROUNDS {
        record.line(format!("round {round}: {uploads} files at once at each machine"));
        let clients: Vec<_> = (0..MACHINES * uploads)
            .map(|number| {
                let (machine, record) = (number % MACHINES, record.clone());
                let node = run.address(machine, OUTBOUND);
                thread::spawn(move || upload(node, format!("file-{round}-{number}"), &record))
            })
            .collect();
        for client in clients {
            lost += usize::from(client.join().map_err(|_| io::Error::other("a client failed"))?);
        }
        thread::sleep(Duration::from_secs(2));
    }
    ended.store(true, Ordering::SeqCst);
    for platform in platforms {
        let _ = platform.join();
    }
    let runs: Vec<String> =
        backends.iter().flat_map(|backend| backend.runs()).map(|run| run.id).collect();
    let mut unanswered = 0;
    for logger in loggers {
        for id in logger.join().map_err(|_| io::Error::other("a client failed"))? {
            let was_run = runs.contains(&id);
            unanswered += usize::from(was_run);
            record.line(format!("{id} has no answer; run by a backend: {was_run}"));
        }
    }
    record.line(format!("{unanswered} logged covers were run and not answered"));
    let mut verdict = Verdict::Held;
    for machine in 0..MACHINES {
        let peak = peaks[machine].load(Ordering::SeqCst) >> 20;
        let killed = kills[machine].load(Ordering::SeqCst);
        record.line(format!("node {machine}: at most {peak} MiB seen, ended {killed} times"));
    }
    record.line(format!("{lost} uploads were broken off without an answer"));
    // The rule: on a tenth of the machines, two at least, processes end by themselves three times.
    if kills.iter().filter(|killed| killed.load(Ordering::SeqCst) >= 3).count() >= 2 {
        verdict = Verdict::Broken;
    }
    Ok(verdict)
}

/// Logs covers on a kept connection until the end; returns the ids of those without an answer.
fn send_logs(node: std::net::SocketAddr, number: usize, ended: &AtomicBool) -> Vec<String> {
    let deadline = Duration::from_millis(1_500);
    let (mut kept, mut unanswered) = (None, Vec::new());
    for turn in 0.. {
        if ended.load(Ordering::SeqCst) {
            break;
        }
        let request = Request {
            method: "POST",
            host: HOST,
            path: "/logs/1".to_owned(),
            id: format!("cover-{number}-{turn}"),
            deadline,
        };
        if kept.as_ref().is_none_or(|kept: &Kept| kept.is_closing) {
            kept = Kept::open(node, deadline).ok();
        }
        if let Some(Err(_)) = kept.as_mut().map(|kept| kept.send(&request, "covers=2")) {
            unanswered.push(request.id);
            kept = None;
        }
        thread::sleep(Duration::from_millis(100));
    }
    unanswered
}

/// Returns how bodies are sent: in chunks, or with `FRAMING=length` for comparison with their length.
fn framing() -> Framing {
    match env::var("FRAMING").as_deref() {
        Ok("length") => Framing::Length,
        _ => Framing::Chunks,
    }
}

/// Uploads a file; returns whether the connection ended without an answer.
fn upload(
    node: std::net::SocketAddr,
    id: String,
    record: &review_standins_2::record::Record,
) -> bool {
    let request = Request {
        method: "POST",
        host: HOST,
        path: "/files/day".to_owned(),
        id,
        deadline: DEADLINE,
    };
    let begun = Instant::now();
    let end = match client::connect(node, DEADLINE) {
        Ok(stream) => client::upload(stream, &request, framing(), FILE_BYTES, BYTES_PER_S),
        Err(_) => End::Broken { status: None, bytes: 0, of: 0 },
    };
    record.line(format!("{} ended after {} ms: {end:?}", request.id, begun.elapsed().as_millis()));
    matches!(end, End::Broken { .. })
}
