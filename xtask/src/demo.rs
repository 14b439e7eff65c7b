//! The main job, shown to a newcomer with real processes on loopback.

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
const UPSTREAMS: usize = 2;
const READING: &str = r#"{"deadline_ms": 2000, "convergence_weight": 80}"#;
const READING_REVISED: &str = r#"{"deadline_ms": 1500, "convergence_weight": 80}"#;
const POSTING: &str = r#"{"deadline_ms": 3000, "attempts": 2}"#;
const BAD: &str = r#"{"deadline_ms": "soon", "attemps": 2}"#;
const BOUND: Duration = Duration::from_secs(6);

/// The steps shown so far.
#[derive(Default)]
struct Show {
    steps: usize,
    failed: Vec<String>,
}

impl Show {
    /// Prints a step with its figure and notes whether it held.
    fn step(&mut self, held: Held, text: &str) {
        self.steps += 1;
        let mark = if held == Held::Yes { "ok  " } else { "FAIL" };
        println!("{mark} {:>2}  {text}", self.steps);
        if held == Held::No {
            self.failed.push(text.to_owned());
        }
    }
}

/// Whether a step held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Held {
    Yes,
    No,
}

impl From<bool> for Held {
    fn from(held: bool) -> Self {
        if held { Held::Yes } else { Held::No }
    }
}

/// What callers were told.
#[derive(Clone, Debug, Default)]
struct Told {
    outcomes: HashMap<String, usize>,
    works: HashMap<String, String>,
}

