//! Benchmarks of calls: latency and processor time that the nodes add, and recovery from faults.

use rustix::process::Signal;
use standins::{
    caller::{Call, Caller},
    mesh::{Mesh, Settings, places},
    upstream::{self, Mode},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

use super::report::{Line, Report, Times};
use crate::tools::{Failure, require};

/// Upstreams of the called service.
const UPSTREAMS: usize = 4;

/// Concurrency limit of each upstream.
const SLOTS: usize = 10;

/// Service time of a request at an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Duration of each load.
const RUN_TIME: Duration = Duration::from_secs(4);
const READY_LIMIT: Duration = Duration::from_secs(30);
const PROFILE: &str = r#"{"deadline_ms": 1500}"#;

/// Name of the load with two callers.
const LIGHT: &str = "light";

/// Loads and their parallel callers; a numeric name gives them in per cent of all slots.
const LOADS: [(&str, usize); 3] =
    [(LIGHT, 2), ("80", UPSTREAMS * SLOTS * 80 / 100), ("150", UPSTREAMS * SLOTS * 150 / 100)];

/// A fault of one of the four upstreams or of its node.
#[derive(Clone, Copy, Debug)]
enum Fault {
    NodeKilled,
    NodeFrozen,
    UpstreamKilled,
    UpstreamFrozen,
    UpstreamSilent,
    TenTimesSlower,
}

const FAULTS: [(&str, Fault); 6] = [
    ("node-killed", Fault::NodeKilled),
    ("node-frozen", Fault::NodeFrozen),
    ("upstream-killed", Fault::UpstreamKilled),
    ("upstream-frozen", Fault::UpstreamFrozen),
    ("upstream-silent", Fault::UpstreamSilent),
    ("ten-times-slower", Fault::TenTimesSlower),
];

/// A finished call.
#[derive(Clone, Copy, Debug)]
struct Sample {
    started: Instant,
    elapsed: Duration,
    answered: bool,
}

/// Measures added latency at each load and recovery from each fault.
pub(crate) fn run(programs: &Path, report: &mut Report) -> Result<(), Failure> {
    let mesh = start(programs)?;
    for (name, callers) in LOADS {
        measure_latency(&mesh, name, callers, report);
    }
    drop(mesh);
    for (name, fault) in FAULTS {
        let mut mesh = start(programs)?;
        measure_recovery(&mut mesh, name, fault, report)?;
    }
    Ok(())
}

fn start(programs: &Path) -> Result<Mesh, Failure> {
    let mut instances = places(&["shelfview"], &["ktm-a"], 1);
    instances.extend(places(&["paydesk"], &["ktm-a"], UPSTREAMS));
    let settings = Settings {
        daemon: programs.join("baobabrelayd"),
        instances,
        upstream: upstream::Settings {
            service_time: SERVICE_TIME,
            slots: SLOTS,
            ..upstream::Settings::default()
        },
        traffic_threads: 1,
        ..Settings::default()
    };
    let mesh = Mesh::start(&settings)?;
    let revision = mesh.platform.publish(&[
        ("profiles/p", Some(PROFILE)),
        ("services/paydesk", Some(r#"{"profile": "p"}"#)),
        ("services/shelfview", Some(r#"{"profile": "p"}"#)),
    ]);
    let ready = mesh
        .wait_in_force(revision, READY_LIMIT)
        .and_then(|_| mesh.wait_upstreams("paydesk", UPSTREAMS, READY_LIMIT));
    require(ready, "the mesh did not become ready")?;
    // The slow start of the upstreams ends within this time.
    thread::sleep(Duration::from_secs(2));
    Ok(mesh)
}

fn measure_latency(mesh: &Mesh, load: &str, callers: usize, report: &mut Report) {
    // At light load the upstreams answer without a delay, since the stand-ins' timers have a resolution
    // of 1 ms, which would hide the latency that the nodes add.
    let service_time = if load == LIGHT { Duration::ZERO } else { SERVICE_TIME };
    mesh.instances.iter().for_each(|instance| instance.upstream.set_service_time(service_time));
    let upstreams: Vec<SocketAddr> =
        mesh.instances[1..].iter().map(|instance| instance.upstream.address()).collect();
    let direct = run_callers(mesh, callers, "/balance", move |i| upstreams[i % UPSTREAMS]);
    let entry = mesh.instances[0].traffic;
    let before = processor_times(mesh);
    let proxied = run_callers(mesh, callers, "/paydesk/balance", move |_| entry);
    let after = processor_times(mesh);
    let (baseline, times) = (latencies(&direct), latencies(&proxied));
    let answered = proxied.iter().filter(|sample| sample.answered).count();
    report.add(
        Line::new("added_latency_ms", mesh.instances.len())
            .word("load", load)
            .figure("p50", times.ms(50.0) - baseline.ms(50.0))
            .figure("p99", times.ms(99.0) - baseline.ms(99.0))
            .figure("through_p99", times.ms(99.0))
            .figure("baseline_p99", baseline.ms(99.0))
            .count("trials", times.count())
            .figure("calls_per_s", answered as f64 / RUN_TIME.as_secs_f64())
            .figure("not_answered_percent", 100.0 * (1.0 - answered as f64 / proxied.len() as f64)),
    );
    let used: Vec<f64> = after.iter().zip(&before).map(|(after, before)| after - before).collect();
    let per_call = |seconds: f64| 1e6 * seconds / proxied.len() as f64;
    report.add(
        Line::new("processor_us_per_call", mesh.instances.len())
            .word("load", load)
            .figure("entry", per_call(used[0]))
            .figure("serving", per_call(used[1..].iter().sum())),
    );
}

/// Returns the processor time that each node's process has used, in seconds.
fn processor_times(mesh: &Mesh) -> Vec<f64> {
    let used = |node: usize| {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", mesh.pid(node)?)).ok()?;
        let nanoseconds = tasks.flatten().filter_map(|task| {
            let times = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            times.split_whitespace().next()?.parse::<u64>().ok()
        });
        Some(nanoseconds.sum::<u64>() as f64 / 1e9)
    };
    (0..mesh.instances.len()).map(|node| used(node).unwrap_or(0.0)).collect()
}

/// Runs `callers` parallel callers for [`RUN_TIME`]; each makes one call at a time.
fn run_callers(
    mesh: &Mesh,
    callers: usize,
    path: &str,
    target: impl Fn(usize) -> SocketAddr,
) -> Vec<Sample> {
    let until = Instant::now() + RUN_TIME;
    let tasks: Vec<_> = (0..callers)
        .map(|i| {
            let call = Call::get(path);
            mesh.runtime().spawn(call_while(target(i), call, move || Instant::now() < until))
        })
        .collect();
    join(mesh, tasks)
}

fn join(mesh: &Mesh, tasks: Vec<JoinHandle<Vec<Sample>>>) -> Vec<Sample> {
    tasks.into_iter().flat_map(|task| mesh.runtime().block_on(task).unwrap_or_default()).collect()
}

async fn call_while(target: SocketAddr, call: Call, keep_going: impl Fn() -> bool) -> Vec<Sample> {
    let mut caller = Caller::new(target);
    let mut samples = Vec::new();
    while keep_going() {
        let started = Instant::now();
        let answer = caller.call(&call).await;
        let elapsed = started.elapsed();
        // An upstream that is called directly sends no outcome header.
        let answered = answer.as_ref().is_ok_and(|a| a.status == 200);
        samples.push(Sample { started, elapsed, answered });
        if !answered {
            // Prevents a busy loop of refused calls.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    samples
}

fn measure_recovery(
    mesh: &mut Mesh,
    name: &str,
    fault: Fault,
    report: &mut Report,
) -> Result<(), Failure> {
    let running = Arc::new(AtomicBool::new(true));
    let entry = mesh.instances[0].traffic;
    let spawn = |call: Call| {
        let running = running.clone();
        mesh.runtime().spawn(call_while(entry, call, move || running.load(Ordering::SeqCst)))
    };
    let reads: Vec<_> = (0..8).map(|_| spawn(Call::get("/paydesk/balance"))).collect();
    let posts: Vec<_> = (0..8).map(|_| spawn(Call::post("/paydesk/pay", "w"))).collect();
    thread::sleep(Duration::from_secs(1));
    let started = Instant::now();
    inject(mesh, fault)?;
    thread::sleep(Duration::from_secs(5));
    running.store(false, Ordering::SeqCst);
    let reads: Vec<Sample> = join(mesh, reads);
    let posts: Vec<Sample> = join(mesh, posts);
    for (kind, samples) in [("reads", &reads), ("posts", &posts)] {
        let failed: Vec<&Sample> = samples.iter().filter(|sample| !sample.answered).collect();
        let last_failed_start =
            failed.iter().map(|sample| sample.started.duration_since(started)).max();
        let last_reported = failed
            .iter()
            .map(|sample| (sample.started + sample.elapsed).duration_since(started))
            .max();
        let after: Vec<Sample> =
            samples.iter().copied().filter(|sample| sample.started >= started).collect();
        report.add(
            Line::new("recovery_ms", mesh.instances.len())
                .word("fault", name)
                .word("calls", kind)
                .figure("value", last_failed_start.unwrap_or_default().as_secs_f64() * 1e3)
                .figure("last_told_ms", last_reported.unwrap_or_default().as_secs_f64() * 1e3)
                .count("failed", failed.len() as u64)
                .count("made", samples.len() as u64)
                .figure("p99_after", latencies(&after).ms(99.0)),
        );
    }
    Ok(())
}

fn inject(mesh: &mut Mesh, fault: Fault) -> Result<(), Failure> {
    let target = 2;
    let upstream = mesh.instances[target].upstream.clone();
    match fault {
        Fault::NodeKilled => mesh.kill_node(target)?,
        Fault::NodeFrozen => mesh.signal_node(target, Signal::STOP)?,
        Fault::UpstreamKilled => upstream.kill(),
        Fault::UpstreamFrozen => upstream.set_mode(Mode::Frozen),
        Fault::UpstreamSilent => upstream.set_mode(Mode::Silent),
        Fault::TenTimesSlower => upstream.set_service_time(SERVICE_TIME * 10),
    }
    Ok(())
}

fn latencies(samples: &[Sample]) -> Times {
    let mut times = Times::default();
    samples.iter().filter(|sample| sample.answered).for_each(|sample| times.add(sample.elapsed));
    times
}
