//! Benchmarks of calls through a chain of services: added latency per hop, and retry amplification
//! when the last service fails.

use standins::{
    caller::{Call, Caller},
    mesh::{Mesh, Place, Settings},
    upstream::{Mode, Nested},
};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use super::report::{Line, Report, Times};
use crate::tools::{Failure, require};

/// Services in the chain.
const DEPTH: usize = 27;

/// Upstreams of each service; a second one makes retries possible.
const WIDTH: usize = 2;

/// Calls of each measurement.
const CALLS: u64 = 200;

const READY_LIMIT: Duration = Duration::from_secs(30);
const PROFILE: &str = r#"{"deadline_ms": 10000}"#;

/// Measures a healthy chain, then one whose last service closes the connection of every call.
pub(crate) fn run(programs: &Path, report: &mut Report) -> Result<(), Failure> {
    let mesh = start(programs)?;
    let times = make_calls(&mesh, CALLS);
    report.add(
        Line::new("chain_ms", mesh.instances.len())
            .count("depth", DEPTH as u64)
            .times(&times)
            .figure("p50_per_hop", times.ms(50.0) / DEPTH as f64),
    );
    let before = runs_per_level(&mesh);
    for instance in &mesh.instances[(DEPTH - 1) * WIDTH..] {
        instance.upstream.set_mode(Mode::CloseAfter);
    }
    make_calls(&mesh, CALLS);
    let after = runs_per_level(&mesh);
    let runs: Vec<u64> = after.iter().zip(&before).map(|(after, before)| after - before).collect();
    let max_inner = runs[..DEPTH - 1].iter().copied().max().unwrap_or(0);
    report.add(
        Line::new("chain_calls", mesh.instances.len())
            .count("depth", DEPTH as u64)
            .count("calls", CALLS)
            .count("most_at_inner_level", max_inner)
            .count("at_failing_leaf", runs[DEPTH - 1]),
    );
    Ok(())
}

fn start(programs: &Path) -> Result<Mesh, Failure> {
    let name = |level: usize| format!("level-{level}");
    let instances = (0..DEPTH * WIDTH)
        .map(|i| Place { service: name(i / WIDTH), data_centre: "ktm-a".to_owned() })
        .collect();
    let settings =
        Settings { daemon: programs.join("baobabrelayd"), instances, ..Settings::default() };
    let mesh = Mesh::start(&settings)?;
    for (i, instance) in mesh.instances.iter().enumerate().take((DEPTH - 1) * WIDTH) {
        let path = format!("/{}/x", name(i / WIDTH + 1));
        instance.upstream.set_nested(Nested { node: instance.traffic, path });
    }
    let keys: Vec<String> = (0..DEPTH).map(|level| format!("services/{}", name(level))).collect();
    let mut documents = vec![("profiles/p", Some(PROFILE))];
    documents.extend(keys.iter().map(|key| (key.as_str(), Some(r#"{"profile": "p"}"#))));
    let revision = mesh.platform.publish(&documents);
    let ready = mesh
        .wait_in_force(revision, READY_LIMIT)
        .and_then(|_| mesh.wait_upstreams("level-26", WIDTH, READY_LIMIT));
    require(ready, "the chain did not become ready")?;
    thread::sleep(Duration::from_secs(3));
    Ok(mesh)
}

fn make_calls(mesh: &Mesh, calls: u64) -> Times {
    let entry = mesh.instances[0].traffic;
    mesh.runtime().block_on(async {
        let mut times = Times::default();
        let mut caller = Caller::new(entry);
        for _ in 0..calls {
            let started = Instant::now();
            if caller.call(&Call::get("/level-0/x")).await.is_ok_and(|a| a.status == 200) {
                times.add(started.elapsed());
            }
        }
        times
    })
}

/// Returns the number of requests that the upstreams of each level have run.
fn runs_per_level(mesh: &Mesh) -> Vec<u64> {
    mesh.instances
        .chunks(WIDTH)
        .map(|level| level.iter().map(|instance| instance.upstream.ledger().runs).sum())
        .collect()
}
