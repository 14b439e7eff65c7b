//! Stand-in for an application backend.

use crate::{
    http,
    record::{LEFT, Record},
};
use std::{
    io::{BufReader, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which a working backend looks whether its caller is still there.
const POLL: Duration = Duration::from_millis(5);

/// What a backend needs to know of itself.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub record: Record,
    busy: Arc<AtomicUsize>,
}

impl Backend {
    pub fn start(id: &str, address: SocketAddr, slots: usize, record: &Record) -> Backend {
        let listener = TcpListener::bind(address).expect("the backend's address is free");
        let (id, record) = (id.to_owned(), record.clone());
        let backend = Backend { id, address, slots, record, busy: Arc::default() };
        let handle = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = handle.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut input, output) = (BufReader::new(clone), stream);
        while let Ok(Some(request)) = http::read_head(&mut input) {
            if self.answer(&request, &mut input, &output).is_none() {
                return;
            }
        }
    }

    /// Answers one request; `None` if the connection is over.
    fn answer(
        &self,
        request: &http::Message,
        input: &mut BufReader<TcpStream>,
        output: &TcpStream,
    ) -> Option<()> {
        let id = request.header("X-Baobabrelay-Request-Id").unwrap_or("").to_owned();
        let reply = |status: &str, extra: &[(&str, &str)], body: &[u8]| {
            let mut headers =
                vec![("X-Baobabrelay-Request-Id", id.as_str()), ("Keep-Alive", "timeout=10")];
            headers.extend_from_slice(extra);
            http::write(&mut &*output, &format!("HTTP/1.1 {status}"), &headers, body).ok()
        };
        let refused = [("X-Baobabrelay-Not-Executed", "1")];
        if request.second() == "/health" {
            return reply("200 OK", &[("X-Baobabrelay-Instance-Id", &self.id)], b"");
        }
        if id.is_empty() {
            return reply("400 Bad Request", &refused, b"");
        }
        let expected = request.header("X-Baobabrelay-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            read_body(input, request.length()).ok()?;
            return reply("421 Misdirected Request", &refused, b"");
        }
        if self.busy.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            read_body(input, request.length()).ok()?;
            return reply("503 Service Unavailable", &refused, b"");
        }
        let number = |name: &str| request.header(name).and_then(|text| text.parse::<u64>().ok());
        let begun = Instant::now();
        let work = Duration::from_millis(number("Work-Ms").unwrap_or(5));
        let limit = number("X-Baobabrelay-Deadline-Ms").map_or(work, Duration::from_millis);
        let (head, _) = request.start.rsplit_once(' ').unwrap_or((&request.start, ""));
        self.record.begin(&id, &self.id, head);
        if read_body(input, request.length()).is_err() {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            self.record.end(&id, &self.id, &format!("{LEFT} within the body"));
            return None;
        }
        let is_left = loop {
            let left = work.min(limit).saturating_sub(begun.elapsed());
            if left.is_zero() {
                break false;
            }
            thread::sleep(left.min(POLL));
            if http::is_closed(output) {
                break true;
            }
        };
        self.busy.fetch_sub(1, Ordering::SeqCst);
        if is_left {
            self.record.end(&id, &self.id, &format!("{LEFT} while at work"));
            return None;
        }
        let (status, body): (&str, &[u8]) = match work <= limit {
            true => ("200 OK", b"receipt"),
            false => ("504 Gateway Timeout", b""),
        };
        self.record.end(&id, &self.id, status);
        let stamp = format!("{}.{id}", self.id);
        reply(status, &[("X-Baobabrelay-Server-Stamp", &stamp)], body)
    }
}

/// Reads the body of a request.
fn read_body(input: &mut impl Read, length: usize) -> std::io::Result<()> {
    input.read_exact(&mut vec![0; length])
}
