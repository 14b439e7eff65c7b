//! Callers that make calls through every node over persistent connections.

use bytes::Bytes;
use standins::caller::{Answer, Call, Caller};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{task::JoinHandle, time::sleep};

use crate::soak::{
    cluster::Cluster,
    content::{HOST, POSTS, READS},
    observations::{Kind, Observations, Outcome, Record},
};

/// Callers of each node.
const CALLERS: usize = 3;

/// Pause of a caller between two calls in small fleets.
const PAUSE: Duration = Duration::from_millis(15);

/// Largest fleet with [`CALLERS`] callers per node. In larger ones each node has one caller, whose pause
/// grows with the fleet, so that the total rate of calls stays constant.
const MAX_NODES_AT_FULL_LOAD: usize = 30;

/// Pause of a caller in larger fleets, per node of the fleet.
const PAUSE_PER_NODE: Duration = Duration::from_micros(1_300);

/// Deadline of a call, in ms.
pub(crate) const DEADLINE_MS: u64 = 1_200;

/// Starts callers of every node.
pub(crate) fn start(
    cluster: &Cluster,
    observations: &Arc<Observations>,
    running: &Arc<AtomicBool>,
) -> (tokio::runtime::Handle, Vec<JoinHandle<()>>) {
    let handle = cluster.runtime.handle().clone();
    let mut tasks = Vec::new();
    let nodes = cluster.instances.len();
    let (callers, pause) = if nodes <= MAX_NODES_AT_FULL_LOAD {
        (CALLERS, PAUSE)
    } else {
        (1, PAUSE_PER_NODE * nodes as u32)
    };
    for (node, instance) in cluster.instances.iter().enumerate() {
        for caller in 0..callers {
            let client =
                Client { name: format!("{node}-{caller}"), node, address: instance.callers, pause };
            tasks.push(handle.spawn(client.call(observations.clone(), running.clone())));
        }
    }
    (handle, tasks)
}

/// Waits until every caller has finished its last call.
pub(crate) fn finish((handle, tasks): (tokio::runtime::Handle, Vec<JoinHandle<()>>)) {
    for task in tasks {
        // The panic of a caller was already reported on standard error.
        let _ = handle.block_on(task);
    }
}

/// One caller.
struct Client {
    name: String,
    node: usize,
    address: SocketAddr,
    pause: Duration,
}

impl Client {
    /// Makes sequential calls and records each one.
    async fn call(self, observations: Arc<Observations>, running: Arc<AtomicBool>) {
        let mut caller = Caller::new(self.address);
        let mut number = 0_usize;
        while running.load(Ordering::SeqCst) {
            number += 1;
            let work = format!("{}-{number}", self.name);
            let kind = if number.is_multiple_of(2) { Kind::Read } else { Kind::Post };
            let started = Instant::now();
            let answer = caller.call(&call(number, kind, &work)).await;
            let outcome = match answer {
                Err(error) => error_outcome(&error),
                Ok(answer) => answer_outcome(&answer, &work),
            };
            observations.record_call(Record {
                node: self.node,
                work,
                kind,
                outcome,
                started,
                finished: Instant::now(),
            });
            sleep(self.pause).await;
        }
    }
}

fn call(number: usize, kind: Kind, work: &str) -> Call {
    let service = if number.is_multiple_of(3) { "stock" } else { "pay" };
    let call = match kind {
        Kind::Read => {
            Call { work: Some(work.to_owned()), ..Call::get(&format!("/{service}/{READS}/a")) }
        }
        Kind::Post => Call {
            body: Bytes::from(vec![b'x'; 300]),
            ..Call::post(&format!("/{service}/{POSTS}/a"), work)
        },
    };
    Call { host: Some(HOST.to_owned()), deadline_ms: Some(DEADLINE_MS), ..call }
}

fn error_outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::Other => Outcome::Broken,
        io::ErrorKind::UnexpectedEof => Outcome::Cut,
        _ => Outcome::Refused,
    }
}

fn answer_outcome(answer: &Answer, work: &str) -> Outcome {
    match answer.outcome() {
        "answered" if answer.status == 200 => {
            let matches_call = answer.header(standins::caller::WORK_HEADER) == work;
            let is_complete = answer.body.len() == 64;
            if matches_call && is_complete { Outcome::Answered } else { Outcome::Mixed }
        }
        "answered" => Outcome::Failed,
        "not-run" if answer.header("baobab-cause") == "quarantined" => Outcome::Quarantined,
        "not-run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}
