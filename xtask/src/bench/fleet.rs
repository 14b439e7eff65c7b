//! Benchmarks of fleets of real processes: convergence time, control traffic, platform reads,
//! processor time, memory and mass restart.

use fleet::timeline::{Event, Kind};
use standins::{
    mesh::{Mesh, Settings, places},
    upstream,
};
use std::{
    fs,
    path::Path,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use super::report::{Line, Report, Times};
use crate::tools::{Failure, require};

/// Published changes, one every [`CHANGE_INTERVAL`].
const CHANGES: u64 = 25;

const SERVICES: [&str; 5] = ["shelfview", "paydesk", "ledgerhub", "forecast", "groups"];
const DATA_CENTRES: [&str; 2] = ["ktm-a", "lalitpur-b"];

/// Time after the first version before the idle fleet is measured.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Duration of the measurement of the idle fleet.
const IDLE_TIME: Duration = Duration::from_secs(10);

const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(30);

/// Runs the benchmarks with `count` nodes.
pub(crate) fn run(programs: &Path, count: usize, report: &mut Report) -> Result<(), Failure> {
    let mut instances = places(&SERVICES, &DATA_CENTRES, count.div_ceil(10));
    instances.truncate(count);
    let settings = Settings {
        daemon: programs.join("baobabrelayd"),
        instances,
        upstream: upstream::Settings::default(),
        ..Settings::default()
    };
    let mut mesh = Mesh::start(&settings)?;
    let revision = publish_first(&mesh);
    require(
        mesh.wait_in_force(revision, CONVERGENCE_LIMIT),
        "the first version did not come into force at every node",
    )?;
    thread::sleep(SETTLE_TIME);
    measure_idle(&mesh, count, report)?;
    measure_changes(&mesh, count, report)?;
    restart_all(&mut mesh, count, report)
}

fn publish_first(mesh: &Mesh) -> u64 {
    let services: Vec<String> = SERVICES.iter().map(|s| format!("services/{s}")).collect();
    let mut documents = vec![("profiles/base", Some(r#"{"deadline_ms": 1000}"#))];
    documents.extend(services.iter().map(|key| (key.as_str(), Some(r#"{"profile": "base"}"#))));
    mesh.platform.publish(&documents)
}

fn measure_idle(mesh: &Mesh, count: usize, report: &mut Report) -> Result<(), Failure> {
    let cpu_before = control_seconds(mesh);
    let (bytes_before, reads_before, started) =
        (loopback_bytes()?, mesh.platform.reads(), Instant::now());
    thread::sleep(IDLE_TIME);
    let seconds = started.elapsed().as_secs_f64();
    let bytes_moved = loopback_bytes()? - bytes_before;
    let new_reads = mesh.platform.reads() - reads_before;
    let cpu = control_seconds(mesh)
        .iter()
        .zip(&cpu_before)
        .map(|(after, before)| after - before)
        .fold(0.0, f64::max);
    report.add(
        Line::new("control_bytes_per_s", count)
            .figure("value", per_node(bytes_moved, count) / seconds)
            .word("counted", "loopback interface, sent and received, headers included"),
    );
    report.add(Line::new("source_reads_per_s", count).figure("value", new_reads as f64 / seconds));
    report.add(Line::new("control_cpu_percent", count).figure("value", 100.0 * cpu / seconds));
    let memory =
        (0..mesh.instances.len()).filter_map(|i| memory_mb(mesh.pid(i)?)).fold(0.0, f64::max);
    report.add(Line::new("node_memory_mb", count).figure("value", memory));
    Ok(())
}

fn measure_changes(mesh: &Mesh, count: usize, report: &mut Report) -> Result<(), Failure> {
    let mut times = Times::default();
    let (bytes_before, started) = (loopback_bytes()?, Instant::now());
    let mut published = Vec::new();
    for change in 1..=CHANGES {
        let text = format!(r#"{{"deadline_ms": {}}}"#, 1_000 + change);
        let at = wall_ms();
        published.push((mesh.platform.publish(&[("profiles/base", Some(&text))]), at));
        thread::sleep(CHANGE_INTERVAL);
    }
    thread::sleep(Duration::from_secs(2));
    let (bytes_moved, seconds) =
        (loopback_bytes()? - bytes_before, started.elapsed().as_secs_f64());
    let in_force: Vec<Vec<(u64, u64)>> =
        (0..mesh.instances.len()).map(|i| versions_in_force(mesh, i)).collect();
    for (revision, at) in published {
        let in_force_at = |node: &Vec<(u64, u64)>| {
            node.iter().find(|(current, _)| *current >= revision).map(|(_, at)| *at)
        };
        let last: Option<Vec<u64>> = in_force.iter().map(in_force_at).collect();
        let last = last.and_then(|all| all.into_iter().max());
        let last = require(
            last,
            &format!("revision {revision} did not come into force at every node in time"),
        )?;
        times.add(Duration::from_millis(last.saturating_sub(at)));
    }
    report.add(Line::new("convergence_ms", count).times(&times));
    report.add(
        Line::new("control_bytes_per_change", count)
            .figure("value", per_node(bytes_moved, count) / CHANGES as f64)
            .figure("seconds", seconds)
            .word("counted", "all bytes of the span divided by its changes, idle bytes included"),
    );
    Ok(())
}

/// Kills all nodes, restarts them at once and measures the time until all have the newest version.
fn restart_all(mesh: &mut Mesh, count: usize, report: &mut Report) -> Result<(), Failure> {
    let newest = mesh.platform.publish(&[("profiles/base", Some(r#"{"deadline_ms": 9000}"#))]);
    require(
        mesh.wait_in_force(newest, CONVERGENCE_LIMIT),
        "the version before the restart did not come into force at every node",
    )?;
    for node in 0..mesh.instances.len() {
        mesh.kill_node(node)?;
    }
    mesh.platform.take_peak();
    let begin_ms = wall_ms();
    for node in 0..mesh.instances.len() {
        mesh.start_node(node)?;
    }
    let spawned_ms = wall_ms();
    require(
        mesh.wait_in_force(newest, CONVERGENCE_LIMIT),
        "the nodes did not return to the newest version after the restart",
    )?;
    let last = (0..mesh.instances.len())
        .filter_map(|i| {
            versions_in_force(mesh, i).into_iter().find(|(revision, _)| *revision >= newest)
        })
        .map(|(_, at)| at)
        .max()
        .unwrap_or(begin_ms);
    report.add(
        Line::new("herd_restart_ms", count)
            .figure("value", last.saturating_sub(begin_ms) as f64)
            .figure("starting_processes_ms", (spawned_ms - begin_ms) as f64)
            .count("peak_reads_per_s", mesh.platform.take_peak() as u64),
    );
    Ok(())
}

/// Returns the revisions that came into force at a node, each with its time in ms of Unix time.
fn versions_in_force(mesh: &Mesh, node: usize) -> Vec<(u64, u64)> {
    let page = mesh.page(node, "/timeline?scope=node").unwrap_or_default();
    let events: Vec<Event> = serde_json::from_str(&page).unwrap_or_default();
    events
        .iter()
        .filter_map(|event| match event.kind {
            Kind::InForce { version, .. } => Some((version.revision, event.stamp.wall_ms())),
            _ => None,
        })
        .collect()
}

/// Returns the processor time that the control plane of each node has used, in seconds.
fn control_seconds(mesh: &Mesh) -> Vec<f64> {
    (0..mesh.instances.len())
        .map(|node| {
            let metrics = mesh.page(node, "/metrics").unwrap_or_default();
            let line = metrics.lines().find(|line| line.starts_with("baobabrelay_control_cpu"));
            line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
        })
        .collect()
}

/// Returns the bytes that the loopback interface has sent.
fn loopback_bytes() -> Result<u64, Failure> {
    let table = fs::read_to_string("/proc/net/dev")?;
    let line = table.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let sent = line.and_then(|line| line.split_whitespace().nth(8)?.parse().ok());
    require(sent, "/proc/net/dev has no counters of the loopback interface")
}

/// Returns the bytes per node; each loopback byte counts for its sender and its receiver.
fn per_node(bytes: u64, count: usize) -> f64 {
    2.0 * bytes as f64 / count as f64
}

fn memory_mb(pid: u32) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes / 1_024.0)
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
