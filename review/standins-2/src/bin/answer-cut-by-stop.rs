//! A client reads a whole answer slowly while the node that took its request is stopped as planned.

use review_standins_2::{
    backend::{Backend, Plan},
    client::{self, End, Request},
    deployment::{self, BACKEND, HOST, OUTBOUND, Run, Verdict},
};
use rustix::process::Signal;
use serde_json::json;
use std::{
    io,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

/// Size of an answer.
const ANSWER_BYTES: usize = (32 << 20) - (64 << 10);

/// Speed at which a client reads, 50 Mbit/s; its answer is whole 5.4 s after the request.
const BYTES_PER_S: usize = 6 << 20;

/// Clients that read at the time of the stop.
const CLIENTS: usize = 1;

/// Receive buffer of a client.
const WINDOW: usize = 64 * 1024;

/// Time that clients wait, and the timeout of the route.
const DEADLINE: Duration = Duration::from_secs(8);

/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

fn main() -> ExitCode {
    deployment::main(2, run)
}

fn run(run: &Run) -> io::Result<Verdict> {
    let (record, store) = (&run.record, &run.store);
    let route = json!({"r-receipts": {
        "host": HOST, "prefix": "/receipts/", "kind": "idempotent", "timeout_s": 8,
        "slo_s": 2.5, "priority": 1, "service": "receipts", "attempts": 2,
    }});
    run.configure(3, route, &["pricing", "receipts"]);
    let start = |machine: usize, service: &str, id: &str, answer_bytes| {
        let plan = Plan {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "zone-a".to_owned(),
            address: run.address(machine, BACKEND),
            born: None,
            work: Duration::from_millis(100),
            answer_bytes,
            cold_crash: None,
            is_recorded: true,
        };
        Backend::start(plan, store, record)
    };
    let _pricing = start(0, "pricing", "i-pricing", 100)?;
    let receipts = start(1, "receipts", "i-receipts", ANSWER_BYTES)?;
    let mut entry = run.start_node(0, "pricing", "zone-a")?;
    let _serving = run.start_node(1, "receipts", "zone-a")?;
    thread::sleep(Duration::from_secs(4));

    let node = run.address(0, OUTBOUND);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let request = Request {
                    method: "GET",
                    host: HOST,
                    path: "/receipts/1".to_owned(),
                    id: format!("receipt-{number}"),
                    deadline: DEADLINE,
                };
                let begun = Instant::now();
                record.line(format!("client sends {} and reads 6 MiB/s", request.id));
                let end = match client::connect_with_window(node, DEADLINE, WINDOW) {
                    Ok(stream) => client::send_and_read_slowly(stream, &request, BYTES_PER_S),
                    Err(_) => End::Broken { status: None, bytes: 0, of: 0 },
                };
                let took = begun.elapsed();
                record.line(format!("{} ended after {} ms: {end:?}", request.id, took.as_millis()));
                (request.id, end, took)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let stopped = Instant::now();
    if run.trouble {
        record.line("SIGTERM to the node of the clients");
        entry.signal(Signal::TERM);
        while !entry.has_ended() && stopped.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        record.line(format!(
            "the process is gone {} ms after SIGTERM",
            stopped.elapsed().as_millis()
        ));
        entry.signal(Signal::KILL);
    }

    let mut verdict = Verdict::Held;
    for client in clients {
        let (id, end, took) = client.join().map_err(|_| io::Error::other("a client failed"))?;
        let was_run = receipts.runs().iter().any(|run| run.id == id && run.answered);
        // The deadline and the timeout of the route are excuses; both are 8 s.
        let is_cut = matches!(end, End::Broken { .. }) && took < DEADLINE;
        if was_run && is_cut {
            record.line(format!(
                "LOST: {id} was run and answered, and its client has no whole answer"
            ));
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}
