//! Callers that keep their connections until the process at the other end is gone.

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
    book::{Book, End, Ended, Kind},
    content::{HOST, POSTS, READS},
    site::Site,
};

/// Callers of each node.
const CALLERS: usize = 3;

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// Most nodes with so many callers; of more, each has one, which pauses longer, so that the calls of
/// all are as many as this machine carries besides its work on the nodes.
const FEW: usize = 30;

/// Pause of such a caller, for each node.
const PAUSE_PER_NODE: Duration = Duration::from_micros(1_300);

/// Time that a caller grants a call, in ms.
pub(crate) const DEADLINE_MS: u64 = 1_200;

/// Starts callers of every node.
pub(crate) fn start(
    site: &Site,
    book: &Arc<Book>,
    going: &Arc<AtomicBool>,
) -> (tokio::runtime::Handle, Vec<JoinHandle<()>>) {
    let handle = site.runtime.handle().clone();
    let mut tasks = Vec::new();
    let nodes = site.spots.len();
    let (callers, pause) =
        if nodes <= FEW { (CALLERS, PAUSE) } else { (1, PAUSE_PER_NODE * nodes as u32) };
    for (node, spot) in site.spots.iter().enumerate() {
        for caller in 0..callers {
            let customer =
                Customer { name: format!("{node}-{caller}"), node, address: spot.callers, pause };
            tasks.push(handle.spawn(customer.call(book.clone(), going.clone())));
        }
    }
    (handle, tasks)
}

/// Waits until every caller has its last answer.
pub(crate) fn finish((handle, tasks): (tokio::runtime::Handle, Vec<JoinHandle<()>>)) {
    for task in tasks {
        // A caller that panicked has told so on standard error.
        let _ = handle.block_on(task);
    }
}

/// One caller.
struct Customer {
    name: String,
    node: usize,
    address: SocketAddr,
    pause: Duration,
}

impl Customer {
    /// Makes one call after the other.
    async fn call(self, book: Arc<Book>, going: Arc<AtomicBool>) {
        let mut caller = Caller::new(self.address);
        let mut number = 0_usize;
        while going.load(Ordering::SeqCst) {
            number += 1;
            let work = format!("{}-{number}", self.name);
            let kind = if number.is_multiple_of(2) { Kind::Read } else { Kind::Post };
            let begun = Instant::now();
            let answer = caller.call(&call(number, kind, &work)).await;
            let end = match answer {
                Err(error) => broken(&error),
                Ok(answer) => ended(&answer, &work),
            };
            book.note(Ended { node: self.node, work, kind, end, begun, ended: Instant::now() });
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

fn broken(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::Other => End::Broken,
        io::ErrorKind::UnexpectedEof => End::Cut,
        _ => End::Refused,
    }
}

fn ended(answer: &Answer, work: &str) -> End {
    match answer.outcome() {
        "answered" if answer.status == 200 => {
            let own = answer.header(standins::caller::WORK_HEADER) == work;
            let whole = answer.body.len() == 64;
            if own && whole { End::Answered } else { End::Mixed }
        }
        "answered" => End::Failed,
        "not-run" if answer.header("baobab-cause") == "quarantined" => End::Quarantined,
        "not-run" => End::NotRun,
        _ => End::Unknown,
    }
}