impl Told {
    fn count(&self, outcome: &str) -> usize {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    fn total(&self) -> usize {
        self.outcomes.values().sum()
    }
}

/// Runs the demo; succeeds only if every step held.
pub(crate) fn run() -> Result<(), Failure> {
    let programs = tools::build()?;
    let begun = Instant::now();
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
    let mut show = Show::default();
    publish(&mesh, &mut show);
    calls(&mesh, &mut show);
    revise(&mesh, &mut show);
    reject(&mesh, &programs, &mut show);
    stop(&mut mesh, &mut show)?;
    kill(&mut mesh, &mut show)?;
    freeze(&mesh, &programs, &mut show)?;
    cut(&mesh, &mut show);
    ask(&mesh, &programs, &mut show)?;
    route(&mesh, &mut show);
    let seconds = begun.elapsed().as_secs_f64();
    println!("{} of {} steps held, {seconds:.1} s", show.steps - show.failed.len(), show.steps);
    if show.failed.is_empty() {
        return Ok(());
    }
    Err(Failure::Task(format!("did not hold: {}", show.failed.join("; "))))
}

fn publish(mesh: &Mesh, show: &mut Show) {
    let count = mesh.instances.len();
    let joined = mesh.wait_upstreams("paydesk", 2 * UPSTREAMS, Duration::from_secs(10));
    show.step(
        joined.is_some().into(),
        &format!("{count} nodes in {} data centres know each other", DATA_CENTRES.len()),
    );
    let revision = mesh.platform.publish(&[
        ("profiles/reading", Some(READING)),
        ("profiles/posting", Some(POSTING)),
        ("services/shelfview", Some(r#"{"profile": "reading"}"#)),
        ("services/paydesk", Some(r#"{"profile": "posting"}"#)),
    ]);
    let spread = mesh.wait_in_force(revision, BOUND);
    show.step(
        spread.is_some().into(),
        &format!("first profiles in force at every node after {}", ms(spread)),
    );
}

fn calls(mesh: &Mesh, show: &mut Show) {
    let reads = load(mesh, 0, 200, |_| Call::get("/shelfview/stock/7"));
    show.step((reads.count("answered") == 200).into(), &format!("200 reads: {:?}", reads.outcomes));
    let posts = load(mesh, 1, 200, |i| Call::post("/paydesk/payments", &format!("demo-{i}")));
    show.step(
        (posts.count("answered") == 200 && at_most_once(mesh)).into(),
        &format!("200 payments: {:?}, none ran twice", posts.outcomes),
    );
}

fn revise(mesh: &Mesh, show: &mut Show) {
    let stop = Arc::new(AtomicBool::new(false));
    let (told, spread) = thread::scope(|scope| {
        let running = stop.clone();
        let worker =
            scope.spawn(move || load_until(mesh, 2, &running, |_| Call::get("/shelfview/stock/8")));
        thread::sleep(Duration::from_millis(100));
        let revision = mesh.platform.publish(&[("profiles/reading", Some(READING_REVISED))]);
        let spread = mesh.wait_in_force(revision, BOUND);
        stop.store(true, Ordering::SeqCst);
        (worker.join().unwrap_or_default(), spread)
    });
    let whole = told.count("answered") == told.total() && told.total() > 0;
    show.step(
        (spread.is_some() && whole).into(),
        &format!(
            "revised under load, in force after {}; {} reads, all answered",
            ms(spread),
            told.total()
        ),
    );
}

fn reject(mesh: &Mesh, programs: &Path, show: &mut Show) {
    let before = mesh.revision(0);
    let bad = mesh.platform.publish(&[("profiles/reading", Some(BAD))]);
    let seen =
        mesh.wait(BOUND, |mesh| status(programs, mesh).contains("/attemps: is not a known field"));
    let kept = (0..mesh.instances.len()).all(|i| mesh.revision(i) == before);
    show.step(
        (seen.is_some() && kept).into(),
        &format!(
            "bad revision {bad} rejected whole, revision {} stays in force",
            before.unwrap_or(0)
        ),
    );
    let good = mesh.platform.publish(&[("profiles/reading", Some(READING))]);
    let spread = mesh.wait_in_force(good, BOUND);
    show.step(spread.is_some().into(), &format!("mended revision in force after {}", ms(spread)));
}

fn stop(mesh: &mut Mesh, show: &mut Show) -> Result<(), Failure> {
    let leaving = 0;
    let entry = mesh.instances[3].traffic;
    let running = Arc::new(AtomicBool::new(true));
    let handle = mesh.runtime().handle().clone();
    let flag = running.clone();
    let worker = thread::spawn(move || {
        handle.block_on(async {
            let mut caller = Caller::new(entry);
            let mut told = Told::default();
            while flag.load(Ordering::SeqCst) {
                call(&mut caller, &Call::get("/shelfview/stock/9"), &mut told).await;
            }
            told
        })
    });
    thread::sleep(Duration::from_millis(200));
    let code = mesh.stop_node(leaving)?;
    running.store(false, Ordering::SeqCst);
    let told = worker.join().unwrap_or_default();
    let whole = told.count("answered") == told.total();
    show.step(
        (code == Some(0) && whole).into(),
        &format!("planned stop under load: exit {code:?}, {} reads, all answered", told.total()),
    );
    Ok(())
}

fn kill(mesh: &mut Mesh, show: &mut Show) -> Result<(), Failure> {
    let killed = 2;
    mesh.kill_node(killed)?;
    let entry = mesh.instances[1].traffic;
    let begun = Instant::now();
    let told = mesh.runtime().block_on(async {
        let mut caller = Caller::new(entry);
        let mut told = Told::default();
        for i in 0..300 {
            let work = format!("kill-{i}");
            call(&mut caller, &Call::post("/paydesk/payments", &work), &mut told).await;
        }
        told
    });
    let honest = told.works.iter().all(|(work, outcome)| {
        let runs = runs(mesh, work);
        match outcome.as_str() {
            "answered" => runs == 1,
            "not-run" => runs == 0,
            _ => runs <= 1,
        }
    });
    show.step(
        (honest && told.count("answered") > 0).into(),
        &format!(
            "a node killed: 300 payments in {} ms, {:?}, each outcome true by the ledgers",
            begun.elapsed().as_millis(),
            told.outcomes
        ),
    );
    Ok(())
}

/// Silences one upstream and shows how the time line tells what happened.
fn freeze(mesh: &Mesh, programs: &Path, show: &mut Show) -> Result<(), Failure> {
    let silent = &mesh.instances[4];
    let address = silent.peers.to_string();
    silent.upstream.set_mode(upstream::Mode::Silent);
    let reads = load_in_parallel(mesh, 5, 8, 5);
    silent.upstream.set_mode(upstream::Mode::Normal);
    show.step(
        (reads.count("answered") == 40).into(),
        &format!("{} goes silent: 40 reads: {:?}", silent.name, reads.outcomes),
    );
    let told = |line: &str| line.contains(" retried ") && line.contains(&address);
    let seen =
        mesh.wait(BOUND, |mesh| events(programs, mesh).is_ok_and(|text| text.lines().any(told)));
    let text = events(programs, mesh)?;
    let about_calls = |line: &&str| [" retried ", " ejected "].iter().any(|e| line.contains(e));
    let lines = text.lines().filter(|line| line.contains(&address)).filter(about_calls);
    lines.for_each(|line| println!("          {line}"));
    show.step(seen.is_some().into(), "the time line tells which upstream kept the reads waiting");
    Ok(())
}

fn events(programs: &Path, mesh: &Mesh) -> Result<String, Failure> {
    let output = ctl(programs, &["timeline", "--node", &mesh.instances[1].operators.to_string()])?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

fn cut(mesh: &Mesh, show: &mut Show) {
    mesh.platform.set_mode(platform::Mode::Down);
    thread::sleep(Duration::from_secs(1));
    let reads = load(mesh, 1, 200, |_| Call::get("/shelfview/stock/7"));
    show.step(
        (reads.count("answered") == 200).into(),
        &format!("platform cut off: 200 reads: {:?}", reads.outcomes),
    );
    mesh.platform.set_mode(platform::Mode::Normal);
    let revision = mesh.platform.publish(&[("profiles/reading", Some(READING_REVISED))]);
    let limit = Duration::from_secs(20);
    let spread = mesh.wait_in_force(revision, limit);
    show.step(
        spread.is_some().into(),
        &format!(
            "platform back, new revision in force after {} (readers back off while it is down)",
            ms(spread)
        ),
    );
}

fn ask(mesh: &Mesh, programs: &Path, show: &mut Show) -> Result<(), Failure> {
    let node = mesh.instances[1].operators.to_string();
    let explained = ctl(programs, &["explain", "shelfview", "--node", &node])?;
    show.step(explained.status.success().into(), "baobabctl explain names an eligible upstream");
    let text = events(programs, mesh)?;
    let expected = ["started", "in-force", "rejected", "leaving"];
    show.step(
        expected.iter().all(|event| text.contains(event)).into(),
        &format!("baobabctl timeline: {} events of all nodes in one order", text.lines().count()),
    );
    Ok(())
}

/// Sends calls by host and path, three in four to one service and one in four to another.
fn route(mesh: &Mesh, show: &mut Show) {
    let split = r#"{"host": "127.0.0.1", "prefix": "/shop/", "kind": "idempotent",
        "targets": [{"service": "shelfview", "weight": 75}, {"service": "paydesk", "weight": 25}]}"#;
    let revision = mesh.platform.publish(&[("routes/shop", Some(split))]);
    let spread = mesh.wait_in_force(revision, BOUND);
    let before = runs_of(mesh, "paydesk");
    let routed = load(mesh, 1, 200, |_| Call::get("/shop/stock/7"));
    let share = (runs_of(mesh, "paydesk") - before) as f64 / 200.0;
    show.step(
        (routed.count("answered") == 200 && (0.15..0.35).contains(&share)).into(),
        &format!(
            "a route by host and path in force after {}: 200 reads, {:.0}% of them to paydesk (25 asked)",
            ms(spread),
            share * 100.0
        ),
    );
    let unrouted = load(mesh, 1, 20, |_| Call::get("/shelfview/stock/7"));
    show.step(
        (unrouted.count("not-run") == 20).into(),
        "with routes in force, a path that none of them names leads nowhere",
    );
}

/// Returns how many requests the upstreams of `service` have run.
fn runs_of(mesh: &Mesh, service: &str) -> u64 {
    let of_service = mesh.instances.iter().filter(|instance| instance.place.service == service);
    of_service.map(|instance| instance.upstream.ledger().runs).sum()
}

/// Makes `count` calls through one node.
fn load(mesh: &Mesh, node: usize, count: usize, make: impl Fn(usize) -> Call) -> Told {
    let entry = mesh.instances[node].traffic;
    mesh.runtime().block_on(async {
        let mut caller = Caller::new(entry);
        let mut told = Told::default();
        for i in 0..count {
            call(&mut caller, &make(i), &mut told).await;
        }
        told
    })
}

/// Has several callers make reads through one node at the same time.
fn load_in_parallel(mesh: &Mesh, node: usize, callers: usize, reads: usize) -> Told {
    let entry = mesh.instances[node].traffic;
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            mesh.runtime().spawn(async move {
                let mut caller = Caller::new(entry);
                let mut told = Told::default();
                for _ in 0..reads {
                    call(&mut caller, &Call::get("/shelfview/stock/7"), &mut told).await;
                }
                told
            })
        })
        .collect();
    let mut all = Told::default();
    for task in tasks {
        let told = mesh.runtime().block_on(task).unwrap_or_default();
        for (outcome, count) in told.outcomes {
            *all.outcomes.entry(outcome).or_default() += count;
        }
    }
    all
}

fn load_until(mesh: &Mesh, node: usize, stop: &AtomicBool, make: impl Fn(usize) -> Call) -> Told {
    let entry = mesh.instances[node].traffic;
    mesh.runtime().block_on(async {
        let mut caller = Caller::new(entry);
        let mut told = Told::default();
        while !stop.load(Ordering::SeqCst) {
            call(&mut caller, &make(0), &mut told).await;
        }
        told
    })
}

async fn call(caller: &mut Caller, call: &Call, told: &mut Told) {
    let outcome = match caller.call(call).await {
        Ok(answer) => answer.outcome().to_owned(),
        Err(_) => "no answer".to_owned(),
    };
    *told.outcomes.entry(outcome.clone()).or_default() += 1;
    if let Some(work) = &call.work {
        told.works.insert(work.clone(), outcome);
    }
}

fn runs(mesh: &Mesh, work: &str) -> u32 {
    mesh.instances.iter().filter_map(|s| s.upstream.ledger().runs_by_work.get(work).copied()).sum()
}

fn at_most_once(mesh: &Mesh) -> bool {
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
    let output = ctl(programs, &["status", "--node", &node]);
    output.map(|o| String::from_utf8_lossy(&o.stdout).into_owned()).unwrap_or_default()
}

fn ctl(programs: &Path, arguments: &[&str]) -> Result<Output, Failure> {
    Ok(Command::new(programs.join("baobabctl")).args(arguments).output()?)
}

fn ms(span: Option<Duration>) -> String {
    span.map_or("no end in sight".to_owned(), |span| format!("{} ms", span.as_millis()))
}
