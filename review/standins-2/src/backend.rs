//! A backend: registers itself in the store, runs requests and notes what it ran.

use serde_json::{Value, json};
use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record, store::Store};

/// What a backend is started with.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Start time that it reports, in Unix ms; none in deployments without that field.
    pub born: Option<u64>,
    pub work: Duration,
    /// Size of its answers.
    pub answer_bytes: usize,
    /// Arrivals in a second at which it crashes while it is cold; none if it never does.
    pub cold_crash: Option<usize>,
    /// Whether each run is written to the record.
    pub is_recorded: bool,
}

/// A request that a backend began to run, and whether its answer was written whole.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub body_bytes: usize,
    pub at: Instant,
    pub answered: bool,
}

/// A running backend process.
pub struct Backend {
    pub plan: Plan,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Times of the health probes.
    pub probes: Arc<Mutex<Vec<Instant>>>,
    store: Store,
    shared: Arc<Shared>,
}

struct Shared {
    ended: AtomicBool,
    draining: AtomicBool,
    /// Begin and end of the time for which it is cold.
    cold: Mutex<Option<(Instant, Instant)>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Backend {
    /// Starts the backend and registers it as ready.
    pub fn start(plan: Plan, store: &Store, record: &Record) -> std::io::Result<Backend> {
        // The address may still be held by the connections of an earlier process.
        let listener = bind(plan.address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            ended: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            cold: Mutex::default(),
            connections: Mutex::default(),
        });
        let backend = Backend {
            plan,
            runs: Arc::default(),
            probes: Arc::default(),
            store: store.clone(),
            shared: shared.clone(),
        };
        let (plan, runs, record) = (backend.plan.clone(), backend.runs.clone(), record.clone());
        let probes = backend.probes.clone();
        thread::spawn(move || {
            while !shared.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    shared.connections.lock().unwrap().push(clone);
                }
                let (plan, runs) = (plan.clone(), runs.clone());
                let (shared, record, probes) = (shared.clone(), record.clone(), probes.clone());
                thread::spawn(move || serve(&plan, stream, &runs, &probes, &shared, &record));
            }
        });
        backend.register("ready", 1);
        Ok(backend)
    }

    fn register(&self, state: &str, seq: u64) {
        let mut entry = json!({
            "service": self.plan.service, "addr": self.plan.address.to_string(),
            "zone": self.plan.zone, "version": "v1", "slots": 9, "state": state,
            "cold_left_s": self.shared.cold_left().as_secs_f64(), "seq": seq,
        });
        if let Some(born) = self.plan.born {
            entry["born"] = Value::from(born);
        }
        self.store.put(&format!("servers/{}", self.plan.id), &entry);
    }

    /// Reports that the backend is draining; the return is the store's acknowledgement.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.register("draining", 2);
    }

    /// Becomes cold; its health answers say so from now on, its entry only from its next heartbeat on.
    pub fn become_cold(&self, length: Duration) {
        let now = Instant::now();
        *self.shared.cold.lock().unwrap() = Some((now, now + length));
    }

    /// Writes its entry, as it does with each heartbeat.
    pub fn beat(&self, seq: u64) {
        self.register("ready", seq);
    }

    /// Ends the process: its connections are closed.
    pub fn end(&self) {
        self.shared.end();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.shared.ended.load(Ordering::SeqCst)
    }

    /// Removes the entry, as the store does for a backend that has left.
    pub fn deregister(&self) {
        self.store.remove(&format!("servers/{}", self.plan.id));
    }

    /// Returns what has been run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

impl Shared {
    fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether more than `limit` of `runs` have begun in one second while the backend is cold.
    fn is_overrun(&self, limit: usize, runs: &[Run]) -> bool {
        let Some((begin, end)) = *self.cold.lock().unwrap() else { return false };
        let is_recent = |at: Instant| at >= begin && at.elapsed() < Duration::from_secs(1);
        let recent = runs.iter().rev().take_while(|run| is_recent(run.at)).count();
        Instant::now() < end && recent > limit
    }

    fn cold_left(&self) -> Duration {
        let cold = *self.cold.lock().unwrap();
        cold.map_or(Duration::ZERO, |(_, end)| end.saturating_duration_since(Instant::now()))
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.end();
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let until = Instant::now() + Duration::from_secs(3);
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if Instant::now() > until => return Err(error),
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
}

fn serve(
    plan: &Plan,
    stream: TcpStream,
    runs: &Mutex<Vec<Run>>,
    probes: &Mutex<Vec<Instant>>,
    shared: &Shared,
    record: &Record,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut reader) {
        let Ok(body) = http::read_body(&mut reader, &head) else { return };
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
        let (path, id) = (head.word(1).to_owned(), head.header("x-baobabrelay-request-id"));
        let draining = shared.draining.load(Ordering::SeqCst);
        if path == "/health" {
            probes.lock().unwrap().push(Instant::now());
            let status = if draining { "503 Service Unavailable" } else { "200 OK" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Baobabrelay-Instance-Id: {}\r\nX-Baobabrelay-Cold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                plan.id,
                shared.cold_left().as_millis()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let expected = head.header("x-baobabrelay-expect-instance");
        if expected.is_some_and(|expected| expected != plan.id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Baobabrelay-Not-Executed: 1\r\nX-Baobabrelay-Instance-Id: {}\r\nX-Baobabrelay-Request-Id: {}\r\nContent-Length: 0\r\n\r\n",
                plan.id,
                id.unwrap_or_default()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let Some(id) = id.map(str::to_owned) else {
            let answer = "HTTP/1.1 400 Bad Request\r\nX-Baobabrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        };
        let run = Run {
            id: id.clone(),
            path,
            body_bytes: body.len(),
            at: Instant::now(),
            answered: false,
        };
        let index = {
            let mut runs = runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        if plan.cold_crash.is_some_and(|limit| shared.is_overrun(limit, &runs.lock().unwrap())) {
            record.line(format!("{} crashes", plan.id));
            shared.end();
            return;
        }
        if plan.is_recorded {
            record.line(format!("{} runs {id} ({} bytes of body)", plan.id, body.len()));
        }
        thread::sleep(plan.work);
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
        let close = if draining { "Connection: close\r\n" } else { "" };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Baobabrelay-Request-Id: {id}\r\nX-Baobabrelay-Server-Stamp: {}.{id}\r\n{close}Content-Length: {}\r\n\r\n",
            plan.id, plan.answer_bytes
        );
        let whole = writer.write_all(answer.as_bytes()).is_ok()
            && writer.write_all(&vec![b'x'; plan.answer_bytes]).is_ok();
        runs.lock().unwrap()[index].answered = whole;
        if !whole || draining {
            return;
        }
    }
}
