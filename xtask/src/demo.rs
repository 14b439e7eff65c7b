//! Shows and checks the main functions with real processes on loopback.

use standins::{
    caller::{Call, Caller},
    mesh::{Mesh, Settings, places},
    platform, upstream,
};
use std::{
    collections::HashMap,
    path::Path,
    process::{Command, Output},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::tools::{self, Failure};

const DATA_CENTRES: [&str; 2] = ["ktm-a", "lalitpur-b"];
const SERVICES: [&str; 2] = ["shelfview", "paydesk"];
/// Upstreams of each service in each data centre.
const UPSTREAMS: usize = 2;

const READ_PROFILE: &str = r#"{"deadline_ms": 2000, "convergence_weight": 80}"#;
const READ_PROFILE_UPDATED: &str = r#"{"deadline_ms": 1500, "convergence_weight": 80}"#;
const WRITE_PROFILE: &str = r#"{"deadline_ms": 3000, "attempts": 2}"#;
const INVALID_PROFILE: &str = r#"{"deadline_ms": "soon", "attemps": 2}"#;

/// Time limit for a change to take effect at the nodes.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(6);

/// Steps checked so far, and the texts of those that failed.
#[derive(Default)]
struct Checklist {
    steps: usize,
    failed: Vec<String>,
}

impl Checklist {
    /// Prints the result of a step and records a failure.
    fn record_step(&mut self, verdict: Verdict, text: &str) {
        self.steps += 1;
        let mark = if verdict == Verdict::Pass { "ok  " } else { "FAIL" };
        println!("{mark} {:>2}  {text}", self.steps);
        if verdict == Verdict::Fail {
            self.failed.push(text.to_owned());
        }
    }
}

/// Result of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Pass,
    Fail,
}

impl From<bool> for Verdict {
    fn from(passed: bool) -> Self {
        if passed { Verdict::Pass } else { Verdict::Fail }
    }
}

/// Outcomes of calls as their callers received them.
#[derive(Clone, Debug, Default)]
struct Outcomes {
    counts: HashMap<String, usize>,
    by_work: HashMap<String, String>,
}

impl Outcomes {
    fn count(&self, outcome: &str) -> usize {
        self.counts.get(outcome).copied().unwrap_or(0)
    }

    fn total(&self) -> usize {
        self.counts.values().sum()
    }
}

/// Runs the demo; fails unless every step passed.
pub(crate) fn run() -> Result<(), Failure> {
    let programs = tools::build()?;
    let started = Instant::now();
    let settings = Settings {
        daemon: programs.join("baobabrelayd"),
        instances: places(&SERVICES, &DATA_CENTRES, UPSTREAMS),
        upstream: upstream::Settings {
            service_time: Duration::from_millis(2),
            ..Default::default()
        },
        ..Settings::default()
    };
    let mut mesh = Mesh::start(&settings)?;
    let mut checklist = Checklist::default();
    publish_first(&mesh, &mut checklist);
    make_calls(&mesh, &mut checklist);
    update_under_load(&mesh, &mut checklist);
    publish_invalid(&mesh, &programs, &mut checklist);
    stop_node(&mut mesh, &mut checklist)?;
    kill_node(&mut mesh, &mut checklist)?;
    silence_upstream(&mesh, &programs, &mut checklist)?;
    block_platform(&mesh, &mut checklist);
    query_operators(&mesh, &programs, &mut checklist)?;
    split_route(&mesh, &mut checklist);
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{} of {} steps passed, {seconds:.1} s",
        checklist.steps - checklist.failed.len(),
        checklist.steps
    );
    if checklist.failed.is_empty() {
        return Ok(());
    }
    Err(Failure::Task(format!("failed steps: {}", checklist.failed.join("; "))))
}

