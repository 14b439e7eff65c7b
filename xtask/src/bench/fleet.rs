//! Measures of fleets of real processes: convergence, bytes, reads, processor time, memory, herds.

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

const CHANGES: u64 = 25;
const SERVICES: [&str; 5] = ["shelfview", "paydesk", "ledgerhub", "forecast", "groups"];
const DATA_CENTRES: [&str; 2] = ["ktm-a", "lalitpur-b"];
const SETTLE: Duration = Duration::from_secs(8);
const IDLE: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(250);
const LIMIT: Duration = Duration::from_secs(30);

/// Measures a fleet of `count` nodes.
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
    require(mesh.wait_in_force(revision, LIMIT), "the first version does not come into force")?;
    thread::sleep(SETTLE);
    idle(&mesh, count, report)?;
    changes(&mesh, count, report)?;
    herd(&mut mesh, count, report)
}

fn publish_first(mesh: &Mesh) -> u64 {
    let services: Vec<String> = SERVICES.iter().map(|s| format!("services/{s}")).collect();
    let mut documents = vec![("profiles/base", Some(r#"{"deadline_ms": 1000}"#))];
    documents.extend(services.iter().map(|key| (key.as_str(), Some(r#"{"profile": "base"}"#))));
    mesh.platform.publish(&documents)
}

fn idle(mesh: &Mesh, count: usize, report: &mut Report) -> Result<(), Failure> {
    let cpu_before = control_seconds(mesh);
    let (bytes, reads, begun) = (loopback_bytes()?, mesh.platform.reads(), Instant::now());
    thread::sleep(IDLE);
    let span = begun.elapsed().as_secs_f64();
    let moved = loopback_bytes()? - bytes;
    let read = mesh.platform.reads() - reads;
    let cpu = control_seconds(mesh).iter().zip(&cpu_before).map(|(b, a)| b - a).fold(0.0, f64::max);
    report.add(
        Line::new("control_bytes_per_s", count)
            .figure("value", per_node(moved, count) / span)
            .word("counted", "loopback interface, sent and received, headers included"),
    );
    report.add(Line::new("source_reads_per_s", count).figure("value", read as f64 / span));
    report.add(Line::new("control_cpu_percent", count).figure("value", 100.0 * cpu / span));
    let memory =
        (0..mesh.instances.len()).filter_map(|i| memory_mb(mesh.pid(i)?)).fold(0.0, f64::max);
    report.add(Line::new("node_memory_mb", count).figure("value", memory));
    Ok(())
}

fn changes(mesh: &Mesh, count: usize, report: &mut Report) -> Result<(), Failure> {
    let mut times = Times::default();
    let (bytes, begun) = (loopback_bytes()?, Instant::now());
    let mut published = Vec::new();
    for change in 1..=CHANGES {
        let text = format!(r#"{{"deadline_ms": {}}}"#, 1_000 + change);
        let at = wall_ms();
        published.push((mesh.platform.publish(&[("profiles/base", Some(&text))]), at));
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_secs(2));
    let (moved, span) = (loopback_bytes()? - bytes, begun.elapsed().as_secs_f64());
    let arrivals: Vec<Vec<(u64, u64)>> =
        (0..mesh.instances.len()).map(|i| arrivals(mesh, i)).collect();
    for (revision, at) in published {
        let reached = |node: &Vec<(u64, u64)>| {
            node.iter().find(|(held, _)| *held >= revision).map(|(_, when)| *when)
        };
        let last: Option<Vec<u64>> = arrivals.iter().map(reached).collect();
        let last = last.and_then(|all| all.into_iter().max());
        let last = require(last, "a change did not reach every node")?;
        times.add(Duration::from_millis(last.saturating_sub(at)));
    }
    report.add(Line::new("convergence_ms", count).times(&times));
    report.add(
        Line::new("control_bytes_per_change", count)
            .figure("value", per_node(moved, count) / CHANGES as f64)
            .figure("seconds", span)
            .word("counted", "all bytes of the span divided by its changes, idle bytes included"),
    );
    Ok(())
}

/// Kills and restarts every node at once.
fn herd(mesh: &mut Mesh, count: usize, report: &mut Report) -> Result<(), Failure> {
    let newest = mesh.platform.publish(&[("profiles/base", Some(r#"{"deadline_ms": 9000}"#))]);
    require(mesh.wait_in_force(newest, LIMIT), "a version does not come into force")?;
    for node in 0..mesh.instances.len() {
        mesh.kill_node(node)?;
    }
    mesh.platform.take_peak();
    let begun = wall_ms();
    for node in 0..mesh.instances.len() {
        mesh.start_node(node)?;
    }
    let started = wall_ms();
    require(mesh.wait_in_force(newest, LIMIT), "the herd does not come back")?;
    let last = (0..mesh.instances.len())
        .filter_map(|i| arrivals(mesh, i).into_iter().find(|(held, _)| *held >= newest))
        .map(|(_, when)| when)
        .max()
        .unwrap_or(begun);
    report.add(
        Line::new("herd_restart_ms", count)
            .figure("value", last.saturating_sub(begun) as f64)
            .figure("starting_processes_ms", (started - begun) as f64)
            .count("peak_reads_per_s", mesh.platform.take_peak() as u64),
    );
    Ok(())
}

/// Returns the revisions that came into force at a node, with the wall clock in ms.
fn arrivals(mesh: &Mesh, node: usize) -> Vec<(u64, u64)> {
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

/// Returns the processor time of the control part of each node, in seconds.
fn control_seconds(mesh: &Mesh) -> Vec<f64> {
    (0..mesh.instances.len())
        .map(|node| {
            let metrics = mesh.page(node, "/metrics").unwrap_or_default();
            let line = metrics.lines().find(|line| line.starts_with("baobabrelay_control_cpu"));
            line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
        })
        .collect()
}

/// Returns the bytes that the loopback interface has sent so far.
fn loopback_bytes() -> Result<u64, Failure> {
    let table = fs::read_to_string("/proc/net/dev")?;
    let line = table.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let sent = line.and_then(|line| line.split_whitespace().nth(8)?.parse().ok());
    require(sent, "the loopback interface's counters cannot be read")
}

/// Each byte on the loopback interface was sent by one process and received by another.
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
