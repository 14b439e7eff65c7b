//! Stand-in for a client: one request on a new connection.

use crate::{http, record::Record};
use std::{
    io::BufReader,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub work_ms: u64,
}

/// What a client saw of its request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    /// When it was sent; `None` if it could not be sent.
    pub sent: Option<f64>,
    /// Status and stamp of the answer; `None` if the connection ended without a complete one.
    pub answer: Option<(String, Option<String>)>,
    pub ended: f64,
}

/// Sends a request to the node at `address` and waits for its answer until its deadline.
pub fn send(request: &Request, address: SocketAddr, record: &Record) -> Seen {
    let id = &request.id;
    let mut sent = None;
    let answer = exchange(request, address, record, &mut sent);
    let ended = record.note(match &answer {
        Some((status, stamp)) => {
            format!("answered: {id}: {status}, stamp {}", stamp.as_deref().unwrap_or("none"))
        }
        None => format!("closed without an answer: {id}"),
    });
    Seen { id: id.clone(), sent, answer, ended }
}

fn exchange(
    request: &Request,
    address: SocketAddr,
    record: &Record,
    sent: &mut Option<f64>,
) -> Option<(String, Option<String>)> {
    let Request { id, method, host, path, deadline_ms, work_ms } = request;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(*deadline_ms))).ok()?;
    let [deadline, work] = [deadline_ms, work_ms].map(u64::to_string);
    let headers = [
        ("Host", *host),
        ("X-Baobabrelay-Request-Id", id.as_str()),
        ("X-Baobabrelay-Deadline-Ms", deadline.as_str()),
        ("Work-Ms", work.as_str()),
    ];
    // Taken before the first byte, so that no request counts as sent later than it was.
    *sent = Some(record.note(format!("sent: {id}")));
    let start = format!("{method} {path} HTTP/1.1");
    http::write(&mut stream, &start, &headers, b"{}").ok()?;
    let answer = http::read(&mut BufReader::new(stream)).ok()??;
    let stamp = answer.header("X-Baobabrelay-Server-Stamp").map(str::to_owned);
    Some((answer.second().to_owned(), stamp))
}
