//! Measures of calls: added latency, and recovery when an upstream fails.

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

const UPSTREAMS: usize = 4;
const SLOTS: usize = 10;
const WORK: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_secs(4);
const LIMIT: Duration = Duration::from_secs(30);
const PROFILE: &str = r#"{"deadline_ms": 1500}"#;

/// Name of the load of two callers.
const LIGHT: &str = "light";

/// Parallel callers per load, in per cent of all slots; light load is two callers.
const LOADS: [(&str, usize); 3] =
    [(LIGHT, 2), ("80", UPSTREAMS * SLOTS * 80 / 100), ("150", UPSTREAMS * SLOTS * 150 / 100)];

/// A way in which one of four upstreams fails.
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

/// One finished call: when it was made, how long it took, whether it was answered.
#[derive(Clone, Copy, Debug)]
struct Made {
    begun: Instant,
    elapsed: Duration,
    answered: bool,
}

/// Measures added latency at three loads and recovery from six faults.
pub(crate) fn run(programs: &Path, report: &mut Report) -> Result<(), Failure> {
    let mesh = start(programs)?;
    for (name, callers) in LOADS {
        latency(&mesh, name, callers, report);
    }
    drop(mesh);
    for (name, fault) in FAULTS {
        let mut mesh = start(programs)?;
        recovery(&mut mesh, name, fault, report)?;
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
            service_time: WORK,
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
        .wait_in_force(revision, LIMIT)
        .and_then(|_| mesh.wait_upstreams("paydesk", UPSTREAMS, LIMIT));
    require(ready, "the mesh does not get ready")?;
    // The upstreams' slow start is over after this.
    thread::sleep(Duration::from_secs(2));
    Ok(mesh)
}

fn latency(mesh: &Mesh, load: &str, callers: usize, report: &mut Report) {
    // At light load the upstreams answer at once: the timer of a stand-in that works for some ms
    // is off by up to a ms, which would hide what the nodes add.
    let work = if load == LIGHT { Duration::ZERO } else { WORK };
    mesh.instances.iter().for_each(|instance| instance.upstream.set_service_time(work));
    let upstreams: Vec<SocketAddr> =
        mesh.instances[1..].iter().map(|s| s.upstream.address()).collect();
    let straight = drive(mesh, callers, "/balance", move |i| upstreams[i % UPSTREAMS]);
    let entry = mesh.instances[0].traffic;
    let before = processor_times(mesh);
    let through = drive(mesh, callers, "/paydesk/balance", move |_| entry);
    let after = processor_times(mesh);
    let (baseline, times) = (times_of(&straight), times_of(&through));
    let answered = through.iter().filter(|m| m.answered).count();
    report.add(
        Line::new("added_latency_ms", mesh.instances.len())
            .word("load", load)
            .figure("p50", times.ms(50.0) - baseline.ms(50.0))
            .figure("p99", times.ms(99.0) - baseline.ms(99.0))
            .figure("through_p99", times.ms(99.0))
            .figure("baseline_p99", baseline.ms(99.0))
            .count("trials", times.count())
            .figure("calls_per_s", answered as f64 / SPAN.as_secs_f64())
            .figure("not_answered_percent", 100.0 * (1.0 - answered as f64 / through.len() as f64)),
    );
    let used: Vec<f64> = after.iter().zip(&before).map(|(b, a)| b - a).collect();
    let per_call = |seconds: f64| 1e6 * seconds / through.len() as f64;
    report.add(
        Line::new("processor_us_per_call", mesh.instances.len())
            .word("load", load)
            .figure("entry", per_call(used[0]))
            .figure("serving", per_call(used[1..].iter().sum())),
    );
}

/// Returns the processor time that each node's process has used so far, in seconds.
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

/// Has `callers` make reads one after the other for a while.
fn drive(
    mesh: &Mesh,
    callers: usize,
    path: &str,
    target: impl Fn(usize) -> SocketAddr,
) -> Vec<Made> {
    let until = Instant::now() + SPAN;
    let tasks: Vec<_> = (0..callers)
        .map(|i| {
            let call = Call::get(path);
            mesh.runtime().spawn(make(target(i), call, move || Instant::now() < until))
        })
        .collect();
    join(mesh, tasks)
}

fn join(mesh: &Mesh, tasks: Vec<JoinHandle<Vec<Made>>>) -> Vec<Made> {
    tasks.into_iter().flat_map(|task| mesh.runtime().block_on(task).unwrap_or_default()).collect()
}

async fn make(target: SocketAddr, call: Call, go_on: impl Fn() -> bool) -> Vec<Made> {
    let mut caller = Caller::new(target);
    let mut all = Vec::new();
    while go_on() {
        let begun = Instant::now();
        let answer = caller.call(&call).await;
        let elapsed = begun.elapsed();
        // A stand-in that is called straight tells no outcome.
        let answered = answer.as_ref().is_ok_and(|a| a.status == 200);
        all.push(Made { begun, elapsed, answered });
        if !answered {
            // Callers do as they are told and come back later.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    all
}

fn recovery(mesh: &mut Mesh, name: &str, fault: Fault, report: &mut Report) -> Result<(), Failure> {
    let running = Arc::new(AtomicBool::new(true));
    let entry = mesh.instances[0].traffic;
    let spawn = |call: Call| {
        let running = running.clone();
        mesh.runtime().spawn(make(entry, call, move || running.load(Ordering::SeqCst)))
    };
    let reads: Vec<_> = (0..8).map(|_| spawn(Call::get("/paydesk/balance"))).collect();
    let posts: Vec<_> = (0..8).map(|_| spawn(Call::post("/paydesk/pay", "w"))).collect();
    thread::sleep(Duration::from_secs(1));
    let begun = Instant::now();
    inflict(mesh, fault)?;
    thread::sleep(Duration::from_secs(5));
    running.store(false, Ordering::SeqCst);
    let reads: Vec<Made> = join(mesh, reads);
    let posts: Vec<Made> = join(mesh, posts);
    for (kind, made) in [("reads", &reads), ("posts", &posts)] {
        let failed: Vec<&Made> = made.iter().filter(|m| !m.answered).collect();
        let last_begun = failed.iter().map(|m| m.begun.duration_since(begun)).max();
        let last_told = failed.iter().map(|m| (m.begun + m.elapsed).duration_since(begun)).max();
        let after: Vec<Made> = made.iter().copied().filter(|m| m.begun >= begun).collect();
        report.add(
            Line::new("recovery_ms", mesh.instances.len())
                .word("fault", name)
                .word("calls", kind)
                .figure("value", last_begun.unwrap_or_default().as_secs_f64() * 1e3)
                .figure("last_told_ms", last_told.unwrap_or_default().as_secs_f64() * 1e3)
                .count("failed", failed.len() as u64)
                .count("made", made.len() as u64)
                .figure("p99_after", times_of(&after).ms(99.0)),
        );
    }
    Ok(())
}

fn inflict(mesh: &mut Mesh, fault: Fault) -> Result<(), Failure> {
    let victim = 2;
    let upstream = mesh.instances[victim].upstream.clone();
    match fault {
        Fault::NodeKilled => mesh.kill_node(victim)?,
        Fault::NodeFrozen => mesh.signal_node(victim, Signal::STOP)?,
        Fault::UpstreamKilled => upstream.kill(),
        Fault::UpstreamFrozen => upstream.set_mode(Mode::Frozen),
        Fault::UpstreamSilent => upstream.set_mode(Mode::Silent),
        Fault::TenTimesSlower => upstream.set_service_time(WORK * 10),
    }
    Ok(())
}

fn times_of(made: &[Made]) -> Times {
    let mut times = Times::default();
    made.iter().filter(|m| m.answered).for_each(|m| times.add(m.elapsed));
    times
}
