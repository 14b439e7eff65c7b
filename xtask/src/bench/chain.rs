//! Calls through a chain of services: added time per hop, and calls at each level when the last
//! service fails.

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

/// Depth of the chain, as deep as the users' calls go.
const DEPTH: usize = 27;

/// Upstreams of each service, so that there is another one to retry at.
const WIDTH: usize = 2;

const CALLS: u64 = 200;
const LIMIT: Duration = Duration::from_secs(30);
const PROFILE: &str = r#"{"deadline_ms": 10000}"#;

/// Measures a whole chain, then one whose last service breaks off every call.
pub(crate) fn run(programs: &Path, report: &mut Report) -> Result<(), Failure> {
    let mesh = start(programs)?;
    let times = drive(&mesh, CALLS);
    report.add(
        Line::new("chain_ms", mesh.instances.len())
            .count("depth", DEPTH as u64)
            .times(&times)
            .figure("p50_per_hop", times.ms(50.0) / DEPTH as f64),
    );
    let before = runs(&mesh);
    for instance in &mesh.instances[(DEPTH - 1) * WIDTH..] {
        instance.upstream.set_mode(Mode::CloseAfter);
    }
    drive(&mesh, CALLS);
    let after = runs(&mesh);
    let calls: Vec<u64> = after.iter().zip(&before).map(|(b, a)| b - a).collect();
    let inner = calls[..DEPTH - 1].iter().copied().max().unwrap_or(0);
    report.add(
        Line::new("chain_calls", mesh.instances.len())
            .count("depth", DEPTH as u64)
            .count("calls", CALLS)
            .count("most_at_inner_level", inner)
            .count("at_failing_leaf", calls[DEPTH - 1]),
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
        .wait_in_force(revision, LIMIT)
        .and_then(|_| mesh.wait_upstreams("level-26", WIDTH, LIMIT));
    require(ready, "the chain does not get ready")?;
    thread::sleep(Duration::from_secs(3));
    Ok(mesh)
}

fn drive(mesh: &Mesh, calls: u64) -> Times {
    let entry = mesh.instances[0].traffic;
    mesh.runtime().block_on(async {
        let mut times = Times::default();
        let mut caller = Caller::new(entry);
        for _ in 0..calls {
            let begun = Instant::now();
            if caller.call(&Call::get("/level-0/x")).await.is_ok_and(|a| a.status == 200) {
                times.add(begun.elapsed());
            }
        }
        times
    })
}

/// Returns the calls that were run at each level.
fn runs(mesh: &Mesh) -> Vec<u64> {
    mesh.instances
        .chunks(WIDTH)
        .map(|level| level.iter().map(|instance| instance.upstream.ledger().runs).sum())
        .collect()
}
