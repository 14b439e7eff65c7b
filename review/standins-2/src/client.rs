//! Requests of clients.

use socket2::{Domain, Socket, Type};
use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Head};

/// A request of a client, on a connection of its own.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
}

impl Request {
    fn head(&self, framing: &str) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Baobabrelay-Request-Id: {}\r\nX-Baobabrelay-Deadline-Ms: {}\r\n{framing}\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis()
        )
    }
}

/// How a request ended for its client.
#[derive(Debug)]
pub enum End {
    /// A whole answer, with its status and body length.
    Answer { status: u16, stamped: bool, bytes: usize },
    /// The connection ended before the answer was whole; the length of the part that arrived, none if no head did.
    Broken { status: Option<u16>, bytes: usize, of: usize },
}

/// Connects within a second, as clients do, and waits for answers until the deadline.
pub fn connect(node: SocketAddr, deadline: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(deadline))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Connects with a small window, so that a client that does not read blocks the node.
pub fn connect_with_window(
    node: SocketAddr,
    deadline: Duration,
    window: usize,
) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(window)?;
    socket.connect_timeout(&node.into(), Duration::from_secs(1))?;
    socket.set_read_timeout(Some(deadline))?;
    Ok(socket.into())
}

/// Sends a request with a small body and reads its answer as fast as it comes.
pub fn send(stream: TcpStream, request: &Request, body: &[u8]) -> End {
    let mut writer = &stream;
    let framing = format!("Content-Length: {}\r\n", body.len());
    let sent =
        writer.write_all(request.head(&framing).as_bytes()).and_then(|()| writer.write_all(body));
    if sent.is_err() {
        return End::Broken { status: None, bytes: 0, of: 0 };
    }
    read(stream, None)
}

/// How the length of a body is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Chunks,
    Length,
}

/// A kept connection of a client, for one request at a time.
pub struct Kept {
    reader: BufReader<TcpStream>,
    /// Whether the last answer closes the connection.
    pub is_closing: bool,
}

impl Kept {
    /// Connects to a node.
    pub fn open(node: SocketAddr, deadline: Duration) -> io::Result<Kept> {
        Ok(Kept { reader: BufReader::new(connect(node, deadline)?), is_closing: false })
    }

    /// Sends a request with a small body; returns the status of its answer.
    pub fn send(&mut self, request: &Request, body: &str) -> io::Result<u16> {
        let framing = format!("Content-Length: {}\r\n", body.len());
        let message = request.head(&framing) + body;
        self.reader.get_mut().write_all(message.as_bytes())?;
        let head = http::read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        http::read_body(&mut self.reader, &head)?;
        self.is_closing = head.header("connection").is_some_and(|value| value.contains("close"));
        Ok(head.word(1).parse().unwrap_or(0))
    }
}

/// Sends a body of `bytes` bytes at `bytes_per_s`, and reads the answer.
pub fn upload(
    stream: TcpStream,
    request: &Request,
    framing: Framing,
    bytes: usize,
    bytes_per_s: usize,
) -> End {
    const CHUNK: usize = 64 * 1024;
    let begun = Instant::now();
    let mut writer = &stream;
    let data = vec![b'f'; CHUNK];
    let is_chunked = framing == Framing::Chunks;
    let header = match framing {
        Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Length => format!("Content-Length: {bytes}\r\n"),
    };
    let mut sent = writer.write_all(request.head(&header).as_bytes());
    let mut written = 0;
    while sent.is_ok() && written < bytes {
        let size = CHUNK.min(bytes - written);
        sent = match is_chunked {
            true => writer
                .write_all(format!("{size:x}\r\n").as_bytes())
                .and_then(|()| writer.write_all(&data[..size]))
                .and_then(|()| writer.write_all(b"\r\n")),
            false => writer.write_all(&data[..size]),
        };
        written += size;
        pace(begun, written, bytes_per_s);
    }
    // An early refusal may stand in the socket although the body could not be written.
    if is_chunked {
        let _ = sent.and_then(|()| writer.write_all(b"0\r\n\r\n"));
    }
    read(stream, None)
}

/// Sends a request without a body and reads its answer at `bytes_per_s`.
pub fn send_and_read_slowly(stream: TcpStream, request: &Request, bytes_per_s: usize) -> End {
    let mut writer = &stream;
    let framing = if request.method == "GET" { "" } else { "Content-Length: 0\r\n" };
    if writer.write_all(request.head(framing).as_bytes()).is_err() {
        return End::Broken { status: None, bytes: 0, of: 0 };
    }
    read(stream, Some(bytes_per_s))
}

fn read(stream: TcpStream, bytes_per_s: Option<usize>) -> End {
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = http::read_head(&mut reader) else {
        return End::Broken { status: None, bytes: 0, of: 0 };
    };
    let status = head.word(1).parse().unwrap_or(0);
    let length = head.length().unwrap_or(0);
    let bytes = read_part(&mut reader, length, bytes_per_s);
    if bytes == length {
        End::Answer { status, stamped: is_stamped(&head), bytes }
    } else {
        End::Broken { status: Some(status), bytes, of: length }
    }
}

fn is_stamped(head: &Head) -> bool {
    head.header("x-baobabrelay-server-stamp").is_some()
}

/// Reads up to `length` bytes and returns how many came.
fn read_part(
    reader: &mut BufReader<TcpStream>,
    length: usize,
    bytes_per_s: Option<usize>,
) -> usize {
    let begun = Instant::now();
    let mut buffer = vec![0; 64 * 1024];
    let mut bytes = 0;
    while bytes < length {
        let size = buffer.len().min(length - bytes);
        match reader.read(&mut buffer[..size]) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes += count,
        }
        if let Some(rate) = bytes_per_s {
            pace(begun, bytes, rate);
        }
    }
    bytes
}

/// Sleeps until `done` bytes are due at `bytes_per_s`.
fn pace(begun: Instant, done: usize, bytes_per_s: usize) {
    let due = Duration::from_secs_f64(done as f64 / bytes_per_s as f64);
    thread::sleep(due.saturating_sub(begun.elapsed()));
}
