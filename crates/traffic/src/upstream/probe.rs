//! Health probes, whose answers say whether the colocated upstream is cold.
//!
//! A probe is sent when a call is offered and few more may start until the upstream is known to be warm, so
//! that their rate follows that of the calls.

use hyper::{Request, Response, body::Incoming, header};
use model::time::Time;
use policy::retry::Kind;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

use crate::{
    net::pool::{Connection, SendError},
    proxy::Proxy,
    wire,
};

/// Time limit of a probe.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of an answer to a probe, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Longest idle time of a connection for a probe; a closed one is replaced.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60);

/// Answer to a probe.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// When the probe was sent.
    sent_at: Time,
    /// Time for which the upstream is still cold; zero if it is warm.
    cold_left: Duration,
}

/// Starts a probe if one is due and none is running.
pub(crate) fn start_if_due(proxy: &Arc<Proxy>) {
    let Some(path) = proxy.begin_probe() else { return };
    let proxy = proxy.clone();
    tokio::spawn(async move {
        let answer = timeout(TIMEOUT, exchange(&proxy, &path)).await;
        match answer.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
            Ok(answer) => proxy.finish_probe(answer.sent_at, answer.cold_left),
            Err(reason) => proxy.fail_probe(reason),
        }
    });
}

/// Sends a probe on an idle connection, or on a new one if there is none or it was closed.
async fn exchange(proxy: &Proxy, path: &str) -> Result<Answer, String> {
    let upstream = proxy.settings.upstream;
    if let Some(connection) = proxy.pool.take(upstream, MAX_IDLE_TIME, Kind::Idempotent)
        && let Ok(result) = send(proxy, path, connection).await
    {
        return result;
    }
    let opened = proxy.pool.open(upstream, proxy.tuning().connect_timeout).await;
    let connection = opened.map_err(|_| "cannot connect".to_owned())?;
    let sent = send(proxy, path, connection).await;
    sent.unwrap_or_else(|_| Err("the connection was closed".to_owned()))
}

/// Sends a probe; an error of the connection is the outer one.
async fn send(
    proxy: &Proxy,
    path: &str,
    mut connection: Connection,
) -> Result<Result<Answer, String>, SendError> {
    let upstream = proxy.settings.upstream;
    let request = Request::get(path).header(header::HOST, upstream.to_string());
    let request = match request.body(wire::Body::default()) {
        Ok(request) => request,
        Err(error) => return Ok(Err(error.to_string())),
    };
    let sent_at = proxy.clock.now();
    let response = connection.send(request).await?;
    let cold_left = cold_left(proxy, &response);
    let body = proxy.receive_answer(response.into_body(), MAX_BODY_BYTES, TIMEOUT).await;
    if body.is_ok() {
        proxy.pool.put(upstream, connection);
    }
    Ok(cold_left.map(|cold_left| Answer { sent_at, cold_left }))
}

/// Returns for how long the upstream is still cold by its answer to a probe.
fn cold_left(proxy: &Proxy, response: &Response<Incoming>) -> Result<Duration, String> {
    let Some(name) = proxy.settings.names.cold.clone() else { return Ok(Duration::ZERO) };
    match wire::read_number(response.headers(), name) {
        Ok(Some(ms)) => Ok(Duration::from_millis(ms)),
        Ok(None) if response.status().is_success() => Ok(Duration::ZERO),
        Ok(None) => Err(format!("status {}", response.status().as_u16())),
        Err(wire::Malformed) => Err("the remaining warm-up time is not a number".to_owned()),
    }
}
