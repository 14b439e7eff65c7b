//! Benchmarks of HTTP libraries: the time of one call on loopback with each client and server.

use standins::{
    caller::{Call, Caller},
    upstream::{Settings, Upstream},
};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use tiny_http::{Response, Server};
use tokio::runtime::Builder;

use super::report::{Line, Report, Times};
use crate::tools::Failure;

/// Measured calls for each pair.
const CALLS: usize = 3_000;

/// Calls before the measured ones.
const WARM_UP_CALLS: usize = 200;

/// Measures sequential reads of one caller for each pair of client and server.
pub(crate) fn run(report: &mut Report) -> Result<(), Failure> {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let server = Server::http("127.0.0.1:0").map_err(|e| Failure::Task(e.to_string()))?;
    let tiny = server.server_addr().to_ip().expect("the server listens at an IP address");
    thread::spawn(move || {
        for request in server.incoming_requests() {
            // The caller may already have closed the connection.
            let _ = request.respond(Response::from_string("x".repeat(64)));
        }
    });
    let upstream = Upstream::start(Settings::default(), runtime.handle())?;
    add(report, "attohttpc to tiny_http", measure(|| fetch(tiny)));
    let hyper = |target: SocketAddr| {
        let mut caller = Caller::new(target);
        let call = Call::get("/x");
        measure(|| runtime.block_on(caller.call(&call)).is_ok())
    };
    add(report, "hyper to tiny_http", hyper(tiny));
    add(report, "hyper to hand-written", hyper(upstream.address()));
    Ok(())
}

fn fetch(address: SocketAddr) -> bool {
    attohttpc::get(format!("http://{address}/x")).send().and_then(|a| a.bytes()).is_ok()
}

fn measure(mut call: impl FnMut() -> bool) -> Times {
    let mut times = Times::default();
    for i in 0..CALLS + WARM_UP_CALLS {
        let started = Instant::now();
        let answered = call();
        let elapsed: Duration = started.elapsed();
        if answered && i >= WARM_UP_CALLS {
            times.add(elapsed);
        }
    }
    times
}

fn add(report: &mut Report, pair: &str, times: Times) {
    report.add(Line::new("library_call_ms", 1).word("pair", pair).times(&times));
}