fn publish_first(mesh: &Mesh, checklist: &mut Checklist) {
    let count = mesh.instances.len();
    let joined = mesh.wait_upstreams("paydesk", 2 * UPSTREAMS, Duration::from_secs(10));
    checklist.record_step(
        joined.is_some().into(),
        &format!("{count} nodes in {} data centres have joined", DATA_CENTRES.len()),
    );
    let revision = mesh.platform.publish(&[
        ("profiles/reading", Some(READ_PROFILE)),
        ("profiles/posting", Some(WRITE_PROFILE)),
        ("services/shelfview", Some(r#"{"profile": "reading"}"#)),
        ("services/paydesk", Some(r#"{"profile": "posting"}"#)),
    ]);
    let converged = mesh.wait_in_force(revision, CONVERGENCE_LIMIT);
    checklist.record_step(
        converged.is_some().into(),
        &format!("first profiles in force at every node after {}", format_ms(converged)),
    );
}

fn make_calls(mesh: &Mesh, checklist: &mut Checklist) {
    let reads = load(mesh, 0, 200, |_| Call::get("/shelfview/stock/7"));
    checklist.record_step(
        (reads.count("answered") == 200).into(),
        &format!("200 reads: {:?}", reads.counts),
    );
    let posts = load(mesh, 1, 200, |i| Call::post("/paydesk/payments", &format!("demo-{i}")));
    checklist.record_step(
        (posts.count("answered") == 200 && all_ran_at_most_once(mesh)).into(),
        &format!("200 payments: {:?}, none ran twice", posts.counts),
    );
}

fn update_under_load(mesh: &Mesh, checklist: &mut Checklist) {
    let stop = Arc::new(AtomicBool::new(false));
    let (outcomes, converged) = thread::scope(|scope| {
        let running = stop.clone();
        let worker =
            scope.spawn(move || load_until(mesh, 2, &running, |_| Call::get("/shelfview/stock/8")));
        thread::sleep(Duration::from_millis(100));
        let revision = mesh.platform.publish(&[("profiles/reading", Some(READ_PROFILE_UPDATED))]);
        let converged = mesh.wait_in_force(revision, CONVERGENCE_LIMIT);
        stop.store(true, Ordering::SeqCst);
        (worker.join().unwrap_or_default(), converged)
    });
    let all_answered = outcomes.count("answered") == outcomes.total() && outcomes.total() > 0;
    checklist.record_step(
        (converged.is_some() && all_answered).into(),
        &format!(
            "profile updated under load, in force after {}; {} reads, all answered",
            format_ms(converged),
            outcomes.total()
        ),
    );
}

fn publish_invalid(mesh: &Mesh, programs: &Path, checklist: &mut Checklist) {
    let before = mesh.revision(0);
    let invalid = mesh.platform.publish(&[("profiles/reading", Some(INVALID_PROFILE))]);
    let reported = mesh.wait(CONVERGENCE_LIMIT, |mesh| {
        status(programs, mesh).contains("/attemps: is not a known field")
    });
    let unchanged = (0..mesh.instances.len()).all(|i| mesh.revision(i) == before);
    checklist.record_step(
        (reported.is_some() && unchanged).into(),
        &format!(
            "invalid revision {invalid} rejected, revision {} stays in force",
            before.unwrap_or(0)
        ),
    );
    let corrected = mesh.platform.publish(&[("profiles/reading", Some(READ_PROFILE))]);
    let converged = mesh.wait_in_force(corrected, CONVERGENCE_LIMIT);
    checklist.record_step(
        converged.is_some().into(),
        &format!("corrected revision in force after {}", format_ms(converged)),
    );
}

fn stop_node(mesh: &mut Mesh, checklist: &mut Checklist) -> Result<(), Failure> {
    let leaving = 0;
    let entry = mesh.instances[3].traffic;
    let running = Arc::new(AtomicBool::new(true));
    let handle = mesh.runtime().handle().clone();
    let flag = running.clone();
    let worker = thread::spawn(move || {
        handle.block_on(async {
            let mut caller = Caller::new(entry);
            let mut outcomes = Outcomes::default();
            while flag.load(Ordering::SeqCst) {
                call(&mut caller, &Call::get("/shelfview/stock/9"), &mut outcomes).await;
            }
            outcomes
        })
    });
    thread::sleep(Duration::from_millis(200));
    let code = mesh.stop_node(leaving)?;
    running.store(false, Ordering::SeqCst);
    let outcomes = worker.join().unwrap_or_default();
    let all_answered = outcomes.count("answered") == outcomes.total();
    checklist.record_step(
        (code == Some(0) && all_answered).into(),
        &format!(
            "planned stop under load: exit {code:?}, {} reads, all answered",
            outcomes.total()
        ),
    );
    Ok(())
}

fn kill_node(mesh: &mut Mesh, checklist: &mut Checklist) -> Result<(), Failure> {
    let killed = 2;
    mesh.kill_node(killed)?;
    let entry = mesh.instances[1].traffic;
    let started = Instant::now();
    let outcomes = mesh.runtime().block_on(async {
        let mut caller = Caller::new(entry);
        let mut outcomes = Outcomes::default();
        for i in 0..300 {
            let work = format!("kill-{i}");
            call(&mut caller, &Call::post("/paydesk/payments", &work), &mut outcomes).await;
        }
        outcomes
    });
    let consistent = outcomes.by_work.iter().all(|(work, outcome)| {
        let runs = runs_of_work(mesh, work);
        match outcome.as_str() {
            "answered" => runs == 1,
            "not-run" => runs == 0,
            _ => runs <= 1,
        }
    });
    checklist.record_step(
        (consistent && outcomes.count("answered") > 0).into(),
        &format!(
            "a node killed: 300 payments in {} ms, {:?}, each outcome consistent with the upstreams' ledgers",
            started.elapsed().as_millis(),
            outcomes.counts
        ),
    );
    Ok(())
}

/// Stops the answers of one upstream and checks that the timeline reports the retries.
fn silence_upstream(
    mesh: &Mesh,
    programs: &Path,
    checklist: &mut Checklist,
) -> Result<(), Failure> {
    let silent = &mesh.instances[4];
    let address = silent.peers.to_string();
    silent.upstream.set_mode(upstream::Mode::Silent);
    let reads = load_in_parallel(mesh, 5, 8, 5);
    silent.upstream.set_mode(upstream::Mode::Normal);
    checklist.record_step(
        (reads.count("answered") == 40).into(),
        &format!("{} goes silent: 40 reads: {:?}", silent.name, reads.counts),
    );
    let is_retry = |line: &str| line.contains(" retried ") && line.contains(&address);
    let reported = mesh.wait(CONVERGENCE_LIMIT, |mesh| {
        events(programs, mesh).is_ok_and(|text| text.lines().any(is_retry))
    });
    let text = events(programs, mesh)?;
    let is_printed =
        |line: &&str| [" retried ", " ejected "].iter().any(|kind| line.contains(kind));
    let lines = text.lines().filter(|line| line.contains(&address)).filter(is_printed);
    lines.for_each(|line| println!("          {line}"));
    checklist.record_step(
        reported.is_some().into(),
        "the timeline names the silent upstream that the reads were retried after",
    );
    Ok(())
}

fn events(programs: &Path, mesh: &Mesh) -> Result<String, Failure> {
    let output =
        run_ctl(programs, &["timeline", "--node", &mesh.instances[1].operators.to_string()])?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

fn block_platform(mesh: &Mesh, checklist: &mut Checklist) {
    mesh.platform.set_mode(platform::Mode::Down);
    thread::sleep(Duration::from_secs(1));
    let reads = load(mesh, 1, 200, |_| Call::get("/shelfview/stock/7"));
    checklist.record_step(
        (reads.count("answered") == 200).into(),
        &format!("platform unavailable: 200 reads: {:?}", reads.counts),
    );
    mesh.platform.set_mode(platform::Mode::Normal);
    let revision = mesh.platform.publish(&[("profiles/reading", Some(READ_PROFILE_UPDATED))]);
    let limit = Duration::from_secs(20);
    let converged = mesh.wait_in_force(revision, limit);
    checklist.record_step(
        converged.is_some().into(),
        &format!(
            "platform available again, new revision in force after {} (nodes back off during the outage)",
            format_ms(converged)
        ),
    );
}

fn query_operators(mesh: &Mesh, programs: &Path, checklist: &mut Checklist) -> Result<(), Failure> {
    let node = mesh.instances[1].operators.to_string();
    let explained = run_ctl(programs, &["explain", "shelfview", "--node", &node])?;
    checklist.record_step(
        explained.status.success().into(),
        "baobabctl explain names an eligible upstream",
    );
    let text = events(programs, mesh)?;
    let expected = ["started", "in-force", "rejected", "leaving"];
    checklist.record_step(
        expected.iter().all(|event| text.contains(event)).into(),
        &format!("baobabctl timeline: {} merged events of all nodes", text.lines().count()),
    );
    Ok(())
}

/// Checks a route that splits calls 75 to 25 between two services.
fn split_route(mesh: &Mesh, checklist: &mut Checklist) {
    let split = r#"{"host": "127.0.0.1", "prefix": "/shop/", "kind": "idempotent",
        "targets": [{"service": "shelfview", "weight": 75}, {"service": "paydesk", "weight": 25}]}"#;
    let revision = mesh.platform.publish(&[("routes/shop", Some(split))]);
    let converged = mesh.wait_in_force(revision, CONVERGENCE_LIMIT);
    let before = runs_of_service(mesh, "paydesk");
    let routed = load(mesh, 1, 200, |_| Call::get("/shop/stock/7"));
    let share = (runs_of_service(mesh, "paydesk") - before) as f64 / 200.0;
    checklist.record_step(
        (routed.count("answered") == 200 && (0.15..0.35).contains(&share)).into(),
        &format!(
            "a route by host and path in force after {}: 200 reads, {:.0}% of them to paydesk (25% configured)",
            format_ms(converged),
            share * 100.0
        ),
    );
    let unrouted = load(mesh, 1, 20, |_| Call::get("/shelfview/stock/7"));
    checklist.record_step(
        (unrouted.count("not-run") == 20).into(),
        "with routes in force, a path that matches none of them is not run",
    );
}

/// Returns how many requests the upstreams of `service` have run.
fn runs_of_service(mesh: &Mesh, service: &str) -> u64 {
    let of_service = mesh.instances.iter().filter(|instance| instance.place.service == service);
    of_service.map(|instance| instance.upstream.ledger().runs).sum()
}

/// Makes `count` sequential calls through one node.
fn load(mesh: &Mesh, node: usize, count: usize, make: impl Fn(usize) -> Call) -> Outcomes {
    let entry = mesh.instances[node].traffic;
    mesh.runtime().block_on(async {
        let mut caller = Caller::new(entry);
        let mut outcomes = Outcomes::default();
        for i in 0..count {
            call(&mut caller, &make(i), &mut outcomes).await;
        }
        outcomes
    })
}

/// Makes reads through one node with several parallel callers.
fn load_in_parallel(mesh: &Mesh, node: usize, callers: usize, reads: usize) -> Outcomes {
    let entry = mesh.instances[node].traffic;
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            mesh.runtime().spawn(async move {
                let mut caller = Caller::new(entry);
                let mut outcomes = Outcomes::default();
                for _ in 0..reads {
                    call(&mut caller, &Call::get("/shelfview/stock/7"), &mut outcomes).await;
                }
                outcomes
            })
        })
        .collect();
    let mut all = Outcomes::default();
    for task in tasks {
        let outcomes = mesh.runtime().block_on(task).unwrap_or_default();
        for (outcome, count) in outcomes.counts {
            *all.counts.entry(outcome).or_default() += count;
        }
    }
    all
}

fn load_until(
    mesh: &Mesh,
    node: usize,
    stop: &AtomicBool,
    make: impl Fn(usize) -> Call,
) -> Outcomes {
    let entry = mesh.instances[node].traffic;
    mesh.runtime().block_on(async {
        let mut caller = Caller::new(entry);
        let mut outcomes = Outcomes::default();
        while !stop.load(Ordering::SeqCst) {
            call(&mut caller, &make(0), &mut outcomes).await;
        }
        outcomes
    })
}

async fn call(caller: &mut Caller, call: &Call, outcomes: &mut Outcomes) {
    let outcome = match caller.call(call).await {
        Ok(answer) => answer.outcome().to_owned(),
        Err(_) => "no answer".to_owned(),
    };
    *outcomes.counts.entry(outcome.clone()).or_default() += 1;
    if let Some(work) = &call.work {
        outcomes.by_work.insert(work.clone(), outcome);
    }
}

fn runs_of_work(mesh: &Mesh, work: &str) -> u32 {
    mesh.instances
        .iter()
        .filter_map(|instance| instance.upstream.ledger().runs_by_work.get(work).copied())
        .sum()
}

fn all_ran_at_most_once(mesh: &Mesh) -> bool {
    let mut all: HashMap<String, u32> = HashMap::new();
    for instance in &mesh.instances {
        for (work, count) in instance.upstream.ledger().runs_by_work {
            *all.entry(work).or_default() += count;
        }
    }
    all.values().all(|&count| count <= 1)
}

fn status(programs: &Path, mesh: &Mesh) -> String {
    let node = mesh.instances[1].operators.to_string();
    let output = run_ctl(programs, &["status", "--node", &node]);
    output.map(|o| String::from_utf8_lossy(&o.stdout).into_owned()).unwrap_or_default()
}

fn run_ctl(programs: &Path, arguments: &[&str]) -> Result<Output, Failure> {
    Ok(Command::new(programs.join("baobabctl")).args(arguments).output()?)
}

fn format_ms(span: Option<Duration>) -> String {
    span.map_or("no result within the limit".to_owned(), |span| format!("{} ms", span.as_millis()))
}
