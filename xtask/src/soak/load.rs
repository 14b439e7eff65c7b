//! Callers that keep their connections until the process at the other end is gone.

use bytes::Bytes;
use standins::caller::{Call, Caller};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinHandle, time::sleep};

use crate::soak::{
    check::{Book, End, Ended, Kind},
    site::Site,
};

/// Callers of each node.
const CALLERS: usize = 3;

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// Time that a caller grants a call, in ms.
const DEADLINE_MS: u64 = 1_200;

/// Starts callers of every node.
pub(crate) fn start(
    site: &Site,
    book: &Arc<Book>,
    going: &Arc<AtomicBool>,
) -> (tokio::runtime::Handle, Vec<JoinHandle<()>>) {
    let handle = site.runtime.handle().clone();
    let mut tasks = Vec::new();
    for (number, spot) in site.spots.iter().enumerate() {
        for caller in 0..CALLERS {
            let name = format!("{number}-{caller}");
            tasks.push(handle.spawn(call(spot.callers, number, name, book.clone(), going.clone())));
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

async fn call(
    address: SocketAddr,
    node: usize,
    name: String,
    book: Arc<Book>,
    going: Arc<AtomicBool>,
) {
    let mut caller = Caller::new(address);
    let mut number = 0;
    while going.load(Ordering::SeqCst) {
        number += 1;
        let work = format!("{name}-{number}");
        let kind = if number % 2 == 0 { Kind::Read } else { Kind::Post };
        let path = if number % 3 == 0 { "/stock/a" } else { "/pay/a" };
        let call = match kind {
            Kind::Read => Call { work: Some(work.clone()), ..Call::get(path) },
            Kind::Post => Call { body: Bytes::from(vec![b'x'; 300]), ..Call::post(path, &work) },
        };
        let call = Call { deadline_ms: Some(DEADLINE_MS), ..call };
        let end = match caller.call(&call).await {
            Err(_) => End::Broken,
            Ok(answer) => match answer.outcome() {
                "answered" if answer.status == 200 => {
                    let own = answer.header(standins::upstream::WORK) == work;
                    let whole = answer.body.len() == 64;
                    if own && whole { End::Answered } else { End::Mixed }
                }
                "answered" => End::Failed,
                "not-run" => End::NotRun,
                _ => End::Unknown,
            },
        };
        book.note(Ended { node, work, kind, end });
        sleep(PAUSE).await;
    }
}
